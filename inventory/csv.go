package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
)

// readCSV reads one CSV file: RFC 4180 and the usual additions of spreadsheets and tools, which are a byte order mark,
// CRLF, semicolons or tabs as separators, empty columns at the end and comment lines that begin with '#'.
func (c *collector) readCSV(file string, text []byte) {
	r := csv.NewReader(bytes.NewReader(text))
	r.Comma, r.Comment, r.FieldsPerRecord = separator(text), '#', -1
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		c.problem(Origin{file, 1, 0}, "no header line; the first line must name the columns")
		return
	}
	if err != nil {
		c.csvError(file, err)
		return
	}
	columns := c.readHeader(file, r, header)
	rows := 0
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.csvError(file, err)
			return // the rows after a wrong quote cannot be delimited
		}
		rows++
		c.readRow(file, r, columns, record)
	}
	if rows == 0 {
		c.problem(Origin{file, 1, 0}, "no nodes below the header line")
	}
	if last := text[len(text)-1]; last != '\n' && last != '\r' {
		c.checkTruncated(file, text, columns)
	}
}

// checkTruncated records a problem if the last line, which has no line ending, has fewer columns than the header: tools
// end their last line, so the file was most likely truncated.
func (c *collector) checkTruncated(file string, text []byte, columns []string) {
	line := text[bytes.LastIndexByte(text, '\n')+1:]
	if n := bytes.Count(line, []byte(string(separator(text)))); n+1 < len(columns) {
		c.problem(Origin{file, 1 + bytes.Count(text, []byte("\n")), 0}, "the last line is incomplete; the file may be truncated")
	}
}

// separator returns the separator that is most frequent in the header line.
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
		c.problem(at, "a quoted field that begins on this line is not closed correctly before line %d", e.Line)
	case errors.Is(e.Err, csv.ErrQuote):
		at.Column = e.Column
		c.problem(at, "misplaced quote; within a quoted field, write two quotes for one")
	case errors.Is(e.Err, csv.ErrBareQuote):
		at.Line, at.Column = e.Line, e.Column
		c.problem(at, "quote within a field that is not quoted")
	default:
		c.problem(at, "%v", e.Err)
	}
}

// readHeader returns the field of each column, "label:" and a name for labels, and "" for columns that are ignored.
func (c *collector) readHeader(file string, r *csv.Reader, header []string) []string {
	columns := make([]string, len(header))
	for len(columns) > 1 && strings.TrimSpace(header[len(columns)-1]) == "" {
		columns = columns[:len(columns)-1] // spreadsheets leave empty columns at the end
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
			c.problem(at, "column %q has no label name", text)
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
			c.problem(at, "unknown column %q%s", text, suggestion(name, append(fields[:len(fields)-1:len(fields)-1], "ansible_host", "ansible_port")))
		}
		if columns[i] != "" && slices.Contains(columns[:i], columns[i]) {
			c.problem(at, "duplicate column %q", text)
		}
	}
	for _, required := range []string{"name", "host", "slice"} {
		if !slices.Contains(columns, required) {
			c.problem(Origin{file, 1, 0}, "missing column %q", required)
		}
	}
	return columns
}

func (c *collector) readRow(file string, r *csv.Reader, columns, record []string) {
	line, _ := r.FieldPos(0)
	if slices.IndexFunc(record, func(s string) bool { return strings.TrimSpace(s) != "" }) < 0 {
		return // nothing but separators
	}
	n := newRawNode(Origin{file, line, 0})
	if len(record) < len(columns) {
		c.problem(n.origin, "the row has %d fields, the header %d columns", len(record), len(columns))
	}
	for i, text := range record {
		line, col := r.FieldPos(i)
		at := Origin{file, line, col}
		if i >= len(columns) {
			if strings.TrimSpace(text) != "" {
				c.problem(at, "field %q has no column in the header", text)
			}
			continue
		}
		c.checkMergeMarker(at, text)
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

// checkMergeMarker records a problem if text begins with a merge conflict marker.
func (c *collector) checkMergeMarker(at Origin, text string) {
	for _, mark := range []string{"<<<<<<< ", "=======", ">>>>>>> "} {
		if strings.HasPrefix(text, mark) {
			c.problem(at, "unresolved merge conflict")
		}
	}
}
