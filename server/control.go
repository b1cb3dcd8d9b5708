package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/driver"
)

// control serves the operators' HTTP interface on a Unix socket that only its owner can use. The returned function
// stops it.
func (s *Server) control(ctx context.Context, tasks *errgroup.Group) (stop func(), err error) {
	path := s.settings.Control
	if path == "" {
		return func() {}, nil
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return func() {}, errors.New(path + " is in use by another driver")
	}
	os.Remove(path) // left by a driver that was killed
	l, err := net.Listen("unix", path)
	if err != nil {
		return func() {}, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return func() {}, err
	}
	mux := http.NewServeMux()
	if s.follower != nil {
		s.follower.routes(ctx, mux)
	}
	s.topologyRoutes(mux)
	httpServer := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	tasks.Go(func() error {
		if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() { httpServer.Close() }, nil
}

// Topology is the state of all slices as the control socket returns it.
type Topology struct {
	Slices []TopologySlice `json:"slices"`
}

// TopologySlice is a slice's current term with the evidence for it, the last report of each node, and the recorded
// changes.
type TopologySlice struct {
	Name    string           `json:"name"`
	Term    uint32           `json:"term"`
	Primary string           `json:"primary,omitempty"`
	Why     string           `json:"why"`
	Rivals  []string         `json:"rivals,omitempty"`
	System  uint64           `json:"system,omitempty"`
	Nodes   []TopologyNode   `json:"nodes"`
	History []TopologyRecord `json:"history,omitempty"`
}

// TopologyNode is the last report of a node. Age is in seconds.
type TopologyNode struct {
	Name     string  `json:"name"`
	Standing string  `json:"standing"`
	Role     string  `json:"said"`
	Timeline uint32  `json:"timeline"`
	LSN      uint64  `json:"lsn"`
	Upstream string  `json:"follows,omitempty"`
	Channel  string  `json:"by"`
	Age      float64 `json:"age"`
	Fenced   bool    `json:"fenced,omitempty"`
}

// TopologyRecord is a change with the report that caused it.
type TopologyRecord struct {
	Number   uint64    `json:"number"`
	At       time.Time `json:"at"`
	Change   string    `json:"what"`
	Node     string    `json:"node,omitempty"`
	Role     string    `json:"said,omitempty"`
	Channel  string    `json:"by,omitempty"`
	Timeline uint32    `json:"timeline,omitempty"`
	LSN      uint64    `json:"lsn,omitempty"`
}

func (s *Server) topologyRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /topology", func(w http.ResponseWriter, r *http.Request) { s.handleTopology(w, r) })
	command := func(apply func(e *driver.Engine, name string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			// The command and the view of its result share one engine call: between two calls nodes may report.
			var err error
			var views []driver.SliceView
			stopErr := s.loop.withEngine(r.Context(), func(e *driver.Engine) {
				if err = apply(e, r.PathValue("name")); err == nil {
					views = e.SliceViews()
				}
			})
			switch {
			case stopErr != nil:
				http.Error(w, "the driver is stopping", http.StatusServiceUnavailable)
			case err != nil:
				http.Error(w, err.Error(), http.StatusNotFound)
			default:
				s.writeTopology(w, views)
			}
		}
	}
	mux.HandleFunc("POST /topology/fence/{name}", command(func(e *driver.Engine, name string) error { return e.Fence(name, true) }))
	mux.HandleFunc("POST /topology/unfence/{name}", command(func(e *driver.Engine, name string) error { return e.Fence(name, false) }))
	mux.HandleFunc("POST /topology/forget/{name}", command(func(e *driver.Engine, name string) error { return e.Forget(name) }))
}

func (s *Server) handleTopology(w http.ResponseWriter, r *http.Request) {
	var views []driver.SliceView
	if err := s.loop.withEngine(r.Context(), func(e *driver.Engine) { views = e.SliceViews() }); err != nil {
		http.Error(w, "the driver is stopping", http.StatusServiceUnavailable)
		return
	}
	s.writeTopology(w, views)
}

func (s *Server) writeTopology(w http.ResponseWriter, views []driver.SliceView) {
	now := s.loop.now()
	t := Topology{Slices: []TopologySlice{}}
	for _, v := range views {
		t.Slices = append(t.Slices, s.topologySlice(v, now))
	}
	json.NewEncoder(w).Encode(t)
}

func (s *Server) topologySlice(v driver.SliceView, now time.Duration) TopologySlice {
	t := TopologySlice{Name: v.Name, Term: v.Verdict.Term, Primary: v.Verdict.Primary, Why: v.Verdict.Evidence, Rivals: v.Verdict.Rivals, System: v.Verdict.System, Nodes: []TopologyNode{}}
	for _, n := range v.Nodes {
		t.Nodes = append(t.Nodes, TopologyNode{n.Node, n.Status.String(), n.Claim.Role.String(), n.Claim.Timeline, n.Claim.LSN, n.Claim.Upstream, n.Claim.Channel.String(),
			(now - n.Claim.Received).Seconds(), n.Fenced})
	}
	for _, h := range v.History {
		rec := TopologyRecord{Number: h.Number, At: time.Now().Add(h.At - now), Change: h.Text, Node: h.Claim.Node, Timeline: h.Claim.Timeline, LSN: h.Claim.LSN}
		if h.Claim.Timeline > 0 {
			rec.Role, rec.Channel = h.Claim.Role.String(), h.Claim.Channel.String()
		}
		t.History = append(t.History, rec)
	}
	return t
}
