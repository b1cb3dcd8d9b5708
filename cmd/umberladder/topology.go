package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"umberladder/position"
	"umberladder/server"
)

// topologyCommand returns "topology", which shows a driver's primaries and the evidence for them, and fences nodes.
func topologyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "topology", Short: "Show a driver's primaries and the evidence for them; fence nodes"}
	cmd.AddCommand(topologyShowCommand("show", "Print each slice's term, its primary and the last report of each node", printTopology))
	cmd.AddCommand(topologyShowCommand("history", "Print the changes of each slice, with the claim that caused them", printTopologyHistory))
	cmd.AddCommand(topologyPostCommand("fence", "NODE", "Never take a node for the primary, whatever it claims; survives restarts with `state dir`"))
	cmd.AddCommand(topologyPostCommand("unfence", "NODE", "Lift a fence"))
	cmd.AddCommand(topologyPostCommand("forget", "SLICE", "Drop all knowledge of a slice, including its terms, after a manual restore to an older timeline"))
	return cmd
}

func topologyShowCommand(name, short string, show func(w io.Writer, s *server.TopologySlice)) *cobra.Command {
	cmd := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs}
	socket := controlSocketFlags(cmd)
	asJSON := cmd.Flags().Bool("json", false, "print the driver's answer as JSON")
	only := cmd.Flags().StringSlice("slice", nil, "only these slices")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		path, err := socket()
		if err != nil {
			return err
		}
		t, err := requestTopology(cmd, path, http.MethodGet, "/topology")
		if err != nil {
			return err
		}
		t.Slices = slices.DeleteFunc(t.Slices, func(s server.TopologySlice) bool { return len(*only) > 0 && !slices.Contains(*only, s.Name) })
		w := cmd.OutOrStdout()
		if *asJSON {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(t)
		}
		for i := range t.Slices {
			show(w, &t.Slices[i])
		}
		return nil
	}
	return cmd
}

func topologyPostCommand(name, of, short string) *cobra.Command {
	cmd := &cobra.Command{Use: name + " " + of, Short: short, Args: cobra.ExactArgs(1)}
	socket := controlSocketFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		path, err := socket()
		if err != nil {
			return err
		}
		t, err := requestTopology(cmd, path, http.MethodPost, "/topology/"+name+"/"+url.PathEscape(args[0]))
		if err != nil {
			return err
		}
		for i := range t.Slices {
			if s := &t.Slices[i]; s.Name == args[0] || slices.ContainsFunc(s.Nodes, func(n server.TopologyNode) bool { return n.Name == args[0] }) {
				printTopology(cmd.OutOrStdout(), s)
			}
		}
		return nil
	}
	return cmd
}

func requestTopology(cmd *cobra.Command, socket, method, path string) (*server.Topology, error) {
	text, err := requestControl(cmd.Context(), socket, method, path)
	if err != nil {
		return nil, err
	}
	var t server.Topology
	return &t, json.Unmarshal(text, &t)
}

func printTopology(out io.Writer, s *server.TopologySlice) {
	primary := s.Primary
	if primary == "" {
		primary = "nobody"
	}
	fmt.Fprintf(out, "slice %s, timeline %d, primary %s: %s\n", s.Name, s.Term, primary, s.Why)
	if len(s.Rivals) > 0 {
		fmt.Fprintf(out, "  claimed by %s; writes stop unless most of the slice follows one: make the others replicas, or fence them\n", strings.Join(s.Rivals, " and "))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  node\tis\tsaid\tat\tfollows\theard")
	for _, n := range s.Nodes {
		standing := n.Standing
		if n.Fenced && standing != "fenced" {
			standing += ", fenced"
		}
		follows := n.Upstream
		if follows == "" {
			follows = "-"
		}
		lastReport := "-"
		if n.Timeline > 0 {
			lastReport = fmt.Sprintf("%v ago by %s", time.Duration(n.Age*float64(time.Second)).Round(time.Millisecond), n.Channel)
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%v\t%s\t%s\n", n.Name, standing, n.Role, position.Position{Timeline: n.Timeline, LSN: n.LSN}, follows, lastReport)
	}
	w.Flush()
}

func printTopologyHistory(out io.Writer, s *server.TopologySlice) {
	fmt.Fprintf(out, "slice %s\n", s.Name)
	for _, h := range s.History {
		fmt.Fprintf(out, "  #%d %s %s", h.Number, h.At.Format("2006-01-02 15:04:05.000"), h.Change)
		if h.Role != "" {
			fmt.Fprintf(out, " (by a %s of %s: %s at %v)", h.Channel, h.Node, h.Role, position.Position{Timeline: h.Timeline, LSN: h.LSN})
		}
		fmt.Fprintln(out)
	}
}
