package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			path := os.Getenv("LB_CONFIG")
			if path == "" {
				return errors.New("LB_CONFIG is not set: it names the driver's configuration file")
			}
			cfg, err := platform.ReadConfig(path)
			if err != nil {
				return err
			}
			cfg.Limit()
			enc := zap.NewProductionEncoderConfig()
			enc.EncodeTime = zapcore.ISO8601TimeEncoder
			log := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(enc), zapcore.Lock(os.Stderr), zapcore.InfoLevel))
			defer log.Sync()
			var trace func(string, ...any)
			if os.Getenv("UMBERLADDER_TRACE") != "" {
				trace = log.Sugar().Infof
			}
			d, err := platform.New(cfg, log, trace)
			if err != nil {
				return fmt.Errorf("configuration %s: %w", path, err)
			}
			return d.Run(cmd.Context(), reloads(cmd, path, hup, log))
		},
	}
}

// reloads reads the configuration again at each SIGHUP. A file with a mistake changes nothing.
func reloads(cmd *cobra.Command, path string, hup <-chan os.Signal, log *zap.Logger) <-chan *platform.Config {
	out := make(chan *platform.Config)
	go func() {
		defer close(out)
		for {
			select {
			case <-cmd.Context().Done():
				return
			case <-hup:
			}
			cfg, err := platform.ReadConfig(path)
			if err != nil {
				log.Error("configuration is not taken, the old one stays: " + err.Error())
				continue
			}
			select {
			case out <- cfg:
			case <-cmd.Context().Done():
				return
			}
		}
	}()
	return out
}
