// Package driver is the engine between clients, db nodes and package balance. It does no I/O: events and the
// time go in, commands come out, and a shell (package server on sockets, a simulator elsewhere) carries them
// out. It reads no clock, starts no goroutine and draws no randomness but from its seed, so that the same
// events give the same commands.
//
// The engine decides nothing of package balance's areas. It translates: requests and answers into the
// module's events, the module's actions into sends, dials and answers, and log positions into times.
package driver

import (
	"time"

	"umberladder/balance"
	"umberladder/pgwire"
	"umberladder/position"
	"umberladder/token"
)

// ConnID names one connection to a db node; an engine never uses one twice.
type ConnID uint64

// RequestID names one request; the shell draws it and never uses one twice.
type RequestID = balance.RequestID

// Node is one db node of the list.
type Node struct {
	Name    string
	Address string // host:port
	Slice   string
	Hall    string
	Life    balance.Life
	// Instance tells apart what counts as one node and then another under the same name and address, as when
	// a drain was called off: what was told of the one binds it for good.
	Instance int
	Started  time.Duration // last start of its process on the engine's clock; 0 if long ago or not told
}

// Facts is what a node told of itself in one answer.
type Facts struct {
	Known    bool
	Replica  bool                  // in recovery
	Position position.Position     // of a primary, its transactions are those that it told to be over, none if it did not
	Received uint64                // of a replica: the log that it has, replayed or not; 0 if not told
	Shown    position.Transactions // of a replica: those that it may have shown; none if not told
	// Forks are where older timelines were left: of each one the last place that its successor kept.
	Forks    []position.Position
	System   uint64 // the cluster's identifier; 0 if not told
	Upstream string // of a replica: HOST:PORT of the node that it receives from; "" if it receives nothing or did not tell
	Clock    int64  // the node's own clock, in microseconds since 1970; 0 if not told
	// Standbys are those that follow it, as it told: an IP address and a name each.
	Standbys []string
}

// End is how an exchange on a connection ended.
type End uint8

// The ends of an exchange.
const (
	EndAnswered End = iota // the node answered all of it; the connection may be used again
	EndBroken              // the connection is gone, or what came on it can't be trusted
	EndNotSent             // the connection was gone before a byte of it was written
)

// Result is what came of one exchange.
type Result struct {
	End     End
	Began   bool          // the node took the statement up: what follows may have run
	Done    bool          // the statement ran and, if it writes, is committed; then Err is nil
	Err     *pgwire.Error // the node's error, nil if none
	Asking  bool          // Err is the answer to the driver's own question, not to the statement
	Guarded bool          // Err is that of the guard before a write: nothing ran
	Facts   Facts         // before a read, after a write
	After   Facts         // after a read: what it showed lies at or before that place
	Payload any           // the shell's own; comes back with the answer
}

// EventKind tells events apart.
type EventKind uint8

// The kinds of event.
const (
	EventRequest EventKind = iota // Request, and Ask with all that it asks for
	EventLeft                     // Request: its client left
	EventDialed                   // Conn: it is up, or Err tells why not
	EventResult                   // Conn, Result: its exchange ended
	EventOpened                   // Conn, Result.Facts: a streamed answer is about to begin
	EventClosed                   // Conn: it went away while nothing was out on it
	EventList                     // List, Nodes
	EventStop                     // take nothing new; answer what is held by Until
)

// Ask is what a request asks for.
type Ask struct {
	Class    int // place in the configuration
	Slice    string
	Session  string
	Token    token.Token
	Lost     bool          // a token was there and was lost on the way
	Deadline time.Duration // clock time at which the client gives up
}

// DialError says why there is no connection.
type DialError struct {
	Full bool  // the node is up and takes no more, or not yet
	Err  error // for the log
}

// Event is one thing that happened; Kind says which fields count.
type Event struct {
	Kind    EventKind
	List    balance.ListKind
	Request RequestID
	Conn    ConnID
	Ask     Ask
	Dial    *DialError
	Result  Result
	Nodes   []Node
	Until   time.Duration
}

// CommandKind tells commands apart.
type CommandKind uint8

// The kinds of command.
const (
	CommandDial      CommandKind = iota // open Conn to Address
	CommandSend                         // run Request on Conn; Write says in which order to ask for facts
	CommandAsk                          // ask on Conn for facts alone
	CommandCancel                       // ask the node to end what Conn runs
	CommandClose                        // close Conn, whatever is out on it
	CommandOpen                         // the streamed answer on Conn is Request's
	CommandAnswer                       // the final answer to Request
	CommandSubscribe                    // send the list and its changes as EventList
	CommandLog                          // Text for the operators
	CommandStopped                      // nothing is held any more
)

// Status is the kind of a final answer.
type Status uint8

// The statuses of a final answer.
const (
	Served  Status = iota // Payload is the answer
	Refused               // a further try is harmless
	Failed                // no promise
)

// String says it in a word.
func (s Status) String() string { return [...]string{"served", "refused", "failed"}[s] }

// Cause says why a request was refused or failed.
type Cause uint8

// The causes.
const (
	CauseNone       Cause = iota
	CauseNoNode           // no db node could take it in its time
	CauseUncertain        // an attempt went out and what became of it is not known
	CauseCut              // its streamed answer broke off
	CauseStopping         // the driver is stopping
	CauseClass            // its class is not configured
	CauseSlice            // its slice is not in the list
	CauseMaxOpen          // the driver holds as many as it may
	CauseForeign          // its token names no slice of this driver's
	CauseTokenless        // its class wants a token and there is none
	CauseTokenLost        // what its token stands for was lost in a promotion
	CauseTokenAhead       // its token is ahead of the slice's primary
	CauseFull             // as many of its slice are under way as are answered in time
	CauseShare            // its client has its part of them under way
	CauseBytes            // this driver holds as many bytes of requests as it may
	CauseMemory           // this driver is near the memory that it may take up
	CauseLate             // this driver is late, and other work is worth more
	CauseRetries          // too many further attempts
)

// String says it in words.
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

// Answer is a final answer, or, with CommandOpen, how a streamed one begins.
type Answer struct {
	Status     Status
	Cause      Cause         // of a refusal or failure
	RetryAfter time.Duration // advice with a refusal, 0 for none
	Token      token.Token   // covers all that the client has seen with this answer
	Holds      token.Token   // of a read: the answer shows all that lies at or before it; for caches
	Node       string
	Hall       string
	Facts      Facts
	Attempts   int
	Payload    any
}

// Guard is what a node must check in the transaction of a write before it runs: that it is no replica, that its timeline
// is no older than this, that its own clock is not beyond Until, and that it is of the cluster.
type Guard struct {
	Timeline uint32
	Until    int64  // microseconds since 1970; 0 for any time
	System   uint64 // the cluster; 0 for any
}

// Command is one thing to do, in order.
type Command struct {
	Kind    CommandKind
	Conn    ConnID
	Request RequestID
	Node    string
	Address string
	Write   bool
	Guard   Guard // of a write
	Answer  Answer
	Text    string
}
