package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// driver is a process of the project, started with the command run of deploy/balancer.toml.
type driver struct {
	address string // for clients
	folder  string // temporary
	config  func(discovery string) string
	process *exec.Cmd
	ended   chan error
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// limits are those of a driver, in JSON.
var limits = `{"cores":1.0,"memory_mb":192,"sockets":1024}`

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startDriver starts a driver with the given settings, in JSON, and waits until it answers an empty query, as the front does.
func (r *run) startDriver(agent *agent, settings string) (*driver, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	d := &driver{ended: make(chan error, 1)}
	if d.address, err = freeAddress(); err != nil {
		return nil, err
	}
	if d.folder, err = os.MkdirTemp("", "review-rig-2-"); err != nil {
		return nil, err
	}
	d.config = func(discovery string) string {
		return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"%016x","limits":%s,"known":%s,"settings":%s}`,
			d.address, discovery, time.Now().UnixNano(), limits, agent.full(), settings)
	}
	path := filepath.Join(d.folder, "config.json")
	if err := os.WriteFile(path, []byte(d.config(agent.address())), 0o644); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(filepath.Dir(os.Args[2]), "driver.log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	d.process = exec.Command("/bin/sh", "-c", string(command[1]))
	d.process.Env = append(os.Environ(), "LB_NAME=n1", "LB_LISTEN="+d.address, "LB_DISCOVERY="+agent.address(), "LB_CONFIG="+path, "TMPDIR="+d.folder)
	d.process.Stdout, d.process.Stderr = logFile, logFile
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return nil, err
	}
	r.log("driver started: %s", strings.TrimSpace(string(command[1])))
	r.mu.Lock()
	r.driver = d
	r.mu.Unlock()
	go func() { d.ended <- d.process.Wait() }()
	for range 300 {
		if c, err := dial(d.address); err == nil {
			answer := c.ask("", 0)
			c.close()
			if answer.code == "" && answer.err == nil {
				r.log("driver ready")
				return d, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("the driver did not become ready")
}

// kill ends the driver. It returns an error if the driver had ended before.
func (d *driver) kill() error {
	defer os.RemoveAll(d.folder)
	select {
	case err := <-d.ended:
		return fmt.Errorf("the driver ended early: %w", err)
	default:
	}
	d.process.Process.Kill()
	<-d.ended
	return nil
}
