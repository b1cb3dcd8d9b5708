package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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

// process is one driver as a child process. It keeps its name and address over restarts.
type process struct {
	config catalog.DriverConfig
	file   string // the configuration
	log    string
	args   []string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	over    chan struct{} // closed when the process has ended
	exit    error
	ended   time.Time
	peaks   usage
}

// usage is the most that a process took.
type usage struct {
	memory int64 // bytes of resident memory
	files  int   // descriptors
}

// newProcess makes a driver of a configuration, with its files in a folder. It is not started.
func newProcess(program, dir string, config catalog.DriverConfig) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	config.Listen = l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, err
	}
	p := &process{config: config, file: filepath.Join(dir, config.Name+".json"), log: filepath.Join(dir, config.Name+".log"),
		args: []string{program, "platform"}}
	return p, p.writeConfig()
}

func (p *process) writeConfig() error { return os.WriteFile(p.file, []byte(p.config.Text()), 0o600) }

// writeHalfConfig leaves the file as a writer does that has not come to its end.
func (p *process) writeHalfConfig() error {
	text := p.config.Text()
	return os.WriteFile(p.file, []byte(text[:len(text)/2]), 0o600)
}

// start starts the process.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	over := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.started, p.over = cmd, time.Now(), over
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exit, p.ended = err, time.Now()
		p.mu.Unlock()
		close(over)
	}()
	go p.watch(cmd.Process.Pid, over)
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil // it ended by itself: its exit is judged
	}
	return err
}

// kill ends the process by force, and tells whether it still ran.
func (p *process) kill() bool {
	select {
	case <-p.over:
		return false
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.over
	return true
}

// ready waits until the driver answers an empty query, and returns how long that took from its start.
func (p *process) ready(within time.Duration) (time.Duration, error) {
	for {
		if p.answersEmpty() == nil {
			return time.Since(p.started), nil
		}
		if time.Since(p.started) > within {
			return 0, fmt.Errorf("driver %s is not ready after %v", p.config.Name, within)
		}
		select {
		case <-p.over:
			return 0, fmt.Errorf("driver %s ended before it was ready: %v", p.config.Name, p.exit)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (p *process) answersEmpty() error {
	nc, err := net.DialTimeout("tcp", p.config.Listen, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write(pgwire.AppendQuery(catalog.AppendStartup(nil), "")); err != nil {
		return err
	}
	r := pgwire.NewReader(nc, mostMessage)
	if _, err := catalog.ReadReply(r); err != nil { // to the startup
		return err
	}
	reply, err := catalog.ReadReply(r)
	if err == nil && !strings.ContainsRune(reply.Types, pgwire.MsgEmptyQueryResponse) {
		err = fmt.Errorf("an empty query was answered by messages %q", reply.Types)
	}
	return err
}

// watchEvery is how often a process's descriptors and memory are looked at.
const watchEvery = 20 * time.Millisecond

// watch follows what the process takes until it ends.
func (p *process) watch(pid int, over chan struct{}) {
	for {
		if files, ok := osprocess.OpenFiles(pid); ok {
			p.mu.Lock()
			p.peaks.memory = max(p.peaks.memory, osprocess.ResidentPeak(pid))
			p.peaks.files = max(p.peaks.files, files)
			p.mu.Unlock()
		}
		select {
		case <-over:
			return
		case <-time.After(watchEvery):
		}
	}
}

// took is the most that the process took so far.
func (p *process) took() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peaks
}

// state is what a driver's log says of it each second.
type state struct {
	Sessions   int `json:"sessions"`
	Conns      int `json:"conns"` // to members
	Goroutines int `json:"goroutines"`
}

var stateLine = regexp.MustCompile(`(?m)\tstate\t(\{.*\})$`)

// states reads the states that the driver has logged.
func (p *process) states() (all []state, err error) {
	text, err := os.ReadFile(p.log)
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
