// Package lab takes a fleet description and a seed, or a day file or a simulated world, and plays failures against
// real drivers and stand-in database nodes in one process, over loopback. It returns a Report or a world.Result
// that judges five rules by what reached the nodes and the clients. The lab and experiment commands of
// cmd/umberladder call it, lab/memory and the tests of package server start its fleets, and lab/soak uses its
// rules.
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

// Spec describes a fleet.
type Spec struct {
	Slices        int
	Members       int // nodes of a slice, including the primary
	Drivers       int
	Site          Site      // NewsroomSite if it has no class
	Layout        [][]Place // the nodes of each slice, the primary first; replaces Slices and Members
	Zones         []string  // assigned to nodes and drivers in turn; the newsroom's two zones if empty
	Dir           string    // if set, drivers follow an inventory file in this directory instead of SetNodes
	Node          standin.Config
	ExtraSettings string // further lines of the drivers' settings
	Log           *zap.Logger
	Seed          uint64
}

// Place is the name and zone of one node.
type Place struct{ Name, Zone string }

// places returns the layout, or one with generated names if there is none.
func (s *Spec) places() [][]Place {
	if len(s.Layout) > 0 {
		return s.Layout
	}
	all := make([][]Place, s.Slices)
	for i := range all {
		for m := range s.Members {
			all[i] = append(all[i], Place{fmt.Sprintf("db%d-%d", i, m), s.Zones[m%len(s.Zones)]})
		}
	}
	return all
}

// Driver is one driver of a fleet. It keeps its name over restarts.
type Driver struct {
	Name string
	Zone string

	mu            sync.Mutex
	server        *server.Server
	client        *grpc.ClientConn
	done          chan error
	stop          context.CancelFunc
	started       time.Time
	pastLifetimes []lifetime // before the last Start
}

// lifetime is the time from one start of a driver to its end.
type lifetime struct{ from, to time.Time }

// Notice records that a driver was notified of a node's state.
type Notice struct {
	Driver string
	Node   string
	Life   balance.Life
	At     time.Time
}

// Fleet is a set of running drivers and stand-in nodes.
type Fleet struct {
	Spec    Spec
	Trace   *standin.Trace
	Groups  []*standin.Group
	Drivers []*Driver

	mu         sync.Mutex
	nodes      []settings.Node
	notices    []Notice
	startCount uint64
	file       *nodeFile // nil unless Spec.Dir is set
}

// NewFleet starts stand-ins and drivers, which Close ends. It returns an error if a node can't listen or a driver
// doesn't start; those already started are then ended.
func NewFleet(spec Spec) (*Fleet, error) {
	if spec.Log == nil {
		spec.Log = zap.NewNop()
	}
	if len(spec.Site.Classes) == 0 {
		spec.Site = NewsroomSite()
	}
	if len(spec.Zones) == 0 {
		spec.Zones = []string{"reykjavik-a", "hafnarfjordur-b"}
	}
	f := &Fleet{Spec: spec, Trace: standin.NewTrace()}
	for i, places := range spec.places() {
		g := standin.NewGroup(fmt.Sprintf("slice%d", i), spec.Site.Window(), f.Trace)
		f.Groups = append(f.Groups, g)
		for _, p := range places {
			n, err := g.AddNode(p.Name, p.Zone, spec.Node)
			if err != nil {
				f.Close()
				return nil, err
			}
			f.nodes = append(f.nodes, settings.Node{Name: n.Name, Address: n.Addr(), Slice: g.Name, Zone: n.Zone})
		}
	}
	if spec.Dir != "" {
		f.file = newNodeFile(spec.Dir, spec.Seed)
		f.file.onReadable = func(nodes []settings.Node) { f.recordFileNotices(nodes, true) }
		f.file.onNoticed = func(nodes []settings.Node) { f.recordFileNotices(nodes, false) }
		f.file.write(f.nodes)
	}
	for d := range spec.Drivers {
		drv := &Driver{Name: fmt.Sprintf("driver%d", d), Zone: spec.Zones[d%len(spec.Zones)]}
		f.Drivers = append(f.Drivers, drv)
		if err := f.Start(drv); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Settings returns the settings of one driver, with the present list of nodes or, if Spec.Dir is set, the inventory
// file. It returns an error if they are invalid.
func (f *Fleet) Settings(d *Driver) (*settings.Settings, error) {
	text := f.Spec.Site.Settings() + "hall " + strings.Join(f.Spec.Zones, " ") + "\nhere " + d.Zone + "\n" +
		fmt.Sprintf("listen grpc 127.0.0.1:0\nrouters %d\npool user %s\ncold ramp %s\ncold from %g%%\n", f.Spec.Drivers, d.Name,
			f.Spec.Node.RampTime, 100*f.Spec.Node.ColdFrom) + f.Spec.ExtraSettings
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

// Start starts a driver that does not run. The driver knows the present list of nodes and nothing of its earlier
// lifetimes. The error is that of the settings, of server.New or of grpc.NewClient.
func (f *Fleet) Start(d *Driver) error {
	s, err := f.Settings(d)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.startCount++
	seed := f.Spec.Seed*1000 + f.startCount
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
		f.recordNotices(d.Name, nodes)
	}
	go func() { done <- srv.Run(ctx) }()
	return nil
}

// recordNotices records that a driver was notified of the state of nodes.
func (f *Fleet) recordNotices(driver string, nodes []settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, n := range nodes {
		f.notices = append(f.notices, Notice{Driver: driver, Node: n.Name, Life: n.Life, At: now})
	}
}

// recordFileNotices records notices of all drivers that follow the file: of ready nodes as soon as drivers can read
// it, of others once every driver must have read it.
func (f *Fleet) recordFileNotices(nodes []settings.Node, ready bool) {
	var changed []settings.Node
	for _, n := range nodes {
		if (n.Life == balance.LifeReady) == ready {
			changed = append(changed, n)
		}
	}
	for _, d := range f.Drivers {
		if ready || d.runningFor(fileNoticeDelay) {
			f.recordNotices(d.Name, changed)
		}
	}
}

// Notices returns all notices so far.
func (f *Fleet) Notices() []Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Notice(nil), f.notices...)
}

// UpdateNodes applies change to every node of the list and notifies the running drivers.
func (f *Fleet) UpdateNodes(change func(n *settings.Node)) {
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
		if srv := d.runningServer(); srv != nil {
			srv.SetNodes(nodes)
			f.recordNotices(d.Name, nodes)
		}
	}
}

func (d *Driver) runningServer() *server.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// Client returns a gRPC client of the driver, nil while it does not run.
func (d *Driver) Client() pb.DriverClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client == nil {
		return nil
	}
	return pb.NewDriverClient(d.client)
}

// Kill ends a driver as if its process had crashed. It returns when the driver has ended, with the error of its
// Run; nil if it did not run.
func (d *Driver) Kill() error { return d.shutDown(true) }

// Stop ends a driver as SIGTERM does. It returns when the driver has ended, with the error of its Run; nil if it
// did not run.
func (d *Driver) Stop() error { return d.shutDown(false) }

func (d *Driver) shutDown(kill bool) error {
	d.mu.Lock()
	srv, client, stop, done := d.server, d.client, d.stop, d.done
	if srv == nil {
		d.mu.Unlock()
		return nil
	}
	d.server, d.client = nil, nil
	d.pastLifetimes = append(d.pastLifetimes, lifetime{d.started, time.Now()})
	d.mu.Unlock()
	if kill {
		srv.Kill()
	}
	stop()
	err := <-done
	client.Close()
	return err
}

// runningFor reports whether the driver has run for at least t.
func (d *Driver) runningFor(t time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server != nil && time.Since(d.started) >= t
}

// ranThroughout reports whether the driver ran without interruption between two times.
func (d *Driver) ranThroughout(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil && !from.Before(d.started) {
		return true
	}
	for _, s := range d.pastLifetimes {
		if !from.Before(s.from) && !to.After(s.to) {
			return true
		}
	}
	return false
}

// Close ends drivers and stand-ins. Its error joins those of the drivers' Run.
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

// AddNode lists a further node and notifies the running drivers. The node may be any process that listens at its
// address.
func (f *Fleet) AddNode(n settings.Node) {
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.UpdateNodes(func(*settings.Node) {})
}

// Addr returns the driver's gRPC address, which changes with each start. The driver must be running.
func (d *Driver) Addr() string { return d.runningServer().Addr() }

// driverNamed returns nil if there is no such driver.
func (f *Fleet) driverNamed(name string) *Driver {
	for _, d := range f.Drivers {
		if d.Name == name {
			return d
		}
	}
	return nil
}

// NodeOf returns the list entry of a stand-in.
func NodeOf(n *standin.Node) settings.Node {
	return settings.Node{Name: n.Name, Address: n.Addr(), Slice: n.Group().Name, Zone: n.Zone}
}
