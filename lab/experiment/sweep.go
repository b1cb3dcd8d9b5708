package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/lines"
)

// ReadGrid reads an experiment whose vary lines are taken together: an arm for each combination of their values.
func ReadGrid(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return parseAs(path, string(text), true)
}

// mostArms is how many combinations a grid may have.
const mostArms = 10_000

// grid makes an arm of each combination of the values of several directives.
func (b *binder) grid(varies []lines.Directive) {
	type arm struct {
		name string
		s    scale
	}
	arms := []arm{{"", b.base}}
	for _, d := range varies {
		if !b.variesWell(d) {
			return
		}
		var next []arm
		for _, a := range arms {
			for _, w := range d.Args[1:] {
				s := a.s
				b.line(&s, lines.Directive{Name: d.Args[0], Args: []lines.Word{w}}, map[string]bool{})
				name := d.Args[0].Text + " " + w.Text
				if a.name != "" {
					name = a.name + ", " + name
				}
				next = append(next, arm{name, s})
			}
		}
		if arms = next; len(arms) > mostArms {
			b.Problem(d.Name, "the grid has %d combinations by here; %d are the most", len(arms), mostArms)
			return
		}
	}
	for _, a := range arms {
		b.add(lines.Word{Text: a.name, Line: varies[0].Name.Line, Column: varies[0].Name.Column}, a.s)
	}
}

// sweep is one under way: what it came to is kept, run by run, so that one that was killed goes on where it was.
type sweep struct {
	x    *Experiment
	o    Options
	mu   sync.Mutex
	file *os.File
	done map[[2]int]Figures // by arm and repeat
}

// header is what the file of a sweep begins with: what it is of.
type header struct {
	Text    string
	Seed    uint64
	Repeats int
}

// entry is one run.
type entry struct {
	Arm, Repeat int
	Figures     Figures
}

// Sweep plays all arms and repeats but those that the file in the directory holds already, and adds to it. It gives how
// many it held. A last entry that was cut is played again.
func (x *Experiment) Sweep(ctx context.Context, dir string, o Options) (all []Outcome, held int, err error) {
	s := &sweep{x: x, o: o, done: map[[2]int]Figures{}}
	if err := s.open(filepath.Join(dir, "sweep.cbor")); err != nil {
		return nil, 0, fmt.Errorf("sweep: %w", err)
	}
	defer s.file.Close()
	held = len(s.done)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Procs))
	for _, run := range s.missing() { // listed before any begins, as they write what is done
		g.Go(func() error { return s.play(ctx, run[0], run[1]) })
	}
	err = g.Wait()
	for i := range x.Arms {
		out := Outcome{Arm: x.Arms[i].Name}
		for n := range x.Repeats {
			if f, ok := s.done[[2]int{i, n}]; ok {
				out.Runs = append(out.Runs, f)
			}
		}
		all = append(all, out)
	}
	return all, held, err
}

// missing lists the runs that are not done, by arm and repeat: the first repeat of each arm first, so that a sweep that is
// cut short has something of each.
func (s *sweep) missing() (runs [][2]int) {
	for n := range s.x.Repeats {
		for i := range s.x.Arms {
			if _, done := s.done[[2]int{i, n}]; !done {
				runs = append(runs, [2]int{i, n})
			}
		}
	}
	return runs
}

// open reads what there is, and leaves the file ready for more.
func (s *sweep) open(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	s.file = f
	h, want := header{}, header{s.x.Text, s.o.Seed, s.x.Repeats}
	d := cbor.NewDecoder(f)
	switch err := d.Decode(&h); {
	case errors.Is(err, io.EOF): // it is new
		return s.add(&want)
	case err != nil:
		return fmt.Errorf("%s is none of a sweep, or was cut before its first run: %w; remove it or name another directory", path, err)
	case h != want:
		return fmt.Errorf("%s is of another experiment, seed or number of repeats; name another directory", path)
	}
	whole := int64(d.NumBytesRead())
	for {
		var e entry
		if err := d.Decode(&e); err != nil || e.Arm >= len(s.x.Arms) || e.Repeat >= s.x.Repeats {
			return s.cut(whole)
		}
		s.done[[2]int{e.Arm, e.Repeat}] = e.Figures
		whole = int64(d.NumBytesRead())
	}
}

// cut drops what stands behind the last whole entry.
func (s *sweep) cut(at int64) error {
	if err := s.file.Truncate(at); err != nil {
		return err
	}
	_, err := s.file.Seek(at, io.SeekStart)
	return err
}

func (s *sweep) add(v any) error {
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	_, err = s.file.Write(text)
	return err
}

func (s *sweep) play(ctx context.Context, arm, repeat int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f, err := s.x.one(arm, repeat, s.o)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[[2]int{arm, repeat}] = f
	return s.add(&entry{arm, repeat, f})
}

// Best are the arms by goodput, the best first.
func Best(all []Outcome) []Outcome {
	sorted := slices.Clone(all)
	goodput := func(o *Outcome) float64 { return mean(o.values(columns[0])) }
	slices.SortStableFunc(sorted, func(a, b Outcome) int {
		switch x, y := goodput(&a), goodput(&b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return sorted
}
