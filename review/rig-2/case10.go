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
	downTime     = 600 * time.Millisecond  // of a restart
	clockBehind  = -time.Hour              // step of the wall clock
	requestEvery = 2100 * time.Microsecond // 476 per second: 1.19 times the capacity of four warm members
)

// cold has clients read from a group of which one replica is restarted. With trouble, the wall clock of the members' machines
// is stepped back by an hour before.
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
	m := members[1]
	m.die()
	time.Sleep(downTime)
	back, err := c.restart(m)
	if err != nil {
		return err
	}
	rev := a.put(back.entry("ready"))
	time.Sleep(14 * time.Second)
	load.stop()
	told := a.toldAt(rev)
	if told.IsZero() {
		return errors.New("the driver was not told of the start")
	}
	r.log("told of the start of %s at %v; %d reads served, %d not", m.uid, r.since(told), load.served.Load(), load.other.Load())
	requests := back.received()
	peak, first := 0.0, 0
	for last := range requests {
		for requests[last].at.Sub(requests[first].at) > fallWindow {
			first++
		}
		if requests[first].at.Before(told) {
			continue
		}
		age := requests[last].at.Sub(back.started)
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

// restart starts a member that died again, cold, at its address.
func (c *cluster) restart(m *member) (*member, error) {
	back, err := c.listenAt(m.uid, m.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	back.boot = c.wall(back.started).Milliseconds()
	c.mu.Unlock()
	c.run.log("%s is back, cold", m.uid)
	return back, nil
}
