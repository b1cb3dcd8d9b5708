package soak

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"umberladder/lab"
	"umberladder/standin/catalog"
)

const (
	lateAnswer = 500 * time.Millisecond // after its time an answer earns nothing, and still ends its request
	onSockets  = 50 * time.Millisecond  // by which each time limit is longer on sockets
	leftGrace  = 100 * time.Millisecond // after a client left, until which an attempt for it may begin
	// crossing is how long before a connection's end a request may have been written that the driver did not read.
	crossing = 50 * time.Millisecond
	// Goroutines that a driver may have in all, and for each session and each connection to a member.
	mostGoroutines = 30
	perConnection  = 3
	mostExcess     = 6 // descriptors beyond connections that may be more under load than at rest: what is being opened or closed
)

// arrival is a request as it reached a member.
type arrival struct {
	catalog.Request
	member string
}

// judge judges the run.
func (r *run) judge() (*Result, error) {
	slack := 30*time.Millisecond + 4*time.Duration(r.stalls.Load())
	requests := r.book.all()
	arrivals := map[string][]arrival{}
	for _, m := range r.members {
		for _, a := range m.Requests() {
			arrivals[a.ID] = append(arrivals[a.ID], arrival{a, m.UID})
		}
	}
	for _, all := range arrivals {
		slices.SortFunc(all, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	level, err := r.level()
	if err != nil {
		return nil, err
	}
	return &Result{Plan: r.plan, Requests: len(requests), Slack: slack, Rules: []*lab.Rule{r.answered(requests, arrivals, slack),
		r.once(requests, arrivals, slack), r.drained(arrivals, slack), left(requests, arrivals, slack), r.ready(), level, r.memory(), r.ended()}}, nil
}

// since says when something was, counted from SIGTERM.
func (r *run) since(at time.Time) time.Duration { return at.Sub(r.termed).Round(time.Millisecond) }

// answered: each request that was written gets an answer, its value as a member gave it, in time. A request may
// cross the end of its connection, unread: one that reached a member was read.
func (r *run) answered(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "answered"}
	for i := range requests {
		q := &requests[i]
		if q.unsent || q.sent.IsZero() || q.end == endingLeft {
			continue
		}
		rule.Chances++
		took := q.at.Sub(q.sent)
		inTurn := min(took, q.at.Sub(q.behind)) // the time spent waiting for the answers before it does not count
		switch {
		case q.end == endingValue && q.value != catalog.Value(q.id):
			rule.Break("%s was answered with %q", q.id, q.value)
		case (q.end == endingValue || q.end == endingError) && inTurn > q.deadline+lateAnswer+slack:
			rule.Break("%s was answered after %v, %v of it in turn, its client waits %v", q.id, took, inTurn, q.deadline)
		case q.end == endingNone:
			rule.Break("%s, sent %v after SIGTERM: no answer", q.id, r.since(q.sent))
		case q.end != endingClosed && q.end != endingReset:
		case len(arrivals[q.id]) > 0:
			rule.Break("%s, sent %v after SIGTERM to %s, reached a member: %s after %v in place of an answer", q.id, r.since(q.sent), q.driver, endingNames[q.end], took)
		case took <= crossing+slack, q.first && r.plan.Crowd && q.end == endingReset:
			rule.Excused++
		default:
			rule.Break("%s, sent %v after SIGTERM to %s: %s after %v in place of an answer", q.id, r.since(q.sent), q.driver, endingNames[q.end], took)
		}
	}
	return rule
}

// once: no second answer, no write twice at members, nothing sent to a member after the final answer.
func (r *run) once(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "once"}
	for _, extra := range r.book.extra {
		rule.Break("an answer too many: %s", extra)
	}
	for i := range requests {
		q := &requests[i]
		rule.Chances++
		all := arrivals[q.id]
		if q.write && len(all) > 1 {
			rule.Break("the write %s reached members %d times", q.id, len(all))
		}
		if q.end != endingValue && q.end != endingError {
			continue
		}
		for _, a := range all {
			if after := a.At.Sub(q.at); after > slack {
				rule.Break("%s reached %s %v after its answer", q.id, a.member, after)
			}
		}
	}
	return rule
}

// drained: nothing new reaches a member past its grace, once its drain counts as told.
func (r *run) drained(arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "drains kept"}
	if r.plan.Trouble != MemberDrains {
		return rule
	}
	told := r.struckAt
	if r.reloaded {
		told = told.Add(reloadTold)
	}
	limit := told.Add(catalog.DrainGrace + onSockets + slack)
	uid := r.members[r.plan.Member].UID
	for id, all := range arrivals {
		for _, a := range all {
			if a.At.After(limit) {
				rule.Chances++
			}
			if a.member == uid && a.At.After(limit) {
				rule.Break("%s reached %s %v after its grace", id, uid, a.At.Sub(limit))
			}
		}
	}
	return rule
}

// left: no attempt begins for a client that has gone.
func left(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "nothing for who left"}
	for i := range requests {
		q := &requests[i]
		if q.end != endingLeft {
			continue
		}
		rule.Chances++
		for _, a := range arrivals[q.id] {
			if after := a.At.Sub(q.at); after > leftGrace+slack {
				rule.Break("%s reached %s %v after its client left", q.id, a.member, after)
			}
		}
	}
	return rule
}

// ready: each start is ready in time.
func (r *run) ready() *lab.Rule {
	rule := &lab.Rule{Name: "ready"}
	for _, s := range r.readies {
		rule.Chances++
		if s.failure != nil {
			rule.Break("%v", s.failure)
		} else if s.took > s.within {
			rule.Break("driver %s was ready after %v", s.driver, s.took)
		}
	}
	return rule
}

// level: descriptors and goroutines go with the connections.
func (r *run) level() (*lab.Rule, error) {
	rule := &lab.Rule{Name: "level"}
	if r.measured {
		rule.Chances++
		if r.excess > mostExcess {
			rule.Break("%d descriptors more than at rest beside those of connections", r.excess)
		}
	}
	for _, p := range r.drivers {
		states, err := p.states()
		if err != nil {
			return nil, err
		}
		for _, s := range states {
			rule.Chances++
			if most := mostGoroutines + perConnection*(s.Sessions+s.Conns); s.Goroutines > most {
				rule.Break("driver %s: %d goroutines with %d sessions and %d connections to members", p.config.Name, s.Goroutines, s.Sessions, s.Conns)
			}
		}
		rule.Chances++
		if files := p.took().files; files > sockets {
			rule.Break("driver %s: %d descriptors, %d are allowed", p.config.Name, files, sockets)
		}
	}
	return rule, nil
}

// memory: no driver takes more than its limit.
func (r *run) memory() *lab.Rule {
	rule := &lab.Rule{Name: "memory"}
	for _, p := range r.drivers {
		rule.Chances++
		if taken := p.took().memory; taken > memoryMB<<20 {
			rule.Break("driver %s took %d MiB, %d are allowed", p.config.Name, taken>>20, memoryMB)
		}
	}
	return rule
}

// ended: the driver that was told to end does so by itself, before the kill, with status 0. One that had not come to
// take signals yet may end by the signal.
func (r *run) ended() *lab.Rule {
	rule := &lab.Rule{Name: "ends by itself", Chances: 1}
	p := r.drivers[0]
	var exit *exec.ExitError
	switch {
	case r.killed:
		rule.Break("it still ran %v after SIGTERM", r.plan.killAfter())
	case p.exit == nil:
	case errors.As(p.exit, &exit) && endedBySignal(exit) && r.plan.Signals == SignalEarlyTerm && r.plan.Load < earliestStart:
		rule.Excused++
	default:
		rule.Break("it ended with %v, %v after SIGTERM", p.exit, r.since(p.ended))
	}
	return rule
}

// earliestStart is how long after its start a process may not have come to take signals yet.
const earliestStart = 100 * time.Millisecond

func endedBySignal(e *exec.ExitError) bool {
	status, ok := e.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// writeTrace writes what clients and members saw, in order of time from SIGTERM.
func (r *run) writeTrace(path string) error {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, q := range r.book.all() {
		if !q.sent.IsZero() {
			lines = append(lines, line{q.sent, fmt.Sprintf("%s sent to %s, %v to wait", q.id, q.driver, q.deadline)})
		}
		if !q.at.IsZero() {
			lines = append(lines, line{q.at, fmt.Sprintf("%s ended by %s %s", q.id, endingNames[q.end], q.code)})
		}
	}
	for _, m := range r.members {
		for _, a := range m.Requests() {
			lines = append(lines, line{a.At, fmt.Sprintf("%s reached %s on connection %d", a.ID, m.UID, a.Conn)})
		}
	}
	lines = append(lines, line{r.struckAt, "the trouble: " + r.plan.Trouble.String()}, line{r.drivers[0].ended, "the driver's process ended"})
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	fmt.Fprintf(w, "seed %d: %s; times in ms from SIGTERM\n", r.plan.Seed, r.plan)
	for _, l := range lines {
		fmt.Fprintf(w, "%10.3f  %s\n", float64(l.at.Sub(r.termed).Microseconds())/1000, l.text)
	}
	return cmp.Or(w.Flush(), f.Close())
}
