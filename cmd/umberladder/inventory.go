package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"umberladder/inventory"
	"umberladder/membership"
	"umberladder/server"
	"umberladder/settings"
)

func inventoryCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "inventory", Short: "Check, show and compare lists of db nodes, and confirm removals to a driver"}
	cmd.AddCommand(inventoryCheckCommand(), inventoryShowCommand(), inventoryConvertCommand(), inventoryDiffCommand(), inventoryLintCommand(), inventoryApplyCommand(), inventoryStatusCommand(),
		&cobra.Command{Use: "schema", Short: "Print the JSON Schema of the YAML forms, for editors", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(inventory.Schema)
				return err
			}})
	return cmd
}

// loadInventory reads an inventory and prints its problems to standard error, one per line.
func loadInventory(cmd *cobra.Command, paths []string, o inventory.Options) (*inventory.Set, error) {
	set, err := inventory.Load(paths, o)
	var problems inventory.Problems
	if errors.As(err, &problems) {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
		return nil, errReported
	}
	return set, err
}

// inventoryOptionFlags adds the flag --config. The returned function reads the settings file that the flag names, and
// returns the requirements on an inventory.
func inventoryOptionFlags(cmd *cobra.Command) func() (inventory.Options, error) {
	config := cmd.Flags().String("config", "", "settings file whose halls and 'membership least' are checked too")
	return func() (inventory.Options, error) {
		if *config == "" {
			return inventory.Options{}, nil
		}
		s, err := settings.Read(*config)
		if err != nil {
			return inventory.Options{}, err
		}
		return inventory.Options{Zones: s.Zones, MinMembers: s.MinMembers}, nil
	}
}

func inventoryCheckCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "check PATH ...", Short: "Print every error; exit 1 if there is one", Args: cobra.MinimumNArgs(1)}
	options := inventoryOptionFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o, err := options()
		if err != nil {
			return err
		}
		set, err := loadInventory(cmd, args, o)
		if err == nil {
			fmt.Fprintf(cmd.OutOrStdout(), "good; %d nodes\n", len(set.Nodes))
		}
		return err
	}
	return cmd
}

func inventoryShowCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "show PATH ...", Short: "Print the nodes of an inventory", Args: cobra.MinimumNArgs(1)}
	options := inventoryOptionFlags(cmd)
	format := cmd.Flags().String("format", "table", "one of "+strings.Join(inventory.Formats, ", "))
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o, err := options()
		if err != nil {
			return err
		}
		set, err := loadInventory(cmd, args, o)
		if err != nil {
			return err
		}
		return set.Write(cmd.OutOrStdout(), *format)
	}
	return cmd
}

func inventoryConvertCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "convert PATH ...", Short: "Write an inventory in another format", Args: cobra.MinimumNArgs(1)}
	to := cmd.Flags().String("to", "yaml", "yaml or csv")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *to != "yaml" && *to != "csv" {
			return fmt.Errorf("--to %q is neither yaml nor csv", *to)
		}
		set, err := loadInventory(cmd, args, inventory.Options{})
		if err != nil {
			return err
		}
		return set.Write(cmd.OutOrStdout(), *to)
	}
	return cmd
}

func inventoryDiffCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff A B",
		Short: "Print what a driver would do if inventory B replaced A, and what it would hold back",
		Args:  cobra.ExactArgs(2),
	}
	config := cmd.Flags().String("config", "", "settings file whose membership block applies")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		cfg := membership.Defaults()
		if *config != "" {
			s, err := settings.Read(*config)
			if err != nil {
				return err
			}
			cfg = s.Members
		}
		a, err := loadInventory(cmd, args[:1], inventory.Options{})
		if err != nil {
			return err
		}
		b, err := loadInventory(cmd, args[1:], inventory.Options{})
		if err != nil {
			return err
		}
		steps := membership.Diff(cfg, a, b)
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		for _, s := range steps {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.Action, s.Slice, s.Node, s.Note)
		}
		if len(steps) == 0 {
			fmt.Fprintln(t, "nothing changes")
		}
		return t.Flush()
	}
	return cmd
}

func inventoryLintCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "lint PATH ...",
		Short: "Print what is valid but suspicious; exit 0 nevertheless",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := loadInventory(cmd, args, inventory.Options{})
			if err != nil {
				return err
			}
			files, err := inventory.ReadFiles(args)
			if err != nil {
				return err
			}
			for _, p := range inventory.Lint(files, set, time.Now()) {
				fmt.Fprintln(cmd.OutOrStdout(), p)
			}
			return nil
		},
	}
}

// requestStatus sends a request to a driver's control socket and returns the inventory's status from the answer.
func requestStatus(ctx context.Context, socket, method, path string) (*server.InventoryStatus, error) {
	text, err := requestControl(ctx, socket, method, path)
	if err != nil {
		return nil, err
	}
	var st server.InventoryStatus
	return &st, json.Unmarshal(text, &st)
}

// requestControl sends a request to a driver's control socket and returns the body of the answer, or an error after 10 s.
func requestControl(ctx context.Context, socket, method, path string) ([]byte, error) {
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}, Timeout: 10 * time.Second}
	req, err := http.NewRequestWithContext(ctx, method, "http://driver"+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("control socket %s: %w", socket, err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("control socket: the driver answered %s: %s", res.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

// controlSocketFlags adds the flags --control and --config. The returned function returns the path of the control socket
// that they name.
func controlSocketFlags(cmd *cobra.Command) func() (string, error) {
	socket := cmd.Flags().String("control", "", "path of the driver's control socket")
	config := cmd.Flags().String("config", "", "settings file that names the control socket")
	return func() (string, error) {
		if *socket != "" {
			return *socket, nil
		}
		if *config == "" {
			return "", errors.New("name the driver by --control SOCKET or --config FILE")
		}
		s, err := settings.Read(*config)
		if err == nil && s.Control == "" {
			err = fmt.Errorf("%s sets no 'state control'", *config)
		}
		if err != nil {
			return "", err
		}
		return s.Control, nil
	}
}

func inventoryApplyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "apply --confirm", Short: "Confirm to a driver that nodes missing from its inventory are removed on purpose", Args: cobra.NoArgs}
	socket := controlSocketFlags(cmd)
	confirm := cmd.Flags().Bool("confirm", false, "without it the status is only shown")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		path, err := socket()
		if err != nil {
			return err
		}
		method, where := http.MethodGet, "/inventory"
		if *confirm {
			method, where = http.MethodPost, "/inventory/confirm"
		}
		st, err := requestStatus(cmd.Context(), path, method, where)
		if err != nil {
			return err
		}
		return printStatus(cmd, st)
	}
	return cmd
}

func inventoryStatusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Print the nodes that a driver has in force and those it holds back", Args: cobra.NoArgs}
	socket := controlSocketFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		path, err := socket()
		if err != nil {
			return err
		}
		st, err := requestStatus(cmd.Context(), path, http.MethodGet, "/inventory")
		if err != nil {
			return err
		}
		return printStatus(cmd, st)
	}
	return cmd
}

func printStatus(cmd *cobra.Command, st *server.InventoryStatus) error {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "%d nodes in force, from %s, read %s\n", st.Members, strings.Join(st.Files, " "), st.LoadedAt.Format(time.RFC3339))
	if st.Error != "" {
		fmt.Fprintf(w, "the files are invalid since %s:\n%s\n", st.ErrorSince.Format(time.RFC3339), st.Error)
	}
	lacked := slices.ContainsFunc(st.Held, func(h membership.Held) bool { return h.Lacked })
	for _, h := range st.Held {
		fmt.Fprintf(w, "held back: %s of %s: %s\n", h.Node, h.Slice, h.Why)
	}
	for _, s := range st.Shared {
		fmt.Fprintf(w, "one address: %s has the address of %s; list it once\n", s.Node, s.With)
	}
	for _, u := range st.Unreachable {
		fmt.Fprintf(w, "unreachable: %s of %s at %s since %s: %s\n", u.Node, u.Slice, u.Address, u.Since.Format(time.RFC3339), u.Why)
	}
	for _, u := range st.Unlisted {
		fmt.Fprintf(w, "not listed: %s (%s) follows %s of %s\n", u.Address, u.Name, u.Follows, u.Slice)
	}
	if lacked {
		fmt.Fprintln(w, "to confirm missing nodes as removed: umberladder inventory apply --confirm")
	}
	return nil
}
