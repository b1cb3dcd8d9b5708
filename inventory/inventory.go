// Package inventory reads the list of db nodes as configuration tools keep it: CSV, Ansible's YAML inventory or
// a plain YAML list, in one file or many. It says of every mistake which file, line and column it stands in, and
// yields either one whole set of nodes or none.
package inventory

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberladder/internal/words"
)

// State is what the list says of a node.
type State string

// The states of a node.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Origin is where a node, or a mistake, stands in the files.
type Origin struct {
	File   string
	Line   int // from 1
	Column int // from 1, in characters; 0 if the whole line is meant
}

func (o Origin) String() string {
	if o.Column > 0 {
		return fmt.Sprintf("%s:%d:%d", o.File, o.Line, o.Column)
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Node is one db node.
type Node struct {
	Name    string
	Host    string
	Port    int
	Slice   string
	Hall    string
	State   State
	Started time.Time // last start of its process; zero if not told
	Labels  map[string]string
	Origin  Origin
}

// Address is where the node listens.
func (n *Node) Address() string { return net.JoinHostPort(n.Host, strconv.Itoa(n.Port)) }

// Equal tells whether two nodes say the same, wherever they stand.
func (n *Node) Equal(o *Node) bool {
	return n.Name == o.Name && n.Host == o.Host && n.Port == o.Port && n.Slice == o.Slice && n.Hall == o.Hall &&
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

// Set is a whole inventory, sorted by slice, then name.
type Set struct{ Nodes []Node }

// Equal tells whether two sets hold the same nodes.
func (s *Set) Equal(o *Set) bool {
	return slices.EqualFunc(s.Nodes, o.Nodes, func(a, b Node) bool { return a.Equal(&b) })
}

func (s *Set) sort() {
	slices.SortFunc(s.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(a.Name, b.Name))
	})
}

// Problem is one mistake.
type Problem struct {
	Origin
	Text string
}

func (p Problem) Error() string { return p.Origin.String() + ": " + p.Text }

// Problems is every mistake of all files.
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

// Limits bound what a file may make of itself.
const (
	maxFile   = 64 << 20 // bytes of one file
	maxNodes  = 200000   // nodes of one inventory, host ranges counted out
	maxValue  = 1024     // characters of one value
	maxName   = 253      // characters of a name or host
	maxSlice  = 64       // bytes of the name of a slice, as tokens carry it
	maxDepth  = 64       // groups within groups, aliases within aliases
	maxLabels = 64       // labels of one node
)

// fields are the known fields of a node, in the order in which they are written.
var fields = []string{"name", "host", "port", "slice", "hall", "state", "started", "labels"}

// value is a field's text with where it stands.
type value struct {
	text string
	at   Origin
}

// raw is a node as a reader found it, before it is checked.
type raw struct {
	origin Origin
	values map[string]value // by field
	labels map[string]value
}

func newRaw(at Origin) *raw {
	return &raw{origin: at, values: map[string]value{}, labels: map[string]value{}}
}

// collector gathers what is found in all files.
type collector struct {
	halls    []string // known ones; nil if any will do
	nodes    []Node
	problems Problems
}

func (c *collector) problem(at Origin, format string, args ...any) {
	c.problems = append(c.problems, Problem{at, fmt.Sprintf(format, args...)})
}

// add checks a node's fields and keeps it.
func (c *collector) add(r *raw) {
	n := Node{Origin: r.origin, State: Ready, Labels: map[string]string{}}
	n.Name = c.text(r, "name", true, maxName)
	n.Host = c.text(r, "host", true, maxName)
	n.Slice = c.text(r, "slice", true, maxSlice)
	n.Hall = c.text(r, "hall", false, maxName)
	c.host(r, n.Host)
	n.Port = c.port(r)
	c.state(r, &n)
	c.startedAt(r, &n)
	c.knownHall(r, n.Hall)
	if len(r.labels) > maxLabels {
		c.problem(r.origin, "node %q has %d labels, %d at most", n.Name, len(r.labels), maxLabels)
	}
	for k, v := range r.labels {
		if len(v.text) > maxValue {
			c.problem(v.at, "label %q has over %d characters", k, maxValue)
		}
		n.Labels[k] = v.text
	}
	c.nodes = append(c.nodes, n)
}

func (c *collector) text(r *raw, field string, must bool, most int) string {
	v, ok := r.values[field]
	switch {
	case !ok || v.text == "":
		if must {
			at := r.origin
			if ok {
				at = v.at
			}
			c.problem(at, "node %slacks %s", quotedName(r), field)
		}
	case strings.TrimSpace(v.text) != v.text:
		c.problem(v.at, "%s %q has blanks around it", field, v.text)
	case len(v.text) > most:
		c.problem(v.at, "%s has over %d characters", field, most)
	case strings.ContainsFunc(v.text, func(ch rune) bool { return ch < ' ' || ch == 0x7f }):
		c.problem(v.at, "%s %q holds control characters", field, v.text)
	}
	return v.text
}

func quotedName(r *raw) string {
	if v := r.values["name"]; v.text != "" {
		return strconv.Quote(v.text) + " "
	}
	return ""
}

func (c *collector) host(r *raw, host string) {
	v := r.values["host"]
	switch {
	case host == "":
	case strings.ContainsAny(host, " /\\@"):
		c.problem(v.at, "host %q is neither a name nor an address", host)
	case strings.Contains(host, ":") && net.ParseIP(strings.Trim(host, "[]")) == nil:
		c.problem(v.at, "host %q holds a colon and is no IPv6 address; the port has a field of its own", host)
	case strings.Trim(host, "0123456789.") == "" && net.ParseIP(host) == nil:
		c.problem(v.at, "host %q is no IPv4 address", host)
	}
}

func (c *collector) port(r *raw) int {
	v, ok := r.values["port"]
	if !ok || v.text == "" {
		return 5432
	}
	n, err := strconv.Atoi(v.text)
	if err != nil || n < 1 || n > 65535 || v.text[0] == '0' || v.text[0] == '+' {
		c.problem(v.at, "port %q is no number from 1 to 65535", v.text)
	}
	return n
}

func (c *collector) state(r *raw, n *Node) {
	v, ok := r.values["state"]
	if !ok || v.text == "" {
		return
	}
	n.State = State(v.text)
	if n.State != Ready && n.State != Draining && n.State != Gone {
		c.problem(v.at, "state %q is none of ready, draining, gone%s", v.text, hint(v.text, []string{"ready", "draining", "gone"}))
	}
}

func (c *collector) startedAt(r *raw, n *Node) {
	v, ok := r.values["started"]
	if !ok || v.text == "" {
		return
	}
	t, err := time.Parse(time.RFC3339, v.text)
	if err != nil {
		c.problem(v.at, "started %q is no time of RFC 3339; write one like 2026-03-01T06:30:00Z", v.text)
	}
	n.Started = t
}

func (c *collector) knownHall(r *raw, hall string) {
	if c.halls == nil {
		return
	}
	v, ok := r.values["hall"]
	if !ok {
		v.at = r.origin
	}
	if !slices.Contains(c.halls, hall) {
		c.problem(v.at, "hall %q is not in the settings%s", hall, hint(hall, c.halls))
	}
}

// whole checks what only all nodes together tell, and returns the set.
func (c *collector) whole() *Set {
	byName, byAddress := map[string]*Node{}, map[string]*Node{}
	for i := range c.nodes {
		n := &c.nodes[i]
		if first := byName[n.Name]; first != nil && n.Name != "" {
			c.problem(n.Origin, "node %q stands in %s too", n.Name, first.Origin)
		} else {
			byName[n.Name] = n
		}
		key := strings.ToLower(n.Address())
		if first := byAddress[key]; first != nil && n.Host != "" && first.Name != n.Name && n.State != Gone && first.State != Gone {
			c.problem(n.Origin, "address %s is that of node %q in %s", n.Address(), first.Name, first.Origin)
		} else {
			byAddress[key] = n
		}
	}
	if len(c.nodes) > maxNodes {
		c.problem(c.nodes[maxNodes].Origin, "over %d nodes", maxNodes)
	}
	set := &Set{Nodes: c.nodes}
	set.sort()
	return set
}

// hint names the known word that a mistyped one was most likely meant to be.
func hint(text string, known []string) string {
	if k := nearest(text, known); k != "" {
		return fmt.Sprintf("; did you mean %q?", k)
	}
	return ""
}

func nearest(text string, known []string) string { return words.Nearest(text, known, 2) }

// slip tells whether a text is one or two letters away from a known word, as mistyped ones are.
func slip(text string, known []string) bool { return nearest(text, known) != "" }
