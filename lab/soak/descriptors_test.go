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

// TestFewDescriptors: a driver whose process may open far fewer descriptors than its configuration says, as under a
// lower "ulimit -n", serves a client while idle ones hold every descriptor that they can get, also while discovery says
// nothing and asks for new calls.
//
// What clients and members may have was reckoned from the configuration alone. Idle clients took all descriptors before
// their bound was reached, accepting failed with EMFILE from then on, no idle client was sent away, and a client that
// came waited for good: 40 of 40 requests had no answer within a second.
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
	p, err := newProcess(program, dir, catalog.DriverConfig{Name: "n0", Discovery: a.Address(), Sockets: sockets, MemoryMB: memoryMB,
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
	r := &run{dialing: ctx}
	done := make(chan struct{})
	go func() { defer close(done); r.crowd(ctx, p) }()
	defer func() { end(); <-done }()
	for n := 0; p.took().files < allowed/2; n++ {
		if n == 500 {
			t.Fatalf("the crowd holds only %d descriptors", p.took().files)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 40 {
		if i == 20 {
			a.Silence(true)
		}
		if err := askWithin(time.Second, p, fmt.Sprintf("w%d", i)); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// askWithin asks until a value comes; a refusal says that trying again is harmless. Each try has to get an answer.
func askWithin(limit time.Duration, p *process, id string) error {
	var refused *pgwire.Error
	for end, n := time.Now().Add(limit), 0; ; n++ {
		err := askOnce(p, fmt.Sprintf("%st%d", id, n))
		if err == nil || !errors.As(err, &refused) || refused.Code != "53300" || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// askOnce makes a connection, sends a request with its startup and awaits the value.
func askOnce(p *process, id string) error {
	nc, err := net.DialTimeout("tcp", p.config.Listen, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write(pgwire.AppendQuery(catalog.AppendStartup(nil), catalog.ReadQuery(id, "article", 900*time.Millisecond))); err != nil {
		return err
	}
	for reader, started := pgwire.NewReader(nc, mostMessage), false; ; started = true {
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
