package driver

import "fmt"

// Connections and attempts are state machines. Their states are set only by setConnState and setAttemptState,
// which report every transition that is not in these tables. docs/life.md has the same tables with the cause of
// each transition, and a test compares them.

// Transition is a transition of a connection or an attempt: Of is "connection" or "attempt", From and To are state
// names.
type Transition struct{ Of, From, To string }

var connStateNames = [...]string{"dialing", "idle", "busy", "lingering", "dead"}

var connTransitions = [len(connStateNames)][len(connStateNames)]bool{
	dialing:   {idle: true, dead: true},
	idle:      {busy: true, dead: true},
	busy:      {idle: true, lingering: true, dead: true},
	lingering: {idle: true, dead: true},
}

var attemptStateNames = [...]string{"waiting", "sent", "over"}

var attemptTransitions = [len(attemptStateNames)][len(attemptStateNames)]bool{
	waiting: {sent: true, over: true},
	sent:    {over: true},
}

// LegalTransitions returns all legal transitions, connections first.
func LegalTransitions() (all []Transition) {
	for from := range connTransitions {
		for to, legal := range connTransitions[from] {
			if legal {
				all = append(all, Transition{"connection", connStateNames[from], connStateNames[to]})
			}
		}
	}
	for from := range attemptTransitions {
		for to, legal := range attemptTransitions[from] {
			if legal {
				all = append(all, Transition{"attempt", attemptStateNames[from], attemptStateNames[to]})
			}
		}
	}
	return all
}

// transitions counts the transitions made.
type transitions struct {
	conns    [len(connStateNames)][len(connStateNames)]uint64
	attempts [len(attemptStateNames)][len(attemptStateNames)]uint64
	illegal  []string
}

// maxIllegal is how many illegal transitions are kept.
const maxIllegal = 10

// setConnState sets a connection's state. An illegal transition is logged and made anyway: the engine keeps
// running.
func (e *Engine) setConnState(c *conn, to connState) {
	if !connTransitions[c.state][to] {
		e.reportIllegal("connection %d goes from %s to %s", c.id, connStateNames[c.state], connStateNames[to])
	}
	e.life.conns[c.state][to]++
	c.state = to
}

// setAttemptState sets an attempt's state, like setConnState.
func (e *Engine) setAttemptState(a *attempt, to attemptState) {
	if !attemptTransitions[a.state][to] {
		e.reportIllegal("attempt %d of request %d goes from %s to %s", a.number, a.request.id, attemptStateNames[a.state], attemptStateNames[to])
	}
	e.life.attempts[a.state][to]++
	a.state = to
}

func (e *Engine) reportIllegal(format string, args ...any) {
	text := "illegal state transition: " + fmt.Sprintf(format, args...)
	if len(e.life.illegal) < maxIllegal {
		e.life.illegal = append(e.life.illegal, text)
	}
	e.cmds = append(e.cmds, Command{Kind: CommandLog, Text: text + "; please report it"})
}

// IllegalTransitions returns descriptions of the first illegal transitions, ten at most; nil if there were none.
func (e *Engine) IllegalTransitions() []string { return e.life.illegal }

// TransitionCounts returns how many times each transition was made, illegal ones included.
func (e *Engine) TransitionCounts() map[Transition]uint64 {
	all := map[Transition]uint64{}
	for from := range e.life.conns {
		for to, n := range e.life.conns[from] {
			if n > 0 {
				all[Transition{"connection", connStateNames[from], connStateNames[to]}] = n
			}
		}
	}
	for from := range e.life.attempts {
		for to, n := range e.life.attempts[from] {
			if n > 0 {
				all[Transition{"attempt", attemptStateNames[from], attemptStateNames[to]}] = n
			}
		}
	}
	return all
}

// CheckCounts recounts connections, attempts and requests, and returns an error for the first count the engine has
// wrong. It is for tests and model checking: it walks the whole state.
func (e *Engine) CheckCounts() error {
	type count struct{ busy, dials, idle int }
	counts := map[*node]*count{}
	for _, n := range e.nodes {
		counts[n] = &count{}
	}
	for _, c := range e.conns {
		switch k := counts[c.node]; {
		case c.isProber:
		case c.state == idle:
			k.idle++
		default:
			if k.busy++; c.state == dialing {
				k.dials++
			}
		}
	}
	for n, k := range counts {
		if n.Busy != k.busy || n.Dialing != k.dials || len(n.Idle) != k.idle {
			return fmt.Errorf("node %s counts %d busy, %d dialing, %d idle connections; there are %d, %d, %d", n.entry.Name, n.Busy, n.Dialing, len(n.Idle), k.busy, k.dials, k.idle)
		}
	}
	held, waiting := 0, map[*slice]int{}
	for id, q := range e.requests {
		if !q.done {
			if held++; q.inFlight == 0 {
				waiting[q.slice]++
			}
		}
		inFlight := 0
		for _, a := range q.attempts {
			if a.state != over {
				inFlight++
			}
		}
		if inFlight != q.inFlight {
			return fmt.Errorf("request %d counts %d attempts in flight; there are %d", id, q.inFlight, inFlight)
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
