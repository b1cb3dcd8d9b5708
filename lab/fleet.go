// Package lab plays whole days on loopback: drivers, stand-in db nodes and clients in one process, with
// faults injected by a seed, judged by the traffic seen at the stand-ins and the clients alone.
package lab

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"umberladder/balance"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/server"
	"umberladder/settings"
	"umberladder/standin"
)

// Spec says what a fleet is made of.
type Spec struct {
	Slices  int
	Members int // nodes of a slice, the primary among them
	Drivers int
	Site    Site      // UsersSite if it has no class
	Layout  [][]Place // the nodes of each slice, the primary first; in place of Slices and Members
	Halls   []string  // nodes and drivers are spread over them in turn; the users' two if empty
	Dir     string    // if set, drivers follow an inventory file in it in place of being told
	Node    standin.Config
	Extra   string // further lines of the drivers' settings
	Log     *zap.Logger
	Seed    uint64
}

// Place is a node of a layout.
type Place struct{ Name, Hall string }

// places is the layout, made up where none is given.
func (s *Spec) places() [][]Place {
	if len(s.Layout) > 0 {
		return s.Layout
	}
	all := make([][]Place, s.Slices)
	for i := range all {
		for m := range s.Members {
			all[i] = append(all[i], Place{fmt.Sprintf("db%d-%d", i, m), s.Halls[m%len(s.Halls)]})
		}
	}
	return all
}

// Driver is one driver of a fleet. It keeps its name over restarts.
type Driver struct {
	Name string
	Hall string

	mu      sync.Mutex
	server  *server.Server
	client  *grpc.ClientConn
	done    chan error
	stop    context.CancelFunc
	started time.Time
	ended   []span // its lives that are over
}

// span is a life of a driver.
type span struct{ from, to time.Time }

// Notice is a change of the list as a driver was told it.
type Notice struct {
	Driver string
	Node   string
	Life   balance.Life
	At     time.Time
}

// Fleet is what runs.
type Fleet struct {
	Spec    Spec
	Trace   *standin.Trace
	Groups  []*standin.Group
	Drivers []*Driver

	mu      sync.Mutex
	nodes   []settings.Node
	notices []Notice
	starts  uint64
	file    *nodeFile // nil unless Spec.Dir is set
}

// NewFleet starts stand-ins and drivers. Close ends them.
func NewFleet(spec Spec) (*Fleet, error) {
	if spec.Log == nil {
		spec.Log = zap.NewNop()
	}
	if len(spec.Site.Classes) == 0 {
		spec.Site = UsersSite()
	}
	if len(spec.Halls) == 0 {
		spec.Halls = []string{"reykjavik-a", "hafnarfjordur-b"}
	}
	f := &Fleet{Spec: spec, Trace: standin.NewTrace()}
	for i, places := range spec.places() {
		g := standin.NewGroup(fmt.Sprintf("slice%d", i), spec.Site.Window(), f.Trace)
		f.Groups = append(f.Groups, g)
		for _, p := range places {
			n, err := g.AddNode(p.Name, p.Hall, spec.Node)
			if err != nil {
				f.Close()
				return nil, err
			}
			f.nodes = append(f.nodes, settings.Node{Name: n.Name, Address: n.Addr(), Slice: g.Name, Hall: n.Hall})
		}
	}
	if spec.Dir != "" {
		f.file = newNodeFile(spec.Dir, spec.Seed)
		f.file.there = func(nodes []settings.Node) { f.toldAll(nodes, true) }
		f.file.stood = func(nodes []settings.Node) { f.toldAll(nodes, false) }
		f.file.write(f.nodes)
	}
	for d := range spec.Drivers {
		drv := &Driver{Name: fmt.Sprintf("driver%d", d), Hall: spec.Halls[d%len(spec.Halls)]}
		f.Drivers = append(f.Drivers, drv)
		if err := f.Start(drv); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Settings is what a driver of the fleet is told.
func (f *Fleet) Settings(d *Driver) (*settings.Settings, error) {
	text := f.Spec.Site.Settings() + "hall " + strings.Join(f.Spec.Halls, " ") + "\nhere " + d.Hall + "\n" +
		fmt.Sprintf("listen grpc 127.0.0.1:0\nrouters %d\npool user %s\ncold ramp %s\ncold from %g%%\n", f.Spec.Drivers, d.Name,
			f.Spec.Node.Ramp, 100*f.Spec.Node.ColdFrom) + f.Spec.Extra
	if f.file != nil {
		text += f.file.settings(d.Name)
	}
	s, err := settings.Parse("lab", text)
	if err != nil || f.file != nil {
		return s, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Nodes = append([]settings.Node(nil), f.nodes...)
	return s, nil
}

// Start starts a driver that does not run. It knows the list as it is, and nothing else.
func (f *Fleet) Start(d *Driver) error {
	s, err := f.Settings(d)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.starts++
	seed := f.Spec.Seed*1000 + f.starts
	f.mu.Unlock()
	srv, err := server.New(s, f.Spec.Log.Named(d.Name), seed)
	if err != nil {
		return err
	}
	client, err := grpc.NewClient("passthrough:///"+srv.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	d.mu.Lock()
	d.server, d.client, d.stop, d.done, d.started = srv, client, stop, done, time.Now()
	d.mu.Unlock()
	f.mu.Lock()
	nodes := append([]settings.Node(nil), f.nodes...)
	f.mu.Unlock()
	if f.file == nil {
		f.told(d.Name, nodes)
	}
	go func() { done <- srv.Run(ctx) }()
	return nil
}

// told notes what a driver was told of the nodes.
func (f *Fleet) told(driver string, nodes []settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, n := range nodes {
		f.notices = append(f.notices, Notice{Driver: driver, Node: n.Name, Life: n.Life, At: now})
	}
}

// toldAll notes what all drivers were told by a file: that a node is ready as soon as they can know it, that it
// drains or is gone once they must.
func (f *Fleet) toldAll(nodes []settings.Node, ready bool) {
	var some []settings.Node
	for _, n := range nodes {
		if (n.Life == balance.LifeReady) == ready {
			some = append(some, n)
		}
	}
	for _, d := range f.Drivers {
		if ready || d.standsSince(noticeFile) {
			f.told(d.Name, some)
		}
	}
}

// Notices is all that drivers were told.
func (f *Fleet) Notices() []Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Notice(nil), f.notices...)
}

// List changes the list and tells every driver that runs.
func (f *Fleet) List(change func(n *settings.Node)) {
	f.mu.Lock()
	for i := range f.nodes {
		change(&f.nodes[i])
	}
	nodes := append([]settings.Node(nil), f.nodes...)
	f.mu.Unlock()
	if f.file != nil {
		f.file.write(nodes)
		return
	}
	for _, d := range f.Drivers {
		if srv := d.running(); srv != nil {
			srv.SetNodes(nodes)
			f.told(d.Name, nodes)
		}
	}
}

func (d *Driver) running() *server.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// Client is a client of the driver, nil while it does not run.
func (d *Driver) Client() pb.DriverClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client == nil {
		return nil
	}
	return pb.NewDriverClient(d.client)
}

// Kill ends a driver as if its process had died, Stop as by SIGTERM. Both return when it is gone.
func (d *Driver) Kill() error { return d.end(true) }

// Stop ends a driver as by SIGTERM.
func (d *Driver) Stop() error { return d.end(false) }

func (d *Driver) end(kill bool) error {
	d.mu.Lock()
	srv, client, stop, done := d.server, d.client, d.stop, d.done
	if srv == nil {
		d.mu.Unlock()
		return nil
	}
	d.server, d.client = nil, nil
	d.ended = append(d.ended, span{d.started, time.Now()})
	d.mu.Unlock()
	if kill {
		srv.Kill()
	}
	stop()
	err := <-done
	client.Close()
	return err
}

// standsSince tells whether the driver has run for so long.
func (d *Driver) standsSince(t time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server != nil && time.Since(d.started) >= t
}

// aliveDuring tells whether one life of the driver covers a time.
func (d *Driver) aliveDuring(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil && !from.Before(d.started) {
		return true
	}
	for _, s := range d.ended {
		if !from.Before(s.from) && !to.After(s.to) {
			return true
		}
	}
	return false
}

// Close ends drivers and stand-ins, and tells what went wrong on the way.
func (f *Fleet) Close() error {
	var problems []string
	for _, d := range f.Drivers {
		if err := d.Stop(); err != nil {
			problems = append(problems, d.Name+": "+err.Error())
		}
	}
	for _, g := range f.Groups {
		g.Close()
	}
	if len(problems) > 0 {
		return fmt.Errorf("%s", strings.Join(problems, "; "))
	}
	return nil
}

// Add lists a further node and tells every driver that runs. The node is whatever listens at its address.
func (f *Fleet) Add(n settings.Node) {
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.List(func(*settings.Node) {})
}

// Addr is where the driver serves clients; it differs from life to life.
func (d *Driver) Addr() string { return d.running().Addr() }

// named is the driver of a name, nil if there is none.
func (f *Fleet) named(name string) *Driver {
	for _, d := range f.Drivers {
		if d.Name == name {
			return d
		}
	}
	return nil
}

// NodeOf is a stand-in as the list has it.
func NodeOf(n *standin.Node) settings.Node {
	return settings.Node{Name: n.Name, Address: n.Addr(), Slice: n.Group().Name, Hall: n.Hall}
}
