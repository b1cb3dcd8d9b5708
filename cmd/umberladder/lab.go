package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"umberladder/lab"
	"umberladder/lab/memory"
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Play failures on loopback and judge the five rules by the traffic"}
	cmd.AddCommand(labRun("badday", "Overlapping troubles against several drivers, about ten seconds", lab.BadDay))
	cmd.AddCommand(labRun("inventory", "Drivers follow a file that is edited, cut, swapped and spoilt under load", lab.Inventory))
	cmd.AddCommand(labRun("chain", "Sessions through services and caches that lose and mix up tokens", lab.Chain))
	cmd.AddCommand(labRun("topology", "Promotions, old primaries that go on, two claimants, odd peers, about ten seconds", lab.Topology))
	cmd.AddCommand(labRun("overload", "Up to ten times the load that nodes can bear, simulated and live", lab.Overload))
	cmd.AddCommand(soakCommand(), historyCommand(), simCommand(), memoryCommand(), fleetCommand(), experimentCommand(), huntCommand(), recordingCommand(), reportCommand(), sweepCommand(), importCommand())
	var seed uint64
	replay := &cobra.Command{
		Use:   "replay DAY.json",
		Short: "Play a day of the users' bench, scaled down, through real drivers",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return judged(cmd, func() (*lab.Report, error) { return lab.Replay(args[0], seed) })
		},
	}
	replay.Flags().Uint64Var(&seed, "seed", 1, "settles all that is drawn")
	cmd.AddCommand(replay)
	return cmd
}

// historyCommand judges the session guarantees by what clients saw; --plant puts in a fault that it must find.
func historyCommand() *cobra.Command {
	plants := map[string]lab.Plant{"none": lab.NoPlant, "lower-tokens": lab.LowerTokens, "no-tokens": lab.NoTokens}
	var plant string
	cmd := labRun("history", "Sessions that hand on tokens, judged by the values that they saw", func(seed uint64) (*lab.Report, error) {
		p, ok := plants[plant]
		if !ok {
			return nil, fmt.Errorf("--plant %q is not known; there are none, lower-tokens, no-tokens", plant)
		}
		return lab.History(seed, p)
	})
	cmd.Flags().StringVar(&plant, "plant", "none", "a fault put in on purpose: lower-tokens, no-tokens")
	return cmd
}

// fleetCommand keeps a fleet up for whoever wants to send it something.
func fleetCommand() *cobra.Command {
	spec := lab.Spec{Node: lab.SmallNode}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Drivers before stand-in db nodes on loopback until SIGTERM, to send load to",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := lab.NewFleet(spec)
			if err != nil {
				return err
			}
			for _, g := range f.Groups {
				fmt.Fprintf(cmd.OutOrStdout(), "slice %s, %d stand-in nodes, primary %s\n", g.Name, len(g.Nodes()), g.Primary().Name)
			}
			for _, d := range f.Drivers {
				fmt.Fprintf(cmd.OutOrStdout(), "%s in %s on %s\n", d.Name, d.Hall, d.Addr())
			}
			<-cmd.Context().Done()
			return f.Close()
		},
	}
	f := cmd.Flags()
	f.IntVar(&spec.Slices, "slices", 1, "slices")
	f.IntVar(&spec.Members, "members", 4, "nodes of a slice, the primary among them")
	f.IntVar(&spec.Drivers, "drivers", 1, "drivers")
	f.Uint64Var(&spec.Seed, "seed", 1, "settles all that is drawn")
	return cmd
}

// memoryCommand bounds the memory of a driver that runs as a process of its own.
func memoryCommand() *cobra.Command {
	spec := memory.Spec{}
	mib := 0
	cmd := labRun("memory", "A driver under a memory limit: many streams and nodes, slow readers, a crowd", func(seed uint64) (r *lab.Report, err error) {
		spec.Seed, spec.Limit = seed, mib<<20
		if spec.Program, err = os.Executable(); err != nil {
			return nil, err
		}
		return memory.Run(spec)
	})
	flags := cmd.Flags()
	flags.IntVar(&mib, "limit", 256, "MiB that the driver may take up")
	flags.IntVar(&spec.Streams, "streams", 20000, "open client streams")
	flags.IntVar(&spec.Nodes, "nodes", 10000, "db nodes in the inventory")
	flags.IntVar(&spec.Reach, "reachable", 500, "of them, those that answer")
	flags.IntVar(&spec.Slow, "slow", 100, "clients that read large rows slowly")
	flags.IntVar(&spec.Crowd, "crowd", 5000, "calls that come at once")
	return cmd
}

// judged runs something and writes its report; a broken rule ends the program with exit status 1.
func judged(cmd *cobra.Command, run func() (*lab.Report, error)) error {
	r, err := run()
	if err != nil {
		return err
	}
	r.Write(cmd.OutOrStdout())
	if r.Broken() > 0 {
		return errQuiet
	}
	return nil
}

// labRun is a lab command that takes a seed and exits non-zero if a rule was broken.
func labRun(name, short string, run func(seed uint64) (*lab.Report, error)) *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return judged(cmd, func() (*lab.Report, error) { return run(seed) })
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", uint64(time.Now().UnixNano())%100000, "settles all that is drawn")
	return cmd
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Start a driver, stand-in nodes and clients, show a promotion, and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := lab.Demo(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if r.Broken() > 0 {
				return errQuiet
			}
			return nil
		},
	}
}
