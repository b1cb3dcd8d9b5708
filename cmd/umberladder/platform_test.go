package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"umberladder/platform"
)

const platformConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
 "settings":{"round":5,"classes":[{"name":"a","deadline":1000,"target":400,"effect":"read_like","worth":1}],
 "family-info":{"needs-by-class":["loose"],"oldest-data":[0]}}}`

// TestSIGHUPAfterSIGTERMEndsNothing sends this process SIGHUP after what it is told by ended, as a driver that still serves
// what it took gets it: without a handler the signal ends the process, and this test with it.
func TestSIGHUPAfterSIGTERMEndsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	told := make(chan bool, 1)
	onHangup(ctx, func() { told <- true })
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	<-told
	cancel()
	for range 100 {
		hangUp()
		time.Sleep(time.Millisecond) // for it to be delivered; there is nothing else to wait for
	}
}

// TestAConfigurationThatIsBeingWritten reads a file of which only half is there, and then all: it is named in the log once,
// and taken once it is whole.
func TestAConfigurationThatIsBeingWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platformConfig[:len(platformConfig)/2])
	seen, logs := observer.New(zap.InfoLevel)
	reloads := make(chan *platform.Config)
	go readAgain(t.Context(), path, reloads, zap.New(seen))
	for logs.Len() == 0 { // until the half was read
		time.Sleep(time.Millisecond)
	}
	write(strings.Replace(platformConfig, "127.0.0.1:2", "127.0.0.1:3", 1))
	select {
	case cfg := <-reloads:
		if cfg.Discovery != "127.0.0.1:3" {
			t.Errorf("took %s", cfg.Discovery)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it is not taken")
	}
	if logs.Len() != 1 {
		t.Errorf("%d log lines", logs.Len())
	}
}
