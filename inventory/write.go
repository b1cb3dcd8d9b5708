package inventory

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"
)

// plainNode is a node as JSON and YAML are written: exactly these keys.
type plainNode struct {
	Name    string            `json:"name" yaml:"name"`
	Host    string            `json:"host" yaml:"host"`
	Port    int               `json:"port" yaml:"port"`
	Slice   string            `json:"slice" yaml:"slice"`
	Hall    string            `json:"hall" yaml:"hall,omitempty"`
	State   State             `json:"state" yaml:"state"`
	Started *string           `json:"started" yaml:"started,omitempty"` // null if not told
	Labels  map[string]string `json:"labels" yaml:"labels,omitempty"`
}

func plainOf(s *Set) []plainNode {
	nodes := make([]plainNode, len(s.Nodes))
	for i, n := range s.Nodes {
		nodes[i] = plainNode{n.Name, n.Host, n.Port, n.Slice, n.Hall, n.State, nil, n.Labels}
		if !n.Started.IsZero() {
			text := n.Started.Format(time.RFC3339)
			nodes[i].Started = &text
		}
	}
	return nodes
}

// Formats are the forms that Write knows.
var Formats = []string{"table", "json", "yaml", "csv"}

// Write writes a set, sorted by slice, then name. What it writes as YAML or CSV can be read again.
func (s *Set) Write(w io.Writer, format string) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(plainOf(s))
	case "yaml":
		return s.writeYAML(w)
	case "csv":
		return s.writeCSV(w)
	case "table":
		return s.writeTable(w)
	}
	return fmt.Errorf("format %q is none of %v", format, Formats)
}

// writeYAML writes texts in quotes, so that no tool reads them as anything else.
func (s *Set) writeYAML(w io.Writer) error {
	var doc yaml.Node
	if err := doc.Encode(map[string][]plainNode{"nodes": plainOf(s)}); err != nil {
		return err
	}
	quoteTexts(&doc, false)
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return err
	}
	return enc.Close()
}

func quoteTexts(n *yaml.Node, key bool) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!str" && !key {
		n.Style = yaml.DoubleQuotedStyle
	}
	for i, child := range n.Content {
		quoteTexts(child, n.Kind == yaml.MappingNode && i%2 == 0)
	}
}

func (s *Set) labelNames() []string {
	var names []string
	for _, n := range s.Nodes {
		for k := range n.Labels {
			if !slices.Contains(names, k) {
				names = append(names, k)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (s *Set) writeCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	labels := s.labelNames()
	header := []string{"name", "host", "port", "slice", "hall", "state", "started"}
	for _, l := range labels {
		header = append(header, "label:"+l)
	}
	out.Write(header)
	for _, n := range plainOf(s) {
		row := []string{n.Name, n.Host, strconv.Itoa(n.Port), n.Slice, n.Hall, string(n.State), ""}
		if n.Started != nil {
			row[6] = *n.Started
		}
		for _, l := range labels {
			row = append(row, n.Labels[l])
		}
		out.Write(row)
	}
	out.Flush()
	return out.Error()
}

func (s *Set) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SLICE\tNAME\tADDRESS\tHALL\tSTATE\tSTARTED\tWHERE")
	for _, n := range s.Nodes {
		started := "-"
		if !n.Started.IsZero() {
			started = n.Started.Format(time.RFC3339)
		}
		hall := n.Hall
		if hall == "" {
			hall = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.Slice, n.Name, n.Address(), hall, n.State, started, n.Origin)
	}
	return t.Flush()
}
