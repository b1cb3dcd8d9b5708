package main

import (
	"time"

	"github.com/spf13/cobra"

	"umberladder/lab"
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Play failures on loopback and judge the five rules by the traffic"}
	cmd.AddCommand(labRun("badday", "Overlapping troubles against several drivers, about ten seconds", lab.BadDay))
	return cmd
}

// labRun is a lab command that takes a seed and exits non-zero if a rule was broken.
func labRun(name, short string, run func(seed uint64) (*lab.Report, error)) *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := run(seed)
			if err != nil {
				return err
			}
			r.Write(cmd.OutOrStdout())
			if r.Broken() > 0 {
				return errQuiet
			}
			return nil
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
