package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"umberladder/platform"
)

func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run a driver on the shared platform, by the file that LB_CONFIG names, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv("LB_CONFIG")
			log := zap.New(logCore(zapcore.NewConsoleEncoder, zapcore.InfoLevel))
			defer log.Sync()
			reloads := make(chan *platform.Config)
			life, end := context.WithCancel(context.WithoutCancel(cmd.Context())) // it outlasts SIGTERM: the stop takes a while
			defer end()
			onHangup(life, func() { readAgain(life, path, reloads, log) })
			if path == "" {
				return errors.New("LB_CONFIG is not set: it names the driver's configuration file")
			}
			cfg, err := platform.ReadConfig(path)
			if err != nil {
				return err
			}
			if err := cfg.Limit(); err != nil {
				return err
			}
			var trace func(string, ...any)
			if os.Getenv("UMBERLADDER_TRACE") != "" {
				trace = log.Sugar().Infof
			}
			d, err := platform.New(cfg, log, trace)
			if err != nil {
				return fmt.Errorf("configuration %s: %w", path, err)
			}
			return d.Run(cmd.Context(), reloads)
		},
	}
}

// How often, and how long after the time before, a configuration that can't be read is read again: it may be half written.
const (
	rereads     = 10
	rereadAfter = 100 * time.Millisecond
)

// readAgain hands on a changed configuration. A file with a mistake changes nothing.
func readAgain(ctx context.Context, path string, reloads chan<- *platform.Config, log *zap.Logger) {
	cfg, err := platform.ReadConfig(path)
	if err != nil {
		log.Error("configuration is not taken, the old one stays: " + err.Error())
	}
	for n := 0; err != nil; n++ {
		select {
		case <-time.After(rereadAfter):
		case <-ctx.Done():
			return
		}
		if n == rereads {
			return
		}
		cfg, err = platform.ReadConfig(path)
	}
	select {
	case reloads <- cfg:
	case <-ctx.Done():
	}
}
