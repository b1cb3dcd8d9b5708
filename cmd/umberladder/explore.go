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

// exploreCommand goes through orders of events with the real engine.
func exploreCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "explore", Short: "Go through every order of events that can happen to a few clients and nodes, with the real engine"}
	cmd.AddCommand(exploreRun(), exploreWalk(), exploreReplay())
	return cmd
}

func settingFlags(cmd *cobra.Command, cfg *explore.Config) {
	f := cmd.Flags()
	f.IntVar(&cfg.Clients, "clients", cfg.Clients, "clients, each with a script of requests")
	f.IntVar(&cfg.Nodes, "nodes", cfg.Nodes, "nodes of the slice, the primary among them")
	f.IntVar(&cfg.Depth, "depth", cfg.Depth, "events of a path")
	f.IntVar(&cfg.Resets, "resets", cfg.Resets, "connections that may be cut")
	f.IntVar(&cfg.Drains, "drains", cfg.Drains, "nodes that the list may call away")
	f.IntVar(&cfg.Crashes, "crashes", cfg.Crashes, "primaries that may die, another being promoted")
	f.IntVar(&cfg.StalePrimaries, "zombies", cfg.StalePrimaries, "primaries that may be deposed without noticing")
	f.IntVar(&cfg.Disconnects, "leaves", cfg.Disconnects, "clients that may leave")
	f.StringSliceVar(&cfg.Script, "script", cfg.Script, "the classes of each client's requests, one after the other: article, own, fresh, write, post")
}

func exploreRun() *cobra.Command {
	cfg := explore.Default()
	var o explore.Options
	var write string
	cmd := &cobra.Command{Use: "run", Short: "Every order up to a depth; exit 1 with the shortest story if a property breaks", Args: cobra.NoArgs}
	settingFlags(cmd, &cfg)
	f := cmd.Flags()
	f.IntVar(&o.Procs, "procs", runtime.GOMAXPROCS(0), "at once; what is found is the same whatever it is")
	f.IntVar(&o.EndingInterval, "endings", 5, "one new state in so many is played to its quiet end")
	f.IntVar(&o.MaxStates, "states", 0, "end after the level in which so many are reached; 0: no bound")
	f.DurationVar(&o.TimeLimit, "limit", 0, "likewise after so long")
	f.StringVar(&write, "write", "", "file for the story")
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
		fmt.Fprintf(w, "new states by depth: %v\nseen: %s\n%d of %d moves of connections and attempts were made\n", r.ByDepth, strings.Join(r.Seen, ", "), r.LifecycleTransitions, len(driver.Moves()))
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
			return errQuiet
		}
		return nil
	}
	return cmd
}

func exploreWalk() *cobra.Command {
	cfg := explore.Config{Clients: 6, Nodes: 5, Depth: 120, Resets: 5, Drains: 2, Crashes: 2, StalePrimaries: 1, Disconnects: 2, Script: []string{"write own write own", "post own post", "article fresh own write", "fresh write post own"}}
	var seed uint64
	var walks, procs int
	var write string
	cmd := &cobra.Command{Use: "walk", Short: "Random ways through larger settings; exit 1 with a short story if a property breaks", Args: cobra.NoArgs}
	settingFlags(cmd, &cfg)
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "settles all that is drawn")
	f.IntVar(&walks, "walks", 2000, "ways to take")
	f.IntVar(&procs, "procs", runtime.GOMAXPROCS(0), "at once")
	f.StringVar(&write, "write", "", "file for the story")
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
			return errQuiet
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

func exploreReplay() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Play a story again and tell what happens; exit 1 if it breaks a property",
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
				return errQuiet
			}
			return nil
		},
	}
}
