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

// outputNode is a node as written in JSON and YAML. JSON always has all keys, for programs that read it.
type outputNode struct {
	Name    string            `json:"name" yaml:"name"`
	Host    string            `json:"host" yaml:"host"`
	Port    int               `json:"port" yaml:"port"`
	Slice   string            `json:"slice" yaml:"slice"`
	Zone    string            `json:"hall" yaml:"hall,omitempty"`
	State   State             `json:"state" yaml:"state"`
	Started *string           `json:"started" yaml:"started,omitempty"` // nil if unknown
	Labels  map[string]string `json:"labels" yaml:"labels,omitempty"`
}

func outputNodes(s *Set) []outputNode {
	nodes := make([]outputNode, len(s.Nodes))
	for i, n := range s.Nodes {
		nodes[i] = outputNode{n.Name, n.Host, n.Port, n.Slice, n.Zone, n.State, nil, n.Labels}
		if !n.Started.IsZero() {
			text := n.Started.Format(time.RFC3339)
			nodes[i].Started = &text
		}
	}
	return nodes
}

// Formats lists the formats that Write accepts.
var Formats = []string{"table", "json", "yaml", "csv"}

// Write writes the set to w in one of Formats. Parse accepts the yaml and csv output and returns an equal set. The error
// is that of w, or names an unknown format.
func (s *Set) Write(w io.Writer, format string) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(outputNodes(s))
	case "yaml":
		return s.writeYAML(w)
	case "csv":
		return s.writeCSV(w)
	case "table":
		return s.writeTable(w)
	}
	return fmt.Errorf("unknown format %q; want one of %v", format, Formats)
}

// writeYAML puts strings in quotes, so that no tool reads them as numbers or booleans.
func (s *Set) writeYAML(w io.Writer) error {
	var doc yaml.Node
	if err := doc.Encode(map[string][]outputNode{"nodes": outputNodes(s)}); err != nil {
		return err
	}
	quoteStrings(&doc, false)
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return err
	}
	return enc.Close()
}

func quoteStrings(n *yaml.Node, key bool) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!str" && !key {
		n.Style = yaml.DoubleQuotedStyle
	}
	for i, child := range n.Content {
		quoteStrings(child, n.Kind == yaml.MappingNode && i%2 == 0)
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
	for _, n := range outputNodes(s) {
		row := []string{n.Name, n.Host, strconv.Itoa(n.Port), n.Slice, n.Zone, string(n.State), ""}
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
		zone := n.Zone
		if zone == "" {
			zone = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.Slice, n.Name, n.Address(), zone, n.State, started, n.Origin)
	}
	return t.Flush()
}
