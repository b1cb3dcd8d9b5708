package main

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"umberladder/pgwire"
)

func init() { cases["6"] = crowd }

var waitPattern = regexp.MustCompile(`,d=(\d+),`)

// crowd has clients open a connection for each read, and send the read right after the startup message. With trouble,
// hundreds of other clients connect, say nothing, and connect again 0.3 s after the driver has closed.
func crowd(r *run) error {
	const (
		silentClients = 800
		length        = 12 * time.Second
		wait          = 480 * time.Millisecond // of the clients
		late          = 500 * time.Millisecond // an answer may come so much later, and earns nothing then
		slack         = 50 * time.Millisecond  // on sockets each limit is so much longer
		mayExceed     = 150 * time.Millisecond // by so much the time that a member is told may exceed what is left
	)
	limits = `{"cores":0.25,"memory_mb":64,"sockets":256}`
	a, err := r.newAgent()
	if err != nil {
		return err
	}
	_, members, err := r.newCluster(a, 2)
	if err != nil {
		return err
	}
	d, err := r.startDriver(a, settings("router", "loose", 0.2))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(length)
	var running sync.WaitGroup
	if r.trouble {
		r.log("%d clients connect and say nothing", silentClients)
		for range silentClients {
			running.Go(func() { sayNothing(d.address, end) })
		}
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var took []time.Duration
	for time.Now().Before(end) {
		running.Go(func() {
			nc, err := net.DialTimeout("tcp", d.address, time.Second)
			if err != nil {
				return // not accepted
			}
			defer nc.Close()
			id, at := newID(), time.Now()
			mu.Lock()
			sent[id] = at
			mu.Unlock()
			nc.Write(append(startup(), queryMessage(selectQuery(id, "k", "page", wait, ""))...))
			nc.SetDeadline(at.Add(5 * time.Second))
			c := &client{Conn: nc, reader: pgwire.NewReader(nc, 1<<20)}
			got := c.read() // the answer to the startup
			if got.err == nil && got.code == "" {
				got = c.read()
			}
			after := time.Since(at)
			r.log("client: read %s: %v after %v", id, got, after)
			mu.Lock()
			took = append(took, after)
			mu.Unlock()
			var timeout net.Error
			never := errors.As(got.err, &timeout) && timeout.Timeout()
			if after > wait+late+slack && (got.err == nil || never) { // a close with no answer is not counted here
				r.breaks("lost: read %s, whose client waits for %v, got its answer after %v: %v", id, wait, after, got)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	if len(took) < 60 {
		return fmt.Errorf("only %d of the clients could connect", len(took))
	}
	lost := len(r.broken)
	slices.Sort(took)
	r.log("%d reads, answered after %v in the median, %v at most", len(took), took[len(took)/2], took[len(took)-1])
	for _, m := range members {
		for _, q := range m.received() {
			ms, err := strconv.Atoi(waitPattern.FindStringSubmatch(q.text)[1])
			if err != nil {
				return err
			}
			told, left := time.Duration(ms)*time.Millisecond, wait-q.at.Sub(sent[q.id])
			if told-left > mayExceed+slack {
				r.breaks("deadline: read %s told %s to wait for %v when its client waited for %v more", q.id, m.uid, told, left)
			}
		}
	}
	r.log("%d reads lost, %d of which a member was told too long a time", lost, len(r.broken)-lost)
	return nil
}

// sayNothing opens connections one after the other, 0.3 s apart, and keeps each until the driver ends it.
func sayNothing(address string, end time.Time) {
	for time.Now().Before(end) {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		nc.SetReadDeadline(end)
		b := make([]byte, 256)
		for err == nil {
			_, err = nc.Read(b)
		}
		nc.Close()
		time.Sleep(300 * time.Millisecond)
	}
}
