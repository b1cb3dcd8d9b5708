package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// group is the number of the members' group.
const group = 3

// entry is a member in discovery's form.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

type list struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// agent is the discovery agent on the driver's machine.
type agent struct {
	run      *run
	listener net.Listener

	mu      sync.Mutex
	rev     int
	entries []entry
	changes []list
	changed chan struct{} // closed at the next change
	silent  bool          // discovery is down: nothing is sent
	delay   time.Duration // before the first byte of an answer
	told    map[int]time.Time
}

func (r *run) newAgent() (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{run: r, listener: l, rev: 40, changed: make(chan struct{}), told: map[int]time.Time{}}
	go http.Serve(l, http.HandlerFunc(a.serve))
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// set changes the agent under its lock and wakes the watches.
func (a *agent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

// put adds or replaces an entry and returns the version of the change.
func (a *agent) put(e entry) (rev int) {
	a.set(func() {
		a.rev++
		rev = a.rev
		kept := a.entries[:0:0]
		for _, old := range a.entries {
			if old.UID != e.UID {
				kept = append(kept, old)
			}
		}
		a.entries = append(kept, e)
		a.changes = append(a.changes, list{Rev: a.rev, Targets: []entry{e}})
	})
	a.run.log("discovery: version %d, %s is %s, boot_ms %d", rev, e.UID, e.State, e.Boot)
	return rev
}

// full returns the whole list.
func (a *agent) full() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullLocked()
}

func (a *agent) fullLocked() []byte {
	b, err := json.Marshal(list{Rev: a.rev, All: true, Targets: append([]entry{}, a.entries...)})
	if err != nil {
		panic(err) // a list can always be encoded
	}
	return b
}

// toldAt returns when a version was first written to the driver; zero if it was not.
func (a *agent) toldAt(rev int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.told[rev]
}

// markTold records that all versions up to rev were written. mu is held.
func (a *agent) markTold(rev int) {
	for v := rev; v > 0 && a.told[v].IsZero(); v-- {
		a.told[v] = time.Now()
	}
}

// next returns what a watch that has been sent the list up to a version is to be sent.
func (a *agent) next(sent int) (b []byte, rev int, silent bool, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		return nil, sent, true, a.changed
	}
	if sent == 0 {
		b = append(a.fullLocked(), '\n')
	} else {
		for _, c := range a.changes {
			if c.Rev > sent {
				line, err := json.Marshal(c)
				if err != nil {
					panic(err) // as above
				}
				b = append(append(b, line...), '\n')
			}
		}
	}
	return b, a.rev, false, a.changed
}

func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	sent, _ := strconv.Atoi(req.URL.Query().Get("after"))
	flusher, ok := w.(http.Flusher)
	if !ok {
		return
	}
	a.run.log("discovery: watch opened after version %d", sent)
	defer a.run.log("discovery: watch ended")
	for first := true; ; {
		a.mu.Lock()
		delay := a.delay
		a.mu.Unlock()
		b, rev, silent, changed := a.next(sent)
		if !silent && first {
			if delay > 0 {
				select {
				case <-time.After(delay):
				case <-req.Context().Done():
					return
				}
				b, rev, silent, changed = a.next(sent)
			}
			if !silent {
				first = false
				if len(b) == 0 {
					b = []byte("\n")
				}
			}
		}
		if len(b) > 0 && !silent {
			if _, err := w.Write(b); err != nil {
				return
			}
			flusher.Flush()
			a.mu.Lock()
			a.markTold(rev)
			a.mu.Unlock()
			sent = rev
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if !silent && !first {
				w.Write([]byte("\n"))
				flusher.Flush()
			}
		case <-req.Context().Done():
			return
		}
	}
}
