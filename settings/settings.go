package settings

import (
	"time"

	"umberladder/admission"
	"umberladder/balance"
	"umberladder/membership"
)

// Node is one database node, from a node directive or from an inventory.
type Node struct {
	Name    string
	Address string // host:port
	Slice   string
	Zone    string
	Life    balance.Life
	Started time.Time // start of its database process; zero if unknown
	// Instance grows when the node must be treated as a new one; see membership.Member.
	Instance int
	Line     int // line of its directive, from 1; 0 for a node of an inventory
}

// Class is one class of requests, from a class block.
type Class struct {
	Name         string
	Effect       balance.Effect
	Scope        balance.Scope
	Need         balance.Need
	Bound        time.Duration // maximum age of the data, for NeedBounded
	Target       time.Duration
	Deadline     time.Duration
	Window       time.Duration      // time for which nodes discard repeats of a keyed request
	Value        float64            // of an answer by Target, relative to other classes
	LateValue    float64            // share of Value, 0 to 1, of an answer after Target
	MissingToken MissingTokenPolicy // for session reads
}

// MissingTokenPolicy says how a session read that has no token is treated.
type MissingTokenPolicy uint8

// The policies for a missing token.
const (
	MissingTokenAccept  MissingTokenPolicy = iota // as a read of a session that wrote nothing
	MissingTokenPrimary                           // read the current state, from the primary
	MissingTokenRefuse                            // refuse the request
)

// Settings holds the contents of a settings file. The table in fields.go maps fields to directives.
type Settings struct {
	Zones   []string
	Zone    string // zone that the driver runs in; "" if the file lists no halls
	Classes []Class
	Nodes   []Node

	Inventory  []string // files and directories with the list of nodes
	StateDir   string   // directory for the last good inventory, the topology and the sessions; "" for none
	Control    string   // path of the control socket; "" for none
	Members    membership.Config
	MinMembers int // minimum number of nodes in each slice of the inventory

	TokenKeys          string // file with the keys that sign tokens; "" for unsigned tokens
	BindTokenToSession bool   // a token is valid only in the session that it was issued to
	SessionBytes       int    // memory for sessions that the driver tracks itself
	TokenHistory       bool   // query nodes for the start positions of timelines, to detect tokens of lost writes

	ListenGRPC    string
	ListenMetrics string

	Routers              int
	MinBatchInterval     time.Duration
	Origin               time.Duration
	Positions            bool
	LagPolicy            balance.LagPolicy
	CatchUpWait          time.Duration
	DriverSessions       bool
	SubscribeToList      bool
	SubscribeWithin      time.Duration
	ListShowsRole        bool
	DrainGrace           time.Duration
	SoftRemoval          bool
	ColdFrom             float64 // share of its capacity, 0 to 1, that a cold node starts with
	RampTime             time.Duration
	ColdOverloadMultiple float64
	ColdOverloadWindow   time.Duration
	Cancel               bool
	Probing              bool
	ParallelAttempts     bool
	AttemptLimit         int
	DialTimeout          time.Duration
	RetryAfter           bool
	MaxRetryAfter        time.Duration
	StartWithin          time.Duration // a write that its node has not started within this time is not run; 0 for no bound
	AnswerMargin         time.Duration // answers are sent this long before the client's deadline
	ClockAge             time.Duration // a poll of a replica also polls the primary if the primary's log position is older

	AdmissionOn bool
	Admission   admission.Config // without classes, MaxOpen and MaxRetryAfter, which are set from other fields

	AnswerBytes  int           // maximum bytes of answers in flight to clients
	Memory       int           // maximum bytes of the process; 0 for no bound
	StreamStall  time.Duration // a streamed answer is aborted when its client reads nothing for this time
	Streams      int           // maximum calls and watches open at once; 0: derived from Memory
	MaxStreams   int           // maximum concurrent calls per client connection
	MaxOpen      int           // maximum requests open at once
	PoolSize     int           // maximum connections per node
	IdleClose    time.Duration
	Linger       time.Duration // a connection busy with an answer that nobody awaits is closed after this time
	PollTimeout  time.Duration
	MaxMessage   int // bytes
	MaxResult    int // bytes of a result that is not streamed
	CancelWork   bool
	Database     string
	User         string
	PasswordFile string
	StopTimeout  time.Duration

	LogLevel  string
	LogFormat string
	LogRepeat time.Duration
}

// Defaults returns the settings for a file without directives.
func Defaults() *Settings {
	return &Settings{
		ListenGRPC: "127.0.0.1:7432", Members: membership.Defaults(), MinMembers: 1, SessionBytes: 32 << 20,
		MinBatchInterval: time.Millisecond, Positions: true, SubscribeWithin: 10 * time.Second,
		DrainGrace: 500 * time.Millisecond, ColdFrom: 0.2, RampTime: 12 * time.Second, ColdOverloadMultiple: 3,
		ColdOverloadWindow: time.Second, Cancel: true, Probing: true, AttemptLimit: 10, DialTimeout: 250 * time.Millisecond,
		RetryAfter: true, MaxRetryAfter: time.Second, StartWithin: time.Second, AnswerMargin: 20 * time.Millisecond,
		ClockAge:    50 * time.Millisecond,
		AdmissionOn: true, Admission: admission.Defaults(), MaxStreams: 10000, StreamStall: 10 * time.Second, AnswerBytes: 256 << 20,
		MaxOpen: 20000, PoolSize: 64, IdleClose: 30 * time.Second, Linger: 10 * time.Second,
		PollTimeout: 250 * time.Millisecond, MaxMessage: 16 << 20, MaxResult: 64 << 20,
		Database: "umberladder", User: "umberladder", StopTimeout: 10 * time.Second,
		LogLevel: "info", LogFormat: "console", LogRepeat: 5 * time.Second,
	}
}

// CapToMemory returns bytes, or an eighth of the memory limit if there is one and it is less.
func (s *Settings) CapToMemory(bytes int) int {
	if s.Memory == 0 {
		return bytes
	}
	return min(bytes, s.Memory/8)
}

// Router returns the configuration of package balance. Its AnswerSlack is AnswerMargin, because the deadlines that package
// balance gets are AnswerMargin before those of the client.
func (s *Settings) Router() balance.Config {
	cfg := balance.Config{
		Zone: max(0, indexOf(s.Zones, s.Zone)), Routers: s.Routers, MinBatchInterval: s.MinBatchInterval, Origin: s.Origin,
		Positions: s.Positions, LagPolicy: s.LagPolicy, CatchUpWait: s.CatchUpWait, DriverSessions: s.DriverSessions,
		SubscribeToList: s.SubscribeToList, SubscribeWithin: s.SubscribeWithin, DrainGrace: s.DrainGrace, SoftRemoval: s.SoftRemoval,
		AnswerSlack: s.AnswerMargin, ColdFrom: s.ColdFrom, RampTime: s.RampTime, ColdOverloadMultiple: s.ColdOverloadMultiple,
		ColdOverloadWindow: s.ColdOverloadWindow, Cancel: s.Cancel, Probing: s.Probing, ParallelAttempts: s.ParallelAttempts, AttemptLimit: s.AttemptLimit,
		RetryAfter: s.RetryAfter, MaxRetryAfter: s.MaxRetryAfter, DialTimeout: s.DialTimeout, ListShowsRole: s.ListShowsRole,
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, balance.Class{Name: c.Name, Effect: c.Effect, Scope: c.Scope, Need: c.Need,
			Target: c.Target, Deadline: c.Deadline, Window: c.Window, Bound: c.Bound, Value: c.Value, LateValue: c.LateValue})
	}
	return cfg
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
