// Command citest takes arguments of "go test" and a list of known failures, and runs the tests. It prints their output and
// exits with status 1 on any failure that the list does not name, and on a panic, a data race, a failed build or a list
// that can't be read. CI calls it.
//
//	citest [-list FILE] [arguments of go test]
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
)

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file with the known failures")
	flag.Parse()
	ok, err := run(*list, "", flag.Args(), os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs go test in a directory and reports whether everything passed except for known failures. A missing list counts
// as empty.
func run(list, dir string, args []string, out io.Writer) (ok bool, err error) {
	known, err := readList(list)
	if err != nil {
		return false, fmt.Errorf("%s: %w", list, err)
	}
	for i := range known {
		known[i].print(out)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Dir, cmd.Stderr = dir, os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	eval := newEvaluator(known)
	if err := eval.readEvents(events, out); err != nil {
		return false, errors.Join(err, cmd.Wait())
	}
	if err := cmd.Wait(); err == nil {
		return eval.checkList(out), nil
	}
	if len(eval.packages) == 0 && len(eval.builds) == 0 {
		return false, errors.New("go test failed before it ran anything")
	}
	return eval.verdict(out), nil
}

func readList(path string) ([]knownFailure, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseList(f)
}
