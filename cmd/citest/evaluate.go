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

// event is one line of the output of "go test -json"; see "go doc test2json".
type event struct {
	Action      string
	Package     string
	ImportPath  string // package of build output
	Test        string
	Output      string
	FailedBuild string
}

// outcome is the state of a test or a package as of the last event.
type outcome uint8

const (
	running outcome = iota
	passed
	failed
	skipped
)

var outcomeOfAction = map[string]outcome{"run": running, "pass": passed, "fail": failed, "skip": skipped}

// packageRun is the state of one package's tests.
type packageRun struct {
	outcome     outcome
	tests       map[string]outcome
	output      map[string]string // by test: pending output of tests that are running or failed
	wroteOutput map[string]bool   // tests that wrote a line other than the testing package's own
	fault       string            // a fault that the list of known failures can't excuse, "" for none
}

// evaluator evaluates a run of "go test -json" against the list of known failures.
type evaluator struct {
	known    []knownFailure
	packages map[string]*packageRun
	builds   []string // packages that did not build
}

func newEvaluator(known []knownFailure) *evaluator {
	return &evaluator{known: known, packages: map[string]*packageRun{}}
}

// readEvents reads events until io.EOF and copies the output of builds, packages and failed tests to w.
func (eval *evaluator) readEvents(r io.Reader, w io.Writer) error {
	for decoder := json.NewDecoder(r); ; {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("output of go test -json: %w", err)
		}
		if _, err := io.WriteString(w, eval.handleEvent(&e)); err != nil {
			return err
		}
	}
}

// handleEvent applies one event and returns the text to show now.
func (eval *evaluator) handleEvent(e *event) (show string) {
	if e.Action == "build-fail" {
		eval.builds = append(eval.builds, e.ImportPath)
	}
	if e.Package == "" {
		return e.Output
	}
	run := eval.packages[e.Package]
	if run == nil {
		run = &packageRun{tests: map[string]outcome{}, output: map[string]string{}, wroteOutput: map[string]bool{}}
		eval.packages[e.Package] = run
	}
	if e.FailedBuild != "" {
		run.fault = "it did not build"
	}
	if e.Action == "output" {
		return run.print(e)
	}
	end, ok := outcomeOfAction[e.Action]
	if !ok {
		return ""
	}
	if e.Test == "" {
		run.outcome = end
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

// framePrefixes are the prefixes of the lines that the testing package writes for each test.
var framePrefixes = []string{"=== ", "--- "}

// print scans a line of output for faults. It returns the text to show now; the output of a test is kept until the
// test's outcome is known.
func (p *packageRun) print(e *event) (show string) {
	line := strings.TrimSpace(e.Output)
	switch {
	case strings.HasPrefix(line, "panic: "):
		p.fault = "a panic"
	case strings.HasPrefix(line, "fatal error: "):
		p.fault = "a fatal error"
	case line == "WARNING: DATA RACE":
		p.fault = "a data race"
	}
	isFrame := slices.ContainsFunc(framePrefixes, func(prefix string) bool { return strings.HasPrefix(line, prefix) })
	if e.Test != "" && line != "" && !isFrame {
		p.wroteOutput[e.Test] = true
	}
	switch {
	case strings.HasPrefix(line, "=== "):
		return ""
	case e.Test != "":
		p.output[e.Test] += e.Output
		return ""
	}
	return p.takeOutput() + e.Output
}

// takeOutput removes and returns the kept output of the tests that failed or did not end. It is shown before the next
// line of the package.
func (p *packageRun) takeOutput() (text string) {
	for _, test := range slices.Sorted(maps.Keys(p.output)) {
		text += p.output[test]
		delete(p.output, test)
	}
	return text
}

// verdict prints which failures were passed over and which were not, and reports whether the run passes.
func (eval *evaluator) verdict(w io.Writer) (ok bool) {
	ok = len(eval.builds) == 0
	for _, name := range eval.builds {
		fmt.Fprintf(w, "not passed over: %s did not build\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(eval.packages)) {
		if !eval.checkPackage(name, w) {
			ok = false
		}
	}
	return eval.checkList(w) && ok
}

// checkPackage reports whether a package passed, or failed because of listed tests only.
func (eval *evaluator) checkPackage(name string, w io.Writer) bool {
	run := eval.packages[name]
	if run.outcome == passed || run.outcome == skipped {
		return true
	}
	if run.fault != "" {
		fmt.Fprintf(w, "not passed over: %s: %s\n", name, run.fault)
		return false
	}
	var excused, unexcused []string
	for test, end := range run.tests {
		switch {
		case end == running:
			unexcused = append(unexcused, test+" did not end")
		case end == failed && eval.listed(testName{name, test}):
			excused = append(excused, test)
		case end == failed && !run.failedBySubtests(test):
			unexcused = append(unexcused, test)
		}
	}
	slices.Sort(excused)
	slices.Sort(unexcused)
	for _, test := range excused {
		fmt.Fprintf(w, "passed over, a known failure: %s %s\n", name, test)
	}
	for _, test := range unexcused {
		fmt.Fprintf(w, "not passed over: %s %s\n", name, test)
	}
	if len(excused) == 0 && len(unexcused) == 0 {
		fmt.Fprintf(w, "not passed over: %s failed and no test of it did\n", name)
	}
	return len(excused) > 0 && len(unexcused) == 0
}

// failedBySubtests reports whether a test wrote nothing itself and has a failed subtest. The outcome of such a test
// follows from its subtests.
func (p *packageRun) failedBySubtests(test string) bool {
	if p.wroteOutput[test] {
		return false
	}
	for other, end := range p.tests {
		if end == failed && strings.HasPrefix(other, test+"/") {
			return true
		}
	}
	return false
}

func (eval *evaluator) listed(name testName) bool {
	return slices.ContainsFunc(eval.known, func(k knownFailure) bool { return slices.Contains(k.Tests, name) })
}

// checkList prints the listed tests that passed and those that don't exist in the packages run. It reports whether all
// exist.
func (eval *evaluator) checkList(w io.Writer) (complete bool) {
	complete = true
	for _, k := range eval.known {
		for _, test := range k.Tests {
			run := eval.packages[test.Package]
			if run == nil || run.fault != "" {
				continue
			}
			switch end, ran := run.tests[test.Test]; {
			case !ran:
				fmt.Fprintf(w, "the list of known failures names %s, which is no test here\n", test)
				complete = false
			case end == passed:
				fmt.Fprintf(w, "in the list of known failures, but passed: %s\n", test)
			}
		}
	}
	return complete
}
