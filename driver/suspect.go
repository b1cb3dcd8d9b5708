package driver

import (
	"time"

	"umberladder/balance"
	"umberladder/topology"
)

// The router polls nodes on timers with backoff, and sooner while requests wait for a primary. A driver without
// such requests would detect a promotion late. So any evidence against a primary (a failed or refused connection
// to it, a refused write, a replica that lost it, a newer term) starts rounds of polls of all nodes of the slice,
// shared by all requests, until a node is accepted as primary by an answer to a later query. The first round starts
// after a random part of the pause between rounds, so that many drivers spread theirs; the pauses grow, and the
// rounds end after maxSuspicion.
const (
	maxSuspicion        = 15 * time.Second
	minRoundPause       = 50 * time.Millisecond
	maxRoundPause       = time.Second
	roundPausePerDriver = 5 * time.Millisecond // part of the pause per driver
	roundPauseGrowth    = 1.25
)

// suspicion is the state of the poll rounds while a slice's primary is in doubt.
type suspicion struct {
	since time.Duration // 0 for none
	pause time.Duration // until the next round
}

// suspect starts poll rounds unless they are running. It guards against detecting a promotion late.
func (e *Engine) suspect(s *slice) {
	if s.suspicion.since > 0 || !e.cfg.Router.Probing {
		return
	}
	s.suspicion = suspicion{since: e.now, pause: min(max(roundPausePerDriver*time.Duration(e.cfg.Router.Routers), minRoundPause), maxRoundPause)}
	first := time.Duration(0)
	if e.cfg.Router.Routers > 1 {
		first = time.Duration(e.rng.Float64() * float64(s.suspicion.pause))
	}
	e.timers.Set(e.now+first, func(time.Duration) { e.pollRound(s) })
}

// pollRound polls every node of a slice that has no poll pending, and schedules the next round.
func (e *Engine) pollRound(s *slice) {
	if e.primaryConfirmed(s) || e.now-s.suspicion.since > maxSuspicion || e.stopped {
		s.suspicion = suspicion{}
		return
	}
	for _, n := range s.nodes {
		if n.entry.Life == balance.LifeRemoved || n.pollPending {
			continue
		}
		if !e.pollOnIdle(n) && n.prober == nil && !n.queuePoll() {
			n.prober = e.dial(n, true)
		}
	}
	e.timers.Set(e.now+s.suspicion.pause, func(time.Duration) { e.pollRound(s) })
	s.suspicion.pause = time.Duration(float64(s.suspicion.pause) * roundPauseGrowth)
}

// primaryConfirmed reports whether the slice has a primary whose latest claim answers a query sent since the suspicion
// began. An earlier answer may come from a primary that has failed since.
func (e *Engine) primaryConfirmed(s *slice) bool {
	if s.primary == nil {
		return false
	}
	for _, entry := range s.topo.Entries() {
		if entry.Node == s.primary.entry.Name {
			return entry.Status == topology.Incumbent && entry.Claim.Sent >= s.suspicion.since
		}
	}
	return false
}

// suspectPrimaryAt starts poll rounds after a failure at a node, if the node is its slice's primary or the slice
// has none.
func (e *Engine) suspectPrimaryAt(n *node) {
	if n.slice.primary == n || n.slice.primary == nil {
		e.suspect(n.slice)
	}
}
