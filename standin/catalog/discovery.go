package catalog

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is a member's state in the list.
type State string

// The states.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateGone     State = "gone" // only among changes
)

// entry is a member as the list has it.
type entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    State  `json:"state"`
	Boot     int64  `json:"boot_ms"` // Unix time in milliseconds, 0 for long ago
}

// list is one object of discovery.
type list struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// Group is the cluster that all members of an agent's list are of.
const Group = 3

// firstVersion is the version of an agent's list before anything is in it.
const firstVersion = 1

// aliveEvery is how often a watch says that nothing has changed.
const aliveEvery = 2 * time.Second

// Agent tells the list of members, as a whole or as a watch. All methods may be called from any goroutine.
type Agent struct {
	server *http.Server
	l      net.Listener
	ended  chan struct{}

	mu      sync.Mutex
	rev     int
	entries map[string]entry
	changes []list
	changed chan struct{} // closed at the next change, or when silence ends
	silent  bool
	over    chan struct{}
}

// NewAgent starts an agent on a free port of the loopback address, with a list of ready members.
func NewAgent(members ...*Member) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{l: l, ended: make(chan struct{}), over: make(chan struct{}), rev: firstVersion, entries: map[string]entry{}, changed: make(chan struct{})}
	for _, m := range members {
		a.Set(m, StateReady, time.Time{})
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() {
		defer close(a.ended)
		a.server.Serve(l)
	}()
	return a, nil
}

// Address is where the agent listens, host:port.
func (a *Agent) Address() string { return a.l.Addr().String() }

// Close ends the agent and its watches.
func (a *Agent) Close() {
	close(a.over)
	a.server.Close()
	<-a.ended
}

// Set changes a member's entry, or adds it. boot is when it last started, zero for long ago.
func (a *Agent) Set(m *Member, state State, boot time.Time) {
	e := entry{UID: m.UID, Endpoint: m.Address(), Zone: "a", Group: Group, State: state}
	if !boot.IsZero() {
		e.Boot = boot.UnixMilli()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	if state == StateGone {
		delete(a.entries, m.UID)
	} else {
		a.entries[m.UID] = e
	}
	a.changes = append(a.changes, list{Rev: a.rev, Targets: []entry{e}})
	a.wake()
}

// SetVersion gives the list a version, as an agent has one that was told of more changes.
func (a *Agent) SetVersion(rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = rev
}

// Silence makes the agent say nothing, on open watches and new ones, until told otherwise.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.wake()
}

// wake has all watches look. The lock is held.
func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Known is the list as the agent has it, in discovery's form.
func (a *Agent) Known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	raw, err := json.Marshal(a.whole())
	if err != nil {
		panic(err) // it has nothing that can't be written
	}
	return raw
}

// whole is the list. The lock is held.
func (a *Agent) whole() list {
	out := list{Rev: a.rev, All: true, Targets: []entry{}}
	for _, e := range a.entries {
		out.Targets = append(out.Targets, e)
	}
	slices.SortFunc(out.Targets, func(a, b entry) int { return strings.Compare(a.UID, b.UID) })
	return out
}

// due is what a watch that has told up to a version is to tell next, and what tells of the next change.
func (a *Agent) due(told int) (objects []list, silent bool, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.silent:
		return nil, true, a.changed
	case told == 0:
		return []list{a.whole()}, false, a.changed
	}
	for _, c := range a.changes {
		if c.Rev > told {
			objects = append(objects, c)
		}
	}
	return objects, false, a.changed
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	for told := 0; ; {
		objects, silent, changed := a.due(told)
		for _, o := range objects {
			if encoder.Encode(o) != nil {
				return
			}
			told = o.Rev
		}
		if told > 0 && r.URL.Query().Get("watch") == "" {
			return
		}
		if flusher, ok := w.(http.Flusher); ok && len(objects) > 0 {
			flusher.Flush()
		}
		alive := time.NewTimer(aliveEvery)
		select {
		case <-changed:
		case <-alive.C:
			if !silent {
				w.Write([]byte("\n"))
				w.(http.Flusher).Flush()
			}
		case <-r.Context().Done():
			alive.Stop()
			return
		case <-a.over:
			alive.Stop()
			return
		}
		alive.Stop()
	}
}
