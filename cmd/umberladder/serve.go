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
		Short: "Run a driver until SIGTERM; SIGHUP reads the nodes of CONFIG and the token keys again",
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
				debug.SetMemoryLimit(int64(s.Memory) / 8 * 7) // the rest is the program itself, and what the limit is overshot by
			}
			srv, err := server.New(s, log, binary.BigEndian.Uint64(seed[:]))
			if err != nil {
				return err
			}
			onHangup(cmd.Context(), func() { reload(args[0], srv, log) })
			return srv.Run(cmd.Context())
		},
	}
}

// onHangup has f called at each SIGHUP from now on, one call at a time, until ctx ends. One that comes later does nothing: it
// must not end a process that is still serving what it took.
func onHangup(ctx context.Context, f func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
				f()
			}
		}
	}()
}

// reload takes the nodes of a changed file. A file with a mistake changes nothing.
func reload(path string, srv *server.Server, log *zap.Logger) {
	s, err := settings.Read(path)
	if err != nil {
		log.Error("settings are not taken, the old ones stay: " + err.Error())
		return
	}
	if err := srv.ReloadKeys(); err != nil {
		log.Error("token keys are not taken, the old ones stay: " + err.Error())
	}
	if len(s.Inventory) == 0 {
		srv.SetNodes(s.Nodes)
		log.Info("nodes read again", zap.Int("nodes", len(s.Nodes)))
	}
}

// newLog writes to standard error. The same line comes again only after the settings' time.
func newLog(s *settings.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewConsoleEncoder
	if s.LogFormat == "json" {
		encoder = zapcore.NewJSONEncoder
	}
	core := logCore(encoder, level)
	if s.LogRepeat > 0 {
		core = zapcore.NewSamplerWithOptions(core, s.LogRepeat, 1, 0)
	}
	return zap.New(core), nil
}

// logCore writes lines of a level or above to standard error, with times that people read.
func logCore(encoder func(zapcore.EncoderConfig) zapcore.Encoder, level zapcore.Level) zapcore.Core {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewCore(encoder(enc), zapcore.Lock(os.Stderr), level)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check CONFIG",
		Short: "Tell every mistake in a settings file; exit 1 if there is one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if settings.IsProblems(err) {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
				return errQuiet
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
	cmd := &cobra.Command{Use: "config", Short: "Look at settings"}
	cmd.AddCommand(&cobra.Command{
		Use:   "show [CONFIG]",
		Short: "Print the effective settings, defaults marked; without a file the defaults",
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
