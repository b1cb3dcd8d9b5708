// Mutants plants faults in the code, one at a time, in an overlay of the build, and looks whether the explorer, or the
// soak of the driver's process, finds them. The faults stand in explore/testdata/mutants.txt and
// lab/soak/testdata/mutants.txt, not in the code.
//
//	go run ./cmd/mutants [-soak SEEDS] [-only NAME] [-procs N]
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/lab/soak"
)

// mutant is a change of one file.
type mutant struct{ name, file, old, new string }

// read reads the list. Each begins with "### NAME" and "file: PATH"; then come the old text and the new one between
// "<<<<", "====" and ">>>>".
func read(path string) ([]mutant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all []mutant
	for i, part := range strings.Split("\n"+string(text), "\n### ")[1:] {
		head, rest, ok1 := strings.Cut(part, "\n<<<<\n")
		old, rest, ok2 := strings.Cut(rest, "\n====\n")
		now, _, ok3 := strings.Cut(rest, "\n>>>>")
		name, file, ok4 := strings.Cut(head, "\nfile: ")
		if !ok1 || !ok2 || !ok3 || !ok4 {
			return nil, fmt.Errorf("%s: mutant %d is not in the form that this file has", path, i+1)
		}
		all = append(all, mutant{strings.TrimSpace(name), strings.TrimSpace(file), old, now})
	}
	return all, nil
}

// build makes the program with the fault in it.
func (m *mutant) build(ctx context.Context, dir string) (string, error) {
	text, err := os.ReadFile(m.file)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), m.old); n != 1 {
		return "", fmt.Errorf("%s has the old text %d times", m.file, n)
	}
	changed, overlay, program := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "umberladder")
	whole, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	list, _ := json.Marshal(map[string]map[string]string{"Replace": {whole: changed}})
	if err := errors.Join(os.WriteFile(changed, []byte(strings.Replace(string(text), m.old, m.new, 1)), 0o600), os.WriteFile(overlay, list, 0o600)); err != nil {
		return "", err
	}
	if out, err := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", program, "./cmd/umberladder").CombinedOutput(); err != nil {
		return "", fmt.Errorf("it does not build: %s", out)
	}
	return program, nil
}

// found tells by what a program's fault is found, "" if it is not.
func found(ctx context.Context, program string) (string, error) {
	for _, args := range [][]string{
		{"explore", "run", "--depth", "4", "--endings", "2", "--procs", "1"},
		{"explore", "walk", "--walks", "300", "--seed", "1", "--procs", "1", "--clients", "4", "--nodes", "4", "--depth", "60", "--resets", "3"},
		{"explore", "run", "--depth", "5", "--endings", "3", "--procs", "1"},
		{"explore", "walk", "--walks", "1500", "--seed", "2", "--procs", "1"},
	} {
		limit, stop := context.WithTimeout(ctx, 2*time.Minute)
		out, err := exec.CommandContext(limit, program, args...).CombinedOutput()
		stop()
		if err == nil {
			continue
		}
		for _, line := range strings.Split(string(out), "\n") {
			if what, ok := strings.CutPrefix(line, "broken: "); ok {
				return strings.Join(args[1:4], " ") + ": " + what, nil
			}
		}
		if limit.Err() != nil {
			return "it never ended", nil
		}
		return "it stopped: " + string(out[:min(len(out), 200)]), nil
	}
	return "", ctx.Err()
}

// foundBySoak tells by which seeds and rules of the soak a program's fault is found, "" if it is not.
func foundBySoak(ctx context.Context, program string, first, last uint64) (string, error) {
	s := &soak.Series{Program: program, Procs: 2, Out: io.Discard}
	if err := s.Play(ctx, first, last); err != nil {
		return "", err
	}
	var seeds []string
	rules := map[string]int{}
	for _, r := range s.Results() {
		if r.Broken() == 0 {
			continue
		}
		seeds = append(seeds, strconv.FormatUint(r.Plan.Seed, 10))
		for _, rule := range r.Rules {
			rules[rule.Name] += len(rule.Broken)
		}
	}
	if len(seeds) == 0 {
		return "", nil
	}
	var counts []string
	for _, name := range slices.Sorted(maps.Keys(rules)) {
		if rules[name] > 0 {
			counts = append(counts, fmt.Sprintf("%s %d", name, rules[name]))
		}
	}
	return "seeds " + strings.Join(seeds, " ") + ": " + strings.Join(counts, ", "), nil
}

// unbuilt begins what is told of a mutant that is none.
const unbuilt = "it can't be built: "

func run() error {
	only := flag.String("only", "", "the mutant to try")
	procs := flag.Int("procs", 2, "mutants at once")
	seeds := flag.String("soak", "", "seeds of the soak, A-B, that plays the driver's process in place of the explorer")
	flag.Parse()
	list, find := "explore/testdata/mutants.txt", found
	if *seeds != "" {
		first, last, err := soak.ParseSeeds(*seeds)
		if err != nil {
			return fmt.Errorf("-soak: %w", err)
		}
		list = "lab/soak/testdata/mutants.txt"
		find = func(ctx context.Context, program string) (string, error) {
			return foundBySoak(ctx, program, first, last)
		}
	}
	all, err := read(list)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(*procs)
	by := make([]string, len(all))
	for i, m := range all {
		if *only != "" && *only != m.name {
			continue
		}
		g.Go(func() error {
			dir, err := os.MkdirTemp("", "mutant")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			program, err := m.build(ctx, dir)
			if err != nil {
				by[i] = unbuilt + err.Error()
				fmt.Fprintf(os.Stderr, "%s: %v\n", m.name, err)
				return nil
			}
			by[i], err = find(ctx, program)
			fmt.Fprintf(os.Stderr, "%s: %s\n", m.name, cmp.Or(by[i], "lives"))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	killed, tried := 0, 0
	for i, m := range all {
		if *only != "" && *only != m.name {
			continue
		}
		if strings.HasPrefix(by[i], unbuilt) {
			fmt.Printf("NONE   %s: %s\n", m.name, by[i])
			continue
		}
		if tried++; by[i] == "" {
			fmt.Printf("LIVES  %s (%s)\n", m.name, m.file)
			continue
		}
		killed++
		fmt.Printf("found  %s, by %s\n", m.name, by[i])
	}
	fmt.Printf("%d of %d mutants were found\n", killed, tried)
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}
