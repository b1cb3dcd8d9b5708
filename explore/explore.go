package explore

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/driver"
)

func contains(s, part string) bool { return strings.Contains(s, part) }

// path identifies a state by the events that lead to it. Each event is an index into the events enabled at that point.
type path struct {
	parent *path
	event  uint16
	depth  uint16
}

func (p *path) events() []uint16 {
	var all []uint16
	for ; p.parent != nil; p = p.parent {
		all = append(all, p.event)
	}
	slices.Reverse(all)
	return all
}

// Violation is a property that does not hold and the names of the events that show it.
type Violation struct {
	Message string // the property, a colon and the details
	Events  []string
}

// Report is the result of an exploration.
type Report struct {
	Config               Config
	States               int // distinct states
	Transitions          int
	Depth                int   // up to which every order of events was explored
	Complete             bool  // no new state was left to explore
	Endings              int   // states that were settled
	ByDepth              []int // new states at each depth
	Elapsed              time.Duration
	Seen                 []string // kinds of commands, statuses of answers and guard refusals that occurred, sorted
	LifecycleTransitions int      // distinct transitions of connections and attempts that occurred
	Violations           []Violation
}

// Options bound an exploration's parallelism and extent.
type Options struct {
	Procs          int           // states expanded at once
	MaxStates      int           // ends the exploration after the level that reaches it; 0 for no bound
	EndingInterval int           // one state in this many is settled; 0 or 1 for every state
	TimeLimit      time.Duration // ends the exploration after the level that exceeds it; 0 for no bound
}

// Run explores every order of events breadth first, so that the first violation found is a shortest one. It blocks until
// cfg.Depth is reached, no new state is left, an option's bound is exceeded or a level contains a violation, and calls
// progress, unless nil, after each level. An error is ctx's, or says that a path could not be replayed.
func Run(ctx context.Context, cfg Config, opts Options, progress func(depth, states int)) (*Report, error) {
	x := &explorer{cfg: cfg, opts: opts, visited: map[uint64]struct{}{}, seen: map[string]bool{}, lifecycleTransitions: map[driver.Transition]bool{}}
	began := time.Now()
	level := []*path{{}}
	r := &Report{Config: cfg}
	for depth := 0; depth < cfg.Depth && len(level) > 0; depth++ {
		next, err := x.expand(ctx, level)
		if err != nil {
			return nil, err
		}
		r.ByDepth = append(r.ByDepth, len(next))
		level, r.Depth = next, depth+1
		if progress != nil {
			progress(depth+1, len(x.visited))
		}
		if len(x.violations) > 0 || opts.MaxStates > 0 && len(x.visited) >= opts.MaxStates || opts.TimeLimit > 0 && time.Since(began) > opts.TimeLimit {
			break
		}
	}
	r.Complete = len(level) == 0
	r.States, r.Transitions, r.Endings, r.Elapsed = len(x.visited), int(x.transitions.Load()), int(x.endings.Load()), time.Since(began)
	for kind := range x.seen {
		r.Seen = append(r.Seen, kind)
	}
	slices.Sort(r.Seen)
	r.LifecycleTransitions = len(x.lifecycleTransitions)
	r.Violations = x.violations
	return r, nil
}

type explorer struct {
	cfg         Config
	opts        Options
	transitions atomic.Int64
	endings     atomic.Int64

	mu                   sync.Mutex
	visited              map[uint64]struct{}
	seen                 map[string]bool
	lifecycleTransitions map[driver.Transition]bool
	violations           []Violation
}

// expand returns the new successors of a level's states.
func (x *explorer) expand(ctx context.Context, level []*path) (next []*path, err error) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, x.opts.Procs))
	found := make([][]*path, len(level))
	for i, p := range level {
		g.Go(func() (err error) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			found[i], err = x.successors(p)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(found...), nil
}

// replayPath plays a path from the initial state. The engine can't be copied, so a state is reached only by replay.
func replayPath(cfg Config, events []uint16) (*World, error) {
	w, err := New(cfg)
	if err != nil {
		return nil, err
	}
	for _, n := range events {
		all := w.enabled()
		if int(n) >= len(all) {
			return nil, fmt.Errorf("explore: replay of a path diverged: its next event has index %d, but only %d events are enabled", n, len(all))
		}
		all[n].apply()
	}
	return w, nil
}

func (x *explorer) successors(p *path) (next []*path, err error) {
	events := p.events()
	w, err := replayPath(x.cfg, events)
	if err != nil {
		return nil, err
	}
	for n := range w.enabled() {
		if n > 0 { // the first event has changed the parent's World
			if w, err = replayPath(x.cfg, events); err != nil {
				return nil, err
			}
		}
		w.enabled()[n].apply()
		x.transitions.Add(1)
		child := &path{p, uint16(n), p.depth + 1}
		if x.addState(w) && !x.checkState(w, child) {
			next = append(next, child)
		}
	}
	return next, nil
}

// addState adds a state to the visited ones and reports whether it is new.
func (x *explorer) addState(w *World) bool {
	h := w.hash()
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, known := x.visited[h]; known {
		return false
	}
	x.visited[h] = struct{}{}
	for kind := range w.seen {
		x.seen[kind] = true
	}
	return true
}

// checkState reports whether a state violates a property, at once or after settling. Only one state in opts.EndingInterval
// is settled.
func (x *explorer) checkState(w *World, p *path) bool {
	if len(w.broken) == 0 && (x.opts.EndingInterval <= 1 || w.hash()%uint64(x.opts.EndingInterval) == 0) {
		x.endings.Add(1)
		w.settle()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.lifecycleTransitions) < len(driver.LegalTransitions()) {
		for transition := range w.engine.TransitionCounts() {
			x.lifecycleTransitions[transition] = true
		}
	}
	if len(w.broken) == 0 {
		return false
	}
	if len(x.violations) < 10 {
		x.violations = append(x.violations, Violation{Message: w.broken[0], Events: pathEventNames(x.cfg, p.events())})
	}
	return true
}

// pathEventNames returns the names of a path's events.
func pathEventNames(cfg Config, events []uint16) (all []string) {
	w, err := New(cfg)
	if err != nil {
		return nil
	}
	for _, n := range events {
		ev := w.enabled()[n]
		all = append(all, ev.name)
		ev.apply()
	}
	return all
}

// hash identifies the state of the engine and its environment.
func (w *World) hash() uint64 {
	return hashState(&struct {
		Engine  any
		Nodes   []*node
		Conns   any
		Clients []*client
		Reqs    any
		Faults  faultCounts
		Drained map[string]time.Duration
	}{w.engine, w.nodes, w.conns, w.clients, w.reqs, w.faults, w.drained}, w.now)
}

// Replay plays events by their names and writes each one to out with the engine's commands and the violations that it
// causes. If no event causes a violation, Replay then settles the state. It returns the violations, or an error if an event
// is not possible at its point of the sequence.
func Replay(out io.Writer, cfg Config, events []string) (broken []string, err error) {
	w, err := New(cfg)
	if err != nil {
		return nil, err
	}
	w.tracing = true
	for i, name := range events {
		all := w.enabled()
		at := slices.IndexFunc(all, func(e event) bool { return e.name == name })
		if at < 0 {
			return nil, fmt.Errorf("explore: event %d, %q, is not possible there; possible events: %s", i+1, name, strings.Join(eventNames(all), "; "))
		}
		was := len(w.broken)
		w.trace = nil
		all[at].apply()
		fmt.Fprintf(out, "%3d  %9.3fs  %s\n", i+1, (w.now - startTime).Seconds(), name)
		for _, line := range w.trace {
			fmt.Fprintf(out, "                  %s\n", line)
		}
		for _, line := range w.broken[was:] {
			fmt.Fprintf(out, "                  BROKEN %s\n", line)
		}
	}
	if len(w.broken) == 0 {
		w.tracing = false
		if w.settle(); len(w.broken) > 0 {
			fmt.Fprintf(out, "     then pending events occur without further faults: BROKEN %s\n", w.broken[0])
		}
	}
	return w.broken, nil
}

func eventNames(all []event) (names []string) {
	for _, e := range all {
		names = append(names, e.name)
	}
	return names
}
