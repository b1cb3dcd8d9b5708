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
		Short: "Run a driver on the shared platform until SIGTERM, configured by the file that LB_CONFIG names",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv("LB_CONFIG")
			log := zap.New(newLogCore(zapcore.NewConsoleEncoder, zapcore.InfoLevel))
			defer log.Sync()
			reloads := make(chan *platform.Config)
			// reloadCtx outlives SIGTERM, because SIGHUP is also handled during the shutdown, which takes a while.
			reloadCtx, cancelReloads := context.WithCancel(context.WithoutCancel(cmd.Context()))
			defer cancelReloads()
			onSIGHUP(reloadCtx, func() { reloadConfig(reloadCtx, path, reloads, log) })
			if path == "" {
				return errors.New("LB_CONFIG is not set: it names the driver's configuration file")
			}
			cfg, err := platform.ReadConfig(path)
			if err != nil {
				return err
			}
			if err := cfg.ApplyLimits(); err != nil {
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

// A configuration file that can't be read may be half written: it is read again up to maxConfigRetries times.
const (
	maxConfigRetries    = 10
	configRetryInterval = 100 * time.Millisecond
)

// reloadConfig sends the configuration read from path to reloads. A file with an error changes nothing.
func reloadConfig(ctx context.Context, path string, reloads chan<- *platform.Config, log *zap.Logger) {
	cfg, err := platform.ReadConfig(path)
	if err != nil {
		log.Error("configuration rejected, the previous one stays in force: " + err.Error())
	}
	for n := 0; err != nil; n++ {
		select {
		case <-time.After(configRetryInterval):
		case <-ctx.Done():
			return
		}
		if n == maxConfigRetries {
			return
		}
		cfg, err = platform.ReadConfig(path)
	}
	select {
	case reloads <- cfg:
	case <-ctx.Done():
	}
}
