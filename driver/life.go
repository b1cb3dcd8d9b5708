package driver

import "fmt"

// The life of connections and attempts. Nothing sets a state but through become and goes, which take no move that does not
// stand in these tables; docs/life.md has the same tables with what brings each move about, and a test compares them.

// Move is a legal change of state.
type Move struct{ Of, From, To string }

var connNames = [...]string{"dialing", "idle", "busy", "lingering", "dead"}

var connMoves = [len(connNames)][len(connNames)]bool{
	dialing:   {idle: true, dead: true},
	idle:      {busy: true, dead: true},
	busy:      {idle: true, lingering: true, dead: true},
	lingering: {idle: true, dead: true},
}

var attemptNames = [...]string{"waiting", "sent", "over"}

var attemptMoves = [len(attemptNames)][len(attemptNames)]bool{
	waiting: {sent: true, over: true},
	sent:    {over: true},
}

// Moves are all legal moves, connections first.
func Moves() (all []Move) {
	for from := range connMoves {
		for to, legal := range connMoves[from] {
			if legal {
				all = append(all, Move{"connection", connNames[from], connNames[to]})
			}
		}
	}
	for from := range attemptMoves {
		for to, legal := range attemptMoves[from] {
			if legal {
				all = append(all, Move{"attempt", attemptNames[from], attemptNames[to]})
			}
		}
	}
	return all
}

// life counts the moves that were made.
type life struct {
	conns    [len(connNames)][len(connNames)]uint64
	attempts [len(attemptNames)][len(attemptNames)]uint64
	illegal  []string
}

// mostIllegal is how many illegal moves are kept.
const mostIllegal = 10

// become moves a connection to another state. A move that is none is told, and made: the engine goes on.
func (e *Engine) become(c *conn, to connState) {
	if !connMoves[c.state][to] {
		e.strange("connection %d goes from %s to %s", c.id, connNames[c.state], connNames[to])
	}
	e.life.conns[c.state][to]++
	c.state = to
}

// goes moves an attempt likewise.
func (e *Engine) goes(a *attempt, to attemptState) {
	if !attemptMoves[a.state][to] {
		e.strange("attempt %d of request %d goes from %s to %s", a.number, a.request.id, attemptNames[a.state], attemptNames[to])
	}
	e.life.attempts[a.state][to]++
	a.state = to
}

func (e *Engine) strange(format string, args ...any) {
	text := "illegal move: " + fmt.Sprintf(format, args...)
	if len(e.life.illegal) < mostIllegal {
		e.life.illegal = append(e.life.illegal, text)
	}
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: text + "; please report it"})
}

// Illegal are the first illegal moves that were made, which should be none.
func (e *Engine) Illegal() []string { return e.life.illegal }

// Moved counts the moves made so far.
func (e *Engine) Moved() map[Move]uint64 {
	all := map[Move]uint64{}
	for from := range e.life.conns {
		for to, n := range e.life.conns[from] {
			if n > 0 {
				all[Move{"connection", connNames[from], connNames[to]}] = n
			}
		}
	}
	for from := range e.life.attempts {
		for to, n := range e.life.attempts[from] {
			if n > 0 {
				all[Move{"attempt", attemptNames[from], attemptNames[to]}] = n
			}
		}
	}
	return all
}

// Sound recounts what the engine keeps counts of, and tells the first that is wrong. It is for tests and explorers: it
// walks all there is.
func (e *Engine) Sound() error {
	type count struct{ busy, dials, idle int }
	counts := map[*node]*count{}
	for _, n := range e.nodes {
		counts[n] = &count{}
	}
	for _, c := range e.conns {
		switch k := counts[c.node]; {
		case c.probes:
		case c.state == idle:
			k.idle++
		default:
			if k.busy++; c.state == dialing {
				k.dials++
			}
		}
	}
	for n, k := range counts {
		if n.Busy != k.busy || n.Dials != k.dials || len(n.Idle) != k.idle {
			return fmt.Errorf("node %s counts %d busy, %d dialling, %d idle connections; there are %d, %d, %d", n.listed.Name, n.Busy, n.Dials, len(n.Idle), k.busy, k.dials, k.idle)
		}
	}
	held, waiting := 0, map[*slice]int{}
	for id, q := range e.requests {
		if !q.done {
			if held++; q.out == 0 {
				waiting[q.slice]++
			}
		}
		out := 0
		for _, a := range q.attempts {
			if a.state != over {
				out++
			}
		}
		if out != q.out {
			return fmt.Errorf("request %d counts %d attempts out; there are %d", id, q.out, out)
		}
	}
	if held != e.held {
		return fmt.Errorf("%d requests are counted as held; there are %d", e.held, held)
	}
	for _, s := range e.slices {
		if s.waiting != waiting[s] {
			return fmt.Errorf("slice %s counts %d waiting requests; there are %d", s.name, s.waiting, waiting[s])
		}
	}
	return nil
}
