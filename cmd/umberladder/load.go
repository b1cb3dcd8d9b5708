package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"umberladder/load"
)

// loadCommand returns "load", which sends requests to drivers and checks goals.
func loadCommand() *cobra.Command {
	var drivers, slices, goals []string
	var rate float64
	var callers int
	var duration, warmUp time.Duration
	var seed uint64
	var quiet bool
	cmd := &cobra.Command{
		Use:   "load PLAN",
		Short: "Send requests to drivers, in an open loop by default; exit 1 if a goal is missed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := load.Read(args[0])
			if err != nil {
				return err
			}
			set := cmd.Flags().Changed
			if len(drivers) > 0 {
				p.Drivers = drivers
			}
			if len(slices) > 0 {
				p.Slices = slices
			}
			if set("rate") {
				p.Rate, p.Callers = rate, 0
			}
			if set("callers") {
				p.Callers, p.Shape = callers, load.Shape{}
			}
			if set("for") {
				p.Duration = duration
			}
			if set("warm-up") {
				p.WarmUp = warmUp
			}
			if set("seed") {
				p.Seed = seed
			}
			for _, text := range goals {
				g, err := load.ParseGoal(text)
				if err != nil {
					return fmt.Errorf("--require %w", err)
				}
				p.Goals = append(p.Goals, g)
			}
			if err := p.Check(); err != nil {
				return err
			}
			var progress io.Writer
			if !quiet {
				progress = cmd.ErrOrStderr()
			}
			r, err := load.Run(cmd.Context(), p, progress)
			if err != nil {
				return err
			}
			if r.Write(cmd.OutOrStdout()); !r.Passed() {
				return errReported
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&drivers, "driver", nil, "addresses of drivers, instead of the plan's")
	f.StringSliceVar(&slices, "slice", nil, "slices, instead of the plan's")
	f.Float64Var(&rate, "rate", 0, "requests per second, instead of the plan's")
	f.IntVar(&callers, "callers", 0, "closed loop with this number of callers, instead of a rate")
	f.DurationVar(&duration, "for", 0, "length of the measurement, instead of the plan's")
	f.DurationVar(&warmUp, "warm-up", 0, "time of load before the measurement, instead of the plan's")
	f.Uint64Var(&seed, "seed", 0, "seed of the random choices, instead of the plan's")
	f.StringArrayVar(&goals, "require", nil, `a goal in addition to the plan's, like "p99(own-read) < 50ms", "served(all) > 99%" or "rate(all) > 400"`)
	f.BoolVarP(&quiet, "quiet", "q", false, "print no progress line each second")
	return cmd
}
