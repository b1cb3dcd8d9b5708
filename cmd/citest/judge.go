package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// event is one line of the output of "go test -json", as "go doc test2json" describes it.
type event struct {
	Action      string
	Package     string
	ImportPath  string // of build output
	Test        string
	Output      string
	FailedBuild string
}

// result is what became of a test or a package.
type result uint8

const (
	running result = iota
	passed
	failed
	skipped
)

var resultOfAction = map[string]result{"run": running, "pass": passed, "fail": failed, "skip": skipped}

// packageRun is what is known of the tests of one package.
type packageRun struct {
	end    result
	tests  map[string]result
	output map[string]string // of tests that have not ended, and of those that failed
	noted  map[string]bool   // tests that wrote a line of their own
	broken string            // a fault that no listed test excuses, "" for none
}

// judge follows the events of a run of "go test -json".
type judge struct {
	known    []knownFailure
	packages map[string]*packageRun
	builds   []string // packages that did not build
}

func newJudge(known []knownFailure) *judge {
	return &judge{known: known, packages: map[string]*packageRun{}}
}

// follow reads events to their end and copies what packages and builds say to w, and what tests say that fail.
func (j *judge) follow(r io.Reader, w io.Writer) error {
	for decoder := json.NewDecoder(r); ; {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("output of go test -json: %w", err)
		}
		if _, err := io.WriteString(w, j.take(&e)); err != nil {
			return err
		}
	}
}

// take follows one event and returns the text that is to be shown now.
func (j *judge) take(e *event) (show string) {
	if e.Action == "build-fail" {
		j.builds = append(j.builds, e.ImportPath)
	}
	if e.Package == "" {
		return e.Output
	}
	run := j.packages[e.Package]
	if run == nil {
		run = &packageRun{tests: map[string]result{}, output: map[string]string{}, noted: map[string]bool{}}
		j.packages[e.Package] = run
	}
	if e.FailedBuild != "" {
		run.broken = "it did not build"
	}
	if e.Action == "output" {
		return run.print(e)
	}
	end, ok := resultOfAction[e.Action]
	if !ok {
		return ""
	}
	if e.Test == "" {
		run.end = end
		return ""
	}
	run.tests[e.Test] = end
	if end == skipped {
		show = run.output[e.Test]
	}
	if end == passed || end == skipped {
		delete(run.output, e.Test)
	}
	return show
}

// framing is how the lines begin that the testing package itself writes of each test.
var framing = []string{"=== ", "--- "}

// print notes what a line of output says of a package. It returns lines of the package itself; those of its tests are
// kept until their end is known.
func (p *packageRun) print(e *event) (show string) {
	line := strings.TrimSpace(e.Output)
	switch {
	case strings.HasPrefix(line, "panic: "):
		p.broken = "a panic"
	case strings.HasPrefix(line, "fatal error: "):
		p.broken = "a fatal error"
	case line == "WARNING: DATA RACE":
		p.broken = "a data race"
	}
	framed := slices.ContainsFunc(framing, func(prefix string) bool { return strings.HasPrefix(line, prefix) })
	if e.Test != "" && line != "" && !framed {
		p.noted[e.Test] = true
	}
	switch {
	case strings.HasPrefix(line, "=== "):
		return ""
	case e.Test != "":
		p.output[e.Test] += e.Output
		return ""
	}
	return p.rest() + e.Output
}

// rest is what was kept of tests that failed or did not end, which is due before the next line of their package.
func (p *packageRun) rest() (text string) {
	for _, test := range slices.Sorted(maps.Keys(p.output)) {
		text += p.output[test]
		delete(p.output, test)
	}
	return text
}

// verdict says what was passed over and what was not, and whether the run counts as green.
func (j *judge) verdict(w io.Writer) (green bool) {
	green = len(j.builds) == 0
	for _, name := range j.builds {
		fmt.Fprintf(w, "not passed over: %s did not build\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(j.packages)) {
		if !j.judgePackage(name, w) {
			green = false
		}
	}
	return j.judgeList(w) && green
}

// judgePackage tells whether a package passed, or failed by listed tests alone.
func (j *judge) judgePackage(name string, w io.Writer) bool {
	run := j.packages[name]
	if run.end == passed || run.end == skipped {
		return true
	}
	if run.broken != "" {
		fmt.Fprintf(w, "not passed over: %s: %s\n", name, run.broken)
		return false
	}
	var over, bad []string
	for test, end := range run.tests {
		switch {
		case end == running:
			bad = append(bad, test+" did not end")
		case end == failed && j.listed(testName{name, test}):
			over = append(over, test)
		case end == failed && !run.failedBySubtests(test):
			bad = append(bad, test)
		}
	}
	slices.Sort(over)
	slices.Sort(bad)
	for _, test := range over {
		fmt.Fprintf(w, "passed over, a known failure: %s %s\n", name, test)
	}
	for _, test := range bad {
		fmt.Fprintf(w, "not passed over: %s %s\n", name, test)
	}
	if len(over) == 0 && len(bad) == 0 {
		fmt.Fprintf(w, "not passed over: %s failed and no test of it did\n", name)
	}
	return len(over) > 0 && len(bad) == 0
}

// failedBySubtests tells whether a test failed with a subtest and wrote nothing itself, so that its subtests are all
// that is to be judged.
func (p *packageRun) failedBySubtests(test string) bool {
	if p.noted[test] {
		return false
	}
	for other, end := range p.tests {
		if end == failed && strings.HasPrefix(other, test+"/") {
			return true
		}
	}
	return false
}

func (j *judge) listed(name testName) bool {
	return slices.ContainsFunc(j.known, func(k knownFailure) bool { return slices.Contains(k.Tests, name) })
}

// judgeList tells of listed tests that passed, and whether those that this run should have had were there.
func (j *judge) judgeList(w io.Writer) (whole bool) {
	whole = true
	for _, k := range j.known {
		for _, test := range k.Tests {
			run := j.packages[test.Package]
			if run == nil || run.broken != "" {
				continue
			}
			switch end, ran := run.tests[test.Test]; {
			case !ran:
				fmt.Fprintf(w, "the list of known failures names %s, which is no test here\n", test)
				whole = false
			case end == passed:
				fmt.Fprintf(w, "in the list of known failures, but passed: %s\n", test)
			}
		}
	}
	return whole
}
