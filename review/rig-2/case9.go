package main

import (
	"fmt"
	"time"
)

func init() { cases["9"] = slowDiscovery }

// slowDiscovery has clients read while a member begins to drain. With trouble, discovery is down for 9 s before, and from
// its return on each call waits 1.5 s for its answer.
func slowDiscovery(r *run) error {
	const (
		outage = 9 * time.Second
		delay  = 1500 * time.Millisecond
		known  = 6 * time.Second        // a change counts as told at the latest after this time
		grace  = 500 * time.Millisecond // of the settings
		slack  = 50 * time.Millisecond
	)
	a, err := r.newAgent()
	if err != nil {
		return err
	}
	_, members, err := r.newCluster(a, 3)
	if err != nil {
		return err
	}
	d, err := r.startDriver(a, settings("router", "loose", 0.2))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.log("discovery is down")
		a.set(func() { a.silent = true })
		time.Sleep(outage)
		r.log("discovery is back")
		a.set(func() { a.silent, a.delay = false, delay })
	}
	time.Sleep(time.Second)
	m := members[1]
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	rev := a.put(m.entry("draining"))
	drained := time.Now()
	s, err := dial(d.address)
	if err != nil {
		return err
	}
	defer s.close()
	for time.Since(drained) < 25*time.Second {
		id := newID()
		got := s.ask(selectQuery(id, "k", "page", time.Second, ""), time.Second)
		r.log("client: read %s: %v", id, got)
		if got.err != nil {
			return fmt.Errorf("read %s: %w", id, got.err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	told := drained.Add(known)
	if at := a.toldAt(rev); !at.IsZero() && at.Before(told) {
		told = at
	}
	r.log("the drain of %s counts as told at %v", m.uid, r.since(told))
	for _, q := range m.received() {
		if q.at.Sub(told) > grace+slack {
			r.breaks("read %s reached %s at %v, %v after its drain counts as told", q.id, m.uid, r.since(q.at), q.at.Sub(told))
		}
	}
	return nil
}
