package balance

import "time"

// Times are durations on the driver's clock, whose zero has no meaning of its own. Positions in the
// log are durations after Config.Origin on that same clock.

// ServerID names a server; it is opaque and stable over restarts of the server's process.
type ServerID uint64

// RequestID names one request; a driver never uses an ID twice.
type RequestID uint64

// Effect says what a second execution of a request would do.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are discarded within Class.Scope for Class.Window
	Unsafe               // must never run twice
)

// Scope is the set of servers that together discard repeats of a keyed request.
type Scope uint8

// The scopes a keyed class can have.
const (
	ScopeGroup Scope = iota // the group of the request
	ScopeZone               // servers of one zone
	ScopeAll                // every server
)

// Need says how new the data behind an answer must be.
type Need uint8

// The needs a class can have.
const (
	NeedWrite   Need = iota // only the primary takes it
	NeedFresh               // every commit from before the request came in
	NeedSession             // the writes of the request's session
	NeedBounded             // data at most Class.Bound old at the send
	NeedAny                 // any data
)

// Behind is how a replica treats a read that it lags too far behind for.
type Behind uint8

// The treatments of a lagging read.
const (
	BehindServe  Behind = iota // it answers from what it has
	BehindReject               // OutcomeMiss at once
	BehindWait                 // it waits up to Config.CatchUpWait, then OutcomeMiss
)

// Class is one class of request.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope
	Need      Need
	Target    time.Duration // answers within it earn the full worth
	Deadline  time.Duration // what a client waits over all its tries
	Window    time.Duration // how long repeats of a keyed request are discarded
	Bound     time.Duration // for NeedBounded
	Worth     float64
	LateWorth float64 // the share of Worth earned after Target
}

// Config is all that a router is told at its start.
type Config struct {
	Classes       []Class
	Zone          int           // the router's own zone
	Routers       int           // how many routers there are, 0 if not known
	Round         time.Duration // the least time between batches
	Origin        time.Duration // the clock time that positions count from
	Positions     bool          // answers carry positions
	Behind        Behind
	CatchUpWait   time.Duration // for BehindWait
	RouterTokens  bool          // sessions are followed by this router's own answers, not by SinceWrite
	AskList       bool          // the list comes only to those that subscribe
	AskWithin     time.Duration // a router that has not asked for so long counts as told; for AskList
	DrainGrace    time.Duration // sends to a draining server end by then; 0 means at once
	SoftRemoval   bool          // only an entry listed as draining binds
	AnswerSlack   time.Duration // how long after the deadline a final answer still counts
	ColdFrom      float64       // least share of its capacity that a server starts with
	RampTime      time.Duration // a server is warm after it; 0 means servers start warm
	TipMultiple   float64       // a cold server sent more than this multiple of its capacity
	Fall          time.Duration // for so long falls over
	Cancel        bool          // ActionWithdraw is allowed
	Probing       bool          // ActionPoll is allowed; without it servers count as active
	ParallelTries bool          // a request may have two attempts out
	TryLimit      int           // most attempts of a request; 0 means one
	RetryAfter    bool          // refusals may advise when to come back
	MaxRetryAfter time.Duration // the longest such advice that is followed
	DialTimeout   time.Duration // then an attempt ends as OutcomeConnectFailed; for information
	ListsRole     bool          // list entries show the role, late
}

// ConnsAreChecked says that each attempt goes out only on a connection that was shown to work right before: silence then proves
// nothing about connections. It is a property of the driver, not a setting, and is told before the first step.
func (r *Router) ConnsAreChecked() { r.checked = true }

// Role is what a server says it is.
type Role uint8

// The roles of a server.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is how an attempt or a poll ended.
type Outcome uint8

// The outcomes; Full, ConnectFailed, Moot and Miss prove that nothing ran.
const (
	OutcomeError Outcome = iota
	OutcomeOK
	OutcomeFull
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeMoot
	OutcomeMiss
)

// NeverRan tells whether an outcome proves that nothing ran.
func (o Outcome) NeverRan() bool {
	return o == OutcomeFull || o == OutcomeConnectFailed || o == OutcomeMoot || o == OutcomeMiss
}

// Life is the state the list gives a server.
type Life uint8

// The states of a listed server.
const (
	LifeReady Life = iota
	LifeDraining
	LifeGone
)

// Entry is one line of a list.
type Entry struct {
	Server  ServerID
	Group   int
	Zone    int
	Life    Life
	Primary bool          // the listed role, where Config.ListsRole
	Started time.Duration // the last start of its process; 0 means long ago
}

// ListKind says how a list event applies.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list; who is missing is gone
	ListCached                 // the whole list as last held, possibly old
	ListFailed                 // a call or the subscription failed; no entries
)

// Report is what a server says of itself, as old as it is.
type Report struct {
	Valid       bool
	HasPosition bool
	HasRole     bool
	Position    time.Duration // rounded down
	Primary     bool
}

// EventKind tells events apart.
type EventKind uint8

// The kinds of event.
const (
	EventList    EventKind = iota // List, Entries
	EventRequest                  // Request, Class, Group, Key, Deadline, SinceWrite
	EventOpened                   // Request: its streamed answer began and belongs to the client
	EventOutcome                  // Request, Attempt, Server, Outcome, Age, Settled, Role, Position, Report
	EventAborted                  // Request: the client left
	EventPoll                     // Server, Outcome, Age, Report
	EventTimer                    // Token
)

// Event is one thing that happened; Kind says which fields count.
type Event struct {
	Kind       EventKind
	List       ListKind
	Outcome    Outcome
	Role       Role
	Settled    bool // the request is finished
	Request    RequestID
	Server     ServerID
	Key        uint64
	Token      uint64
	Class      int
	Group      int
	Attempt    int
	Age        time.Duration // since the attempt or poll was sent
	Deadline   time.Duration // the clock time at which the client leaves
	SinceWrite time.Duration // age of the session's last write; 0 means none
	Position   time.Duration // told by an answer, 0 if not; for a write that ran, its commit
	Report     Report
	Entries    []Entry
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of action.
const (
	ActionTry        ActionKind = iota // send Request to Server; attempts count from 0 in this order
	ActionWithdraw                     // stop waiting for Attempt of Request
	ActionReject                       // final: a further try is harmless; After advises when
	ActionFail                         // final: no promise
	ActionPoll                         // ask Server for a report
	ActionTimer                        // an EventTimer with Token After from now
	ActionSubscribe                    // ask for the list and its changes
	ActionDisconnect                   // close the idle connections to Server
	ActionLog                          // Text for the operators
)

// Action is one thing to do, in order.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  ServerID
	Attempt int
	Token   uint64
	After   time.Duration // Try: time-out, 0 for the client's deadline; Reject: advice; Timer: delay
	Text    string
}
