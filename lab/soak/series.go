package soak

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/lab"
)

// Series plays seeds one after the other or side by side, and sums them up.
type Series struct {
	Program string
	Keep    string
	Procs   int           // seeds that are played side by side
	For     time.Duration // seeds that come after this are not begun; 0 for no bound
	Out     io.Writer     // gets a line for each seed

	mu      sync.Mutex
	results []*Result
}

// Play plays the seeds from first to last, or until ctx ends. An error says that a seed could not be played; what was
// played so far is kept.
func (s *Series) Play(ctx context.Context, first, last uint64) error {
	var end time.Time
	if s.For > 0 {
		end = time.Now().Add(s.For)
	}
	work, inner := errgroup.WithContext(ctx)
	work.SetLimit(max(1, s.Procs))
	for seed := first; seed <= last && inner.Err() == nil; seed++ {
		if !end.IsZero() && time.Now().After(end) {
			break
		}
		work.Go(func() error { return s.one(inner, seed) })
	}
	return work.Wait()
}

// one plays a seed. That it was cut short is no error: it just does not count.
func (s *Series) one(ctx context.Context, seed uint64) error {
	result, err := Run(ctx, Options{Program: s.Program, Seed: seed, Keep: s.Keep})
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
	fmt.Fprintf(s.Out, "seed %d: %s: %d requests, broken %d\n", seed, result.Plan, result.Requests, result.Broken())
	return nil
}

// ParseSeeds reads a range of seeds, A-B, or one.
func ParseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil || first > last {
		return 0, 0, fmt.Errorf("%q is no range of seeds; one looks like 1-50", text)
	}
	return first, last, nil
}

// Results are the judgements of the seeds that were played to their end, in the order in which they ended.
func (s *Series) Results() []*Result { return s.results }

// Broken is how many times a rule was broken in all seeds.
func (s *Series) Broken() (n int) {
	for _, r := range s.results {
		n += r.Broken()
	}
	return n
}

// mostBreaks is how many breaks of a seed are written out.
const mostBreaks = 5

// Write writes the table by rule, and for each seed that broke one what broke and the command that plays it alone.
func (s *Series) Write(w io.Writer) {
	fmt.Fprintf(w, "%d seeds\n%-20s %9s %9s %9s\n", len(s.results), "rule", "chances", "excused", "broken")
	for i, sum := range s.sums() {
		fmt.Fprintf(w, "%-20s %9d %9d %9d\n", sum.Name, sum.Chances, sum.Excused, s.brokenOf(i))
	}
	for _, r := range s.results {
		if r.Broken() == 0 {
			continue
		}
		fmt.Fprintf(w, "umberladder lab soak --seed %d --keep DIR   (times compared within %v)\n", r.Plan.Seed, r.Slack.Round(time.Millisecond))
		for _, rule := range r.Rules {
			for i, text := range rule.Broken {
				if i == mostBreaks {
					fmt.Fprintf(w, "  %s: and %d more\n", rule.Name, len(rule.Broken)-i)
					break
				}
				fmt.Fprintf(w, "  %s: %s\n", rule.Name, text)
			}
		}
	}
	fmt.Fprintf(w, "rules broken: %d\n", s.Broken())
}

// sums adds the rules of all seeds up.
func (s *Series) sums() (sums []lab.Rule) {
	for _, r := range s.results {
		if sums == nil {
			sums = make([]lab.Rule, len(r.Rules))
		}
		for i, rule := range r.Rules {
			sums[i].Name = rule.Name
			sums[i].Chances += rule.Chances
			sums[i].Excused += rule.Excused
		}
	}
	return sums
}

func (s *Series) brokenOf(rule int) (n int) {
	for _, r := range s.results {
		n += len(r.Rules[rule].Broken)
	}
	return n
}
