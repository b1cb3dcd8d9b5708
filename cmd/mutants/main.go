// Command mutants is a mutation test: it takes the faults listed in explore/testdata/mutants.txt or
// lab/soak/testdata/mutants.txt and builds the program with each of them through a build overlay. It prints for each
// fault whether the model checker, or the soak of the driver's process, found it. Developers run it by hand.
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

// The lists of mutants.
const (
	explorerMutants = "explore/testdata/mutants.txt"
	soakMutants     = "lab/soak/testdata/mutants.txt"
)

// mutant is a fault: the replacement of a text in one file.
type mutant struct{ name, file, old, new string }

// readMutants reads a list of mutants. Each one begins with "### NAME" and "file: PATH"; the old text follows between
// "<<<<" and "====", the new one between "====" and ">>>>".
func readMutants(path string) ([]mutant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all []mutant
	for i, part := range strings.Split("\n"+string(text), "\n### ")[1:] {
		head, rest, ok1 := strings.Cut(part, "\n<<<<\n")
		old, rest, ok2 := strings.Cut(rest, "\n====\n")
		replacement, _, ok3 := strings.Cut(rest, "\n>>>>")
		name, file, ok4 := strings.Cut(head, "\nfile: ")
		if !ok1 || !ok2 || !ok3 || !ok4 {
			return nil, fmt.Errorf("%s: mutant %d is malformed", path, i+1)
		}
		all = append(all, mutant{strings.TrimSpace(name), strings.TrimSpace(file), old, replacement})
	}
	return all, nil
}

// apply returns the content of the mutant's file with the fault. root is the repository's folder. It fails if the old text
// does not stand there exactly once.
func (m *mutant) apply(root string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(root, m.file))
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(text), m.old); n != 1 {
		return nil, fmt.Errorf("%s contains the old text %d times, want 1", m.file, n)
	}
	return []byte(strings.Replace(string(text), m.old, m.new, 1)), nil
}

// build builds cmd/umberladder with the fault into dir and returns the program's path.
func (m *mutant) build(ctx context.Context, dir string) (string, error) {
	text, err := m.apply(".")
	if err != nil {
		return "", err
	}
	changed, overlay, program := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "umberladder")
	absolute, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	list, _ := json.Marshal(map[string]map[string]string{"Replace": {absolute: changed}})
	if err := errors.Join(os.WriteFile(changed, text, 0o600), os.WriteFile(overlay, list, 0o600)); err != nil {
		return "", err
	}
	if out, err := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", program, "./cmd/umberladder").CombinedOutput(); err != nil {
		return "", fmt.Errorf("it does not build: %s", out)
	}
	return program, nil
}

// findByExplorer runs the model checker of a program and returns the arguments of the run that found a fault with the
// broken property, or "" if none was found. A run that fails otherwise or does not end within 2 minutes
// also counts as finding the fault.
func findByExplorer(ctx context.Context, program string) (string, error) {
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

// findBySoak runs the soak with a program and returns the seeds and rules that found a fault, or "" if none was found.
func findBySoak(ctx context.Context, program string, first, last uint64) (string, error) {
	s := &soak.Series{Program: program, Procs: 2, Out: io.Discard}
	if err := s.Run(ctx, first, last); err != nil {
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

// notBuilt is the prefix of the result of a mutant that could not be built.
const notBuilt = "it can't be built: "

func run() error {
	onlyName := flag.String("only", "", "name of the only mutant to try")
	procs := flag.Int("procs", 2, "mutants tried at once")
	seeds := flag.String("soak", "", "range of seeds, A-B, of the soak to run instead of the model checker")
	flag.Parse()
	list, find := explorerMutants, findByExplorer
	if *seeds != "" {
		first, last, err := soak.ParseSeeds(*seeds)
		if err != nil {
			return fmt.Errorf("-soak: %w", err)
		}
		list = soakMutants
		find = func(ctx context.Context, program string) (string, error) {
			return findBySoak(ctx, program, first, last)
		}
	}
	all, err := readMutants(list)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(*procs)
	foundBy := make([]string, len(all))
	for i, m := range all {
		if *onlyName != "" && *onlyName != m.name {
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
				foundBy[i] = notBuilt + err.Error()
				fmt.Fprintf(os.Stderr, "%s: %v\n", m.name, err)
				return nil
			}
			foundBy[i], err = find(ctx, program)
			fmt.Fprintf(os.Stderr, "%s: %s\n", m.name, cmp.Or(foundBy[i], "lives"))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	found, tried := 0, 0
	for i, m := range all {
		if *onlyName != "" && *onlyName != m.name {
			continue
		}
		if strings.HasPrefix(foundBy[i], notBuilt) {
			fmt.Printf("NONE   %s: %s\n", m.name, foundBy[i])
			continue
		}
		if tried++; foundBy[i] == "" {
			fmt.Printf("LIVES  %s (%s)\n", m.name, m.file)
			continue
		}
		found++
		fmt.Printf("found  %s, by %s\n", m.name, foundBy[i])
	}
	fmt.Printf("%d of %d mutants were found\n", found, tried)
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}
