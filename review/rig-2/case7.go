package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["7"] = stale }

// stale has sessions write and soon read what they wrote, and other clients read data that may be 500 ms old. Replicas lag
// by 700 ms. With trouble, the wall clock of the members' machines steps forward by seconds.
func stale(r *run) error {
	const (
		rounds     = 120
		clockAhead = 5 * time.Second
		bound      = 500 * time.Millisecond // age of data, of the settings; 50 ms more on sockets
	)
	a, err := r.newAgent()
	if err != nil {
		return err
	}
	c, members, err := r.newCluster(a, 3)
	if err != nil {
		return err
	}
	c.lag = 700 * time.Millisecond
	d, err := r.startDriver(a, strings.Replace(settings("client", "recent", 0.2), `"oldest-data":[200,`, `"oldest-data":[500,`, 1))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s, err := dial(d.address)
	if err != nil {
		return err
	}
	defer s.close()
	own, pages := 0, map[string]bool{}
	for n := range rounds {
		if n == rounds/3 && r.trouble {
			c.stepClock(clockAhead)
		}
		key, value := fmt.Sprintf("k%04d", n), fmt.Sprintf("value-%04d", n)
		id := newID()
		wrote := s.ask(insertQuery(id, key, "write", value, 5*time.Second, ""), 5*time.Second)
		r.log("client: write %s of %s: %v", id, key, wrote)
		if wrote.err != nil {
			return wrote.err
		}
		if wrote.value == value {
			after := (c.lastCommit() + time.Millisecond - 1).Milliseconds()
			time.Sleep(50 * time.Millisecond)
			id = newID()
			got := s.ask(selectQuery(id, key, "own", time.Second, fmt.Sprintf(",after=%d", after)), time.Second)
			r.log("client: read %s of %s after %d: %v", id, key, after, got)
			if got.err == nil && got.code == "" {
				if own++; got.value != value {
					r.breaks("own writes: read %s of %s shows %q, its session wrote %q before", id, key, got.value, value)
				}
			}
		}
		id = newID()
		got := s.ask(selectQuery(id, "page", "page", time.Second, ""), time.Second)
		r.log("client: read %s: %v", id, got)
		pages[id] = got.err == nil && got.code == ""
		time.Sleep(20 * time.Millisecond)
	}
	served := 0
	for i, m := range members {
		for _, q := range m.received() {
			if pages[q.id] {
				if served++; i > 0 { // all replicas lag by more than the bound and the slack; the first member is the primary
					r.breaks("bound: read %s was answered by %s, from data %v old; %v are allowed", q.id, m.uid, c.lag, bound)
				}
			}
		}
	}
	if own < rounds/3 || served < rounds/3 {
		return fmt.Errorf("of %d reads each only %d and %d were served", rounds, own, served)
	}
	return nil
}

// lastCommit returns the time of the newest commit, on the wall clock of the members' machines.
func (c *cluster) lastCommit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits[len(c.commits)-1].stamp
}
