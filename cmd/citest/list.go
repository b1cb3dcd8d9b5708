package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// testName identifies a test or a subtest; the names of subtests are separated by slashes.
type testName struct {
	Package string
	Test    string
}

func (n testName) String() string { return n.Package + " " + n.Test }

// knownFailure is one entry of the list: a fault that is not fixed yet.
type knownFailure struct {
	Tests   []testName // tests that fail because of the fault; none if no Go test shows it
	Command string     // command that reproduces the fault, with its seed
	Seen    string
	Issue   string
}

// parseList reads the list of known failures: entries separated by empty lines, each of lines "key: value" with the
// keys test (any number, "PACKAGE TEST"), command, seen and issue. Lines that begin with # are comments.
func parseList(r io.Reader) ([]knownFailure, error) {
	var all []knownFailure
	var entry *knownFailure
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(line, "#") {
			continue
		}
		if line == "" {
			entry = nil
			continue
		}
		if entry == nil {
			all = append(all, knownFailure{})
			entry = &all[len(all)-1]
		}
		if err := entry.set(line); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	for i := range all {
		if err := all[i].check(); err != nil {
			return nil, fmt.Errorf("entry %d: %w", i+1, err)
		}
	}
	return all, nil
}

// set parses one line of an entry.
func (k *knownFailure) set(line string) error {
	key, value, found := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	if !found || value == "" {
		return fmt.Errorf("%q is not of the form \"key: value\"", line)
	}
	switch key {
	case "test":
		pkg, test, found := strings.Cut(value, " ")
		if !found || strings.ContainsAny(test, " *") {
			return fmt.Errorf("%q is not of the form \"PACKAGE TEST\"", value)
		}
		k.Tests = append(k.Tests, testName{pkg, test})
		return nil
	case "command":
		return setOnce(&k.Command, key, value)
	case "seen":
		return setOnce(&k.Seen, key, value)
	case "issue":
		return setOnce(&k.Issue, key, value)
	}
	return fmt.Errorf("key %q is not known; there are test, command, seen and issue", key)
}

func setOnce(field *string, key, value string) error {
	if *field != "" {
		return fmt.Errorf("%s is already set", key)
	}
	*field = value
	return nil
}

// check returns an error if a required line is missing.
func (k *knownFailure) check() error {
	for _, field := range []struct{ key, value string }{{"command", k.Command}, {"seen", k.Seen}, {"issue", k.Issue}} {
		if field.value == "" {
			return fmt.Errorf("it has no line \"%s:\"", field.key)
		}
	}
	return nil
}

// print writes the entry as CI shows it.
func (k *knownFailure) print(w io.Writer) {
	fmt.Fprintf(w, "known failure (issue %s): %s\n  command: %s\n", k.Issue, k.Seen, k.Command)
	for _, test := range k.Tests {
		fmt.Fprintf(w, "  test: %s\n", test)
	}
}
