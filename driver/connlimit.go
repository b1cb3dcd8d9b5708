package driver

import "time"

// A node accepts a limited number of connections from all drivers together (max_connections). A driver that opens
// one for each request that finds none idle, and keeps them for Config.IdleClose, can leave other drivers without
// any; these then refuse requests that the node could serve. So:
//
//   - Once a node has refused a connection as full, attempts wait for the connections that the driver has there,
//     and one more is tried at a time, after pauses that double up to maxDialBackoff. If the driver has none
//     there, attempts end as full at once and the router tries another node.
//   - Meanwhile polls and requests share connections: a poll uses an idle one, and a request the prober. One
//     connection is enough to serve requests.
//   - Connections unused for contendedIdleClose are closed, except the last.
//
// This ends when the node accepts a connection again. The alternative, a configured limit divided by the number of
// drivers, served the same share of all requests within 0.005, or a share lower by up to 0.015.
const (
	minDialBackoff     = 100 * time.Millisecond
	maxDialBackoff     = 2 * time.Second
	contendedIdleClose = time.Second
)

// dialBackoff is the backoff of dials to a node that refused one as full.
type dialBackoff struct {
	pause time.Duration // before the next dial; 0 while the node is not known to be full
	until time.Duration // no dial before it
}

// open returns the number of open connections to the node, its prober included.
func (n *node) open() int {
	open := n.Len() - n.Dialing
	if n.prober != nil && n.prober.state != dialing {
		open++
	}
	return open
}

// atConnLimit reports whether the node refused the last dial as full.
func (n *node) atConnLimit() bool { return n.backoff.pause > 0 }

// mayDial reports whether another connection for requests may be opened now. It guards against using up the node's
// max_connections.
func (e *Engine) mayDial(n *node) bool {
	return !n.atConnLimit() || n.Dialing == 0 && e.now >= n.backoff.until
}

// startDialBackoff starts or doubles the backoff after a node refused a connection as full, and sets a timer for
// the next dial. It guards against a dial per queued attempt to a node that is full.
func (e *Engine) startDialBackoff(n *node) {
	n.backoff.pause = min(max(2*n.backoff.pause, minDialBackoff), maxDialBackoff)
	n.backoff.until = e.now + n.backoff.pause
	e.timers.Set(n.backoff.until, func(time.Duration) { e.refill(n) })
}

// endDialBackoff ends the backoff after the node accepted a connection.
func (n *node) endDialBackoff() { n.backoff = dialBackoff{} }

// idleTimeout returns how long an idle connection to the node is kept: shorter at the node's connection limit, so
// that other drivers get it.
func (e *Engine) idleTimeout(n *node) time.Duration {
	if n.atConnLimit() && n.open() > 1 {
		return min(contendedIdleClose, e.cfg.IdleClose)
	}
	return e.cfg.IdleClose
}

// takeProber turns an idle prober into a connection for requests at the node's connection limit, where no other is
// available; nil if it can't.
func (e *Engine) takeProber(n *node) *conn {
	c := n.prober
	if c == nil || c.state != idle || n.pollPending || !n.atConnLimit() {
		return nil
	}
	n.prober, c.isProber = nil, false
	n.Busy++
	return c
}

// pollOnIdle polls a node over its prober or, at the node's connection limit, over an idle connection. It reports
// false if none is idle.
func (e *Engine) pollOnIdle(n *node) bool {
	if c := n.prober; c != nil {
		if c.state != idle {
			return false
		}
		e.sendPoll(c)
		return true
	}
	if !n.atConnLimit() {
		return false
	}
	c, ok := n.Take()
	if !ok {
		return false
	}
	n.RemoveBusy(false)
	e.becomeProber(c)
	return true
}

// queuePoll queues a poll for a busy connection at the node's connection limit, and reports whether it did.
func (n *node) queuePoll() bool {
	n.pollQueued = n.atConnLimit() && n.Busy > n.Dialing
	return n.pollQueued
}

// becomeProber makes an idle connection for requests the node's prober.
func (e *Engine) becomeProber(c *conn) {
	c.node.pollQueued = false
	c.isProber, c.attempt, c.node.prober = true, nil, c
	e.sendPoll(c)
}

// lendProber hands the prober over to the oldest queued attempt, at the node's connection limit.
func (e *Engine) lendProber(n *node) {
	a := e.nextQueued(n)
	if a == nil {
		return
	}
	if c := e.takeProber(n); c != nil {
		e.send(c, a)
	}
}
