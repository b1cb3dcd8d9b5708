package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "umberladder/proto/umberladder/v1"
	"umberladder/token"
)

func queryCommand() *cobra.Command {
	var addr string
	var stream bool
	var timeout time.Duration
	req := &pb.ExecuteRequest{}
	cmd := &cobra.Command{
		Use:   "query STATEMENT [PARAMETER ...]",
		Short: "Run one statement through a driver; parameters are text, or int:N, float:N, bool:B, null:",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req.Statement = args[0]
			for _, a := range args[1:] {
				v, err := parseParameter(a)
				if err != nil {
					return err
				}
				req.Parameters = append(req.Parameters, v)
			}
			if timeout > 0 {
				req.Timeout = durationpb.New(timeout)
			}
			conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return err
			}
			defer conn.Close()
			if stream {
				return runStream(cmd, pb.NewDriverClient(conn), req)
			}
			res, err := pb.NewDriverClient(conn).Execute(cmd.Context(), req)
			if err != nil {
				return describeError(err)
			}
			printRows(cmd.OutOrStdout(), res.Columns, res.Rows)
			fmt.Fprintf(cmd.OutOrStdout(), "%s\nserved by %s (%s) at %d:%X/%X in %d attempts\ntoken %s\n", res.CommandTag,
				res.Served.Node, strings.ToLower(strings.TrimPrefix(res.Served.Role.String(), "ROLE_")), res.Served.Timeline,
				res.Served.Lsn>>32, uint32(res.Served.Lsn), res.Served.Attempts, res.Token)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&addr, "driver", "127.0.0.1:7432", "address of the driver")
	f.StringVar(&req.Slice, "slice", "", "slice that holds the data")
	f.StringVar(&req.Class, "class", "", "class of the request")
	f.StringVar(&req.Session, "session", "", "session whose writes an own-read sees, if the driver tracks sessions")
	f.StringVar(&req.Token, "token", "", "token of an earlier answer")
	f.StringVar(&req.IdempotencyKey, "key", "", "idempotency key of a keyed write")
	f.DurationVar(&timeout, "timeout", 0, "time-out of the request; 0 for the deadline of the class")
	f.BoolVar(&stream, "stream", false, "print rows as they arrive")
	cmd.MarkFlagRequired("slice")
	cmd.MarkFlagRequired("class")
	return cmd
}

func parseParameter(a string) (*pb.Value, error) {
	kind, text, ok := strings.Cut(a, ":")
	var err error
	switch {
	case ok && kind == "int":
		var n int64
		if n, err = strconv.ParseInt(text, 10, 64); err == nil {
			return &pb.Value{Kind: &pb.Value_IntValue{IntValue: n}}, nil
		}
	case ok && kind == "float":
		var n float64
		if n, err = strconv.ParseFloat(text, 64); err == nil {
			return &pb.Value{Kind: &pb.Value_DoubleValue{DoubleValue: n}}, nil
		}
	case ok && kind == "bool":
		var b bool
		if b, err = strconv.ParseBool(text); err == nil {
			return &pb.Value{Kind: &pb.Value_BoolValue{BoolValue: b}}, nil
		}
	case ok && kind == "null":
		return &pb.Value{}, nil
	case ok && kind == "text":
		a = text
	}
	if err != nil {
		return nil, fmt.Errorf("parameter %q: %w", a, err)
	}
	return &pb.Value{Kind: &pb.Value_TextValue{TextValue: a}}, nil
}

func runStream(cmd *cobra.Command, client pb.DriverClient, req *pb.ExecuteRequest) error {
	s, err := client.ExecuteStream(cmd.Context(), req)
	if err != nil {
		return describeError(err)
	}
	for {
		chunk, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return describeError(err)
		}
		switch p := chunk.Part.(type) {
		case *pb.ExecuteChunk_Row:
			fmt.Fprintln(cmd.OutOrStdout(), strings.Join(formatCells(p.Row), "\t"))
		case *pb.ExecuteChunk_End_:
			fmt.Fprintf(cmd.OutOrStdout(), "%s\ntoken %s\n", p.End.CommandTag, p.End.Token)
		}
	}
}

// describeError returns an error with the gRPC status of err and the time after which to retry, if the driver gave one.
func describeError(err error) error {
	st := status.Convert(err)
	text := st.Message()
	for _, d := range st.Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			text += fmt.Sprintf(" (retry after %v)", r.RetryDelay.AsDuration().Round(time.Millisecond))
		}
	}
	return fmt.Errorf("%s: %s", st.Code(), text)
}

func printRows(w io.Writer, columns []*pb.Column, rows []*pb.Row) {
	if len(columns) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.Name
	}
	fmt.Fprintln(t, strings.Join(names, "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(formatCells(r), "\t"))
	}
	t.Flush()
}

func formatCells(r *pb.Row) []string {
	out := make([]string, len(r.Values))
	for i, v := range r.Values {
		switch k := v.Kind.(type) {
		case nil:
			out[i] = "NULL"
		case *pb.Value_BoolValue:
			out[i] = strconv.FormatBool(k.BoolValue)
		case *pb.Value_IntValue:
			out[i] = strconv.FormatInt(k.IntValue, 10)
		case *pb.Value_DoubleValue:
			out[i] = strconv.FormatFloat(k.DoubleValue, 'g', -1, 64)
		case *pb.Value_BytesValue:
			out[i] = fmt.Sprintf("\\x%x", k.BytesValue)
		case *pb.Value_TextValue:
			out[i] = k.TextValue
		}
	}
	return out
}

func tokenCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "token", Short: "Show causal tokens"}
	var slices []string
	show := &cobra.Command{
		Use:   "show TOKEN",
		Short: "Print the log position of each slice that a token names",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := token.Parse(args[0])
			if err != nil {
				return err
			}
			names := map[token.SliceID]string{}
			for _, s := range slices {
				names[token.IDOf(s)] = s
			}
			for _, id := range t.Slices() {
				name := names[id]
				if name == "" {
					name = fmt.Sprintf("#%010x", uint64(id))
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s %v\n", name, t.ListedPosition(id))
			}
			if t.RequiresPresent() {
				fmt.Fprintln(cmd.OutOrStdout(), "other slices: present")
			}
			return nil
		},
	}
	show.Flags().StringSliceVar(&slices, "slice", nil, "names of slices, shown instead of their numbers")
	cmd.AddCommand(show)
	return cmd
}
