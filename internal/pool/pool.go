// Package pool keeps the books of the connections to one node: the idle ones, the one used last to be used next, and how
// many there are beside them.
package pool

import "slices"

// Pool is the connections to a node. The zero Pool has none; it is not safe for concurrent use.
type Pool[C comparable] struct {
	Idle  []C // the one used last at the end
	Busy  int // that are not idle, being opened included
	Dials int // that are being opened
}

// Len is how many connections there are, being opened included.
func (p *Pool[C]) Len() int { return p.Busy + len(p.Idle) }

// Dial counts a connection that is being opened.
func (p *Pool[C]) Dial() {
	p.Busy++
	p.Dials++
}

// Up counts one of them as open. It is busy until it is put.
func (p *Pool[C]) Up() { p.Dials-- }

// Take makes the idle connection that was used last a busy one; false if there is none.
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

// Put makes a busy connection an idle one.
func (p *Pool[C]) Put(c C) {
	p.Busy--
	p.Idle = append(p.Idle, c)
}

// Drop takes an idle connection out.
func (p *Pool[C]) Drop(c C) { p.Idle = slices.DeleteFunc(p.Idle, func(i C) bool { return i == c }) }

// Lose takes a busy connection out, which may be one that is being opened.
func (p *Pool[C]) Lose(dialing bool) {
	if p.Busy--; dialing {
		p.Dials--
	}
}
