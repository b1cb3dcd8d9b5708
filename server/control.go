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

// control serves what operators ask and say on a socket that only its owner may use.
func (s *Server) control(ctx context.Context, all *errgroup.Group) (stop func(), err error) {
	path := s.settings.Control
	if path == "" {
		return func() {}, nil
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return func() {}, errors.New(path + " is in use by another driver")
	}
	os.Remove(path) // left by one that was killed
	l, err := net.Listen("unix", path)
	if err != nil {
		return func() {}, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return func() {}, err
	}
	mux := http.NewServeMux()
	if s.follow != nil {
		s.follow.routes(ctx, mux)
	}
	s.topologyRoutes(mux)
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	all.Go(func() error {
		if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() { web.Close() }, nil
}

// Topology is what the control socket tells of slices.
type Topology struct {
	Slices []TopologySlice `json:"slices"`
}

// TopologySlice is a slice: its present term and by what evidence, what each node told last, and the changes.
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

// TopologyNode is what a node told last. Ages are in seconds.
type TopologyNode struct {
	Name     string  `json:"name"`
	Standing string  `json:"standing"`
	Said     string  `json:"said"`
	Timeline uint32  `json:"timeline"`
	LSN      uint64  `json:"lsn"`
	Upstream string  `json:"follows,omitempty"`
	By       string  `json:"by"`
	Age      float64 `json:"age"`
	Fenced   bool    `json:"fenced,omitempty"`
}

// TopologyRecord is a change, with the claim that brought it.
type TopologyRecord struct {
	Number   uint64    `json:"number"`
	At       time.Time `json:"at"`
	What     string    `json:"what"`
	Node     string    `json:"node,omitempty"`
	Said     string    `json:"said,omitempty"`
	By       string    `json:"by,omitempty"`
	Timeline uint32    `json:"timeline,omitempty"`
	LSN      uint64    `json:"lsn,omitempty"`
}

func (s *Server) topologyRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /topology", func(w http.ResponseWriter, r *http.Request) { s.tellTopology(w, r) })
	act := func(do func(e *driver.Engine, name string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			// The order and the view of what it left behind are one look: nodes answer between two.
			var err error
			var views []driver.SliceView
			gone := s.loop.look(r.Context(), func(e *driver.Engine) {
				if err = do(e, r.PathValue("name")); err == nil {
					views = e.Ledgers()
				}
			})
			switch {
			case gone != nil:
				http.Error(w, "the driver is stopping", http.StatusServiceUnavailable)
			case err != nil:
				http.Error(w, err.Error(), http.StatusNotFound)
			default:
				s.writeTopology(w, views)
			}
		}
	}
	mux.HandleFunc("POST /topology/fence/{name}", act(func(e *driver.Engine, name string) error { return e.Fence(name, true) }))
	mux.HandleFunc("POST /topology/unfence/{name}", act(func(e *driver.Engine, name string) error { return e.Fence(name, false) }))
	mux.HandleFunc("POST /topology/forget/{name}", act(func(e *driver.Engine, name string) error { return e.Forget(name) }))
}

func (s *Server) tellTopology(w http.ResponseWriter, r *http.Request) {
	var views []driver.SliceView
	if err := s.loop.look(r.Context(), func(e *driver.Engine) { views = e.Ledgers() }); err != nil {
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
	t := TopologySlice{Name: v.Name, Term: v.Verdict.Term, Primary: v.Verdict.Primary, Why: v.Verdict.Why, Rivals: v.Verdict.Rivals, System: v.Verdict.System, Nodes: []TopologyNode{}}
	for _, n := range v.Nodes {
		t.Nodes = append(t.Nodes, TopologyNode{n.Node, n.Standing.String(), n.Claim.Role.String(), n.Claim.Timeline, n.Claim.LSN, n.Claim.Upstream, n.Claim.Channel.String(),
			(now - n.Claim.Heard).Seconds(), n.Fenced})
	}
	for _, h := range v.History {
		rec := TopologyRecord{Number: h.Number, At: time.Now().Add(h.At - now), What: h.What, Node: h.Claim.Node, Timeline: h.Claim.Timeline, LSN: h.Claim.LSN}
		if h.Claim.Timeline > 0 {
			rec.Said, rec.By = h.Claim.Role.String(), h.Claim.Channel.String()
		}
		t.History = append(t.History, rec)
	}
	return t
}
