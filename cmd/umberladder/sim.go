package main

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"umberladder/lab/world"
)

// simCommand returns "lab sim", which runs a fleet of drivers in simulated time.
func simCommand() *cobra.Command {
	var drivers, slices, members, crashes int
	var rate float64
	var length time.Duration
	var seed uint64
	var keep string
	var judge, late bool
	keepModes := map[string]world.TokenPolicy{"all": world.KeepAllTokens, "lower": world.KeepLowerTokens, "writes": world.KeepWriteTokens}
	cmd := &cobra.Command{
		Use:   "sim",
		Short: "Run drivers' engines against modelled nodes in simulated time; figures are the model's",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := world.NewsroomConfig(drivers, slices, members, rate, length)
			cfg.Seed, cfg.Crashes, cfg.CheckSessions, cfg.LateReads = seed, crashes, judge, late
			var known bool
			if cfg.TokenPolicy, known = keepModes[keep]; !known {
				return fmt.Errorf("--keep %q is unknown; want all, lower or writes", keep)
			}
			defer debug.SetGCPercent(debug.SetGCPercent(400)) // trades memory for fewer collections; most objects are short-lived
			begin := time.Now()
			r, err := world.Run(cfg)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "simulated: %d drivers, %d nodes in %d slices, %.0f requests a second for %v, seed %d\n", drivers, slices*members, slices, rate, length, seed)
			fmt.Fprintf(w, "  requests %d, served %d (%d in target, %d reads at the primary), refused %d, failed %d\n", r.Requests, r.Served, r.InTarget, r.AtPrimary, r.Refused, r.Failed)
			fmt.Fprintf(w, "  reads with a token %d, %.3f of them at the primary; chances to break what sessions saw %d\n", r.SessionReads, float64(r.SessionReadsAtPrimary)/float64(max(1, r.SessionReads)), r.SessionChances)
			fmt.Fprintf(w, "  attempts %d, polls %d, events %d in %d steps, promotions %d\n", r.Attempts, r.Polls, r.Events, r.Steps, r.Promotions)
			fmt.Fprintf(w, "  digest %016x, %v of this machine's time\n", r.Digest, time.Since(begin).Round(time.Millisecond))
			broken := len(r.Broken)
			for _, b := range r.Broken {
				fmt.Fprintln(w, "  "+b)
			}
			if r.Served == 0 || crashes > 0 && r.Promotions == 0 {
				fmt.Fprintln(w, "  not shown: nothing was served, or no crash led to a promotion")
				broken++
			}
			fmt.Fprintf(w, "rules broken: %d\n", broken)
			if broken > 0 {
				return errReported
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&drivers, "drivers", 5, "drivers")
	f.IntVar(&slices, "slices", 10, "slices")
	f.IntVar(&members, "members", 6, "nodes of a slice")
	f.Float64Var(&rate, "rate", 500, "requests per second of all clients")
	f.DurationVar(&length, "length", 10*time.Second, "simulated time")
	f.IntVar(&crashes, "crashes", 2, "primaries that crash")
	f.StringVar(&keep, "keep", "all", "which tokens sessions keep: all, writes, lower (of reads the log position before them, a fault)")
	f.BoolVar(&judge, "judge", true, "check every value that sessions read")
	f.BoolVar(&late, "late", false, "half of the reads read their data as they end, not as they start")
	f.Uint64Var(&seed, "seed", 1, "seed of the random choices")
	return cmd
}
