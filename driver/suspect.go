package driver

import (
	"time"

	"umberladder/balance"
	"umberladder/topology"
)

// The module asks nodes on timers that back off, and sooner where work waits for a primary. A driver without such work
// would learn of a promotion late. So whatever casts doubt on a primary (a broken or refused connection to it, a
// refusal to write, a replica that lost it, a newer term) starts rounds of questions to all nodes of the slice, shared
// by all requests, until somebody holds office by an answer that was asked for since. A round goes out within
// the time that one may take, drawn, so that many drivers spread theirs; rounds grow rarer, and end after doubtFor.
const (
	doubtFor   = 15 * time.Second
	leastRound = 50 * time.Millisecond
	mostRound  = time.Second
	roundEach  = 5 * time.Millisecond // of a round's time, for each driver there is
	roundGrow  = 1.25
)

// doubt is a slice whose primary is in doubt.
type doubt struct {
	since time.Duration // 0 for none
	pause time.Duration // until the next round
}

// suspect starts rounds of questions, unless they are under way.
func (e *Engine) suspect(s *slice) {
	if s.doubt.since > 0 || !e.cfg.Router.Probing {
		return
	}
	s.doubt = doubt{since: e.now, pause: min(max(roundEach*time.Duration(e.cfg.Router.Routers), leastRound), mostRound)}
	first := time.Duration(0)
	if e.cfg.Router.Routers > 1 {
		first = time.Duration(e.rng.Float64() * float64(s.doubt.pause))
	}
	e.timers.Set(e.now+first, func(time.Duration) { e.round(s) })
}

// round asks every node of a slice that can be asked at once, and sees to the next round.
func (e *Engine) round(s *slice) {
	if e.settled(s) || e.now-s.doubt.since > doubtFor || e.stopped {
		s.doubt = doubt{}
		return
	}
	for _, n := range s.nodes {
		if n.listed.Life == balance.LifeGone || n.polled {
			continue
		}
		if !e.quiet(n) && n.prober == nil && !n.waitsToPoll() {
			n.prober = e.dial(n, true)
		}
	}
	e.timers.Set(e.now+s.doubt.pause, func(time.Duration) { e.round(s) })
	s.doubt.pause = time.Duration(float64(s.doubt.pause) * roundGrow)
}

// settled tells whether somebody holds office by an answer to a question asked since the doubt began.
func (e *Engine) settled(s *slice) bool {
	if s.primary == nil {
		return false
	}
	for _, entry := range s.topo.Entries() {
		if entry.Node == s.primary.listed.Name {
			return entry.Standing == topology.Office && entry.Claim.Sent >= s.doubt.since
		}
	}
	return false
}

// doubted starts rounds where what ended badly was a slice's primary.
func (e *Engine) doubted(n *node) {
	if n.slice.primary == n || n.slice.primary == nil {
		e.suspect(n.slice)
	}
}
