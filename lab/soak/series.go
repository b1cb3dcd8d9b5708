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

// Series runs a range of seeds, in parallel if configured, and sums up their results.
type Series struct {
	Program string
	KeepDir string
	Procs   int           // seeds run in parallel
	For     time.Duration // no seed is started after this time; 0 for no limit
	Out     io.Writer     // receives a line per seed

	mu      sync.Mutex
	results []*Result
}

// Run runs the seeds from first to last and returns when all have ended. When ctx ends, it starts no more seeds and
// returns nil. It returns an error if a seed could not be run; the results so far are kept.
func (s *Series) Run(ctx context.Context, first, last uint64) error {
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
		work.Go(func() error { return s.runSeed(inner, seed) })
	}
	return work.Wait()
}

// runSeed runs one seed. A run interrupted by ctx is no error and is not counted.
func (s *Series) runSeed(ctx context.Context, seed uint64) error {
	result, err := Run(ctx, Options{Program: s.Program, Seed: seed, KeepDir: s.KeepDir})
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

// ParseSeeds parses a range of seeds A-B, or a single seed.
func ParseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil || first > last {
		return 0, 0, fmt.Errorf("%q is not a range of seeds; want A-B, such as 1-50", text)
	}
	return first, last, nil
}

// Results returns the results of all completed seeds in order of completion. Call it after Run has returned.
func (s *Series) Results() []*Result { return s.results }

// Broken returns the number of violations in all seeds.
func (s *Series) Broken() (n int) {
	for _, r := range s.results {
		n += r.Broken()
	}
	return n
}

// maxBreaksShown is the number of violations written per seed and rule.
const maxBreaksShown = 5

// Write writes a table by rule and, for each seed with violations, the command that runs the seed alone and at most
// maxBreaksShown violations of each rule.
func (s *Series) Write(w io.Writer) {
	fmt.Fprintf(w, "%d seeds\n%-20s %9s %9s %9s\n", len(s.results), "rule", "chances", "excused", "broken")
	for i, sum := range s.sumRules() {
		fmt.Fprintf(w, "%-20s %9d %9d %9d\n", sum.Name, sum.Chances, sum.Excused, s.brokenOf(i))
	}
	for _, r := range s.results {
		if r.Broken() == 0 {
			continue
		}
		fmt.Fprintf(w, "umberladder lab soak --seed %d --keep DIR   (times compared within %v)\n", r.Plan.Seed, r.Slack.Round(time.Millisecond))
		for _, rule := range r.Rules {
			for i, text := range rule.Broken {
				if i == maxBreaksShown {
					fmt.Fprintf(w, "  %s: and %d more\n", rule.Name, len(rule.Broken)-i)
					break
				}
				fmt.Fprintf(w, "  %s: %s\n", rule.Name, text)
			}
		}
	}
	fmt.Fprintf(w, "rules broken: %d\n", s.Broken())
}

// sumRules sums the chances and excused cases of each rule over all seeds.
func (s *Series) sumRules() (sums []lab.Rule) {
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
