package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["8"] = gone }

// gone has a client send hundreds of writes at once, and close its connection 0.3 s later. With trouble, the primary
// has died 1 s before, and a replica takes over 2.6 s after that death.
func gone(r *run) error {
	const (
		writes   = 900
		mayStart = 100 * time.Millisecond // after the close
		slack    = 50 * time.Millisecond
		takeOver = 2600 * time.Millisecond
	)
	a, err := r.newAgent()
	if err != nil {
		return err
	}
	c, members, err := r.newCluster(a, 2)
	if err != nil {
		return err
	}
	d, err := r.startDriver(a, settings("router", "loose", 0.2))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s, err := dial(d.address)
	if err != nil {
		return err
	}
	if r.trouble {
		c.promote(nil)
		members[0].die()
		time.AfterFunc(takeOver, func() { c.promote(members[1]) })
	}
	time.Sleep(time.Second)
	sent := map[string]bool{}
	var all []byte
	for n := range writes {
		id := newID()
		sent[id] = true
		all = append(all, queryMessage(insertQuery(id, fmt.Sprintf("k%d", n), "write", strings.Repeat("v", 20), 5*time.Second, ""))...)
	}
	r.log("client: sends %d writes, %d bytes", writes, len(all))
	go s.Write(all)
	answers := make(chan int)
	go func() {
		n := 0
		for s.read().err == nil {
			n++
		}
		answers <- n
	}()
	time.Sleep(300 * time.Millisecond)
	s.close()
	closed := time.Now()
	r.log("client: has closed its connection after %d answers", <-answers)
	time.Sleep(5 * time.Second)
	ran := 0
	for _, m := range members {
		for _, q := range m.received() {
			if !sent[q.id] {
				return errors.New("a request that no client sent reached " + m.uid)
			}
			if ran++; q.at.Sub(closed) > mayStart+slack {
				r.breaks("write %s reached %s %v after its client had closed", q.id, m.uid, q.at.Sub(closed))
			}
		}
	}
	if !r.trouble && ran == 0 {
		return errors.New("no write ran")
	}
	return nil
}
