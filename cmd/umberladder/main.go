// Command umberladder is a database proxy: it takes requests over gRPC and runs each at the right member of a
// slice of PostgreSQL nodes. See README.md.
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

// errQuiet ends the program with exit status 1 after everything was said.
var errQuiet = errors.New("")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		if !errors.Is(err, errQuiet) {
			fmt.Fprintln(os.Stderr, "umberladder:", err)
		}
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "umberladder",
		Short:         "A database proxy before slices of one PostgreSQL primary and its replicas",
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
