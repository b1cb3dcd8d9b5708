// Package driver is the engine between clients, database nodes and package balance; it does no I/O. Events and the
// time go in: requests, results of exchanges with nodes, node lists. Commands come out, to dial, send, cancel,
// close and answer; an I/O layer (package server on sockets, a simulator elsewhere) calls Engine.Step and carries
// them out.
package driver

import (
	"time"

	"umberladder/balance"
	"umberladder/pgwire"
	"umberladder/position"
	"umberladder/token"
)

// ConnID identifies one connection to a database node. An engine never reuses one.
type ConnID uint64

// RequestID identifies one request. The I/O layer assigns it and never reuses one.
type RequestID = balance.RequestID

// Node is one database node of the node list.
type Node struct {
	Name    string
	Address string // host:port
	Slice   string
	Zone    string
	Life    balance.Life
	// Instance distinguishes nodes that share a name and an address but count as separate nodes. A node whose drain
	// is called off is listed under a new instance, as decisions about the draining one are final.
	Instance int
	Started  time.Duration // last start of its process on the engine's clock; 0 if long ago or not reported
}

// Facts is what a node reported about itself in one answer.
type Facts struct {
	Known        bool                  // false if it reported nothing; the other fields are then zero
	Replica      bool                  // in recovery
	Position     position.Position     // of a primary, Transactions are those it reported as finished; none if not reported
	Received     uint64                // replica only: end of the log received, replayed or not; 0 if not reported
	MaybeVisible position.Transactions // replica only: transactions that may be visible there; none if not reported
	// Forks holds, for each older timeline, the last position that its successor kept.
	Forks    []position.Position
	System   uint64 // PostgreSQL's system identifier of the cluster; 0 if not reported
	Upstream string // replica only: HOST:PORT of the node it streams from; "" if it streams from none or did not report it
	Clock    int64  // the node's own clock, in microseconds since 1970; 0 if not reported
	// Standbys are the nodes that stream from it, as it reports them: an IP address and a name each.
	Standbys []string
}

// End is how an exchange ended. An exchange is one query sent on a connection and its pending reply.
type End uint8

// The ways an exchange can end.
const (
	EndAnswered End = iota // the complete answer was received; the connection can be reused
	EndBroken              // the connection failed, or what was received on it is not valid
	EndNotSent             // the connection had failed before any byte was written
)

// Result is the result of one exchange.
type Result struct {
	End          End
	Started      bool          // the node started the statement: it and what follows may have run
	Done         bool          // the statement ran and, if it writes, is committed; Err is then nil
	Err          *pgwire.Error // the node's error, nil if none
	InFactsQuery bool          // Err answers the driver's own query for facts, not the statement
	GuardFailed  bool          // Err comes from the guard before a write: nothing ran
	Facts        Facts         // from before the statement if it reads, from after it if it writes
	After        Facts         // from after a statement that reads: what it saw lies at or before this position
	Payload      any           // opaque to the engine; returned with the answer
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event, each with the fields it uses.
const (
	EventRequest       EventKind = iota // Request and its parameters: a client sent a request
	EventClientLeft                     // Request: its client disconnected
	EventDialed                         // Conn: it is open, or Dial says why not
	EventResult                         // Conn, Result: its exchange ended
	EventStreamStarted                  // Conn, Result.Facts: the first rows of a streamed answer have arrived
	EventClosed                         // Conn: it closed with no exchange in flight
	EventNodeList                       // List, Nodes: the node list or a change of it
	EventStop                           // Until: accept no new requests, and answer all open ones by then
)

// RequestParams holds the parameters of a request.
type RequestParams struct {
	Class     int // index in Config.Router.Classes
	Slice     string
	Session   string // "" for none
	Token     token.Token
	TokenLost bool          // the client had a token that was lost in transit
	Deadline  time.Duration // when the client gives up, on the engine's clock
}

// DialError reports why a connection could not be opened.
type DialError struct {
	Full bool  // the node runs but accepts no further connection, or none yet
	Err  error // its text goes into the log
}

// Event is an input of the engine. Kind determines which fields are set.
type Event struct {
	Kind    EventKind
	List    balance.ListKind
	Request RequestID
	Conn    ConnID
	Params  RequestParams
	Dial    *DialError
	Result  Result
	Nodes   []Node
	Until   time.Duration
}

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of command.
const (
	CommandDial        CommandKind = iota // open Conn to Address
	CommandSend                           // run Request on Conn; Write: read the facts after it, else before it
	CommandReadFacts                      // read the facts alone on Conn
	CommandCancel                         // ask the node to cancel the statement that runs on Conn
	CommandClose                          // close Conn, whatever is in flight on it
	CommandStartStream                    // pass the streamed answer on Conn to the client of Request
	CommandAnswer                         // send the final answer of Request
	CommandSubscribe                      // deliver the node list and its changes as events
	CommandLog                            // log Text for operators
	CommandStopped                        // after EventStop: no request is open
)

// Status is the kind of a final answer.
type Status uint8

// The statuses of a final answer.
const (
	Served  Status = iota // Payload is the answer
	Refused               // nothing took effect; the client may safely retry
	Failed                // the request may or may not have taken effect
)

// String returns the status as one lower-case word.
func (s Status) String() string { return [...]string{"served", "refused", "failed"}[s] }

// Cause is the reason for which a request was refused or failed.
type Cause uint8

// The causes of a refusal or failure.
const (
	CauseNone             Cause = iota
	CauseNoNode                 // no node could run it before its deadline
	CauseUncertain              // an attempt was sent and its outcome is unknown
	CauseStreamBroken           // its streamed answer was interrupted
	CauseStopping               // the driver is shutting down
	CauseClass                  // its class is not configured
	CauseSlice                  // its slice is not in the node list
	CauseMaxOpen                // the driver has Config.MaxOpen requests open
	CauseForeignToken           // its token names only slices that this driver does not know
	CauseTokenMissing           // its class requires a token and it has none
	CauseTokenLost              // the write that its token stands for was lost in a promotion
	CauseTokenAhead             // its token is ahead of the slice's primary
	CauseConcurrencyLimit       // admission control: as many requests of its slice are in flight as can be answered in time
	CauseClientShare            // admission control: its client has its share of them in flight
	CauseRequestBytes           // limit on the bytes of requests in this driver
	CauseMemory                 // this driver is close to its memory limit
	CauseOverload               // load shedding: the driver is late, and other requests have a higher value
	CauseRetryBudget            // retry budget: too many further attempts
)

// String returns the cause as a phrase for messages to clients, "" for CauseNone.
func (c Cause) String() string {
	return [...]string{"", "no db node could take it in time", "an attempt went out and what became of it is not known",
		"the answer broke off on its way", "this driver is stopping", "its class is not configured",
		"its slice is not in the list", "this driver holds as many requests as it may",
		"its token names no slice that this driver knows", "its class wants a token and none came, or one was lost on the way",
		"the write that its token stands for was lost in a failover; read again without it",
		"its token is ahead of the primary: it is not of this slice's history",
		"as many requests of its slice are under way as are answered in time", "its client has its part of the slice's requests under way",
		"this driver holds as many bytes of requests as it may", "this driver is near the memory that it may take up",
		"this driver is late, and other work is worth more",
		"too many requests come again; do not try this one again"}[c]
}

// Answer is a final answer or the beginning of a streamed one.
type Answer struct {
	Status     Status
	Cause      Cause         // of a refusal or failure
	RetryAfter time.Duration // advice with a refusal, 0 for none
	Token      token.Token   // covers everything the client has seen, this answer included
	LowerBound token.Token   // of a read: the answer shows everything at or before this position; for caches
	Node       string        // name of the node that served the request; "" for a refusal or failure
	Zone       string        // zone of that node
	Facts      Facts         // Result.Facts of the answer
	Attempts   int           // number of attempts started for the request
	Payload    any           // Result.Payload of the answer
}

// Guard is what a node must check in the transaction of a write, before the write runs: that it is not a replica,
// that its timeline is not older than Timeline, that its own clock is not past Until, and that it belongs to
// cluster System. It fences writes off a stale primary.
type Guard struct {
	Timeline uint32
	Until    int64  // microseconds since 1970 on the node's clock; 0 for no limit
	System   uint64 // 0 for any cluster
}

// Command is one action for the I/O layer. Commands are to be executed in order.
type Command struct {
	Kind    CommandKind
	Conn    ConnID
	Request RequestID
	Node    string
	Address string
	Write   bool
	Guard   Guard // with CommandSend of a write
	Answer  Answer
	Text    string
}
