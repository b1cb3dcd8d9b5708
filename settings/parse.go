// Package settings reads a driver's settings: a file of lines in the manner of classic daemons, each a
// directive with its arguments, some of them blocks in braces.
//
//	# a comment
//	hall reykjavik-a hafnarfjordur-b
//	class write {
//	    effect unsafe
//	    need   write
//	    target 500ms
//	}
//
// Reading never stops at the first mistake: Parse returns all of them, each with file, line and column.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"umberladder/internal/words"
)

// Problem is one mistake in a settings file.
type Problem struct {
	File   string
	Line   int // from 1
	Column int // from 1, in characters
	Text   string
}

func (p Problem) Error() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text) }

// Problems is every mistake of a file, in its order.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// word is one word of a line.
type word struct {
	text         string
	line, column int
	quoted       bool
}

func (w word) is(text string) bool { return !w.quoted && w.text == text }

// directive is one line, with the lines of its block.
type directive struct {
	name  word
	args  []word
	block []directive
	open  bool // it has a block, if an empty one
}

// parser turns text into directives and collects what is wrong.
type parser struct {
	file     string
	lines    []string
	at       int
	problems Problems
}

func (p *parser) problem(w word, format string, args ...any) {
	p.problems = append(p.problems, Problem{p.file, w.line, w.column, fmt.Sprintf(format, args...)})
}

// Read reads and checks the file at a path. The error is Problems, or what the system said of the file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse reads and checks settings; file is what problems name. The error, if any, is Problems.
func Parse(file, text string) (*Settings, error) {
	p := &parser{file: file, lines: strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")}
	if i := strings.IndexByte(text, 0); i >= 0 || !utf8.ValidString(text) {
		return nil, Problems{{file, 1 + strings.Count(text[:max(i, 0)], "\n"), 1, "not UTF-8 text"}}
	}
	tree := p.blocks(word{}, 0)
	s := p.bind(tree)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, p.problems
	}
	return s, nil
}

// IsProblems tells whether err is a list of mistakes in a file, as against a file that can't be read.
func IsProblems(err error) bool {
	var p Problems
	return errors.As(err, &p)
}

// blocks reads lines up to the brace that closes the block, or to the end of the file at depth 0.
func (p *parser) blocks(opened word, depth int) (all []directive) {
	for p.at < len(p.lines) {
		words := p.words(p.at)
		p.at++
		if len(words) == 0 {
			continue
		}
		first, last := words[0], words[len(words)-1]
		if first.is("}") {
			if len(words) > 1 {
				p.problem(words[1], "nothing may follow a closing brace on its line")
			}
			if depth == 0 {
				p.problem(first, "closing brace without a block")
				continue
			}
			return all
		}
		d := directive{name: first, args: words[1:]}
		if last.is("{") {
			d.open, d.args = true, words[1:max(1, len(words)-1)]
			if first.is("{") {
				p.problem(first, "a block needs a name before its brace")
			}
			d.block = p.blocks(last, depth+1)
		}
		for _, w := range d.args {
			if w.is("{") || w.is("}") {
				p.problem(w, "a brace stands alone: the opening one ends its line, the closing one has its own")
			}
		}
		all = append(all, d)
	}
	if depth > 0 {
		p.problem(opened, "this block is never closed")
	}
	return all
}

// words splits one line. A word in double quotes may hold blanks, '#', and \" and \\.
func (p *parser) words(n int) (words []word) {
	runes := []rune(strings.TrimSuffix(p.lines[n], "\r"))
	for i := 0; i < len(runes); {
		switch ch := runes[i]; {
		case ch == ' ' || ch == '\t':
			i++
		case ch == '#':
			return words
		case ch == '"':
			w, next := p.quoted(runes, i, n+1)
			words, i = append(words, w), next
		default:
			from := i
			for i < len(runes) && !strings.ContainsRune(" \t#\"", runes[i]) {
				i++
			}
			words = append(words, word{text: string(runes[from:i]), line: n + 1, column: from + 1})
		}
	}
	return words
}

func (p *parser) quoted(runes []rune, from, line int) (word, int) {
	w := word{line: line, column: from + 1, quoted: true}
	var b strings.Builder
	for i := from + 1; i < len(runes); i++ {
		switch {
		case runes[i] == '"':
			w.text = b.String()
			return w, i + 1
		case runes[i] == '\\' && i+1 < len(runes) && (runes[i+1] == '"' || runes[i+1] == '\\'):
			i++
			b.WriteRune(runes[i])
		default:
			b.WriteRune(runes[i])
		}
	}
	p.problem(w, "this quote is never closed")
	w.text = b.String()
	return w, len(runes)
}

// nearest is the known name that a mistyped one was most likely meant to be, "" if none is near.
func nearest(name string, known []string) string { return words.Nearest(name, known, 1+len(name)/3) }
