package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Relative differences, as fractions of the live figure, up to which figures of simulated and live runs agree.
const (
	goodputTolerance = 0.05
	p99Tolerance     = 0.25
)

// Pair holds the outcomes of one arm in simulated time and on sockets.
type Pair struct {
	Arm             string
	Simulated, Live Outcome
}

// PairOutcomes pairs the outcomes of each arm. Both slices must hold the same arms in the same order.
func PairOutcomes(simulated, live []Outcome) []Pair {
	all := make([]Pair, len(simulated))
	for i := range simulated {
		all[i] = Pair{simulated[i].Arm, simulated[i], live[i]}
	}
	return all
}

// relativeDifference returns (simulated - live) / live of the means of a figure.
func (p *Pair) relativeDifference(value func(*Figures) float64) float64 {
	c := column{value: value}
	a, b := mean(p.Simulated.values(c)), mean(p.Live.values(c))
	if a == b {
		return 0
	}
	return (a - b) / math.Abs(b)
}

// Compare returns the relative differences of the simulated figures from the live ones, for goodput and for the 99th
// percentile of latency, and whether both are within the tolerances.
func (p *Pair) Compare() (goodput, p99 float64, agree bool) {
	goodput = p.relativeDifference(func(f *Figures) float64 { return f.Goodput })
	p99 = p.relativeDifference(func(f *Figures) float64 { return f.All99 })
	return goodput, p99, math.Abs(goodput) <= goodputTolerance && math.Abs(p99) <= p99Tolerance
}

// comparedColumns are the figures in the comparison of simulated and live runs, and in recordings.
var comparedColumns = append([]column{
	{"p50 s", func(f *Figures) float64 { return f.P50 }, "%.3f", false},
	{"p99 all s", func(f *Figures) float64 { return f.All99 }, "%.3f", false},
}, columns...)

// WriteComparison writes the means of each arm in simulated and live runs as a table, and a verdict for each arm. It
// returns the number of arms that differ.
func WriteComparison(out io.Writer, name string, pairs []Pair) (differ int) {
	fmt.Fprintf(out, "%s: simulated and live, means; live figures are those of stand-ins on this machine\n", name)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "arm\t\t")
	for _, c := range comparedColumns {
		fmt.Fprintf(w, "%s\t", c.name)
	}
	fmt.Fprintln(w)
	for i := range pairs {
		p := &pairs[i]
		for _, side := range []struct {
			name string
			o    *Outcome
		}{{"simulated", &p.Simulated}, {"live", &p.Live}} {
			fmt.Fprintf(w, "%s\t%s\t", p.Arm, side.name)
			for _, c := range comparedColumns {
				if vs := side.o.values(c); len(vs) == 0 {
					fmt.Fprint(w, "-\t")
				} else {
					fmt.Fprintf(w, c.format+"\t", mean(vs))
				}
			}
			fmt.Fprintln(w)
		}
	}
	w.Flush()
	for i := range pairs {
		goodput, p99, agree := pairs[i].Compare()
		verdict := "agree"
		if !agree {
			verdict = "DIFFER"
			differ++
		}
		fmt.Fprintf(out, "%s: goodput %+.1f%%, p99 of all %+.1f%% of the live one: they %s (within %.0f%% and %.0f%%)\n", pairs[i].Arm, 100*goodput, 100*p99, verdict, 100*goodputTolerance, 100*p99Tolerance)
	}
	return differ
}
