// Package conffile parses configuration files made of directives: one directive per line, with its arguments or with a
// block of directives in braces. NewParser takes the text of a file; Tree returns its directives and Err every problem,
// each with file, line and column. Packages settings, load, lab/experiment and explore read their files with it.
package conffile

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"umberladder/internal/spelling"
)

// NewParser returns a parser of text. file is the file's name in Problems. Text that is not UTF-8 or contains a NUL byte
// has one problem and no directives.
func NewParser(file, text string) *Parser {
	p := &Parser{file: file, lines: strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")}
	if i := strings.IndexByte(text, 0); i >= 0 || !utf8.ValidString(text) {
		p.problems = Problems{{file, 1 + strings.Count(text[:max(i, 0)], "\n"), 1, "not UTF-8 text"}}
		p.next = len(p.lines)
	}
	return p
}

// Tree parses the text and returns its top-level directives, those with problems included. Call it once, then Err.
func (p *Parser) Tree() []Directive { return p.blocks(Word{}, 0) }

// Err returns Problems, sorted by line and column, or nil if none was found so far.
func (p *Parser) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(p.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.problems
}

// UnknownDirective records the problem that w names no directive in known, and suggests the nearest one.
func (p *Parser) UnknownDirective(w Word, known []string) {
	if n := spelling.Nearest(w.Text, known, 1+len(w.Text)/3); n != "" {
		p.AddProblem(w, "unknown directive %q; did you mean %q?", w.Text, n)
		return
	}
	p.AddProblem(w, "unknown directive %q; known here: %s", w.Text, strings.Join(known, ", "))
}

// SingleArg returns the only argument of d. It returns false and records a problem if d has a block, or not exactly one
// argument.
func (p *Parser) SingleArg(d Directive) (Word, bool) {
	switch {
	case d.HasBlock:
		p.AddProblem(d.Name, "%s takes a value, not a block", d.Name.Text)
	case len(d.Args) == 0:
		p.AddProblem(d.Name, "%s needs a value", d.Name.Text)
	case len(d.Args) > 1:
		p.AddProblem(d.Args[1], "%s takes one value; quote a value that contains blanks", d.Name.Text)
	default:
		return d.Args[0], true
	}
	return Word{}, false
}

// IntArg sets *dst to the only argument of d, a whole number from least to most. Otherwise it records a problem.
func (p *Parser) IntArg(d Directive, dst *int, least, most int) {
	if w, ok := p.SingleArg(d); ok {
		p.ParseInt(w, d.Name.Text, dst, least, most)
	}
}

// ParseInt sets *dst to w, a whole number from least to most. Otherwise it records a problem that begins with name.
func (p *Parser) ParseInt(w Word, name string, dst *int, least, most int) {
	v, err := strconv.Atoi(w.Text)
	if err != nil || v < least || v > most {
		p.AddProblem(w, "%s: %q is no whole number from %d to %d", name, w.Text, least, most)
		return
	}
	*dst = v
}

// FloatArg sets *dst to the only argument of d, a number from least to most. Otherwise it records a problem.
func (p *Parser) FloatArg(d Directive, dst *float64, least, most float64) {
	if w, ok := p.SingleArg(d); ok {
		v, err := strconv.ParseFloat(w.Text, 64)
		if err != nil || !(v >= least && v <= most) {
			p.AddProblem(w, "%s: %q is no number from %g to %g", d.Name.Text, w.Text, least, most)
			return
		}
		*dst = v
	}
}

// Problem is one mistake in a file.
type Problem struct {
	File   string
	Line   int // from 1
	Column int // from 1, in characters
	Text   string
}

func (p Problem) Error() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text) }

// Problems lists every mistake of a file, sorted by line and column. As an error, it has one line for each.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Word is one word of a line, without its quotes.
type Word struct {
	Text         string
	Line, Column int // from 1; columns in characters
	Quoted       bool
}

// Is reports whether w equals text and was written without quotes.
func (w Word) Is(text string) bool { return !w.Quoted && w.Text == text }

// Directive is one line: its first word, the other words, and the directives of its block.
type Directive struct {
	Name     Word
	Args     []Word
	Block    []Directive
	HasBlock bool // has a block, which may be empty
}

// Parser turns text into directives and collects problems.
type Parser struct {
	file     string
	lines    []string
	next     int // index in lines of the next one to parse
	problems Problems
}

// AddProblem records a mistake at the position of w.
func (p *Parser) AddProblem(w Word, format string, args ...any) {
	p.problems = append(p.problems, Problem{p.file, w.Line, w.Column, fmt.Sprintf(format, args...)})
}

// blocks parses lines up to the brace that closes the block, or to the end of the file at depth 0. brace is the opening
// brace of the block.
func (p *Parser) blocks(brace Word, depth int) (all []Directive) {
	for p.next < len(p.lines) {
		words := p.words(p.next)
		p.next++
		if len(words) == 0 {
			continue
		}
		first, last := words[0], words[len(words)-1]
		if first.Is("}") {
			if len(words) > 1 {
				p.AddProblem(words[1], "nothing may follow a closing brace on its line")
			}
			if depth == 0 {
				p.AddProblem(first, "closing brace without a block")
				continue
			}
			return all
		}
		d := Directive{Name: first, Args: words[1:]}
		if last.Is("{") {
			d.HasBlock, d.Args = true, words[1:max(1, len(words)-1)]
			if first.Is("{") {
				p.AddProblem(first, "a block needs a name before its brace")
			}
			d.Block = p.blocks(last, depth+1)
		}
		for _, w := range d.Args {
			if w.Is("{") || w.Is("}") {
				p.AddProblem(w, "misplaced brace: an opening brace must end its line, a closing brace needs a line of its own")
			}
		}
		all = append(all, d)
	}
	if depth > 0 {
		p.AddProblem(brace, "this block is never closed")
	}
	return all
}

// words splits line n, counted from 0, into words. A word in double quotes may contain blanks, '#', \" and \\.
func (p *Parser) words(n int) (words []Word) {
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
			words = append(words, Word{Text: string(runes[from:i]), Line: n + 1, Column: from + 1})
		}
	}
	return words
}

func (p *Parser) quoted(runes []rune, from, line int) (Word, int) {
	w := Word{Line: line, Column: from + 1, Quoted: true}
	var b strings.Builder
	for i := from + 1; i < len(runes); i++ {
		switch {
		case runes[i] == '"':
			w.Text = b.String()
			return w, i + 1
		case runes[i] == '\\' && i+1 < len(runes) && (runes[i+1] == '"' || runes[i+1] == '\\'):
			i++
			b.WriteRune(runes[i])
		default:
			b.WriteRune(runes[i])
		}
	}
	p.AddProblem(w, "this quote is never closed")
	w.Text = b.String()
	return w, len(runes)
}

// LineCount returns the number of lines of the text, at least 1.
func (p *Parser) LineCount() int { return len(p.lines) }
