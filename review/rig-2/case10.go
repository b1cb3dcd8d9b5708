package main

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = cold }

// Figures of a member in the case cold.
const (
	coldFrom     = 0.19                    // share of its capacity with which a member starts
	rampTime     = 12 * time.Second        // after which it is warm
	tipMultiple  = 3.0                     // what a cold member bears, as a multiple of its present capacity
	fallWindow   = time.Second             // for which it bears that
	capacity     = 100.0                   // requests per second of a warm member
	goneAfter    = 700 * time.Millisecond  // after which the replaced member, which drains, is gone
	clockBehind  = -time.Hour              // step of the wall clock
	requestEvery = 2100 * time.Microsecond // 476 per second: 1.19 times the capacity of four warm members
)

// cold has clients read from a group of which one replica is replaced by a new one, which starts cold. With trouble, the wall
// clock of the members' machines is stepped back by an hour before.
func cold(r *run) error {
	a, err := r.newAgent()
	if err != nil {
		return err
	}
	c, members, err := r.newCluster(a, 4)
	if err != nil {
		return err
	}
	c.work = 40 * time.Millisecond
	d, err := r.startDriver(a, settings("router", "loose", coldFrom))
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	load, err := startLoad(r, d, 120)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		c.stepClock(clockBehind)
	}
	time.Sleep(2 * time.Second)
	old := members[1]
	m, err := c.newMember("s-0009")
	if err != nil {
		return err
	}
	c.mu.Lock()
	m.boot = c.wall(m.started).Milliseconds()
	c.mu.Unlock()
	old.mu.Lock()
	old.draining = true
	old.mu.Unlock()
	a.put(old.entry("draining"))
	rev := a.put(m.entry("ready"))
	time.AfterFunc(goneAfter, func() {
		a.put(old.entry("gone"))
		old.die()
	})
	time.Sleep(14 * time.Second)
	load.stop()
	told := a.toldAt(rev)
	if told.IsZero() {
		return errors.New("the driver was not told of the start")
	}
	r.log("told of the start of %s at %v; %d reads served, %d not", m.uid, r.since(told), load.served.Load(), load.other.Load())
	requests := m.received()
	peak, first := 0.0, 0
	for last := range requests {
		for requests[last].at.Sub(requests[first].at) > fallWindow {
			first++
		}
		if requests[first].at.Before(told) {
			continue
		}
		age := requests[last].at.Sub(m.started)
		share := min(1, coldFrom+(1-coldFrom)*float64(age)/float64(rampTime)) // at the end of the window, when it is highest
		if share == 1 {
			break
		}
		n := tipMultiple * share * capacity * fallWindow.Seconds()
		budget := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			budget = n + 3*math.Sqrt(n) + 3
		}
		count := float64(last - first + 1)
		peak = max(peak, count/budget)
		if count > budget && len(r.broken) == 0 { // it falls and stays down
			r.breaks("%s got %.0f requests in %v, %v after its start; %.0f are allowed", m.uid, count, fallWindow, age.Round(time.Millisecond), budget)
		}
	}
	r.log("peak: %.2f of the budget, %d requests", peak, len(requests))
	if load.served.Load() < 1000 {
		return errors.New("fewer than 1000 reads were served")
	}
	return nil
}

// load is an open loop of reads from clients that keep their connections.
type load struct {
	served, other atomic.Int64
	done          chan struct{}
	wait          sync.WaitGroup
}

func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}

// startLoad starts a number of clients, of which the first that is free sends each read.
func startLoad(r *run, d *driver, clients int) (*load, error) {
	l := &load{done: make(chan struct{})}
	turns := make(chan struct{}, clients)
	for range clients {
		s, err := dial(d.address)
		if err != nil {
			return nil, err
		}
		l.wait.Go(func() {
			defer s.close()
			for {
				select {
				case <-l.done:
					return
				case <-turns:
				}
				id := newID()
				got := s.ask(selectQuery(id, fmt.Sprintf("k%s", id[8:]), "page", time.Second, ""), time.Second)
				if got.err == nil && got.code == "" {
					l.served.Add(1)
				} else {
					l.other.Add(1)
					r.log("client: read %s: %v", id, got)
				}
				if got.err != nil {
					s.close()
					if s, err = dial(d.address); err != nil {
						return
					}
				}
			}
		})
	}
	l.wait.Go(func() {
		tick := time.NewTicker(requestEvery)
		defer tick.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-tick.C:
				select {
				case turns <- struct{}{}:
				default:
				}
			}
		}
	})
	return l, nil
}
