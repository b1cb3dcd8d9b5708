package server

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/driver"
	"umberladder/internal/inbox"
)

// clockStart is the engine's time at the start. It is far from zero because the engine reads zero as unset.
const clockStart = 1000 * time.Hour

// loop owns the engine. Only its goroutine calls the engine and carries out its commands; it never blocks on a
// socket.
type loop struct {
	engine               *driver.Engine
	inbox                *inbox.Inbox[driver.Event]
	login                login
	unstreamed, streamed *answerMemory // memory of answers
	buf                  []byte        // buffer for encoding exchanges
	log                  *zap.Logger
	metrics              *metrics
	start                time.Time
	conns                map[driver.ConnID]*conn
	calls                callTable
	work                 *errgroup.Group
	cancelTimeout        time.Duration
	listNodes            func() []driver.Node
	frontEnd             *frontEnd
	stopped              chan struct{}
	engineCalls          chan func(*driver.Engine)
}

// withEngine has the loop's goroutine call f with the engine, and returns when f has returned, or with an error if
// ctx ends before the call.
func (l *loop) withEngine(ctx context.Context, f func(*driver.Engine)) error {
	done := make(chan struct{})
	select {
	case l.engineCalls <- func(e *driver.Engine) { f(e); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *loop) now() time.Duration { return clockStart + time.Since(l.start) }

// run runs the engine until ctx ends, then closes all connections.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare []driver.Event
	var cmds []driver.Command
	for {
		due := time.Duration(math.MaxInt64)
		if at, ok := l.engine.NextTimer(); ok {
			timer.Reset(max(0, at-l.now()))
			due = at
		}
		select {
		case <-l.inbox.Ready():
		case <-timer.C:
		case f := <-l.engineCalls:
			f(l.engine)
			continue
		case <-ctx.Done():
			l.shutdown()
			return nil
		}
		step := l.engine.Step
		if l.now()-due > suspendedAfter { // the machine or the process was suspended
			time.Sleep(readGrace)
			step = l.engine.StepLate
		}
		events, waited := l.inbox.Drain(spare)
		if len(events) > 0 {
			l.frontEnd.observeLoopDelay(waited)
		}
		cmds = step(l.now(), events, cmds[:0])
		for i := range cmds {
			l.do(ctx, &cmds[i])
			cmds[i] = driver.Command{}
		}
		l.removeClosed(events)
		clear(events)
		spare = events
		l.metrics.setGauges(l.engine.Held(), l.engine.Conns())
	}
}

const (
	suspendedAfter = 100 * time.Millisecond // a loop that is later than this was suspended
	readGrace      = 2 * time.Millisecond   // time for readers to report pending input before the engine handles timers
)

// removeClosed removes connections that have reported their last event.
func (l *loop) removeClosed(events []driver.Event) {
	for i := range events {
		ev := &events[i]
		if ev.Kind == driver.EventClosed || ev.Kind == driver.EventDialed && ev.Dial != nil ||
			ev.Kind == driver.EventResult && ev.Result.End != driver.EndAnswered {
			delete(l.conns, ev.Conn)
		}
	}
}

// shutdown closes the connections and fails all pending calls, so that no handler waits for the stopped loop.
func (l *loop) shutdown() {
	for _, c := range l.conns {
		c.cancel()
	}
	l.calls.failAll()
}

func (l *loop) do(ctx context.Context, cmd *driver.Command) {
	switch cmd.Kind {
	case driver.CommandDial:
		node := cmd.Node
		c := newConn(ctx, cmd.Conn, cmd.Address, l.inbox, func(format string, args ...any) {
			l.log.Sugar().Warnf("node "+node+": "+format, args...)
		})
		l.conns[cmd.Conn] = c
		l.work.Go(func() error {
			if rd := c.dial(&l.login); rd != nil {
				l.work.Go(func() error { c.run(rd); return nil })
			}
			return nil
		})
	case driver.CommandSend:
		l.send(cmd)
	case driver.CommandReadFacts:
		if c := l.conns[cmd.Conn]; c != nil {
			l.buf = c.startExchange(job{kind: exchangePoll, sink: &reply{}}, l.buf)
		}
	case driver.CommandCancel:
		if c := l.conns[cmd.Conn]; c != nil {
			l.work.Go(func() error { c.cancelWork(l.cancelTimeout); return nil })
		}
	case driver.CommandClose:
		if c := l.conns[cmd.Conn]; c != nil {
			c.cancel()
			delete(l.conns, cmd.Conn)
		}
	case driver.CommandStartStream:
		if c := l.conns[cmd.Conn]; c != nil {
			l.calls.open(cmd.Request, cmd.Answer, c.stream)
		}
	case driver.CommandAnswer:
		l.calls.answer(cmd.Request, cmd.Answer)
	case driver.CommandSubscribe:
		l.inbox.Put(driver.Event{Kind: driver.EventNodeList, List: listFull, Nodes: l.listNodes()})
	case driver.CommandLog:
		l.logLine(cmd)
	case driver.CommandStopped:
		close(l.stopped)
	}
}

func (l *loop) logLine(cmd *driver.Command) {
	if cmd.Node != "" {
		l.log.Warn("node " + cmd.Node + ": " + cmd.Text)
		return
	}
	l.log.Info(cmd.Text)
}

func (l *loop) send(cmd *driver.Command) {
	c, call := l.conns[cmd.Conn], l.calls.Get(cmd.Request)
	if c == nil || call == nil {
		return
	}
	j := job{kind: exchangeRead, stmt: &call.stmt}
	if cmd.Write {
		j.kind, j.guard = exchangeWrite, cmd.Guard
	}
	if c.stream = nil; call.ctx != nil {
		c.stream = newStream(call.ctx, l.streamed)
		j.sink, j.stream = c.stream, c.stream
	} else if cmd.Write {
		j.sink = &reply{maxBytes: call.maxResultBytes} // not dropped for lack of memory: the write has run
	} else {
		j.sink = &reply{maxBytes: call.maxResultBytes, memory: l.unstreamed}
	}
	l.buf = c.startExchange(j, l.buf)
}
