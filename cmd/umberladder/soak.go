package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"umberladder/lab/soak"
)

// soakCommand plays the driver's own process to its end, seed by seed.
func soakCommand() *cobra.Command {
	var seed uint64
	var seeds string
	s := &soak.Series{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "The driver of the shared platform as a process, told to end under clients and trouble, judged at the sockets",
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
			err = s.Play(cmd.Context(), first, last)
			s.Write(cmd.OutOrStdout())
			if err == nil && s.Broken() > 0 {
				return errQuiet
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "settles all that is drawn")
	flags.StringVar(&seeds, "seeds", "", "plays all seeds of a range, A-B, in place of one")
	flags.DurationVar(&s.For, "for", 0, "begins no further seed after this time")
	flags.StringVar(&s.Keep, "keep", "", "folder that gets each seed's configuration, log and trace")
	flags.IntVar(&s.Procs, "procs", 1, "seeds played side by side")
	return cmd
}
