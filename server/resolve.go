package server

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/inventory"
)

const (
	resolveInterval = 30 * time.Second // between look-ups of all names
	resolveTimeout  = 3 * time.Second  // for one name
	resolveParallel = 16               // look-ups at a time
)

// resolver resolves the host names of listed nodes, to detect two names of one node. Nothing waits for it, as
// connections resolve names themselves.
type resolver struct {
	lookup   func(ctx context.Context, host string) ([]string, error)
	log      *zap.Logger
	requests chan *inventory.Set
	results  chan map[string][]string // addresses with port, by node name

	mu        sync.Mutex
	lastFound map[string][]string
}

func newResolver(log *zap.Logger) *resolver {
	return &resolver{lookup: net.DefaultResolver.LookupHost, log: log, requests: make(chan *inventory.Set, 1),
		results: make(chan map[string][]string)}
}

// request has the names of a set resolved, now and periodically. A newer set replaces it.
func (r *resolver) request(set *inventory.Set) {
	select {
	case <-r.requests:
	default:
	}
	r.requests <- set
}

// run resolves names until ctx ends.
func (r *resolver) run(ctx context.Context) {
	var set *inventory.Set
	for {
		select {
		case set = <-r.requests:
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return
		}
		found := r.resolveAll(ctx, set)
		r.mu.Lock()
		r.lastFound = found
		r.mu.Unlock()
		select {
		case r.results <- found:
		case <-ctx.Done():
			return
		}
	}
}

// addresses returns the last resolved addresses of a node, with port.
func (r *resolver) addresses(node string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFound[node]
}

func (r *resolver) resolveAll(ctx context.Context, set *inventory.Set) map[string][]string {
	hosts := map[string][]string{}
	for i := range set.Nodes {
		hosts[set.Nodes[i].Host] = nil
	}
	var mu sync.Mutex
	var work errgroup.Group
	work.SetLimit(resolveParallel)
	for _, host := range sortedHosts(hosts) {
		work.Go(func() error {
			ips := r.resolveOne(ctx, host)
			mu.Lock()
			defer mu.Unlock()
			hosts[host] = ips
			return nil
		})
	}
	work.Wait() // no error: names that can't be resolved are left out
	found := map[string][]string{}
	for i := range set.Nodes {
		n := &set.Nodes[i]
		_, port, _ := net.SplitHostPort(n.Address())
		for _, ip := range hosts[n.Host] {
			found[n.Name] = append(found[n.Name], net.JoinHostPort(ip, port))
		}
	}
	return found
}

func sortedHosts(hosts map[string][]string) []string {
	all := make([]string, 0, len(hosts))
	for h := range hosts {
		all = append(all, h)
	}
	slices.Sort(all)
	return all
}

func (r *resolver) resolveOne(ctx context.Context, host string) []string {
	if ip := net.ParseIP(host); ip != nil {
		return []string{ip.String()}
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	ips, err := r.lookup(ctx, host)
	if err != nil && ctx.Err() == nil {
		r.log.Debug("host name of a listed node is not resolved", zap.String("host", host), zap.Error(err))
	}
	slices.Sort(ips)
	return ips
}
