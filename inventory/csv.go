package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
)

// readCSV reads one CSV file: RFC 4180 with what spreadsheets and tools add, namely a byte order mark, CRLF,
// semicolons or tabs as separators, empty columns at the end and lines of comment that begin with '#'.
func (c *collector) readCSV(file string, text []byte) {
	r := csv.NewReader(bytes.NewReader(text))
	r.Comma, r.Comment, r.FieldsPerRecord = separator(text), '#', -1
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		c.problem(Origin{file, 1, 0}, "no header line; the first line names the columns")
		return
	}
	if err != nil {
		c.csvError(file, err)
		return
	}
	columns := c.header(file, r, header)
	rows := 0
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.csvError(file, err)
			return // what follows a broken quote can't be told apart
		}
		rows++
		c.row(file, r, columns, record)
	}
	if rows == 0 {
		c.problem(Origin{file, 1, 0}, "no node below the header line")
	}
	if last := text[len(text)-1]; last != '\n' && last != '\r' {
		c.cutOff(file, text, columns)
	}
}

// cutOff looks at a last line without an end. Tools end their last line; one that has fewer columns than the
// header was most likely cut.
func (c *collector) cutOff(file string, text []byte, columns []string) {
	line := text[bytes.LastIndexByte(text, '\n')+1:]
	if n := bytes.Count(line, []byte(string(separator(text)))); n+1 < len(columns) {
		c.problem(Origin{file, 1 + bytes.Count(text, []byte("\n")), 0}, "the file ends within this line; it looks cut off")
	}
}

// separator is the one that the header line holds most of.
func separator(text []byte) rune {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) == 0 || line[0] == '#' {
			continue
		}
		best, most := ',', 0
		for _, sep := range []rune{',', ';', '\t'} {
			if n := bytes.Count(line, []byte(string(sep))); n > most {
				best, most = sep, n
			}
		}
		return best
	}
	return ','
}

func (c *collector) csvError(file string, err error) {
	var e *csv.ParseError
	if !errors.As(err, &e) {
		c.problem(Origin{file, 1, 0}, "%v", err)
		return
	}
	at := Origin{file, e.StartLine, 0}
	switch {
	case errors.Is(e.Err, csv.ErrQuote) && e.Line > e.StartLine:
		c.problem(at, "a quoted field begins in this line and is not closed rightly before line %d", e.Line)
	case errors.Is(e.Err, csv.ErrQuote):
		at.Column = e.Column
		c.problem(at, "a quote is out of place; double it inside a quoted field")
	case errors.Is(e.Err, csv.ErrBareQuote):
		at.Line, at.Column = e.Line, e.Column
		c.problem(at, "a quote stands inside a field that has none around it")
	default:
		c.problem(at, "%v", e.Err)
	}
}

// header maps columns to fields; "" is a column to pass over.
func (c *collector) header(file string, r *csv.Reader, header []string) []string {
	columns := make([]string, len(header))
	for len(columns) > 1 && strings.TrimSpace(header[len(columns)-1]) == "" {
		columns = columns[:len(columns)-1] // empty ones at the end, as spreadsheets leave
	}
	for i := range columns {
		line, col := r.FieldPos(i)
		at := Origin{file, line, col}
		text := strings.TrimSpace(header[i])
		name := strings.ToLower(text)
		label, isLabel := strings.CutPrefix(name, "label:")
		switch {
		case name == "":
			c.problem(at, "column %d has no name", i+1)
		case isLabel && strings.TrimSpace(label) == "":
			c.problem(at, "column %q names no label", text)
		case isLabel:
			columns[i] = "label:" + strings.TrimSpace(text[len("label:"):])
		case name == "ansible_host":
			columns[i] = "host"
		case name == "ansible_port":
			columns[i] = "port"
		case name != "labels" && slices.Contains(fields, name):
			columns[i] = name
		case strings.HasPrefix(name, "ansible_"):
			columns[i] = "label:" + name
		default:
			c.problem(at, "unknown column %q%s", text, hint(name, append(fields[:len(fields)-1:len(fields)-1], "ansible_host", "ansible_port")))
		}
		if columns[i] != "" && slices.Contains(columns[:i], columns[i]) {
			c.problem(at, "column %q stands twice", text)
		}
	}
	for _, must := range []string{"name", "host", "slice"} {
		if !slices.Contains(columns, must) {
			c.problem(Origin{file, 1, 0}, "no column %q", must)
		}
	}
	return columns
}

func (c *collector) row(file string, r *csv.Reader, columns, record []string) {
	line, _ := r.FieldPos(0)
	if slices.IndexFunc(record, func(s string) bool { return strings.TrimSpace(s) != "" }) < 0 {
		return // only separators
	}
	n := newRaw(Origin{file, line, 0})
	if len(record) < len(columns) {
		c.problem(n.origin, "%d fields under %d columns", len(record), len(columns))
	}
	for i, text := range record {
		line, col := r.FieldPos(i)
		at := Origin{file, line, col}
		if i >= len(columns) {
			if strings.TrimSpace(text) != "" {
				c.problem(at, "field %q stands under no column", text)
			}
			continue
		}
		c.mergeMark(at, text)
		if label, ok := strings.CutPrefix(columns[i], "label:"); ok {
			if text != "" {
				n.labels[label] = value{text, at}
			}
		} else if columns[i] != "" {
			n.values[columns[i]] = value{strings.TrimSpace(text), at}
		}
	}
	c.add(n)
}

// mergeMark notes the marks that an unresolved merge leaves.
func (c *collector) mergeMark(at Origin, text string) {
	for _, mark := range []string{"<<<<<<< ", "=======", ">>>>>>> "} {
		if strings.HasPrefix(text, mark) {
			c.problem(at, "unresolved merge conflict")
		}
	}
}
