// Package settings reads the settings file of a driver: directives, one per line, some of them with a block in braces.
// Read and Parse return Settings, or every problem of the file at once, each with file, line and column. The command
// line calls them; the server runs with the result and the laboratory builds its drivers from it.
//
//	# a comment
//	hall reykjavik-a hafnarfjordur-b
//	class write {
//	    effect unsafe
//	    need   write
//	    target 500ms
//	}
package settings

import (
	"errors"
	"fmt"
	"os"

	"umberladder/internal/conffile"
	"umberladder/internal/spelling"
)

// Problem is one mistake in a settings file, with its position.
type Problem = conffile.Problem

// Problems lists every mistake of a file, sorted by line and column.
type Problems = conffile.Problems

type (
	word      = conffile.Word
	directive = conffile.Directive
)

// Read reads and checks the settings file at path. The error is Problems, or wraps that of os.ReadFile.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses and checks the text of a settings file. The argument file is the file's name in
// Problems. The error, if any, is Problems.
func Parse(file, text string) (*Settings, error) {
	p := conffile.NewParser(file, text)
	tree := p.Tree()
	if err := p.Err(); err != nil && len(tree) == 0 {
		return nil, err
	}
	s := bind(p, tree)
	if err := p.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// IsProblems reports whether err is or wraps Problems, that is, the file could be read but has mistakes.
func IsProblems(err error) bool {
	var p Problems
	return errors.As(err, &p)
}

// nearest returns the known name most similar to name, or "" if none is similar.
func nearest(name string, known []string) string { return spelling.Nearest(name, known, 1+len(name)/3) }
