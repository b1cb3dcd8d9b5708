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

// TestSIGHUPAfterShutdownIsIgnored sends this process SIGHUP after the context of onSIGHUP ended, as may happen to a
// driver that is shutting down. Without a handler the signal would end the process, and this test with it.
func TestSIGHUPAfterShutdownIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	notified := make(chan bool, 1)
	onSIGHUP(ctx, func() { notified <- true })
	sendSIGHUP := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	sendSIGHUP()
	<-notified
	cancel()
	for range 100 {
		sendSIGHUP()
		time.Sleep(time.Millisecond) // for the delivery of the signal, which has no other effect to wait for
	}
}

// TestReloadOfPartlyWrittenConfig reloads a file that is half written at first: the error is logged once, and the
// configuration is applied when the file is complete.
func TestReloadOfPartlyWrittenConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platformConfig[:len(platformConfig)/2])
	seen, logs := observer.New(zap.InfoLevel)
	reloads := make(chan *platform.Config)
	go reloadConfig(t.Context(), path, reloads, zap.New(seen))
	for logs.Len() == 0 { // until the incomplete file was read
		time.Sleep(time.Millisecond)
	}
	write(strings.Replace(platformConfig, "127.0.0.1:2", "127.0.0.1:3", 1))
	select {
	case cfg := <-reloads:
		if cfg.Discovery != "127.0.0.1:3" {
			t.Errorf("discovery address %s", cfg.Discovery)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the complete configuration is not applied within 10 s")
	}
	if logs.Len() != 1 {
		t.Errorf("%d log lines", logs.Len())
	}
}
