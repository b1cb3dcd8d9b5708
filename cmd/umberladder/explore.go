package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"umberladder/driver"
	"umberladder/explore"
)

// exploreCommand returns "explore", the commands of the model checker.
func exploreCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "explore", Short: "Check the real engine against every order of events of a few clients and nodes"}
	cmd.AddCommand(exploreRunCommand(), exploreWalkCommand(), exploreReplayCommand())
	return cmd
}

func configFlags(cmd *cobra.Command, cfg *explore.Config) {
	f := cmd.Flags()
	f.IntVar(&cfg.Clients, "clients", cfg.Clients, "clients, each with a script of requests")
	f.IntVar(&cfg.Nodes, "nodes", cfg.Nodes, "nodes of the slice, the primary among them")
	f.IntVar(&cfg.Depth, "depth", cfg.Depth, "maximum number of events in a path")
	f.IntVar(&cfg.Resets, "resets", cfg.Resets, "connections that may break")
	f.IntVar(&cfg.Drains, "drains", cfg.Drains, "nodes that the node list may mark as draining")
	f.IntVar(&cfg.Crashes, "crashes", cfg.Crashes, "primaries that may crash; a replica is promoted each time")
	f.IntVar(&cfg.StalePrimaries, "zombies", cfg.StalePrimaries, "primaries that may be deposed without noticing")
	f.IntVar(&cfg.Disconnects, "leaves", cfg.Disconnects, "clients that may disconnect")
	f.StringSliceVar(&cfg.Script, "script", cfg.Script, "classes of each client's requests in sequence: article, own, fresh, write, post")
}

func exploreRunCommand() *cobra.Command {
	cfg := explore.Default()
	var o explore.Options
	var write string
	cmd := &cobra.Command{Use: "run", Short: "Explore every order of events up to a depth; exit 1 with the shortest trace if a property is violated", Args: cobra.NoArgs}
	configFlags(cmd, &cfg)
	f := cmd.Flags()
	f.IntVar(&o.Procs, "procs", runtime.GOMAXPROCS(0), "states expanded at once; the result does not depend on it")
	f.IntVar(&o.EndingInterval, "endings", 5, "one new state in so many is also run until all requests have ended")
	f.IntVar(&o.MaxStates, "states", 0, "end after the level that reaches this number of states; 0 for no bound")
	f.DurationVar(&o.TimeLimit, "limit", 0, "end after the level that exceeds this time; 0 for no bound")
	f.StringVar(&write, "write", "", "file to write the trace to")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		r, err := explore.Run(cmd.Context(), cfg, o, func(depth, states int) { fmt.Fprintf(cmd.ErrOrStderr(), "depth %d: %d states\n", depth, states) })
		if err != nil {
			return err
		}
		w := cmd.OutOrStdout()
		complete := ""
		if r.Complete {
			complete = ", complete"
		}
		fmt.Fprintf(w, "%d clients, %d nodes: %d states, %d transitions, depth %d%s, %d endings, %v\n", cfg.Clients, cfg.Nodes, r.States, r.Transitions, r.Depth, complete, r.Endings, r.Elapsed.Round(time.Millisecond))
		fmt.Fprintf(w, "new states by depth: %v\nseen: %s\n%d of %d moves of connections and attempts were made\n", r.ByDepth, strings.Join(r.Seen, ", "), r.LifecycleTransitions, len(driver.LegalTransitions()))
		n := len(r.Violations)
		if n > 0 {
			if err := replayViolation(cmd, cfg, r.Violations[0], write); err != nil {
				return err
			}
		}
		if r.Transitions == 0 {
			n++
		}
		if fmt.Fprintf(w, "rules broken: %d\n", n); n > 0 {
			return errReported
		}
		return nil
	}
	return cmd
}

func exploreWalkCommand() *cobra.Command {
	cfg := explore.Config{Clients: 6, Nodes: 5, Depth: 120, Resets: 5, Drains: 2, Crashes: 2, StalePrimaries: 1, Disconnects: 2, Script: []string{"write own write own", "post own post", "article fresh own write", "fresh write post own"}}
	var seed uint64
	var walks, procs int
	var write string
	cmd := &cobra.Command{Use: "walk", Short: "Take random walks through larger configurations; exit 1 with a short trace if a property is violated", Args: cobra.NoArgs}
	configFlags(cmd, &cfg)
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the random choices")
	f.IntVar(&walks, "walks", 2000, "number of walks")
	f.IntVar(&procs, "procs", runtime.GOMAXPROCS(0), "walks at once")
	f.StringVar(&write, "write", "", "file to write the trace to")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v, steps, err := explore.Walk(cmd.Context(), cfg, seed, walks, procs, nil)
		if err != nil {
			return err
		}
		w, n := cmd.OutOrStdout(), 0
		fmt.Fprintf(w, "%d walks, %d events\n", walks, steps)
		if v != nil {
			if err := replayViolation(cmd, cfg, *v, write); err != nil {
				return err
			}
			n++
		}
		if steps == 0 {
			n++
		}
		if fmt.Fprintf(w, "rules broken: %d\n", n); n > 0 {
			return errReported
		}
		return nil
	}
	return cmd
}

func replayViolation(cmd *cobra.Command, cfg explore.Config, v explore.Violation, write string) error {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "broken: %s\n", v.Message)
	if _, err := explore.Replay(w, cfg, v.Events); err != nil {
		return err
	}
	if write == "" {
		return nil
	}
	fmt.Fprintf(w, "play it again with: umberladder explore replay %s\n", write)
	return os.WriteFile(write, []byte(explore.FormatTrace(cfg, v)), 0o644)
}

func exploreReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a trace file and print each step; exit 1 if it violates a property",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, events, err := explore.ReadTrace(args[0])
			if err != nil {
				return err
			}
			broken, err := explore.Replay(cmd.OutOrStdout(), cfg, events)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if fmt.Fprintf(cmd.OutOrStdout(), "rules broken: %d\n", len(broken)); len(broken) > 0 {
				return errReported
			}
			return nil
		},
	}
}
