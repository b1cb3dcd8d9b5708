package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/inventory"
	"umberladder/membership"
	"umberladder/settings"
)

// lastGoodName is the name of the file in the state directory that holds the last valid inventory.
const lastGoodName = "inventory.last"

// inventoryFollower applies the inventory files to the list of nodes, by the rules of package membership. The goroutine
// in loop owns the tracker.
type inventoryFollower struct {
	settings      *settings.Settings
	log           *zap.Logger
	watcher       *inventory.Watcher
	tracker       *membership.Tracker
	start         time.Time
	digest        uint64 // of the inventory files at the start
	updates       chan inventory.Update
	resolver      *resolver
	nodeStates    func(context.Context) ([]driver.NodeState, time.Duration) // from the engine, with the engine time
	confirmations chan chan InventoryStatus

	mu     sync.Mutex
	status InventoryStatus
}

// InventoryStatus is the state of the inventory as the control socket returns it.
type InventoryStatus struct {
	Files      []string          `json:"files"`
	LoadedAt   time.Time         `json:"taken"`              // when the list in force was read
	Error      string            `json:"bad,omitempty"`      // why the files are not used, "" if they are
	ErrorSince *time.Time        `json:"badSince,omitempty"` // since when the files are not used
	Members    int               `json:"members"`            // number of nodes in force
	Held       []membership.Held `json:"held,omitempty"`     // changes that are held back
	// Shared lists nodes in force whose names resolve to one address.
	Shared []membership.Shared `json:"shared,omitempty"`
	// Unreachable lists nodes to which connections or polls fail. They stay in the list; requests are served by the
	// other nodes.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
	// Unlisted lists standbys that follow a listed node and are not in the list themselves.
	Unlisted []Unlisted `json:"unlisted,omitempty"`
}

// Unreachable is a listed node to which connections or polls fail.
type Unreachable struct {
	Node, Slice, Address string
	Since                time.Time
	Why                  string
}

// Unlisted is a standby that a listed primary, Follows, reported and that is missing from the inventory.
type Unlisted struct{ Address, Name, Follows, Slice string }

// newInventoryFollower reads the inventory that the settings name, or returns nil and the settings' nodes if they
// name none. If the inventory is invalid it uses the last valid one; without that it returns an error.
func newInventoryFollower(s *settings.Settings, log *zap.Logger, seed uint64) (*inventoryFollower, []settings.Node, error) {
	if len(s.Inventory) == 0 {
		return nil, s.Nodes, nil
	}
	f := &inventoryFollower{settings: s, log: log, tracker: membership.New(s.Members, seed), start: time.Now(),
		updates: make(chan inventory.Update, 1), confirmations: make(chan chan InventoryStatus),
		watcher: &inventory.Watcher{Paths: s.Inventory, Options: inventory.Options{Zones: zonesOf(s), MinMembers: s.MinMembers}}}
	f.status.Files = s.Inventory
	u := f.watcher.Read(context.Background())
	f.digest = u.Digest
	if u.Err != nil {
		last, err := inventory.LoadLastGood(filepath.Join(s.StateDir, lastGoodName))
		if s.StateDir == "" || err != nil {
			return nil, nil, fmt.Errorf("no inventory to start with:\n%w", errors.Join(u.Err, err))
		}
		log.Warn("inventory is invalid; starting with the last valid one",
			zap.Duration("age", time.Since(last.LoadedAt).Round(time.Second)), zap.NamedError("why", u.Err))
		f.recordInvalid(u)
		u = inventory.Update{Set: last.Set, At: last.LoadedAt}
	} else {
		f.saveLastGood(u)
	}
	f.status.LoadedAt = u.At
	f.resolver = newResolver(log)
	f.resolver.request(u.Set)
	c := f.tracker.List(f.now(), u.Set)
	f.recordChange(c)
	return f, nodesOf(c.Members), nil
}

func zonesOf(s *settings.Settings) []string {
	if len(s.Zones) == 0 {
		return nil
	}
	return s.Zones
}

func (f *inventoryFollower) now() time.Duration { return time.Since(f.start) }

// run watches the files until ctx ends, and calls set whenever the members in force change.
func (f *inventoryFollower) run(ctx context.Context, set func([]settings.Node)) error {
	var all errgroup.Group
	all.Go(func() error {
		return f.watcher.Run(ctx, f.digest, func(u inventory.Update) {
			select {
			case f.updates <- u:
			case <-ctx.Done():
			}
		})
	})
	all.Go(func() error { f.resolver.run(ctx); return nil })
	f.loop(ctx, set)
	return all.Wait()
}

func (f *inventoryFollower) loop(ctx context.Context, set func([]settings.Node)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if at, ok := f.tracker.NextTick(); ok {
			timer.Reset(max(0, at-f.now()))
		}
		var c membership.Change
		var reply chan InventoryStatus
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			c = f.tracker.Tick(f.now())
		case u := <-f.updates:
			if u.Err != nil {
				f.log.Error("inventory is invalid; keeping the last valid one: " + u.Err.Error())
				f.recordInvalid(u)
				continue
			}
			f.saveLastGood(u)
			f.recordValid(u)
			f.resolver.request(u.Set)
			c = f.tracker.List(f.now(), u.Set)
		case found := <-f.resolver.results:
			c = f.tracker.SetAddresses(f.now(), found)
		case reply = <-f.confirmations:
			c = f.tracker.Confirm(f.now())
			f.log.Info("removal of the nodes missing from the inventory is confirmed")
		}
		f.recordChange(c)
		if c.Changed {
			set(nodesOf(c.Members))
		}
		if reply != nil {
			reply <- f.currentStatus()
		}
	}
}

// saveLastGood saves a valid set for a later start with an invalid inventory.
func (f *inventoryFollower) saveLastGood(u inventory.Update) {
	if f.settings.StateDir == "" {
		return
	}
	last := inventory.LastGood{LoadedAt: u.At, Set: u.Set}
	if err := last.Save(filepath.Join(f.settings.StateDir, lastGoodName)); err != nil {
		f.log.Error(err.Error())
	}
}

func (f *inventoryFollower) recordValid(u inventory.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.LoadedAt, f.status.Error, f.status.ErrorSince = u.At, "", nil
}

func (f *inventoryFollower) recordInvalid(u inventory.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Error = u.Err.Error()
	if f.status.ErrorSince == nil {
		f.status.ErrorSince = &u.At
	}
}

func (f *inventoryFollower) recordChange(c membership.Change) {
	f.mu.Lock()
	before := len(f.status.Held)
	shared := len(f.status.Shared)
	f.status.Members, f.status.Held, f.status.Shared = len(c.Members), c.Held, c.Shared
	f.mu.Unlock()
	if len(c.Shared) > shared {
		f.log.Warn(fmt.Sprintf("names of %d nodes resolve to addresses of other nodes, as %s to that of %s: list each node once",
			len(c.Shared), c.Shared[0].Node, c.Shared[0].With))
	}
	lacked := 0
	for _, h := range c.Held {
		if h.Lacked {
			lacked++
		}
	}
	if lacked > 0 && len(c.Held) != before {
		f.log.Warn(fmt.Sprintf("%d nodes are missing from the inventory; they stay in force until their removal is confirmed: umberladder inventory apply --confirm", lacked))
	}
}

func (f *inventoryFollower) currentStatus() InventoryStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// fullStatus returns the status with the unreachable and unlisted nodes, which the engine knows.
func (f *inventoryFollower) fullStatus(ctx context.Context) InventoryStatus {
	st := f.currentStatus()
	nodes, now := f.nodeStates(ctx)
	known := map[string]bool{}
	for _, n := range nodes {
		known[n.Slice+" "+n.Name] = true
		for _, address := range f.resolver.addresses(n.Name) {
			ip, _, _ := net.SplitHostPort(address)
			known[n.Slice+" "+ip] = true
		}
	}
	for _, n := range nodes {
		if n.FailingSince > 0 {
			st.Unreachable = append(st.Unreachable, Unreachable{n.Name, n.Slice, n.Address, time.Now().Add(n.FailingSince - now), n.Failure})
		}
		for _, s := range n.Facts.Standbys {
			if ip, name, _ := strings.Cut(s, " "); !n.Facts.Replica && !known[n.Slice+" "+ip] && !known[n.Slice+" "+name] {
				st.Unlisted = append(st.Unlisted, Unlisted{ip, name, n.Name, n.Slice})
			}
		}
	}
	return st
}

// routes adds the handlers of the inventory to the control socket's mux.
func (f *inventoryFollower) routes(ctx context.Context, mux *http.ServeMux) {
	mux.HandleFunc("GET /inventory", func(w http.ResponseWriter, r *http.Request) { json.NewEncoder(w).Encode(f.fullStatus(r.Context())) })
	mux.HandleFunc("POST /inventory/confirm", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan InventoryStatus, 1)
		select {
		case f.confirmations <- reply:
			json.NewEncoder(w).Encode(<-reply)
		case <-ctx.Done():
			http.Error(w, "the driver is stopping", http.StatusServiceUnavailable)
		}
	})
}

// nodesOf converts members to the settings' form of nodes.
func nodesOf(members []membership.Member) []settings.Node {
	nodes := make([]settings.Node, len(members))
	for i, m := range members {
		life := map[inventory.State]balance.Life{inventory.Ready: balance.LifeReady, inventory.Draining: balance.LifeDraining,
			inventory.Removed: balance.LifeRemoved}[m.State]
		nodes[i] = settings.Node{Name: m.Name, Address: m.Address(), Slice: m.Slice, Zone: m.Zone, Life: life, Started: m.Started, Instance: m.Instance}
	}
	return nodes
}
