// Command umberladder is a database proxy and its tools: it takes a subcommand, flags and settings files. It serves
// requests over gRPC from the primary or a replica of a slice of PostgreSQL nodes, or prints the result of a tool.
// Operators, the shared platform and CI run it; see README.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// errReported ends the program with exit status 1 without a further message; the command has printed the reason.
var errReported = errors.New("")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "umberladder:", err)
		}
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "umberladder",
		Short:         "A database proxy for slices of one PostgreSQL primary and its replicas",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version(),
	}
	root.AddCommand(serveCommand(), checkCommand(), configCommand(), queryCommand(), tokenCommand(), topologyCommand(), exploreCommand(),
		demoCommand(), platformCommand(), labCommand(), loadCommand(), inventoryCommand(), &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) }})
	return root
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
