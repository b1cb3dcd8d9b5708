package driver

import "time"

// A poll tells the module as of which time a replica is proven to have everything. A replica asked at the same time as
// its primary is behind it by what is on its way: its place then lies between two places of the primary, and proves no
// more than the older one, which may be long ago where a driver has little traffic. Reads that must be recent then found
// no replica, and the module, which asks each node at intervals of its own, no reason to ask again soon.
//
// So while requests of a slice wait for a node and its primary is not heard anyhow, a replica that stands behind is
// asked again within the same poll, until it has come to where the primary was, at most for Config.ClockAge. The module
// hears one answer, the last.

// firstPause is the time before a replica is asked again, doubled each time: what is on its way takes as long as the
// way to a replica and the replay of a record.
const firstPause = 2 * time.Millisecond

// mostWaiting is how many requests of a slice may wait: more wait for room, and questions would take of it.
const mostWaiting = 4

// asksAgain tells whether a poll's answer is not handed on as the replica is asked once more.
func (e *Engine) asksAgain(n *node, f Facts) bool {
	if !f.Known || !f.Replica || !n.pollQuiet || n.slice.waiting == 0 || n.slice.waiting > mostWaiting || n.slice.primary == nil || n.slice.primary == n {
		return false
	}
	if f.Position.Timeline != n.slice.clock.Timeline() {
		return false
	}
	if by, ok := n.slice.clock.AppliedBy(f.Position); ok && by >= n.pollBegan-e.cfg.ClockAge {
		return false
	}
	if n.slice.proven >= n.pollBegan-e.cfg.ClockAge {
		return false // another is recent: what waits, waits for room
	}
	pause := max(n.pause*2, firstPause)
	if e.now+pause >= n.pollBegan+e.cfg.ClockAge {
		return false
	}
	n.pause = pause
	poll := n.polls
	e.timers.Set(e.now+pause, func(time.Duration) {
		if n.polled && n.polls == poll && !e.quiet(n) && n.prober == nil && !n.waitsToPoll() {
			n.prober = e.dial(n, true) // it was lost meanwhile
		}
	})
	return true
}
