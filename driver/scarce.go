package driver

import "time"

// A node takes so many connections from all drivers together (max_connections). A driver that opens one for each
// request that finds none free, and keeps them for as long as Config.IdleClose, can leave others without any: those then
// refuse what the node could do. So:
//
//   - Once a node said that it is full, what waits for it waits for the connections that the driver has there, and one
//     further is tried for at a time, after pauses that double up to longestFull. Without any, attempts end as "full" at
//     once and the module looks elsewhere.
//   - Meanwhile polls and requests share connections: a poll goes over an idle one, and a request over the prober. One
//     connection is enough to serve over.
//   - What was not used for briefIdle is given back, but for the last one.
//
// It lasts until a connection is taken again. A limit told by a setting and divided by the number of drivers was tried:
// served were the same shares, within 0.005, or less by up to 0.015 of all requests.
const (
	firstFull   = 100 * time.Millisecond
	longestFull = 2 * time.Second
	briefIdle   = time.Second
)

// fullness is what is known of a node's room for connections.
type fullness struct {
	pause time.Duration // between tries for a further one; 0 while the node is not known to be full
	until time.Duration // none is tried for before it
}

// open is how many connections to the node are open.
func (n *node) open() int {
	open := n.Len() - n.Dials
	if n.prober != nil && n.prober.state != dialing {
		open++
	}
	return open
}

// scarce tells whether the node was full when it was last asked for a connection.
func (n *node) scarce() bool { return n.full.pause > 0 }

// mayDial tells whether a further connection for requests may be opened now.
func (e *Engine) mayDial(n *node) bool {
	return !n.scarce() || n.Dials == 0 && e.now >= n.full.until
}

// isFull notes that the node turned a connection away, and has one tried for again after a pause if it is still wanted.
func (e *Engine) isFull(n *node) {
	n.full.pause = min(max(2*n.full.pause, firstFull), longestFull)
	n.full.until = e.now + n.full.pause
	e.timers.Set(n.full.until, func(time.Duration) { e.refill(n) })
}

// hasRoom notes that it took one.
func (n *node) hasRoom() { n.full = fullness{} }

// idleFor is how long a connection to the node is kept that nobody uses.
func (e *Engine) idleFor(n *node) time.Duration {
	if n.scarce() && n.open() > 1 {
		return min(briefIdle, e.cfg.IdleClose)
	}
	return e.cfg.IdleClose
}

// takeProber gives a request the connection that polls go over, where no other is to be had.
func (e *Engine) takeProber(n *node) *conn {
	c := n.prober
	if c == nil || c.state != idle || n.polled || !n.scarce() {
		return nil
	}
	n.prober, c.probes = nil, false
	n.Busy++
	return c
}

// quiet asks a node over its prober or, where connections are scarce, over an idle one; false if none is free.
func (e *Engine) quiet(n *node) bool {
	if c := n.prober; c != nil {
		if c.state != idle {
			return false
		}
		e.askProber(c)
		return true
	}
	if !n.scarce() {
		return false
	}
	c, ok := n.Take()
	if !ok {
		return false
	}
	n.Lose(false)
	e.probeOver(c)
	return true
}

// waitsToPoll has a poll wait for a connection that is at work, where connections are scarce.
func (n *node) waitsToPoll() bool {
	n.pollWaits = n.scarce() && n.Busy > n.Dials
	return n.pollWaits
}

// probeOver makes a connection for requests that is free the node's prober.
func (e *Engine) probeOver(c *conn) {
	c.node.pollWaits = false
	c.probes, c.attempt, c.node.prober = true, nil, c
	e.askProber(c)
}

// unprobe gives a prober to a request that waits, where connections are scarce.
func (e *Engine) unprobe(n *node) {
	a := e.next(n)
	if a == nil {
		return
	}
	if c := e.takeProber(n); c != nil {
		e.send(c, a)
	}
}
