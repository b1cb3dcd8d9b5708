// Package position turns places in a db node's log into times that package balance can compare, without
// trusting anybody's clock but the driver's own.
//
// PostgreSQL numbers the bytes of its log (the LSN) and the histories that promotions begin (the timeline).
// Neither is a time. A Clock learns from each answer of the primary "between its send and its arrival the log
// stood at L" and bounds times from that, always to the safe side:
//
//   - what a replica has applied is bounded from below: it is never taken to be newer than it is;
//   - when a commit happened is bounded from above: a token never asks for less than it should.
//
// Nothing is extrapolated. What no observation bounds is "unproven" on the one side and "the present" on the
// other. docs/positions.md has the proof.
package position

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Unknown is the LSN of a commit that certainly happened but whose place was not heard. It lies after all
// others of its timeline, so that it asks for the present.
const Unknown = math.MaxUint64

// Present is a place that asks for the present of a slice, whatever its timeline is by then.
var Present = Position{Timeline: math.MaxUint32, LSN: Unknown}

// Position is a place in the history of a slice: the timeline, the byte on it (PostgreSQL's LSN), and transactions. A
// replica shows just what it has replayed, so there the LSN says it all. A primary has each commit in its log before it
// shows it, and replicas may show it meanwhile: there Transactions are those that are over and shown. Of a place that
// somebody asks for they are those that a replica may have shown them, none if none did. The zero Position is "none".
type Position struct {
	Timeline     uint32
	LSN          uint64
	Transactions Transactions
}

// IsZero tells whether p is no place at all.
func (p Position) IsZero() bool { return p == Position{} }

// Compare sorts by timeline, then by LSN, then by transactions. Covers is the order that tells who has seen more.
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

// IsPresent tells whether p asks for the present.
func (p Position) IsPresent() bool { return p.Timeline == Present.Timeline && p.LSN == Unknown }

// Covers tells whether whoever stands at p has all that a place q of the same history stands for: p is no older
// by timeline and no earlier by LSN, and shows what q saw. The timeline alone does not tell: a replica that follows a newer timeline
// may still replay the part that is shared with the older one.
func (p Position) Covers(q Position) bool {
	return p.Timeline >= q.Timeline && p.LSN >= q.LSN && p.Transactions.Covers(q.Transactions)
}

// Join is the least place that covers both.
func (p Position) Join(q Position) Position {
	return Position{Timeline: max(p.Timeline, q.Timeline), LSN: max(p.LSN, q.LSN), Transactions: p.Transactions.Union(q.Transactions)}
}

// Meet is the greatest place that both cover: what a page made of two reads of one slice holds.
func (p Position) Meet(q Position) Position {
	return Position{Timeline: min(p.Timeline, q.Timeline), LSN: min(p.LSN, q.LSN), Transactions: p.Transactions.Intersect(q.Transactions)}
}

// String writes PostgreSQL's form with the timeline in front: 2:16/B374D848.
func (p Position) String() string {
	if p.IsPresent() {
		return "present"
	}
	if p.LSN == Unknown {
		return fmt.Sprintf("%d:unknown", p.Timeline)
	}
	return fmt.Sprintf("%d:%X/%X", p.Timeline, p.LSN>>32, uint32(p.LSN))
}

// ParseLSN reads PostgreSQL's text form of an LSN, two hexadecimal numbers around a slash.
func ParseLSN(s string) (uint64, error) {
	high, low, ok := strings.Cut(s, "/")
	h, err1 := strconv.ParseUint(high, 16, 32)
	l, err2 := strconv.ParseUint(low, 16, 32)
	if !ok || err1 != nil || err2 != nil {
		return 0, fmt.Errorf("%q is no log position; one looks like 16/B374D848", s)
	}
	return h<<32 | l, nil
}

// maxPoints bounds a Clock's memory. Points beyond it are thinned out, which only loosens bounds.
const maxPoints = 1024

// point is one bound: the log stood at lsn at some time not before (lower) or not after (upper) at.
type point struct {
	lsn uint64
	at  time.Duration
}

// Clock bounds the times of the positions of one slice. The zero Clock is ready; it is not safe for
// concurrent use. Times are on the driver's own steady clock.
type Clock struct {
	timeline uint32
	known    bool              // the primary of the timeline was heard
	first    time.Duration     // when it was first heard
	forks    map[uint32]uint64 // by timeline, the last LSN that its successor kept
	lower    []point           // by LSN; at is when an answer with it was sent, rising
	upper    []point           // by LSN; at is when an answer with it was heard, rising
}

// Timeline is the highest timeline seen so far, 0 before any.
func (c *Clock) Timeline() uint32 { return c.timeline }

// Seen takes note that somebody is on a timeline: whatever claims to be primary of an older one is superseded.
func (c *Clock) Seen(timeline uint32) {
	if timeline > c.timeline {
		*c = Clock{timeline: timeline, forks: c.forks, lower: c.lower[:0], upper: c.upper[:0]}
	}
}

// Forked takes note of where a timeline was left: the last place that its successor kept.
func (c *Clock) Forked(at Position) {
	if c.forks == nil {
		c.forks = map[uint32]uint64{}
	}
	if lsn, known := c.forks[at.Timeline]; !known || at.LSN < lsn {
		c.forks[at.Timeline] = at.LSN
	}
}

// Fork is the last place of a timeline that its successor kept, or one beyond it if no closer one is known.
func (c *Clock) Fork(timeline uint32) (lsn uint64, known bool) {
	lsn, known = c.forks[timeline]
	return lsn, known
}

// Lost tells whether a place is known not to be part of the present history: a promotion left it out. A place
// whose timeline's end was not heard is not known to be lost, nor is one that is itself unknown.
func (c *Clock) Lost(p Position) bool {
	if p.LSN == Unknown {
		return false
	}
	for t := p.Timeline; t < c.timeline; t++ {
		if lsn, known := c.forks[t]; known && p.LSN > lsn {
			return true
		}
	}
	return false
}

// Primary takes note that the primary's log stood at p at some time between sent and heard. It tells whether
// the observation counted: that of a superseded primary does not.
func (c *Clock) Primary(p Position, sent, heard time.Duration) bool {
	c.Seen(p.Timeline)
	if p.Timeline < c.timeline || p.LSN == Unknown || heard < sent {
		return false
	}
	if !c.known || heard < c.first {
		c.known, c.first = true, heard
	}
	c.lower = raise(c.lower, point{p.LSN, sent})
	c.upper = lowerTo(c.upper, point{p.LSN, heard})
	return true
}

// AppliedBy bounds from below what a member at p has: every commit that was answered before that time. It is
// false where nothing is proven, as on a timeline whose primary was not heard.
func (c *Clock) AppliedBy(p Position) (time.Duration, bool) {
	if !c.known || p.Timeline != c.timeline {
		return 0, false
	}
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].lsn > p.LSN })
	if i == 0 {
		return 0, false
	}
	return c.lower[i-1].at, true
}

// CommittedBy bounds from above when the commit at p happened. It is false where only the present will do.
func (c *Clock) CommittedBy(p Position) (time.Duration, bool) {
	switch {
	case !c.known || p.Timeline > c.timeline:
		return 0, false
	case p.Timeline < c.timeline:
		return c.first, true // if it survived, it was there before the promotion that we heard of by then
	}
	i := sort.Search(len(c.upper), func(i int) bool { return c.upper[i].lsn >= p.LSN })
	if i == len(c.upper) {
		return 0, false
	}
	return c.upper[i].at, true
}

// ReachedBy is a time such that whoever is proven (AppliedBy) at or after it stands at p or beyond, false if there
// is none yet. It is when the first observation at or beyond p was sent, and so earlier than CommittedBy by a way
// to the primary and back: it bounds members, not commits. Thinning may make a member that was proven before it
// fall short of p; who serves reads checks the place itself.
func (c *Clock) ReachedBy(p Position) (time.Duration, bool) {
	switch {
	case !c.known || p.Timeline > c.timeline:
		return 0, false
	case p.LSN == Unknown && p.Timeline < c.timeline:
		return c.first, true // whoever is proven on the newer timeline has all that the older one kept
	}
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].lsn >= p.LSN })
	if i == len(c.lower) {
		return 0, false
	}
	return c.lower[i].at, true
}

// Newest is when the newest observation of the primary was sent, false before the first.
func (c *Clock) Newest() (time.Duration, bool) {
	if len(c.lower) == 0 {
		return 0, false
	}
	return c.lower[len(c.lower)-1].at, true
}

// After is a place that the primary's log was heard to stand at some time after t, false if none: whatever was
// committed by t on the clock's timeline lies at or before it.
func (c *Clock) After(t time.Duration) (Position, bool) {
	i := sort.Search(len(c.lower), func(i int) bool { return c.lower[i].at > t })
	if i == len(c.lower) {
		return Position{}, false
	}
	return Position{Timeline: c.timeline, LSN: c.lower[i].lsn}, true
}

// raise adds a lower bound to points that rise in both fields, unless one at no higher LSN is as late.
func raise(points []point, p point) []point {
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

// lowerTo adds an upper bound to points that rise in both fields, unless one at no lower LSN is as early.
func lowerTo(points []point, p point) []point {
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

// splice puts p in the place of points[from:to].
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

// thin drops every second point of the older half once there are too many.
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
