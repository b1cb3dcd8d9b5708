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

// State is a member's state in the agent's list.
type State string

// The states of members.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateRemoved  State = "gone" // only in changes, not in the full list
)

// entry is a member in discovery's format.
type entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    State  `json:"state"`
	Boot     int64  `json:"boot_ms"` // last start, Unix time in milliseconds; 0 for a warm member
}

// listObject is one object of discovery: the full list or one change.
type listObject struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// PodGroup is the cluster number of all members of an agent's list.
const PodGroup = 3

// initialRev is the version of an empty list.
const initialRev = 1

// keepAliveInterval is the time without changes after which a watch sends an empty line.
const keepAliveInterval = 2 * time.Second

// Agent simulates the discovery agent: it serves the list of members over HTTP, once or as a watch that also sends
// changes. All methods may be called from any goroutine.
type Agent struct {
	server    *http.Server
	listener  net.Listener
	serveDone chan struct{}

	mu      sync.Mutex
	rev     int
	entries map[string]entry
	changes []listObject
	changed chan struct{} // closed at the next change, or when Silence is called
	silent  bool
	closing chan struct{}
}

// NewAgent starts an agent on a free loopback port, with a list in which the given members are ready. An error means that
// it could not listen.
func NewAgent(members ...*Member) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{listener: l, serveDone: make(chan struct{}), closing: make(chan struct{}), rev: initialRev, entries: map[string]entry{}, changed: make(chan struct{})}
	for _, m := range members {
		a.Set(m, StateReady, time.Time{})
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() {
		defer close(a.serveDone)
		a.server.Serve(l)
	}()
	return a, nil
}

// Address returns the agent's listen address, host:port.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends the agent and its watches, and returns when the server has stopped. It must be called only once.
func (a *Agent) Close() {
	close(a.closing)
	a.server.Close()
	<-a.serveDone
}

// Set adds a member's entry or replaces it, or removes it for StateRemoved, and notifies watches. boot is the member's
// last start; zero for a warm member.
func (a *Agent) Set(m *Member, state State, boot time.Time) {
	e := entry{UID: m.UID, Endpoint: m.Address(), Zone: "a", Group: PodGroup, State: state}
	if !boot.IsZero() {
		e.Boot = boot.UnixMilli()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	if state == StateRemoved {
		delete(a.entries, m.UID)
	} else {
		a.entries[m.UID] = e
	}
	a.changes = append(a.changes, listObject{Rev: a.rev, Targets: []entry{e}})
	a.notifyWatches()
}

// SetRev sets the list's version, to simulate an agent that has seen more or fewer changes.
func (a *Agent) SetRev(rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = rev
}

// Silence makes the agent, while on, send nothing on open and new watches, not even keep-alives.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.notifyWatches()
}

// notifyWatches makes all watches check for changes. The caller holds the lock.
func (a *Agent) notifyWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Known returns the agent's full list in discovery's format.
func (a *Agent) Known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	raw, err := json.Marshal(a.fullList())
	if err != nil {
		panic(err) // the list holds only encodable values
	}
	return raw
}

// fullList returns the list sorted by UID. The caller holds the lock.
func (a *Agent) fullList() listObject {
	out := listObject{Rev: a.rev, All: true, Targets: []entry{}}
	for _, e := range a.entries {
		out.Targets = append(out.Targets, e)
	}
	slices.SortFunc(out.Targets, func(a, b entry) int { return strings.Compare(a.UID, b.UID) })
	return out
}

// pending returns the objects that a watch which has sent the list up to version sentRev, or nothing for 0, has to send
// next, whether the agent is silent, and a channel that is closed at the next change.
func (a *Agent) pending(sentRev int) (objects []listObject, silent bool, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.silent:
		return nil, true, a.changed
	case sentRev == 0:
		return []listObject{a.fullList()}, false, a.changed
	}
	for _, c := range a.changes {
		if c.Rev > sentRev {
			objects = append(objects, c)
		}
	}
	return objects, false, a.changed
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	for sentRev := 0; ; {
		objects, silent, changed := a.pending(sentRev)
		for _, o := range objects {
			if encoder.Encode(o) != nil {
				return
			}
			sentRev = o.Rev
		}
		if sentRev > 0 && r.URL.Query().Get("watch") == "" {
			return
		}
		if flusher, ok := w.(http.Flusher); ok && len(objects) > 0 {
			flusher.Flush()
		}
		alive := time.NewTimer(keepAliveInterval)
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
		case <-a.closing:
			alive.Stop()
			return
		}
		alive.Stop()
	}
}
