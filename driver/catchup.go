package driver

import "time"

// A poll yields the time as of which a replica is proven to have all commits. A replica polled together with its
// primary lags by the log in flight: its position then lies between two positions of the primary and proves no
// more than the older one, which may be long ago in a driver with little traffic. Reads with a staleness bound
// then found no proven replica, and the router, which polls each node at an interval of its own, had no reason to
// poll again soon.
//
// So while requests of a slice wait for a node and the primary's position was stale when the poll began, the query
// to a replica that lags is repeated within the same poll until the replica has reached the primary's position, for
// Config.ClockAge at most. The router gets one result, the last.

// minRepollPause is the first pause before a query to a replica is repeated; each further one is twice as long. The
// log in flight takes about the network delay to the replica and the replay of a record.
const minRepollPause = 2 * time.Millisecond

// maxWaiting is the most waiting requests of a slice for which polls are repeated. With more, requests wait for
// capacity, and polls would use some of it.
const maxWaiting = 4

// repoll schedules another query to a replica that lags and reports whether it did; the poll's result is then not
// reported yet.
func (e *Engine) repoll(n *node, f Facts) bool {
	if !f.Known || !f.Replica || !n.clockStale || n.slice.waiting == 0 || n.slice.waiting > maxWaiting || n.slice.primary == nil || n.slice.primary == n {
		return false
	}
	if f.Position.Timeline != n.slice.clock.Timeline() {
		return false
	}
	if by, ok := n.slice.clock.AppliedBy(f.Position); ok && by >= n.pollStarted-e.cfg.ClockAge {
		return false
	}
	if n.slice.provenAsOf >= n.pollStarted-e.cfg.ClockAge {
		return false // another replica is recent enough: requests wait for capacity
	}
	pause := max(n.repollPause*2, minRepollPause)
	if e.now+pause >= n.pollStarted+e.cfg.ClockAge {
		return false
	}
	n.repollPause = pause
	poll := n.polls
	e.timers.Set(e.now+pause, func(time.Duration) {
		if n.pollPending && n.polls == poll && !e.pollOnIdle(n) && n.prober == nil && !n.queuePoll() {
			n.prober = e.dial(n, true) // the prober was closed meanwhile
		}
	})
	return true
}
