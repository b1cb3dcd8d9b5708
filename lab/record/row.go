// Package record stores the requests, attempts and node starts of a run, which lab/world (simulated) and lab (live) add
// as rows to a Writer. The output is a directory of Parquet files and about.json, which describes the run; a Parquet file
// gets its final name only when it is complete, so a killed run loses no more than its last seconds, and memory stays
// bounded however long a run is. The commands lab run, lab query and lab report call it, and lab/experiment replays the
// requests of a recording as load.
package record

import "time"

// Row is one request, one attempt of a request at a node, or one start of a node. Times are in nanoseconds since the
// start of the run.
type Row struct {
	Arm            string  `parquet:"arm,dict"`
	Repeat         int32   `parquet:"repeat"`
	Kind           string  `parquet:"kind,dict"` // KindRequest, KindAttempt or KindNodeStart
	Request        string  `parquet:"request"`   // ID of the request, the same in the rows of its attempts
	ClientTry      int32   `parquet:"try"`       // the client's try at this request; 0 for the first
	Attempt        int32   `parquet:"attempt"`   // number of the attempt, from 1; for requests, how many attempts were made
	Class          string  `parquet:"class,dict"`
	Slice          string  `parquet:"slice,dict"`
	Session        string  `parquet:"session,dict"`
	Driver         string  `parquet:"driver,dict"`
	Node           string  `parquet:"node,dict"` // for requests, the node that served it
	Zone           string  `parquet:"hall,dict"` // of the node
	Role           string  `parquet:"role,dict"` // of the node: primary, replica, or empty if not reported
	Sent           int64   `parquet:"sent,delta"`
	Ended          int64   `parquet:"ended,delta"` // NoEnd if no end was observed
	Outcome        string  `parquet:"outcome,dict"`
	Cause          string  `parquet:"cause,dict"` // why the request was not served
	Value          float64 `parquet:"worth"`      // value earned; requests only
	RequestedValue float64 `parquet:"asked"`      // value requested: that of the class on the first try, 0 on further tries
	// Log positions are 0 where none was reported.
	Timeline     int32  `parquet:"timeline"`
	LSN          int64  `parquet:"lsn"`
	NeedTimeline int32  `parquet:"need_timeline"` // of the session's token
	NeedLSN      int64  `parquet:"need_lsn"`
	Trouble      string `parquet:"trouble,dict"` // kinds of trouble active during the request, joined by "+"
	Broken       string `parquet:"broken,dict"`  // rule that the request broke, empty if none
}

// Kinds of rows.
const (
	KindRequest   = "request"
	KindAttempt   = "attempt"
	KindNodeStart = "start" // a node restarted with cold caches at Sent
)

// NoEnd is the Ended of a row without an observed end.
const NoEnd = int64(-1)

// Took returns the time from Sent to Ended, or 0 if Ended is NoEnd.
func (r *Row) Took() time.Duration {
	if r.Ended == NoEnd {
		return 0
	}
	return time.Duration(r.Ended - r.Sent)
}
