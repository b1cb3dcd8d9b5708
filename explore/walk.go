package explore

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Walk makes random walks of cfg.Depth events through state spaces that are too large to explore exhaustively. Each walk
// weights kinds of events at random, some nearly to zero, so that rare events coincide. Walk stops at the first violation
// and returns it, shortened by Shrink, or nil if there is none, with the number of events played. At most procs walks run
// at once. Walk calls progress, unless nil, with the number of walks done, and returns ctx's error if ctx ends first.
func Walk(ctx context.Context, cfg Config, seed uint64, walks, procs int, progress func(done int)) (*Violation, int, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, procs))
	var mu sync.Mutex
	var found *Violation
	steps, done := 0, 0
	for n := range walks {
		g.Go(func() error {
			mu.Lock()
			stop := found != nil
			mu.Unlock()
			if stop || ctx.Err() != nil {
				return ctx.Err()
			}
			v, took, err := walk(cfg, rand.New(rand.NewPCG(seed, uint64(n))))
			mu.Lock()
			defer mu.Unlock()
			if steps += took; v != nil && found == nil {
				found = v
			}
			if done++; progress != nil {
				progress(done)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, steps, err
	}
	if found != nil {
		found = Shrink(cfg, found)
	}
	return found, steps, nil
}

// eventKinds are the parts of event names by which a walk assigns weights.
var eventKinds = []string{" asks for ", " leaves", " comes up", " runs request", "the cancel for", "the answer to", " breaks", " replays", " drains", " dies", "does not notice", "time passes", "a second passes"}

func walk(cfg Config, rng *rand.Rand) (*Violation, int, error) {
	w, err := New(cfg)
	if err != nil {
		return nil, 0, err
	}
	weights := make([]float64, len(eventKinds))
	for i := range weights {
		weights[i] = []float64{0.03, 0.3, 1, 1, 4}[rng.IntN(5)]
	}
	var events []string
	for n := range cfg.Depth {
		all := w.enabled()
		sum := 0.0
		weightOf := make([]float64, len(all))
		for i := range all {
			weightOf[i] = 1
			for k, word := range eventKinds {
				if strings.Contains(all[i].name, word) {
					weightOf[i] = weights[k]
				}
			}
			sum += weightOf[i]
		}
		draw, at := rng.Float64()*sum, 0
		for ; at < len(all)-1 && draw >= weightOf[at]; at++ {
			draw -= weightOf[at]
		}
		events = append(events, all[at].name)
		all[at].apply()
		if len(w.broken) > 0 {
			return &Violation{w.broken[0], events}, n + 1, nil
		}
	}
	if w.settle(); len(w.broken) > 0 {
		return &Violation{w.broken[0], events}, cfg.Depth, nil
	}
	return nil, cfg.Depth, nil
}

// Shrink removes events from a violation as long as the remaining ones still break the same property. It begins no further
// round of removals after 20 s.
func Shrink(cfg Config, v *Violation) *Violation {
	property, _, _ := strings.Cut(v.Message, ":")
	best := v
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		smaller := shorter(cfg, best, property)
		if smaller == nil {
			return best
		}
		best = smaller
	}
	return best
}

// shorter returns a violation of the same property with fewer events, or nil if removing any span of events loses it.
func shorter(cfg Config, v *Violation, property string) *Violation {
	for span := max(1, len(v.Events)/2); span >= 1; span /= 2 {
		for from := 0; from+span <= len(v.Events); from++ {
			events := append(append([]string(nil), v.Events[:from]...), v.Events[from+span:]...)
			if what, at, ok := reproduces(cfg, events, property); ok {
				return &Violation{what, events[:at]}
			}
		}
	}
	return nil
}

// reproduces plays events and reports whether they break the property, with the violation and the number of events played.
// An event that is not possible ends the replay without a violation.
func reproduces(cfg Config, events []string, property string) (what string, at int, ok bool) {
	w, err := New(cfg)
	if err != nil {
		return "", 0, false
	}
	for i, name := range events {
		found := false
		for _, e := range w.enabled() {
			if e.name == name {
				e.apply()
				found = true
				break
			}
		}
		if !found {
			return "", 0, false
		}
		if len(w.broken) > 0 {
			return w.broken[0], i + 1, strings.HasPrefix(w.broken[0], property)
		}
	}
	if w.settle(); len(w.broken) > 0 {
		return w.broken[0], len(events), strings.HasPrefix(w.broken[0], property)
	}
	return "", 0, false
}
