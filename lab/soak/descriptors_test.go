package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"umberladder/pgwire"
	"umberladder/standin/catalog"
)

// TestFewDescriptors checks that a driver whose "ulimit -n" is far below its configured number of descriptors serves a
// client while idle clients hold every descriptor that they can get, also while discovery is silent and requires new
// calls.
//
// The descriptors of clients and members were once budgeted from the configuration alone. Idle clients used up all
// descriptors before they reached their limit, accept failed with EMFILE, no idle client was disconnected, and new
// clients waited forever: 40 of 40 requests had no answer within a second.
func TestFewDescriptors(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "umberladder")
	if out, err := exec.Command("go", "build", "-o", program, "umberladder/cmd/umberladder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	m, err := catalog.NewMember("s-0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	a, err := catalog.NewAgent(m)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	p, err := newProcess(program, dir, catalog.DriverConfig{Name: "n0", Discovery: a.Address(), Sockets: maxDescriptors, MemoryMB: memoryMB,
		Known: a.Known(), ReadDeadline: time.Second, WriteDeadline: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	const allowed = 80
	p.args = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" platform`, allowed), program}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	defer p.kill()
	if _, err := p.ready(firstReady); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	r := &run{dialCtx: ctx}
	done := make(chan struct{})
	go func() { defer close(done); r.crowd(ctx, p) }()
	defer func() { end(); <-done }()
	for n := 0; p.peakUsage().files < allowed/2; n++ {
		if n == 500 {
			t.Fatalf("the crowd holds only %d descriptors", p.peakUsage().files)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 40 {
		if i == 20 {
			a.Silence(true)
		}
		if err := requestWithin(time.Second, p, fmt.Sprintf("w%d", i)); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requestWithin retries refused requests until a value arrives or the limit has passed. Each try must be answered.
func requestWithin(limit time.Duration, p *driverProcess, id string) error {
	var refused *pgwire.Error
	for end, n := time.Now().Add(limit), 0; ; n++ {
		err := requestOnce(p, fmt.Sprintf("%st%d", id, n))
		if err == nil || !errors.As(err, &refused) || refused.Code != "53300" || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// requestOnce opens a connection, sends a request with the startup message and waits for the value.
func requestOnce(p *driverProcess, id string) error {
	nc, err := net.DialTimeout("tcp", p.config.Listen, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write(pgwire.AppendQuery(catalog.AppendStartup(nil), catalog.ReadQuery(id, "article", 900*time.Millisecond))); err != nil {
		return err
	}
	for reader, started := pgwire.NewReader(nc, maxMessageBytes), false; ; started = true {
		reply, err := catalog.ReadReply(reader)
		switch {
		case reply.Code != "":
			return &pgwire.Error{Code: reply.Code, Message: "refused"}
		case err != nil:
			return err
		case started && reply.Value == "":
			return fmt.Errorf("answered without a value, by messages %q", reply.Types)
		case started:
			return nil
		}
	}
}
