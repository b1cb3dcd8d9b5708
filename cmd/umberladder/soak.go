package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"umberladder/lab/soak"
)

// soakCommand returns "lab soak", which runs the driver's process from start to shutdown, once per seed.
func soakCommand() *cobra.Command {
	var seed uint64
	var seeds string
	s := &soak.Series{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run the shared platform's driver as a process, shut it down under load and faults, and check its traffic",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			first, last := seed, seed
			if seeds != "" {
				var err error
				if first, last, err = soak.ParseSeeds(seeds); err != nil {
					return fmt.Errorf("--seeds: %w", err)
				}
			}
			var err error
			if s.Program, err = os.Executable(); err != nil {
				return err
			}
			s.Out = cmd.OutOrStdout()
			err = s.Run(cmd.Context(), first, last)
			s.Write(cmd.OutOrStdout())
			if err == nil && s.Broken() > 0 {
				return errReported
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed of the random choices")
	flags.StringVar(&seeds, "seeds", "", "range of seeds to run, A-B, instead of one")
	flags.DurationVar(&s.For, "for", 0, "start no further seed after this time; 0 for no bound")
	flags.StringVar(&s.KeepDir, "keep", "", "directory for each seed's configuration, log and trace")
	flags.IntVar(&s.Procs, "procs", 1, "seeds to run at once")
	return cmd
}
