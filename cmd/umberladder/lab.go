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
	cmd := &cobra.Command{Use: "lab", Short: "Inject failures on loopback and check the five rules by the traffic"}
	cmd.AddCommand(seededCommand("badday", "Overlapping faults against several drivers, about ten seconds", lab.BadDay))
	cmd.AddCommand(seededCommand("inventory", "Drivers follow a file that is edited, truncated, replaced and corrupted under load", lab.Inventory))
	cmd.AddCommand(seededCommand("chain", "Sessions through services and caches that lose and confuse tokens", lab.Chain))
	cmd.AddCommand(seededCommand("topology", "Promotions, deposed primaries that keep running, two claimants, unexpected peers, about ten seconds", lab.Topology))
	cmd.AddCommand(seededCommand("overload", "Up to ten times the capacity of the nodes, simulated and live", lab.Overload))
	cmd.AddCommand(soakCommand(), historyCommand(), simCommand(), memoryCommand(), fleetCommand(), experimentCommand(), huntCommand(), recordQueryCommand(), reportCommand(), sweepCommand(), importCommand())
	var seed uint64
	replay := &cobra.Command{
		Use:   "replay DAY.json",
		Short: "Play a day of the users' benchmark, scaled down, with real drivers",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runAndReport(cmd, func() (*lab.Report, error) { return lab.Replay(args[0], seed) })
		},
	}
	replay.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	cmd.AddCommand(replay)
	return cmd
}

// historyCommand returns "lab history", which checks the session guarantees by the values that clients read. --plant
// injects a fault that the check must find.
func historyCommand() *cobra.Command {
	plants := map[string]lab.Plant{"none": lab.NoPlant, "lower-tokens": lab.LowerTokens, "no-tokens": lab.NoTokens}
	var plant string
	cmd := seededCommand("history", "Sessions that pass on tokens, checked by the values that they read", func(seed uint64) (*lab.Report, error) {
		p, ok := plants[plant]
		if !ok {
			return nil, fmt.Errorf("--plant %q is unknown; want none, lower-tokens or no-tokens", plant)
		}
		return lab.History(seed, p)
	})
	cmd.Flags().StringVar(&plant, "plant", "none", "a fault to inject: lower-tokens, no-tokens")
	return cmd
}

// fleetCommand returns "lab fleet", which runs drivers and stand-in nodes for manual tests.
func fleetCommand() *cobra.Command {
	spec := lab.Spec{Node: lab.SmallNode}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run drivers and stand-in db nodes on loopback until SIGTERM, as a target for load",
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
				fmt.Fprintf(cmd.OutOrStdout(), "%s in %s on %s\n", d.Name, d.Zone, d.Addr())
			}
			<-cmd.Context().Done()
			return f.Close()
		},
	}
	f := cmd.Flags()
	f.IntVar(&spec.Slices, "slices", 1, "slices")
	f.IntVar(&spec.Members, "members", 4, "nodes of a slice, the primary among them")
	f.IntVar(&spec.Drivers, "drivers", 1, "drivers")
	f.Uint64Var(&spec.Seed, "seed", 1, "seed of the random choices")
	return cmd
}

// memoryCommand returns "lab memory", which checks the memory limit of a driver that runs as a separate process.
func memoryCommand() *cobra.Command {
	spec := memory.Spec{}
	mib := 0
	cmd := seededCommand("memory", "A driver under a memory limit: many streams and nodes, slow readers, a burst of calls", func(seed uint64) (r *lab.Report, err error) {
		spec.Seed, spec.MemoryLimit = seed, mib<<20
		if spec.Program, err = os.Executable(); err != nil {
			return nil, err
		}
		return memory.Run(spec)
	})
	flags := cmd.Flags()
	flags.IntVar(&mib, "limit", 256, "memory limit of the driver in MiB")
	flags.IntVar(&spec.Streams, "streams", 20000, "open client streams")
	flags.IntVar(&spec.Nodes, "nodes", 10000, "db nodes in the inventory")
	flags.IntVar(&spec.ReachableNodes, "reachable", 500, "number of these nodes that answer")
	flags.IntVar(&spec.SlowReaders, "slow", 100, "clients that read large rows slowly")
	flags.IntVar(&spec.BurstCalls, "crowd", 5000, "calls sent at once")
	return cmd
}

// runAndReport runs a laboratory bench and writes its report. A broken rule ends the program with exit status 1.
func runAndReport(cmd *cobra.Command, run func() (*lab.Report, error)) error {
	r, err := run()
	if err != nil {
		return err
	}
	r.Write(cmd.OutOrStdout())
	if r.Broken() > 0 {
		return errReported
	}
	return nil
}

// seededCommand returns a lab command that takes a seed and exits with status 1 if a rule was broken.
func seededCommand(name, short string, run func(seed uint64) (*lab.Report, error)) *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAndReport(cmd, func() (*lab.Report, error) { return run(seed) })
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", uint64(time.Now().UnixNano())%100000, "seed of the random choices")
	return cmd
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Start a driver, stand-in nodes and clients, show a promotion, and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := lab.Demo(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if r.Broken() > 0 {
				return errReported
			}
			return nil
		},
	}
}
