package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"umberladder/lab/world"
)

// Candidate is a random experiment with one arm that a hunt generates and shrinks.
type Candidate struct {
	Seed                     uint64
	Drivers, Slices, Members int
	Zones                    int
	Rate                     int // requests per second
	Length                   time.Duration
	Gate                     bool // admission control is on
	Troubles                 []world.Trouble
}

// Text returns the candidate as an experiment file.
func (d *Candidate) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "experiment \"found by lab hunt, seed %d\"\nrepeats 1\ndrivers %d\nslices %d\nmembers %d\nhalls %s\ncross 3ms\nrate %d\nfor %v\nelect 1s\ntries 3\njudge on\n",
		d.Seed, d.Drivers, d.Slices, d.Members, strings.Join(zoneNames[:d.Zones], " "), d.Rate, d.Length)
	if !d.Gate {
		b.WriteString("gate off\n")
	}
	for _, t := range d.Troubles {
		fmt.Fprintf(&b, "trouble %s {\n    at %v\n    for %v\n", t.Kind, t.At, t.For)
		if t.Kind.HasSize() {
			fmt.Fprintf(&b, "    size %g\n", t.Size)
		}
		if t.Place.Slice >= 0 {
			fmt.Fprintf(&b, "    slice %d\n", t.Place.Slice)
		}
		if t.Place.Primary {
			b.WriteString("    member primary\n")
		} else if t.Place.Member >= 0 {
			fmt.Fprintf(&b, "    member %d\n", t.Place.Member)
		}
		if t.Place.Driver >= 0 {
			fmt.Fprintf(&b, "    driver %d\n", t.Place.Driver)
		}
		if t.Place.All {
			b.WriteString("    all on\n")
		}
		if t.Place.Zone != "" {
			fmt.Fprintf(&b, "    hall %s\n", t.Place.Zone)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

var zoneNames = []string{"reykjavik-a", "hafnarfjordur-b"}

// RandomCandidate generates a candidate. Its troubles start in the middle half of the run, as faults are likelier to show
// where troubles overlap.
func RandomCandidate(rng *rand.Rand) *Candidate {
	d := &Candidate{Seed: rng.Uint64N(1e6), Drivers: 2 + rng.IntN(7), Slices: 1 + rng.IntN(4), Members: 3 + rng.IntN(4), Zones: 1 + rng.IntN(2),
		Rate: 50 + rng.IntN(400), Length: time.Duration(8+rng.IntN(8)) * time.Second, Gate: rng.IntN(4) > 0}
	middle := d.Length / 2
	for range 2 + rng.IntN(7) {
		t := world.Trouble{Kind: world.TroubleKind(rng.IntN(len(world.TroubleNames()))), Place: world.Anywhere,
			At:  (middle/2 + time.Duration(rng.Float64()*float64(middle))).Round(10 * time.Millisecond),
			For: time.Duration((0.05 + 3*rng.Float64()) * float64(time.Second)).Round(10 * time.Millisecond)}
		t.Size = map[world.TroubleKind]float64{world.TroubleSlow: 2 + 10*rng.Float64(), world.TroubleDelay: 1 + 40*rng.Float64(),
			world.TroubleLoss: 0.01 + 0.3*rng.Float64(), world.TroubleLoad: 1 + 8*rng.Float64(),
			world.TroubleLag: 2 + 60*rng.Float64(), world.TroubleConnLimit: float64(1 + rng.IntN(12)), world.TroubleSlowConnect: 1 + 60*rng.Float64(),
			world.TroubleIdleDrop: 20 + 900*rng.Float64(), world.TroubleErrors: 0.05 + 0.5*rng.Float64(), world.TroubleHotDriver: 0.1 + 0.8*rng.Float64()}[t.Kind]
		t.Size = float64(int(t.Size*100)) / 100
		t.Place.Slice, t.Place.Member = rng.IntN(d.Slices), rng.IntN(d.Members)
		if t.Place.Primary = rng.IntN(2) == 0; t.Place.Primary {
			t.Place.Member = -1
		}
		t.Place.All = rng.IntN(8) == 0
		t.Place.Driver, t.Place.Zone = rng.IntN(d.Drivers), zoneNames[rng.IntN(d.Zones)]
		d.Troubles = append(d.Troubles, t)
	}
	return d
}

// Run runs the candidate in simulated time. If modify is not nil, it is applied to the configuration first; tests inject
// faults with it.
func (d *Candidate) Run(ctx context.Context, modify func(*world.Config)) (Figures, error) {
	x, err := Parse("draft", d.Text())
	if err != nil {
		return Figures{}, err
	}
	if modify != nil {
		modify(&x.Arms[0].World)
	}
	all, err := x.Run(ctx, Options{Seed: d.Seed, Procs: 1})
	if err != nil {
		return Figures{}, err
	}
	return all[0].Runs[0], nil
}

// HuntResult is the result of a hunt.
type HuntResult struct {
	Runs        int
	Broken      *Candidate // the smallest candidate that breaks a rule, nil if none does
	BrokenRules []string   // the rules that Broken breaks
	Worst       *Candidate // the candidate with the least goodput
	Goodput     float64    // of Worst
	Served      float64    // mean fraction of requests served
}

// Hunt runs random candidates until one breaks a rule, which it then shrinks, or until the number of runs is used up;
// shrinking counts. The same seed gives the same result. Hunt calls progress, unless nil, after each candidate without a
// broken rule.
func Hunt(ctx context.Context, seed uint64, runs int, modify func(*world.Config), progress func(*HuntResult)) (*HuntResult, error) {
	f := &HuntResult{Goodput: 2}
	rng := rand.New(rand.NewPCG(seed, 0x68756e74))
	for f.Runs < runs {
		d := RandomCandidate(rng)
		fig, err := d.Run(ctx, modify)
		if err != nil {
			return f, fmt.Errorf("%w, in\n%s", err, d.Text())
		}
		f.Runs++
		f.Served += (fig.Served - f.Served) / float64(f.Runs)
		if fig.Goodput < f.Goodput {
			f.Worst, f.Goodput = d, fig.Goodput
		}
		if len(fig.Broken) > 0 {
			f.Broken, f.BrokenRules = d, fig.Broken
			return f, f.shrink(ctx, runs, modify)
		}
		if progress != nil {
			progress(f)
		}
	}
	return f, nil
}

// shrink replaces f.Broken by smaller candidates as long as one of them breaks a rule.
func (f *HuntResult) shrink(ctx context.Context, runs int, modify func(*world.Config)) error {
	for shrunk := true; shrunk; {
		shrunk = false
		for _, smaller := range f.Broken.smaller() {
			if f.Runs >= runs {
				return nil
			}
			fig, err := smaller.Run(ctx, modify)
			if err != nil {
				continue // the smaller candidate lacks the place of a trouble
			}
			f.Runs++
			if len(fig.Broken) > 0 {
				f.Broken, f.BrokenRules, shrunk = smaller, fig.Broken, true
				break
			}
		}
	}
	return nil
}

// smaller returns the candidates that are one step smaller: troubles removed first, then numbers reduced, then times.
func (d *Candidate) smaller() (all []*Candidate) {
	add := func(modify func(*Candidate)) {
		c := *d
		c.Troubles = slices.Clone(d.Troubles)
		modify(&c)
		all = append(all, &c)
	}
	for i := range d.Troubles {
		add(func(c *Candidate) { c.Troubles = slices.Delete(c.Troubles, i, i+1) })
	}
	for _, param := range []struct {
		field  func(*Candidate) *int
		lowest int
	}{{func(c *Candidate) *int { return &c.Drivers }, 1}, {func(c *Candidate) *int { return &c.Slices }, 1}, {func(c *Candidate) *int { return &c.Members }, 2},
		{func(c *Candidate) *int { return &c.Rate }, 10}, {func(c *Candidate) *int { return &c.Zones }, 1}} {
		if v := *param.field(d); v > param.lowest {
			add(func(c *Candidate) { *param.field(c) = max(param.lowest, v/2) })
			add(func(c *Candidate) { *param.field(c) = v - 1 })
		}
	}
	if d.Length > 3*time.Second {
		add(func(c *Candidate) { c.Length -= time.Second })
	}
	for i, t := range d.Troubles {
		if t.For > 100*time.Millisecond {
			add(func(c *Candidate) { c.Troubles[i].For = (t.For / 2).Round(10 * time.Millisecond) })
		}
	}
	return all
}
