package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"umberladder/lab/record"
	"umberladder/lab/report"
)

// recordQueryCommand returns "lab query", which prints totals of a recording.
func recordQueryCommand() *cobra.Command {
	var q record.Query
	var where []string
	var attempts bool
	cmd := &cobra.Command{
		Use:   "query DIR",
		Short: "Print totals of a recording of lab run --record, grouped by class, node, time, trouble and more",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := record.Open(args[0])
			if err != nil {
				return err
			}
			for _, text := range where {
				c, err := record.ParseCondition(text)
				if err != nil {
					return err
				}
				q.Where = append(q.Where, c)
			}
			if attempts {
				q.Kind = record.KindAttempt
			}
			lines, err := r.Query(q)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			how := "simulated"
			if r.Manifest.Live {
				how = "live on stand-ins"
			}
			fmt.Fprintf(w, "%s, %s, seed %d\n", r.Manifest.Name, how, r.Manifest.Seed)
			if r.Incomplete || r.Manifest.Ended.IsZero() {
				fmt.Fprintln(w, "the run was killed or is still running: its last seconds are missing")
			}
			record.WriteSummaries(w, q, lines)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&q.By, "by", []string{"arm", "class"}, "fields to group rows by: "+fmt.Sprint(record.Fields()))
	f.StringArrayVar(&where, "where", nil, "only rows with FIELD=VALUE,… or FIELD!=VALUE,…; may be given more than once")
	f.DurationVar(&q.Window, "window", time.Second, "length of a window of --by window")
	f.IntVar(&q.Limit, "limit", 50, "maximum number of lines, those with the most rows; 0 for all")
	f.BoolVar(&attempts, "attempts", false, "rows of attempts instead of requests")
	return cmd
}

// reportCommand returns "lab report", which writes a recording as an HTML page.
func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR FILE.html",
		Short: "Write a recording as one self-contained HTML page",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := record.Open(args[0])
			if err != nil {
				return err
			}
			f, err := os.Create(args[1])
			if err != nil {
				return err
			}
			return errors.Join(report.Write(f, r), f.Close())
		},
	}
}
