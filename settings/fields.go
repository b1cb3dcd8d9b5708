package settings

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
)

// field is a directive with one argument: set parses it into Settings, show formats the value, and doc is printed by
// config show.
type field struct {
	name string
	set  func(s *Settings, text string) error
	show func(s *Settings) string
	doc  string
}

// block is a directive with a block of fields.
type block struct {
	name   string
	fields []field
}

// blocks lists every directive with a single value. The empty name stands for the top level of the file.
var blocks = []block{
	{"", []field{
		text("here", "the hall that this driver runs in", func(s *Settings) *string { return &s.Zone }),
		integer("routers", "number of drivers that serve the same nodes; 0: not known", 0, 1e6, func(s *Settings) *int { return &s.Routers }),
		duration("round", "minimum time between two batches of input", time.Millisecond, time.Second, func(s *Settings) *time.Duration { return &s.MinBatchInterval }),
	}},
	{"state", []field{
		text("dir", "directory for the state that survives restarts: inventory, topology and sessions", func(s *Settings) *string { return &s.StateDir }),
		text("control", "path of the control socket, for the inventory and topology commands", func(s *Settings) *string { return &s.Control }),
	}},
	{"membership", []field{
		percentage("most-lost", "largest share of a slice that a list may omit at once and still be applied", func(s *Settings) *float64 { return &s.Members.MaxMissing }),
		duration("confirm-after", "time after which an unchanged list is applied in any case; 0s: never", 0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Members.ConfirmAfter }),
		integer("least", "minimum number of nodes in each slice of the inventory", 1, 1000, func(s *Settings) *int { return &s.MinMembers }),
		integer("together", "number of drivers that may start to use a new node within a step", 1, 10000, func(s *Settings) *int { return &s.Members.DriversPerStep }),
		duration("step", "length of a step, for 'together' and 'own-pace'", time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.Members.Step }),
		integer("own-pace", "number of new nodes that this driver starts to use within a step", 1, 100000, func(s *Settings) *int { return &s.Members.NodesPerStep }),
		duration("flap-window", "time over which returns of a node to ready are counted", 0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Members.FlapWindow }),
		integer("flap-limit", "number of returns within it up to which a node is not held back", 0, 1000, func(s *Settings) *int { return &s.Members.FlapLimit }),
		duration("flap-hold", "time for which the next return is held back; doubles each further time", 0, time.Hour, func(s *Settings) *time.Duration { return &s.Members.FlapHold }),
	}},
	{"listen", []field{
		address("grpc", "address for clients, HOST:PORT", func(s *Settings) *string { return &s.ListenGRPC }),
		address("metrics", "address for Prometheus, HOST:PORT; off if not set", func(s *Settings) *string { return &s.ListenMetrics }),
	}},
	{"drain", []field{
		duration("grace", "time after its drain notice during which a node still gets new requests", 0, time.Hour, func(s *Settings) *time.Duration { return &s.DrainGrace }),
		flag("only-listed", "a node that is merely missing from a list is not treated as removed", func(s *Settings) *bool { return &s.SoftRemoval }),
	}},
	{"cold", []field{
		percentage("from", "share of its capacity that a cold node starts with", func(s *Settings) *float64 { return &s.ColdFrom }),
		duration("ramp", "time until a started node is warm; 0s: nodes start warm", 0, time.Hour, func(s *Settings) *time.Duration { return &s.RampTime }),
		factor("tip", "a cold node is overloaded above this multiple of its present capacity", func(s *Settings) *float64 { return &s.ColdOverloadMultiple }),
		duration("fall", "time of such an overload after which a cold node fails", 0, time.Hour, func(s *Settings) *time.Duration { return &s.ColdOverloadWindow }),
	}},
	{"attempts", []field{
		integer("limit", "maximum attempts per request", 1, 255, func(s *Settings) *int { return &s.AttemptLimit }),
		flag("parallel", "a request may have two attempts in flight", func(s *Settings) *bool { return &s.ParallelAttempts }),
		flag("withdraw", "the driver may stop waiting for an attempt", func(s *Settings) *bool { return &s.Cancel }),
		flag("cancel-work", "reads whose answer nobody awaits are canceled on the node", func(s *Settings) *bool { return &s.CancelWork }),
		duration("start-within", "a write not started on its node within this time, by the node's clock, is not run; 0s: no bound", 0, time.Hour, func(s *Settings) *time.Duration { return &s.StartWithin }),
		duration("dial-timeout", "time after which opening a connection has failed", time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.DialTimeout }),
	}},
	{"polls", []field{
		flag("on", "nodes may be polled for role and log position", func(s *Settings) *bool { return &s.Probing }),
		duration("timeout", "time after which an unanswered poll has failed", time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.PollTimeout }),
		duration("clock-age", "a poll of a replica also polls the primary if the primary's known log position is older", time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.ClockAge }),
	}},
	{"answers", []field{
		duration("margin", "time before the client's deadline at which the final answer is sent", time.Millisecond, time.Second, func(s *Settings) *time.Duration { return &s.AnswerMargin }),
		flag("retry-after", "refusals say when to retry", func(s *Settings) *bool { return &s.RetryAfter }),
		duration("max-retry-after", "longest retry delay that they give", 0, time.Hour, func(s *Settings) *time.Duration { return &s.MaxRetryAfter }),
	}},
	{"replicas", []field{
		choice("behind", "treatment of a read for which a replica lags too far behind", []string{"serve", "reject", "wait"}, func(s *Settings) *balance.LagPolicy { return &s.LagPolicy }),
		duration("catch-up", "longest wait for a replica to catch up, with 'behind wait'", 0, time.Minute, func(s *Settings) *time.Duration { return &s.CatchUpWait }),
		flag("positions", "answers carry log positions", func(s *Settings) *bool { return &s.Positions }),
		flag("driver-sessions", "sessions are also tracked by this driver's own answers", func(s *Settings) *bool { return &s.DriverSessions }),
		duration("origin", "time on the driver's clock from which positions are counted", 0, 1000*time.Hour, func(s *Settings) *time.Duration { return &s.Origin }),
	}},
	{"list", []field{
		flag("ask", "the node list is sent only to drivers that subscribe to it", func(s *Settings) *bool { return &s.SubscribeToList }),
		duration("ask-within", "time after which a driver that has not subscribed counts as notified", 0, time.Hour, func(s *Settings) *time.Duration { return &s.SubscribeWithin }),
		flag("roles", "the list shows roles, with a delay", func(s *Settings) *bool { return &s.ListShowsRole }),
	}},
	{"admission", []field{
		flag("on", "requests that cannot be answered in time are refused before any work on them", func(s *Settings) *bool { return &s.AdmissionOn }),
		integer("start", "initial limit of requests in flight to a slice's primary, or to its replicas", 1, 1e6, func(s *Settings) *int { return &s.Admission.InitialLimit }),
		integer("least", "lower bound of this limit", 1, 1e6, func(s *Settings) *int { return &s.Admission.MinLimit }),
		percentage("retries", "further attempts of clients allowed per first attempt", func(s *Settings) *float64 { return &s.Admission.RetryRatio }),
		duration("late", "delay of the event loop above which load is shed", time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Admission.MaxLoopDelay }),
		size("max-bytes", "maximum size of all open requests", 1<<20, 1<<40, func(s *Settings) *int { return &s.Admission.MaxBytes }),
		size("answer-bytes", "maximum size of all answers in flight to clients", 1<<20, 1<<40, func(s *Settings) *int { return &s.AnswerBytes }),
		size("memory", "memory limit of the process: near it, work of low value is refused, at it all; 0: no bound", 0, 1<<40, func(s *Settings) *int { return &s.Memory }),
		duration("stall", "time after which a streamed answer is aborted if its client reads nothing", 10*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.StreamStall }),
		integer("streams", "maximum calls and watches open at once; 0: as many as fit in three eighths of memory", 0, 1e9, func(s *Settings) *int { return &s.Streams }),
		integer("max-streams", "maximum concurrent calls per client connection", 1, 1e9, func(s *Settings) *int { return &s.MaxStreams }),
	}},
	{"pool", []field{
		integer("max-open", "maximum open requests; more are refused", 1, 1e7, func(s *Settings) *int { return &s.MaxOpen }),
		integer("size", "maximum connections per node", 1, 1e5, func(s *Settings) *int { return &s.PoolSize }),
		duration("idle-close", "time after which an idle connection is closed", time.Millisecond, 24*time.Hour, func(s *Settings) *time.Duration { return &s.IdleClose }),
		duration("linger", "time after which a connection is closed if nobody awaits its answer", 0, time.Hour, func(s *Settings) *time.Duration { return &s.Linger }),
		size("max-message", "maximum size of one message from a node", 1<<10, 1<<30, func(s *Settings) *int { return &s.MaxMessage }),
		size("max-result", "maximum size of a result that is not streamed", 1<<10, 1<<30, func(s *Settings) *int { return &s.MaxResult }),
		text("database", "database name", func(s *Settings) *string { return &s.Database }),
		text("user", "database user", func(s *Settings) *string { return &s.User }),
		text("password-file", "file with the password, mode 0600", func(s *Settings) *string { return &s.PasswordFile }),
	}},
	{"tokens", []field{
		text("keys", "file with the keys that sign tokens, mode 0600; tokens are unsigned if not set", func(s *Settings) *string { return &s.TokenKeys }),
		flag("bind-session", "a token is valid only in the session that it was issued to", func(s *Settings) *bool { return &s.BindTokenToSession }),
		size("session-memory", "memory for the sessions that this driver tracks itself", 1<<10, 1<<30, func(s *Settings) *int { return &s.SessionBytes }),
		flag("history", "nodes are queried for the start of timelines, to detect tokens of lost writes", func(s *Settings) *bool { return &s.TokenHistory }),
	}},
	{"stop", []field{
		duration("within", "time on SIGTERM for answering the open requests", time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.StopTimeout }),
	}},
	{"log", []field{
		wordChoice("level", "lowest level that is logged", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.LogLevel }),
		wordChoice("format", "format of log lines", []string{"console", "json"}, func(s *Settings) *string { return &s.LogFormat }),
		duration("repeat", "minimum time between repeats of the same line", 0, time.Hour, func(s *Settings) *time.Duration { return &s.LogRepeat }),
	}},
}

func text(name, doc string, ptr func(*Settings) *string) field {
	return field{name, func(s *Settings, v string) error { *ptr(s) = v; return nil },
		func(s *Settings) string { return quote(*ptr(s)) }, doc}
}

// wordChoice returns a field for a string that must be one of words.
func wordChoice(name, doc string, words []string, ptr func(*Settings) *string) field {
	return field{name, func(s *Settings, v string) error {
		i, err := oneOf(v, words)
		if err == nil {
			*ptr(s) = words[i]
		}
		return err
	}, func(s *Settings) string { return *ptr(s) }, doc + " (" + strings.Join(words, ", ") + ")"}
}

func choice[T ~uint8](name, doc string, words []string, ptr func(*Settings) *T) field {
	return field{name, func(s *Settings, v string) error {
		i, err := oneOf(v, words)
		if err == nil {
			*ptr(s) = T(i)
		}
		return err
	}, func(s *Settings) string { return words[*ptr(s)] }, doc + " (" + strings.Join(words, ", ") + ")"}
}

func address(name, doc string, ptr func(*Settings) *string) field {
	return field{name, func(s *Settings, v string) error {
		*ptr(s) = v
		return checkAddress(v)
	}, func(s *Settings) string { return quote(*ptr(s)) }, doc}
}

func flag(name, doc string, ptr func(*Settings) *bool) field {
	return field{name, func(s *Settings, v string) error {
		i, err := oneOf(v, []string{"off", "on"})
		*ptr(s) = i == 1
		return err
	}, func(s *Settings) string { return map[bool]string{false: "off", true: "on"}[*ptr(s)] }, doc + " (on, off)"}
}

func integer(name, doc string, least, most int, ptr func(*Settings) *int) field {
	return field{name, func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		*ptr(s) = n
		return checkRange(n, least, most)
	}, func(s *Settings) string { return strconv.Itoa(*ptr(s)) }, doc}
}

func size(name, doc string, least, most int, ptr func(*Settings) *int) field {
	return field{name, func(s *Settings, v string) error {
		n, err := parseSize(v)
		if err != nil {
			return err
		}
		*ptr(s) = n
		return checkRange(n, least, most)
	}, func(s *Settings) string { return formatSize(*ptr(s)) }, doc}
}

func checkRange(n, least, most int) error {
	if n < least || n > most {
		return fmt.Errorf("%d is not in the range %d to %d", n, least, most)
	}
	return nil
}

func duration(name, doc string, least, most time.Duration, ptr func(*Settings) *time.Duration) field {
	return field{name, func(s *Settings, v string) error {
		d, err := parseDuration(v)
		if err != nil {
			return err
		}
		*ptr(s) = d
		if d < least || d > most {
			return fmt.Errorf("%v is not in the range %v to %v", d, least, most)
		}
		return nil
	}, func(s *Settings) string { return formatDuration(*ptr(s)) }, doc}
}

func percentage(name, doc string, ptr func(*Settings) *float64) field {
	return field{name, func(s *Settings, v string) error {
		percent, ok := strings.CutSuffix(v, "%")
		f, err := strconv.ParseFloat(percent, 64)
		if err != nil || !ok || math.IsNaN(f) || f < 0 || f > 100 {
			return fmt.Errorf("%q is not a percentage; write one from 0%% to 100%%, with the percent sign", v)
		}
		*ptr(s) = f / 100
		return nil
	}, func(s *Settings) string { return strconv.FormatFloat(*ptr(s)*100, 'g', 12, 64) + "%" }, doc}
}

func factor(name, doc string, ptr func(*Settings) *float64) field {
	return field{name, func(s *Settings, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(f) || f < 0 || f > 1e6 {
			return fmt.Errorf("%q is not a number from 0 to 1000000", v)
		}
		*ptr(s) = f
		return nil
	}, func(s *Settings) string { return strconv.FormatFloat(*ptr(s), 'g', -1, 64) }, doc}
}

func oneOf(v string, words []string) (int, error) {
	for i, w := range words {
		if v == w {
			return i, nil
		}
	}
	if n := nearest(v, words); n != "" {
		return 0, fmt.Errorf("%q is not a valid value; did you mean %q?", v, n)
	}
	return 0, fmt.Errorf("%q is not a valid value; write one of %s", v, strings.Join(words, ", "))
}

// parseDuration parses a duration with its unit, such as 250ms or 1.5s. A number without a unit is an error, even 0.
func parseDuration(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if _, bare := strconv.ParseFloat(v, 64); bare == nil {
		return 0, fmt.Errorf("%q has no unit; write %sms or %ss, for example", v, v, v)
	}
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration; write one like 250ms or 1.5s", v)
	}
	if d < 0 {
		return 0, fmt.Errorf("%q is negative; write 0s or more", v)
	}
	return d, nil
}

func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}

func parseSize(v string) (int, error) {
	if v == "0" {
		return 0, nil
	}
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(v, u.suffix); ok {
			n, err := strconv.Atoi(digits)
			if err != nil || n < 0 || n > math.MaxInt32 {
				break
			}
			return n * u.bytes, nil
		}
	}
	return 0, fmt.Errorf("%q is not a size; write one like 64KiB or 16MiB", v)
}

func formatSize(n int) string {
	for i := len(sizeUnits) - 1; i >= 0; i-- {
		if n%sizeUnits[i].bytes == 0 && n > 0 {
			return strconv.Itoa(n/sizeUnits[i].bytes) + sizeUnits[i].suffix
		}
	}
	return strconv.Itoa(n)
}

func quote(v string) string {
	if v == "" || strings.ContainsAny(v, " \t#\"\\{}") {
		return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(v) + `"`
	}
	return v
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%q is not an address; write HOST:PORT", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("port %q of %q is not a number from 0 to 65535", port, v)
	}
	if host == "" {
		return fmt.Errorf("%q has no host; write 127.0.0.1:%s for this machine only", v, port)
	}
	return nil
}
