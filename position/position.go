// Package position compares log positions and bounds the times at which they were reached. Positions that nodes report,
// with the times at which they were requested and received, go in; bounds on the driver's own clock come out, so that
// no other clock has to be trusted. The driver's engine calls it to decide how stale a replica is and which node may
// serve a token.
//
// PostgreSQL numbers the bytes of its log (the LSN) and the histories that promotions begin (the timeline). Neither is
// a time. From each answer of the primary a Clock learns that the log was at some LSN between the request and the
// answer, and derives bounds on the safe side:
//
//   - what a replica has applied is bounded from below: a replica is never taken to be newer than it is;
//   - the time of a commit is bounded from above: a token never requires less than it should.
//
// Nothing is extrapolated. Without an observation that bounds it, a replica counts as unproven and a commit as made in
// the present. docs/positions.md has the proof.
package position

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// UnknownLSN is the LSN of a commit that certainly happened but whose position was not reported. It is greater than any
// other LSN, so that only the present state of its timeline satisfies it.
const UnknownLSN = math.MaxUint64

// Present is a position that only the present state of a slice satisfies, whatever its timeline is by then.
var Present = Position{Timeline: math.MaxUint32, LSN: UnknownLSN}

// Position is a point in the history of a slice: the timeline, the byte in its log (PostgreSQL's LSN), and
// transactions. On a replica the LSN determines what is visible. A primary writes a commit to its log before it makes
// it visible, and replicas may show it in between; in a primary's position Transactions is the set of those that are
// finished and visible. In a position that a client requires, it is the set of those that a replica may have shown to
// the client, empty if none did. The zero Position means none.
type Position struct {
	Timeline     uint32
	LSN          uint64
	Transactions Transactions
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns -1, 0 or 1 in the order of timeline, LSN and transactions. It is a total order for sorting; Covers
// compares what has been seen.
func (p Position) Compare(q Position) int {
	switch {
	case p.Timeline != q.Timeline:
		if p.Timeline < q.Timeline {
			return -1
		}
		return 1
	case p.LSN < q.LSN:
		return -1
	case p.LSN > q.LSN:
		return 1
	}
	return p.Transactions.Compare(q.Transactions)
}

// IsPresent reports whether p requires the present state of the slice.
func (p Position) IsPresent() bool { return p.Timeline == Present.Timeline && p.LSN == UnknownLSN }

// Covers reports whether a node at p has everything up to q in the same history: neither p's timeline nor its LSN is
// lower, and its transactions include those of q. The timeline alone is not enough: a replica that follows a newer
// timeline may still be replaying the part that it shares with the older one.
func (p Position) Covers(q Position) bool {
	return p.Timeline >= q.Timeline && p.LSN >= q.LSN && p.Transactions.Covers(q.Transactions)
}

// Join returns the least position that covers p and q.
func (p Position) Join(q Position) Position {
	return Position{Timeline: max(p.Timeline, q.Timeline), LSN: max(p.LSN, q.LSN), Transactions: p.Transactions.Union(q.Transactions)}
}

// Meet returns the greatest position that both p and q cover. It is the lower bound of a result combined from two reads
// of one slice.
func (p Position) Meet(q Position) Position {
	return Position{Timeline: min(p.Timeline, q.Timeline), LSN: min(p.LSN, q.LSN), Transactions: p.Transactions.Intersect(q.Transactions)}
}

// String returns PostgreSQL's form with the timeline in front, as in 2:16/B374D848.
func (p Position) String() string {
	if p.IsPresent() {
		return "present"
	}
	if p.LSN == UnknownLSN {
		return fmt.Sprintf("%d:unknown", p.Timeline)
	}
	return fmt.Sprintf("%d:%X/%X", p.Timeline, p.LSN>>32, uint32(p.LSN))
}

// ParseLSN parses PostgreSQL's text form of an LSN, two hexadecimal numbers of up to 32 bits separated by a slash. It
// returns an error for any other text.
func ParseLSN(s string) (uint64, error) {
	high, low, ok := strings.Cut(s, "/")
	h, err1 := strconv.ParseUint(high, 16, 32)
	l, err2 := strconv.ParseUint(low, 16, 32)
	if !ok || err1 != nil || err2 != nil {
		return 0, fmt.Errorf("%q is not a log position, want two hexadecimal numbers as in 16/B374D848", s)
	}
	return h<<32 | l, nil
}

// maxPoints limits the points of each kind that a Clock keeps. Beyond it older points are thinned out, which only
// loosens bounds.
const maxPoints = 1024

// point is one bound: the log was at lsn at some time not before at (in Clock.lower) or not after at (in Clock.upper).
type point struct {
	lsn uint64
	at  time.Duration
}

// Clock bounds the times of the positions of one slice. The zero Clock is ready to use; it is not safe for concurrent
// use. Times are on the driver's monotonic clock.
type Clock struct {
	timeline      uint32
	observed      bool              // an observation of the timeline's primary was recorded
	firstReceived time.Duration     // earliest time at which one was received
	forks         map[uint32]uint64 // highest LSN that the successor of a timeline kept, by timeline
	lower         []point           // ascending in both fields; at is when the request was sent
	upper         []point           // ascending in both fields; at is when the answer was received
}

// Timeline returns the highest timeline seen so far, 0 before any.
func (c *Clock) Timeline() uint32 { return c.timeline }

// ObserveTimeline records that a node is on a timeline. If it is higher than any before, all bounds are dropped (forks
// stay), and observations of lower timelines are ignored from now on, as their primaries are superseded.
func (c *Clock) ObserveTimeline(timeline uint32) {
	if timeline > c.timeline {
		*c = Clock{timeline: timeline, forks: c.forks, lower: c.lower[:0], upper: c.upper[:0]}
	}
}

// ObserveFork records the fork of a timeline: the last position that its successor kept.
func (c *Clock) ObserveFork(at Position) {
	if c.forks == nil {
		c.forks = map[uint32]uint64{}
	}
	if lsn, known := c.forks[at.Timeline]; !known || at.LSN < lsn {
		c.forks[at.Timeline] = at.LSN
	}
}

// Fork returns the lowest recorded fork of a timeline, as an LSN, and false if none was recorded. The true fork is not
// beyond it.
func (c *Clock) Fork(timeline uint32) (lsn uint64, known bool) {
	lsn, known = c.forks[timeline]
	return lsn, known
}

// Lost reports whether a promotion is known to have dropped p from the present history. It is false if the fork or
// p's LSN is not known.
func (c *Clock) Lost(p Position) bool {
	if p.LSN == UnknownLSN {
		return false
	}
	for t := p.Timeline; t < c.timeline; t++ {
		if lsn, known := c.forks[t]; known && p.LSN > lsn {
			return true
		}
	}
	return false
}

// ObservePrimary records that the primary's log was at p at some time between sent and received. It returns false and
// records no bound if p is on a superseded timeline, its LSN is unknown or received is before sent.
func (c *Clock) ObservePrimary(p Position, sent, received time.Duration) bool {
	c.ObserveTimeline(p.Timeline)
	if p.Timeline < c.timeline || p.LSN == UnknownLSN || received < sent {
		return false
	}
	if !c.observed || received < c.firstReceived {
		c.observed, c.firstReceived = true, received
	}
	c.lower = addLower(c.lower, point{p.LSN, sent})
	c.upper = addUpper(c.upper, point{p.LSN, received})
	return true
}

// AppliedBy returns a time such that a member at p has applied every commit that was answered before it. It returns
// false if no such time is proven, as on a timeline whose primary was not observed.
func (c *Clock) AppliedBy(p Position) (time.Duration, bool) {
	if !c.observed || p.Timeline != c.timeline {
		return 0, false
	}
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].lsn > p.LSN })
	if i == 0 {
		return 0, false
	}
	return c.lower[i-1].at, true
}

// CommittedBy returns a time by which the commit at p had happened. It returns false if only the present is a bound.
func (c *Clock) CommittedBy(p Position) (time.Duration, bool) {
	switch {
	case !c.observed || p.Timeline > c.timeline:
		return 0, false
	case p.Timeline < c.timeline:
		return c.firstReceived, true // if it survived, it precedes the promotion, which was observed by then
	}
	i := sort.Search(len(c.upper), func(i int) bool { return c.upper[i].lsn >= p.LSN })
	if i == len(c.upper) {
		return 0, false
	}
	return c.upper[i].at, true
}

// ReachedBy returns a time such that a member whose AppliedBy is at or after it is at p or beyond, and false if there
// is none yet. It is when the request of the first observation at or beyond p was sent, about a round trip to the
// primary earlier than CommittedBy, and thus bounds members, not commits. After thinning, a member that was proven
// before may fall short of p; reads check the position itself.
func (c *Clock) ReachedBy(p Position) (time.Duration, bool) {
	switch {
	case !c.observed || p.Timeline > c.timeline:
		return 0, false
	case p.LSN == UnknownLSN && p.Timeline < c.timeline:
		return c.firstReceived, true // a member proven on the newer timeline has all that the older one kept
	}
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].lsn >= p.LSN })
	if i == len(c.lower) {
		return 0, false
	}
	return c.lower[i].at, true
}

// LastObserved returns when the request of the newest observation of the primary was sent, and false before the first.
func (c *Clock) LastObserved() (time.Duration, bool) {
	if len(c.lower) == 0 {
		return 0, false
	}
	return c.lower[len(c.lower)-1].at, true
}

// PositionAfter returns a position that the primary's log reached at some time after t, and false if none was observed.
// Whatever was committed by t on the clock's timeline is at or before it.
func (c *Clock) PositionAfter(t time.Duration) (Position, bool) {
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].at > t })
	if i == len(c.lower) {
		return Position{}, false
	}
	return Position{Timeline: c.timeline, LSN: c.lower[i].lsn}, true
}

// addLower adds a lower bound to points that ascend in both fields, unless one at the same or a lower LSN is at least
// as late.
func addLower(points []point, p point) []point {
	i := sort.Search(len(points), func(i int) bool { return points[i].lsn > p.lsn })
	if i > 0 && points[i-1].at >= p.at {
		return points
	}
	from := i
	for from > 0 && points[from-1].lsn == p.lsn {
		from--
	}
	to := i
	for to < len(points) && points[to].at <= p.at {
		to++
	}
	return thin(splice(points, from, to, p))
}

// addUpper adds an upper bound to points that ascend in both fields, unless one at the same or a higher LSN is at least
// as early.
func addUpper(points []point, p point) []point {
	i := sort.Search(len(points), func(i int) bool { return points[i].lsn >= p.lsn })
	if i < len(points) && points[i].at <= p.at {
		return points
	}
	to := i
	if to < len(points) && points[to].lsn == p.lsn {
		to++
	}
	from := i
	for from > 0 && points[from-1].at >= p.at {
		from--
	}
	return thin(splice(points, from, to, p))
}

// splice replaces points[from:to] with p.
func splice(points []point, from, to int, p point) []point {
	if from == to {
		points = append(points, point{})
		copy(points[from+1:], points[from:])
		points[from] = p
		return points
	}
	points[from] = p
	return append(points[:from+1], points[to:]...)
}

// thin drops every second point of the older half if there are more than maxPoints.
func thin(points []point) []point {
	if len(points) <= maxPoints {
		return points
	}
	half, kept := len(points)/2, points[:0]
	for i, p := range points {
		if i >= half || i%2 == 0 {
			kept = append(kept, p)
		}
	}
	return kept
}
