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

	"umberladder/internal/conffile"
)

// ReadGrid reads an experiment file like Read, but makes one arm for each combination of the values of all vary lines.
func ReadGrid(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return parseAs(path, string(text), true)
}

// maxArms limits the combinations of a grid.
const maxArms = 10_000

// expandGrid adds an arm for each combination of the values of several directives.
func (p *fileParser) expandGrid(varies []conffile.Directive) {
	type arm struct {
		name string
		s    setup
	}
	arms := []arm{{"", p.base}}
	for _, d := range varies {
		if !p.checkVary(d) {
			return
		}
		var next []arm
		for _, a := range arms {
			for _, w := range d.Args[1:] {
				s := a.s
				p.parseDirective(&s, conffile.Directive{Name: d.Args[0], Args: []conffile.Word{w}}, map[string]bool{})
				name := d.Args[0].Text + " " + w.Text
				if a.name != "" {
					name = a.name + ", " + name
				}
				next = append(next, arm{name, s})
			}
		}
		if arms = next; len(arms) > maxArms {
			p.AddProblem(d.Name, "the grid has %d combinations up to this line; at most %d are allowed", len(arms), maxArms)
			return
		}
	}
	for _, a := range arms {
		p.addArm(conffile.Word{Text: a.name, Line: varies[0].Name.Line, Column: varies[0].Name.Column}, a.s)
	}
}

// sweep is a sweep in progress. Each run is appended to the file as it ends, so that a killed sweep can be resumed.
type sweep struct {
	x    *Experiment
	o    Options
	mu   sync.Mutex
	file *os.File
	done map[[2]int]Figures // by index of arm and repeat
}

// header is the first item of a sweep file. A sweep is resumed only if all of it matches.
type header struct {
	Text    string
	Seed    uint64
	Repeats int
}

// entry is one run in a sweep file.
type entry struct {
	Arm, Repeat int
	Figures     Figures
}

// Sweep runs all arms and repeats except those that the sweep file in dir already holds, and appends each to the file. It
// returns the outcomes of the runs that are done, and resumed, the number of runs that the file held before. A truncated
// last entry is run again.
func (x *Experiment) Sweep(ctx context.Context, dir string, o Options) (all []Outcome, resumed int, err error) {
	s := &sweep{x: x, o: o, done: map[[2]int]Figures{}}
	if err := s.open(filepath.Join(dir, "sweep.cbor")); err != nil {
		return nil, 0, fmt.Errorf("sweep: %w", err)
	}
	defer s.file.Close()
	resumed = len(s.done)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Procs))
	for _, run := range s.missing() { // listed before the first run starts, as runs write s.done
		g.Go(func() error { return s.run(ctx, run[0], run[1]) })
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
	return all, resumed, err
}

// missing returns the index of arm and repeat of each run that is not done. The first repeats of all arms come first, so
// that an interrupted sweep has runs of every arm.
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

// open opens or creates the sweep file, loads its runs and truncates it after the last valid entry.
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
	case errors.Is(err, io.EOF): // new file
		return s.write(&want)
	case err != nil:
		return fmt.Errorf("%s is not a sweep file, or was truncated before its first run: %w; remove it or choose another directory", path, err)
	case h != want:
		return fmt.Errorf("%s belongs to another experiment, seed or number of repeats; choose another directory", path)
	}
	validEnd := int64(d.NumBytesRead())
	for {
		var e entry
		if err := d.Decode(&e); err != nil || e.Arm >= len(s.x.Arms) || e.Repeat >= s.x.Repeats {
			return s.truncate(validEnd)
		}
		s.done[[2]int{e.Arm, e.Repeat}] = e.Figures
		validEnd = int64(d.NumBytesRead())
	}
}

// truncate drops everything after offset at.
func (s *sweep) truncate(at int64) error {
	if err := s.file.Truncate(at); err != nil {
		return err
	}
	_, err := s.file.Seek(at, io.SeekStart)
	return err
}

func (s *sweep) write(v any) error {
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	_, err = s.file.Write(text)
	return err
}

func (s *sweep) run(ctx context.Context, arm, repeat int) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f, err := s.x.runOnce(arm, repeat, s.o)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[[2]int{arm, repeat}] = f
	return s.write(&entry{arm, repeat, f})
}

// SortByGoodput returns the outcomes in descending order of mean goodput.
func SortByGoodput(all []Outcome) []Outcome {
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
