// Package pool does the accounting of the connections to one node: the idle ones, reused last in first out, and the
// number of the others.
package pool

import "slices"

// Pool counts the connections to a node. The zero Pool is empty; it is not safe for concurrent use.
type Pool[C comparable] struct {
	Idle    []C // idle connections, the most recently used last
	Busy    int // connections that are not idle, including those being opened
	Dialing int // connections being opened
}

// Len returns the number of connections, including those being opened.
func (p *Pool[C]) Len() int { return p.Busy + len(p.Idle) }

// StartDial counts a connection that is being opened.
func (p *Pool[C]) StartDial() {
	p.Busy++
	p.Dialing++
}

// Opened counts a connection that was being opened as open. It stays busy until Put.
func (p *Pool[C]) Opened() { p.Dialing-- }

// Take removes the most recently used idle connection and counts it as busy; false if none is idle.
func (p *Pool[C]) Take() (c C, ok bool) {
	k := len(p.Idle)
	if k == 0 {
		return c, false
	}
	c = p.Idle[k-1]
	p.Idle = p.Idle[:k-1]
	p.Busy++
	return c, true
}

// Put makes a busy connection idle.
func (p *Pool[C]) Put(c C) {
	p.Busy--
	p.Idle = append(p.Idle, c)
}

// RemoveIdle removes an idle connection.
func (p *Pool[C]) RemoveIdle(c C) {
	p.Idle = slices.DeleteFunc(p.Idle, func(i C) bool { return i == c })
}

// RemoveBusy removes a busy connection; dialing says that it was being opened.
func (p *Pool[C]) RemoveBusy(dialing bool) {
	if p.Busy--; dialing {
		p.Dialing--
	}
}
