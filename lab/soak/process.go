package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	osprocess "umberladder/lab/process"
	"umberladder/pgwire"
	"umberladder/standin/catalog"
)

// driverProcess is a driver as a child process. It keeps its name and address across restarts.
type driverProcess struct {
	config  catalog.DriverConfig
	file    string // path of the configuration
	logFile string
	args    []string

	mu       sync.Mutex
	cmd      *exec.Cmd
	started  time.Time
	exited   chan struct{} // closed when the process has ended
	exitErr  error
	exitedAt time.Time
	peaks    usage
}

// usage is the peak resource usage of a process.
type usage struct {
	memory int64 // bytes of resident memory
	files  int   // descriptors
}

// randomLoopback returns a random address of the loopback network. A port that is free there stays free until the driver
// listens on it, as other processes and outgoing connections use other addresses.
func randomLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// newProcess writes the configuration of a driver to dir and picks its address. It does not start the driver.
func newProcess(program, dir string, config catalog.DriverConfig) (*driverProcess, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(randomLoopback(), "0"))
	if err != nil {
		return nil, err
	}
	config.Listen = l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, err
	}
	p := &driverProcess{config: config, file: filepath.Join(dir, config.Name+".json"), logFile: filepath.Join(dir, config.Name+".log"),
		args: []string{program, "platform"}}
	return p, p.writeConfig()
}

func (p *driverProcess) writeConfig() error {
	return os.WriteFile(p.file, []byte(p.config.Text()), 0o600)
}

// writeTruncatedConfig writes the first half of the configuration, as an unfinished write leaves it.
func (p *driverProcess) writeTruncatedConfig() error {
	text := p.config.Text()
	return os.WriteFile(p.file, []byte(text[:len(text)/2]), 0o600)
}

func (p *driverProcess) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.file, "UMBERLADDER_TRACE=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.started, p.exited = cmd, time.Now(), exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exitErr, p.exitedAt = err, time.Now()
		p.mu.Unlock()
		close(exited)
	}()
	go p.sampleUsage(cmd.Process.Pid, exited)
	return nil
}

func (p *driverProcess) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil // its exit status is judged
	}
	return err
}

// kill sends SIGKILL and reports whether the process was still running.
func (p *driverProcess) kill() bool {
	select {
	case <-p.exited:
		return false
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	return true
}

// ready waits until the driver answers an empty query, and returns the time since its start. It returns an error if the
// process ends first or within has passed since the start.
func (p *driverProcess) ready(within time.Duration) (time.Duration, error) {
	for {
		if p.probe() == nil {
			return time.Since(p.started), nil
		}
		if time.Since(p.started) > within {
			return 0, fmt.Errorf("driver %s is not ready after %v", p.config.Name, within)
		}
		select {
		case <-p.exited:
			return 0, fmt.Errorf("driver %s ended before it was ready: %v", p.config.Name, p.exitErr)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (p *driverProcess) probe() error {
	nc, err := net.DialTimeout("tcp", p.config.Listen, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write(pgwire.AppendQuery(catalog.AppendStartup(nil), "")); err != nil {
		return err
	}
	r := pgwire.NewReader(nc, maxMessageBytes)
	if _, err := catalog.ReadReply(r); err != nil { // to the startup
		return err
	}
	reply, err := catalog.ReadReply(r)
	if err == nil && !strings.ContainsRune(reply.Types, pgwire.MsgEmptyQueryResponse) {
		err = fmt.Errorf("an empty query was answered by messages %q", reply.Types)
	}
	return err
}

// sampleInterval is the interval between samples of a process's descriptors and memory.
const sampleInterval = 20 * time.Millisecond

// sampleUsage records peak resource usage until the process ends.
func (p *driverProcess) sampleUsage(pid int, exited chan struct{}) {
	for {
		if files, ok := osprocess.OpenFiles(pid); ok {
			p.mu.Lock()
			p.peaks.memory = max(p.peaks.memory, osprocess.ResidentPeak(pid))
			p.peaks.files = max(p.peaks.files, files)
			p.mu.Unlock()
		}
		select {
		case <-exited:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// peakUsage returns the peak resource usage so far.
func (p *driverProcess) peakUsage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peaks
}

// state is the state that a driver logs each second.
type state struct {
	Sessions   int `json:"sessions"`
	Conns      int `json:"conns"` // to members
	Goroutines int `json:"goroutines"`
}

var stateLine = regexp.MustCompile(`(?m)\tstate\t(\{.*\})$`)

// loggedStates parses the states in the driver's log.
func (p *driverProcess) loggedStates() (all []state, err error) {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return nil, err
	}
	for _, found := range stateLine.FindAllSubmatch(bytes.TrimRight(text, "\n"), -1) {
		var s state
		if err := json.Unmarshal(found[1], &s); err != nil {
			return nil, fmt.Errorf("log of driver %s: %w", p.config.Name, err)
		}
		all = append(all, s)
	}
	return all, nil
}
