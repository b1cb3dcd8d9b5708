// Command citest runs "go test" and passes over the failures of just those tests that a list of known failures names.
// Every other failure, a panic, a data race, a build that fails and a list that can't be read make it end with 1.
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
	green, err := run(*list, "", flag.Args(), os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
	}
	if err != nil || !green {
		os.Exit(1)
	}
}

// run runs go test in a directory and tells whether all went well but for known failures. A list that does not exist
// is empty.
func run(list, dir string, args []string, out io.Writer) (green bool, err error) {
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
	j := newJudge(known)
	if err := j.follow(events, out); err != nil {
		return false, errors.Join(err, cmd.Wait())
	}
	if err := cmd.Wait(); err == nil {
		return j.judgeList(out), nil
	}
	if len(j.packages) == 0 && len(j.builds) == 0 {
		return false, errors.New("go test failed before it ran anything")
	}
	return j.verdict(out), nil
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
