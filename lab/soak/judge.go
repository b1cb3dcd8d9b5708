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
	answerGrace     = 500 * time.Millisecond // time after the deadline within which an answer must arrive
	ioSlack         = 50 * time.Millisecond  // time for I/O added to the drain grace
	disconnectGrace = 100 * time.Millisecond // time after a disconnect within which an attempt for the client may begin
	// closeRaceWindow is the time before a connection's end within which the driver may leave a written request unread.
	closeRaceWindow   = 50 * time.Millisecond
	maxBaseGoroutines = 30 // goroutines allowed per driver without sessions and connections to members
	goroutinesPerConn = 3  // further goroutines allowed for each session and each connection to a member
	// maxExcessDescriptors is the number of descriptors besides connections that a driver may have more under load than
	// without, for files and sockets being opened or closed.
	maxExcessDescriptors = 6
)

// arrival is a request received by a member.
type arrival struct {
	catalog.Request
	member string
}

// judge evaluates all rules on the finished run.
func (r *run) judge() (*Result, error) {
	slack := 30*time.Millisecond + 4*time.Duration(r.stalls.Load())
	requests := r.log.all()
	arrivals := map[string][]arrival{}
	for _, m := range r.members {
		for _, a := range m.Requests() {
			arrivals[a.ID] = append(arrivals[a.ID], arrival{a, m.UID})
		}
	}
	for _, all := range arrivals {
		slices.SortFunc(all, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	level, err := r.checkResources()
	if err != nil {
		return nil, err
	}
	return &Result{Plan: r.plan, Requests: len(requests), Slack: slack, Rules: []*lab.Rule{r.checkAnswered(requests, arrivals, slack),
		r.checkOnce(requests, arrivals, slack), r.checkDrained(arrivals, slack), checkDisconnected(requests, arrivals, slack), r.checkReady(), level, r.checkMemory(), r.checkEnded()}}, nil
}

// sinceTerm returns the time from SIGTERM to at.
func (r *run) sinceTerm(at time.Time) time.Duration { return at.Sub(r.termAt).Round(time.Millisecond) }

// checkAnswered checks that each request written is answered in time, with the value that a member sent. It excuses
// requests without an answer that reached no member if their connection ended soon after they were written, as the
// driver may not have read them. With a crowd it also excuses the first request of a connection that was reset.
func (r *run) checkAnswered(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "answered"}
	for i := range requests {
		q := &requests[i]
		if q.unsent || q.sent.IsZero() || q.outcome == outcomeLeft {
			continue
		}
		rule.Chances++
		took := q.endedAt.Sub(q.sent)
		inTurn := min(took, q.endedAt.Sub(q.prevAnswer)) // time spent on earlier answers of the connection does not count
		switch {
		case q.outcome == outcomeValue && q.value != catalog.Value(q.id):
			rule.Break("%s was answered with %q", q.id, q.value)
		case (q.outcome == outcomeValue || q.outcome == outcomeError) && inTurn > q.deadline+answerGrace+slack:
			rule.Break("%s was answered after %v, %v of it in turn, its client waits %v", q.id, took, inTurn, q.deadline)
		case q.outcome == outcomeNone:
			rule.Break("%s, sent %v after SIGTERM: no answer", q.id, r.sinceTerm(q.sent))
		case q.outcome != outcomeClosed && q.outcome != outcomeReset:
		case len(arrivals[q.id]) > 0:
			rule.Break("%s, sent %v after SIGTERM to %s, reached a member: %s after %v in place of an answer", q.id, r.sinceTerm(q.sent), q.driver, outcomeNames[q.outcome], took)
		case took <= closeRaceWindow+slack, q.firstOnConn && r.plan.Crowd && q.outcome == outcomeReset:
			rule.Excused++
		default:
			rule.Break("%s, sent %v after SIGTERM to %s: %s after %v in place of an answer", q.id, r.sinceTerm(q.sent), q.driver, outcomeNames[q.outcome], took)
		}
	}
	return rule
}

// checkOnce checks that no answer is without a request, no write reaches members twice, and no request reaches a member
// after its final answer.
func (r *run) checkOnce(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "once"}
	for _, extra := range r.log.unexpected {
		rule.Break("an answer too many: %s", extra)
	}
	for i := range requests {
		q := &requests[i]
		rule.Chances++
		all := arrivals[q.id]
		if q.write && len(all) > 1 {
			rule.Break("the write %s reached members %d times", q.id, len(all))
		}
		if q.outcome != outcomeValue && q.outcome != outcomeError {
			continue
		}
		for _, a := range all {
			if after := a.At.Sub(q.endedAt); after > slack {
				rule.Break("%s reached %s %v after its answer", q.id, a.member, after)
			}
		}
	}
	return rule
}

// checkDrained checks that no request reaches a draining member after its grace, counted from the latest time by which
// the driver must know of the drain.
func (r *run) checkDrained(arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "drains kept"}
	if r.plan.Trouble != MemberDrains {
		return rule
	}
	notified := r.troubleAt
	if r.reloaded {
		notified = notified.Add(reloadDelay)
	}
	limit := notified.Add(catalog.DrainGrace + ioSlack + slack)
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

// checkDisconnected checks that no attempt begins for a client that has disconnected.
func checkDisconnected(requests []request, arrivals map[string][]arrival, slack time.Duration) *lab.Rule {
	rule := &lab.Rule{Name: "nothing for who left"}
	for i := range requests {
		q := &requests[i]
		if q.outcome != outcomeLeft {
			continue
		}
		rule.Chances++
		for _, a := range arrivals[q.id] {
			if after := a.At.Sub(q.endedAt); after > disconnectGrace+slack {
				rule.Break("%s reached %s %v after its client left", q.id, a.member, after)
			}
		}
	}
	return rule
}

// checkReady checks that after each start the driver was ready in time.
func (r *run) checkReady() *lab.Rule {
	rule := &lab.Rule{Name: "ready"}
	for _, s := range r.starts {
		rule.Chances++
		if s.failure != nil {
			rule.Break("%v", s.failure)
		} else if s.took > s.within {
			rule.Break("driver %s was ready after %v", s.driver, s.took)
		}
	}
	return rule
}

// checkResources checks that goroutines are bounded by the number of connections, and descriptors by maxDescriptors and
// maxExcessDescriptors.
func (r *run) checkResources() (*lab.Rule, error) {
	rule := &lab.Rule{Name: "level"}
	if r.excessMeasured {
		rule.Chances++
		if r.excessDescriptors > maxExcessDescriptors {
			rule.Break("%d descriptors besides connections more than without load", r.excessDescriptors)
		}
	}
	for _, p := range r.drivers {
		states, err := p.loggedStates()
		if err != nil {
			return nil, err
		}
		for _, s := range states {
			rule.Chances++
			if most := maxBaseGoroutines + goroutinesPerConn*(s.Sessions+s.Conns); s.Goroutines > most {
				rule.Break("driver %s: %d goroutines with %d sessions and %d connections to members", p.config.Name, s.Goroutines, s.Sessions, s.Conns)
			}
		}
		rule.Chances++
		if files := p.peakUsage().files; files > maxDescriptors {
			rule.Break("driver %s: %d descriptors, %d are allowed", p.config.Name, files, maxDescriptors)
		}
	}
	return rule, nil
}

// checkMemory checks that no driver exceeds its memory limit.
func (r *run) checkMemory() *lab.Rule {
	rule := &lab.Rule{Name: "memory"}
	for _, p := range r.drivers {
		rule.Chances++
		if peak := p.peakUsage().memory; peak > memoryMB<<20 {
			rule.Break("driver %s took %d MiB, %d are allowed", p.config.Name, peak>>20, memoryMB)
		}
	}
	return rule
}

// checkEnded checks that the first driver exits with status 0 after SIGTERM, before SIGKILL. A process that has not yet
// installed its signal handler may be ended by SIGTERM.
func (r *run) checkEnded() *lab.Rule {
	rule := &lab.Rule{Name: "ends by itself", Chances: 1}
	p := r.drivers[0]
	var exit *exec.ExitError
	switch {
	case r.killed:
		rule.Break("it still ran %v after SIGTERM", r.plan.killAfter())
	case p.exitErr == nil:
	case errors.As(p.exitErr, &exit) && endedBySignal(exit) && r.plan.Signals == SignalEarlyTerm && r.plan.Load < signalSetupTime:
		rule.Excused++
	default:
		rule.Break("it ended with %v, %v after SIGTERM", p.exitErr, r.sinceTerm(p.exitedAt))
	}
	return rule
}

// signalSetupTime is the time after its start within which a process may not have installed its signal handler.
const signalSetupTime = 100 * time.Millisecond

func endedBySignal(e *exec.ExitError) bool {
	status, ok := e.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// writeTrace writes the events observed by clients and members, by time from SIGTERM.
func (r *run) writeTrace(path string) error {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, q := range r.log.all() {
		if !q.sent.IsZero() {
			lines = append(lines, line{q.sent, fmt.Sprintf("%s sent to %s, %v to wait", q.id, q.driver, q.deadline)})
		}
		if !q.endedAt.IsZero() {
			lines = append(lines, line{q.endedAt, fmt.Sprintf("%s ended by %s %s", q.id, outcomeNames[q.outcome], q.code)})
		}
	}
	for _, m := range r.members {
		for _, a := range m.Requests() {
			lines = append(lines, line{a.At, fmt.Sprintf("%s reached %s on connection %d", a.ID, m.UID, a.Conn)})
		}
	}
	lines = append(lines, line{r.troubleAt, "the trouble: " + r.plan.Trouble.String()}, line{r.drivers[0].exitedAt, "the driver's process ended"})
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	fmt.Fprintf(w, "seed %d: %s; times in ms from SIGTERM\n", r.plan.Seed, r.plan)
	for _, l := range lines {
		fmt.Fprintf(w, "%10.3f  %s\n", float64(l.at.Sub(r.termAt).Microseconds())/1000, l.text)
	}
	return cmp.Or(w.Flush(), f.Close())
}
