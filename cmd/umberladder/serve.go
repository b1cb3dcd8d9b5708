package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"umberladder/server"
	"umberladder/settings"
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve CONFIG",
		Short: "Run a driver until SIGTERM; SIGHUP reloads the nodes of CONFIG and the token keys",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if err != nil {
				return err
			}
			log, err := newLog(s)
			if err != nil {
				return err
			}
			defer log.Sync()
			var seed [8]byte
			rand.Read(seed[:])
			if s.Memory > 0 {
				// The other eighth covers the program itself and overshoot of the limit.
				debug.SetMemoryLimit(int64(s.Memory) / 8 * 7)
			}
			srv, err := server.New(s, log, binary.BigEndian.Uint64(seed[:]))
			if err != nil {
				return err
			}
			onSIGHUP(cmd.Context(), func() { reload(args[0], srv, log) })
			return srv.Run(cmd.Context())
		},
	}
}

// onSIGHUP calls f at each SIGHUP, one call at a time, until ctx ends. Later SIGHUPs are ignored and don't end the
// process, which may still be serving accepted requests.
func onSIGHUP(ctx context.Context, f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				f()
			}
		}
	}()
}

// reload applies the nodes of the settings file at path and the token keys. A file with an error changes nothing.
func reload(path string, srv *server.Server, log *zap.Logger) {
	s, err := settings.Read(path)
	if err != nil {
		log.Error("settings rejected, the previous ones stay in force: " + err.Error())
		return
	}
	if err := srv.ReloadKeys(); err != nil {
		log.Error("token keys rejected, the previous ones stay in force: " + err.Error())
	}
	if len(s.Inventory) == 0 {
		srv.SetNodes(s.Nodes)
		log.Info("nodes reloaded", zap.Int("nodes", len(s.Nodes)))
	}
}

// newLog returns a log that writes to standard error. Repeats of a message within s.LogRepeat are dropped.
func newLog(s *settings.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewConsoleEncoder
	if s.LogFormat == "json" {
		encoder = zapcore.NewJSONEncoder
	}
	core := newLogCore(encoder, level)
	if s.LogRepeat > 0 {
		core = zapcore.NewSamplerWithOptions(core, s.LogRepeat, 1, 0)
	}
	return zap.New(core), nil
}

// newLogCore returns a core that writes messages of a level or above to standard error, with ISO 8601 times.
func newLogCore(encoder func(zapcore.EncoderConfig) zapcore.Encoder, level zapcore.Level) zapcore.Core {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewCore(encoder(enc), zapcore.Lock(os.Stderr), level)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CONFIG",
		Short: "Print every error in a settings file; exit 1 if there is one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if settings.IsProblems(err) {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
				return errReported
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good; %d classes, %d nodes\n", args[0], len(s.Classes), len(s.Nodes))
			return nil
		},
	}
}

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show settings"}
	cmd.AddCommand(&cobra.Command{
		Use:   "show [CONFIG]",
		Short: "Print the effective settings with defaults marked, or the defaults if no file is given",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s := settings.Defaults()
			if len(args) == 1 {
				var err error
				if s, err = settings.Read(args[0]); err != nil {
					return err
				}
			}
			return s.Show(cmd.OutOrStdout())
		},
	})
	return cmd
}
