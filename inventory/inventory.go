// Package inventory reads the list of database nodes from one or more files: CSV, a plain YAML list or Ansible's YAML
// inventory. The result is one complete Set of nodes, or Problems with file, line and column of every mistake. The server
// follows the files with a Watcher and keeps the last good set in a file; the command line checks, shows and converts
// inventories.
package inventory

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/internal/spelling"
)

// State is the state of a node as listed.
type State string

// The states of a node.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Removed  State = "gone"
)

// Origin is the position of a node or a mistake in the files.
type Origin struct {
	File   string
	Line   int // from 1
	Column int // from 1, in characters for YAML and in bytes for CSV; 0 for the whole line
}

// String returns FILE:LINE:COLUMN, or FILE:LINE if Column is 0.
func (o Origin) String() string {
	if o.Column > 0 {
		return fmt.Sprintf("%s:%d:%d", o.File, o.Line, o.Column)
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Node is one database node.
type Node struct {
	Name    string
	Host    string
	Port    int
	Slice   string
	Zone    string
	State   State
	Started time.Time // last start of its database process; zero if unknown
	Labels  map[string]string
	Origin  Origin
}

// Address returns the HOST:PORT that the node listens on.
func (n *Node) Address() string { return net.JoinHostPort(n.Host, strconv.Itoa(n.Port)) }

// Equal reports whether n and o have equal fields, apart from Origin.
func (n *Node) Equal(o *Node) bool {
	return n.Name == o.Name && n.Host == o.Host && n.Port == o.Port && n.Slice == o.Slice && n.Zone == o.Zone &&
		n.State == o.State && n.Started.Equal(o.Started) && mapsEqual(n.Labels, o.Labels)
}

func mapsEqual(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}

// Set is a complete inventory, sorted by slice, then name.
type Set struct{ Nodes []Node }

// Equal reports whether s and o have equal nodes, apart from their Origin.
func (s *Set) Equal(o *Set) bool {
	return slices.EqualFunc(s.Nodes, o.Nodes, func(a, b Node) bool { return a.Equal(&b) })
}

func (s *Set) sort() {
	slices.SortFunc(s.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(a.Name, b.Name))
	})
}

// Problem is one mistake in an inventory file.
type Problem struct {
	Origin
	Text string
}

func (p Problem) Error() string { return p.Origin.String() + ": " + p.Text }

// Problems lists the mistakes of all files, sorted by file, line and column. As an error, it has one line for each.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.CompactFunc(p, func(a, b Problem) bool { return a == b })
}

// Limits on the contents of an inventory.
const (
	maxFileBytes  = 64 << 20 // of one file
	maxNodes      = 200000   // of one inventory, after expansion of host ranges
	maxValueBytes = 1024     // of one label
	maxNameBytes  = 253      // of a name, host or zone
	maxSliceBytes = 64       // of the name of a slice, as in the settings
	maxDepth      = 64       // levels of nested groups or aliases
	maxLabels     = 64       // of one node
)

// fields lists the fields of a node in the order in which they are written. readHeader relies on labels being last.
var fields = []string{"name", "host", "port", "slice", "hall", "state", "started", "labels"}

// value is the text of a field and its position.
type value struct {
	text string
	at   Origin
}

// rawNode is a node as parsed from a file, not yet checked.
type rawNode struct {
	origin Origin
	values map[string]value // by field
	labels map[string]value
}

func newRawNode(at Origin) *rawNode {
	return &rawNode{origin: at, values: map[string]value{}, labels: map[string]value{}}
}

// collector gathers the nodes and problems of all files.
type collector struct {
	zones    []string // known zones; nil accepts any
	nodes    []Node
	problems Problems
}

func (c *collector) problem(at Origin, format string, args ...any) {
	c.problems = append(c.problems, Problem{at, fmt.Sprintf(format, args...)})
}

// add checks the fields of r and appends its node, with problems or without.
func (c *collector) add(r *rawNode) {
	n := Node{Origin: r.origin, State: Ready, Labels: map[string]string{}}
	n.Name = c.textField(r, "name", true, maxNameBytes)
	n.Host = c.textField(r, "host", true, maxNameBytes)
	n.Slice = c.textField(r, "slice", true, maxSliceBytes)
	n.Zone = c.textField(r, "hall", false, maxNameBytes)
	c.checkHost(r, n.Host)
	n.Port = c.parsePort(r)
	c.parseState(r, &n)
	c.parseStarted(r, &n)
	c.checkZone(r, n.Zone)
	if len(r.labels) > maxLabels {
		c.problem(r.origin, "node %q has %d labels; at most %d are allowed", n.Name, len(r.labels), maxLabels)
	}
	for k, v := range r.labels {
		if len(v.text) > maxValueBytes {
			c.problem(v.at, "label %q is longer than %d bytes", k, maxValueBytes)
		}
		n.Labels[k] = v.text
	}
	c.nodes = append(c.nodes, n)
}

func (c *collector) textField(r *rawNode, field string, required bool, most int) string {
	v, ok := r.values[field]
	switch {
	case !ok || v.text == "":
		if required {
			at := r.origin
			if ok {
				at = v.at
			}
			c.problem(at, "node %shas no %s", quotedName(r), field)
		}
	case strings.TrimSpace(v.text) != v.text:
		c.problem(v.at, "%s %q has leading or trailing blanks", field, v.text)
	case len(v.text) > most:
		c.problem(v.at, "%s is longer than %d bytes", field, most)
	case strings.ContainsFunc(v.text, func(ch rune) bool { return ch < ' ' || ch == 0x7f }):
		c.problem(v.at, "%s %q contains control characters", field, v.text)
	}
	return v.text
}

func quotedName(r *rawNode) string {
	if v := r.values["name"]; v.text != "" {
		return strconv.Quote(v.text) + " "
	}
	return ""
}

func (c *collector) checkHost(r *rawNode, host string) {
	v := r.values["host"]
	switch {
	case host == "":
	case strings.ContainsAny(host, " /\\@"):
		c.problem(v.at, "host %q is neither a host name nor an IP address", host)
	case strings.Contains(host, ":") && net.ParseIP(strings.Trim(host, "[]")) == nil:
		c.problem(v.at, "host %q contains a colon and is not an IPv6 address; put the port in the port field", host)
	case strings.Trim(host, "0123456789.") == "" && net.ParseIP(host) == nil:
		c.problem(v.at, "host %q is not an IPv4 address", host)
	}
}

func (c *collector) parsePort(r *rawNode) int {
	v, ok := r.values["port"]
	if !ok || v.text == "" {
		return 5432
	}
	n, err := strconv.Atoi(v.text)
	if err != nil || n < 1 || n > 65535 || v.text[0] == '0' || v.text[0] == '+' {
		c.problem(v.at, "port %q is not a plain number from 1 to 65535", v.text)
	}
	return n
}

func (c *collector) parseState(r *rawNode, n *Node) {
	v, ok := r.values["state"]
	if !ok || v.text == "" {
		return
	}
	n.State = State(v.text)
	if n.State != Ready && n.State != Draining && n.State != Removed {
		c.problem(v.at, "state %q is not one of ready, draining, gone%s", v.text, suggestion(v.text, []string{"ready", "draining", "gone"}))
	}
}

func (c *collector) parseStarted(r *rawNode, n *Node) {
	v, ok := r.values["started"]
	if !ok || v.text == "" {
		return
	}
	t, err := time.Parse(time.RFC3339, v.text)
	if err != nil {
		c.problem(v.at, "started %q is not an RFC 3339 time; write one like 2026-03-01T06:30:00Z", v.text)
	}
	n.Started = t
}

func (c *collector) checkZone(r *rawNode, zone string) {
	if c.zones == nil {
		return
	}
	v, ok := r.values["hall"]
	if !ok {
		v.at = r.origin
	}
	if !slices.Contains(c.zones, zone) {
		c.problem(v.at, "hall %q is not listed in the settings%s", zone, suggestion(zone, c.zones))
	}
}

// finish checks names and addresses for duplicates and returns the sorted set.
func (c *collector) finish() *Set {
	byName, byAddress := map[string]*Node{}, map[string]*Node{}
	for i := range c.nodes {
		n := &c.nodes[i]
		if first := byName[n.Name]; first != nil && n.Name != "" {
			c.problem(n.Origin, "node %q is already defined at %s", n.Name, first.Origin)
		} else {
			byName[n.Name] = n
		}
		key := strings.ToLower(n.Address())
		if first := byAddress[key]; first != nil && n.Host != "" && first.Name != n.Name && n.State != Removed && first.State != Removed {
			c.problem(n.Origin, "address %s is already used by node %q at %s", n.Address(), first.Name, first.Origin)
		} else {
			byAddress[key] = n
		}
	}
	if len(c.nodes) > maxNodes {
		c.problem(c.nodes[maxNodes].Origin, "more than %d nodes in the inventory", maxNodes)
	}
	set := &Set{Nodes: c.nodes}
	set.sort()
	return set
}

// suggestion returns "did you mean" with the known word nearest to text, or "" if none is near.
func suggestion(text string, known []string) string {
	if k := nearest(text, known); k != "" {
		return fmt.Sprintf("; did you mean %q?", k)
	}
	return ""
}

func nearest(text string, known []string) string { return spelling.Nearest(text, known, 2) }

// misspelled reports whether text is at most two edits away from a known word.
func misspelled(text string, known []string) bool { return nearest(text, known) != "" }
