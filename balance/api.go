package balance

import "time"

// Times are durations on the driver's monotonic clock, whose zero is arbitrary. Log positions are expressed as
// commit times: durations after Config.Origin on that clock.

// ServerID identifies a server. It stays the same when the server's process restarts.
type ServerID uint64

// RequestID identifies a request. A driver must not use an ID twice.
type RequestID uint64

// Effect is what a second execution of a request would do.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // nothing; it may be repeated freely
	Keyed                // nothing within Class.Scope and Class.Window, where repeats are discarded by their key
	Unsafe               // harm; it must never run twice
)

// Scope is the set of servers that together discard repeats of a keyed request.
type Scope uint8

// The scopes a keyed class can have.
const (
	ScopeGroup Scope = iota // the group of the request
	ScopeZone               // servers of one zone
	ScopeAll                // every server
)

// Need is the freshness that a request requires of the data behind its answer.
type Need uint8

// The needs a class can have.
const (
	NeedWrite   Need = iota // a write, which only the primary takes
	NeedFresh               // every commit before the request arrived (linearizable read)
	NeedSession             // the writes of the request's session (read your writes)
	NeedBounded             // data at most Class.Bound old when the request is sent (bounded staleness)
	NeedAny                 // data of any age
)

// LagPolicy is what a replica does with a read for which it lags too far behind.
type LagPolicy uint8

// What a lagging replica can do with a read.
const (
	LagServe  LagPolicy = iota // it answers with the data that it has
	LagReject                  // it ends the attempt with OutcomeMiss at once
	LagWait                    // it waits up to Config.CatchUpWait for replication, then ends with OutcomeMiss
)

// Class is one class of requests. New requires 0 < Target <= Deadline.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope
	Need      Need
	Target    time.Duration // answers within it earn the full Value
	Deadline  time.Duration // how long a client waits, over all attempts
	Window    time.Duration // how long repeats of a keyed request are discarded
	Bound     time.Duration // greatest age of the data for NeedBounded
	Value     float64       // value of an answer within Target, relative to other classes
	LateValue float64       // share of Value, 0 to 1, that an answer after Target earns
}

// Config is the configuration of a router. It does not change after New.
type Config struct {
	Classes          []Class
	Zone             int           // the router's own availability zone
	Routers          int           // number of routers in front of the same servers, 0 if unknown
	MinBatchInterval time.Duration // least time between two batches of events; raised to 1 ms if less
	Origin           time.Duration // clock time of position 0
	Positions        bool          // answers carry log positions
	LagPolicy        LagPolicy     // what replicas do with reads for which they lag too far behind
	CatchUpWait      time.Duration // how long a replica waits with LagWait
	DriverSessions   bool          // a session's writes are tracked by this router's answers, not by Event.SinceWrite
	SubscribeToList  bool          // the server list is delivered only after ActionSubscribe
	// With SubscribeToList: a router without a subscription for this long counts as notified of all changes.
	SubscribeWithin      time.Duration
	DrainGrace           time.Duration // how long after a drain was listed requests may still be sent; 0 for not at all
	SoftRemoval          bool          // only servers listed as draining are taken out of use, not those missing from a list
	AnswerSlack          time.Duration // how long after the deadline a final answer is still accepted
	ColdFrom             float64       // least share of its capacity, 0 to 1, that a server has at its start (slow start)
	RampTime             time.Duration // time from its start until a server is warm; 0 if servers start warm
	ColdOverloadMultiple float64       // a cold server fails if sent more than this multiple of its present capacity
	ColdOverloadWindow   time.Duration // length of the window in which the requests for ColdOverloadMultiple are counted
	Cancel               bool          // ActionWithdraw may be used
	Probing              bool          // ActionPoll may be used; otherwise servers count as available without polls
	ParallelAttempts     bool          // a request may have two attempts in flight (hedged request)
	AttemptLimit         int           // most attempts of a request, the first included; below 1 counts as 1
	RetryAfter           bool          // ActionReject may carry a delay after which to retry
	MaxRetryAfter        time.Duration // longest such delay that clients follow
	DialTimeout          time.Duration // limit of the driver's dials, then OutcomeConnectFailed; for information
	ListShowsRole        bool          // list entries show the role, with a delay; for information
}

// AssumeCheckedConns declares that the driver checks each connection right before it sends an attempt on it, so that
// a missing answer is no evidence of a dropped connection. This depends on the driver, not on settings, and
// AssumeCheckedConns must be called before the first Step.
func (r *Router) AssumeCheckedConns() { r.connsChecked = true }

// Role is the role that a server reports of itself.
type Role uint8

// The roles of a server.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is how an attempt or a poll ended.
type Outcome uint8

// The outcomes of attempts and polls. After OutcomeFull, OutcomeConnectFailed, OutcomeUnsent and OutcomeMiss nothing
// ran; after the others the request may have run.
const (
	OutcomeError         Outcome = iota // the server answered with an error
	OutcomeOK                           // the server answered
	OutcomeFull                         // the server refused for lack of capacity
	OutcomeTimeout                      // no answer in time
	OutcomeConnectFailed                // no connection could be opened
	OutcomeReset                        // the connection broke
	OutcomeCancelled                    // withdrawn
	OutcomeUnsent                       // dropped before it was sent
	OutcomeMiss                         // refused by a server that lags too far behind or is not the primary
)

var outcomeNames = [...]string{"error", "ok", "full", "timeout", "connect-failed", "reset", "cancelled", "unsent", "miss"}

func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan reports whether the outcome is evidence that nothing ran, so that sending the request again is harmless.
func (o Outcome) NeverRan() bool {
	return o == OutcomeFull || o == OutcomeConnectFailed || o == OutcomeUnsent || o == OutcomeMiss
}

// Life is the state of a server in the list.
type Life uint8

// The states of a listed server.
const (
	LifeReady    Life = iota // in use
	LifeDraining             // about to be removed; requests may be sent for Config.DrainGrace
	LifeRemoved              // removed
)

// Entry is the state of one server in a list.
type Entry struct {
	Server  ServerID
	Group   int
	Zone    int // availability zone
	Life    Life
	Primary bool          // the listed role with Config.ListShowsRole
	Started time.Duration // clock time of the last start of its process; 0 if unknown or long ago
}

// ListKind is how a list event is to be applied.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list; missing servers are removed
	ListCached                 // the whole list from a cache, possibly outdated
	ListFailed                 // a list request or the subscription failed; without entries
)

// Report is a server's own report of its role and position. It may be older than the answer that carries it; of
// two reports the one with the higher position is newer.
type Report struct {
	Valid       bool          // the report has any content
	HasPosition bool          // Position is set
	HasRole     bool          // Primary is set
	Position    time.Duration // log position after Config.Origin, rounded down
	Primary     bool
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that each sets.
const (
	EventList      EventKind = iota // List, Entries, ListSince
	EventRequest                    // Request, Class, Group, Key, Deadline, SinceWrite
	EventStreaming                  // Request: its answer began to stream to the client and cannot be taken back
	EventOutcome                    // Request, Attempt, Server, Outcome, Age, Settled, Role, Position, Report
	EventAborted                    // Request: the client closed or cancelled it
	EventPoll                       // Server, Outcome, Age, Report
	EventTimer                      // Token
)

// Event is an input of Router.Step. Kind determines which fields are set.
type Event struct {
	Kind       EventKind
	List       ListKind
	Outcome    Outcome
	Role       Role // the server's role in an answer
	Settled    bool // the client has its final answer
	Request    RequestID
	Server     ServerID
	Key        uint64 // the session
	Token      uint64
	Class      int // index in Config.Classes; out of range is rejected
	Group      int
	Attempt    int           // counted from 0
	Age        time.Duration // time since the attempt or poll was sent
	Deadline   time.Duration // clock time after which the client no longer waits
	SinceWrite time.Duration // age of the session's last write, negative if its time is ahead of the router's clock; 0 if none
	Position   time.Duration // position in an answer, 0 if none; for a write that ran, its commit rounded up
	Report     Report
	Entries    []Entry
	// ListSince is when the lists before were last known to be complete; 0 if that is unknown or there were none.
	ListSince time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, with the fields of Action that each uses.
const (
	ActionSend       ActionKind = iota // send Request to Server; these actions number a request's attempts from 0
	ActionWithdraw                     // cancel Attempt of Request
	ActionReject                       // final answer: refused; a retry after After is harmless
	ActionFail                         // final answer: failed; the request may have run or may still run
	ActionPoll                         // query Server for a report
	ActionTimer                        // deliver an EventTimer with Token in After
	ActionSubscribe                    // subscribe to the server list and its changes
	ActionDisconnect                   // close the idle connections to Server
	ActionLog                          // log Text for operators
)

// Action is an output of Router.Step, to be carried out by the driver in order.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  ServerID
	Attempt int
	Token   uint64
	// ActionSend: time-out, 0 for the client's deadline. ActionReject: delay before a retry, 0 for none.
	// ActionTimer: delay.
	After time.Duration
	// ActionSend: how long the attempt may wait to be written, 0 for no limit. One that is not written completely by then
	// must not be written any more and ends with OutcomeUnsent.
	WriteWithin time.Duration
	Text        string
}
