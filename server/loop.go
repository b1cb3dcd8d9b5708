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

// clockStart is the engine's time at the start. It lies far from zero, which is no time to the module.
const clockStart = 1000 * time.Hour

// loop owns the engine. It alone calls it, never blocks on a socket, and carries out its commands.
type loop struct {
	engine          *driver.Engine
	inbox           *inbox.Inbox[driver.Event]
	login           login
	whole, streamed *room  // for answers
	words           []byte // room to put an exchange together
	log             *zap.Logger
	metrics         *metrics
	start           time.Time
	conns           map[driver.ConnID]*conn
	calls           callTable
	work            *errgroup.Group
	cancels         time.Duration
	list            func() []driver.Node
	front           *front
	stopped         chan struct{}
	looks           chan func(*driver.Engine)
}

// look has the loop call a function with its engine, and returns once it did, or ctx ended.
func (l *loop) look(ctx context.Context, f func(*driver.Engine)) error {
	done := make(chan struct{})
	select {
	case l.looks <- func(e *driver.Engine) { f(e); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *loop) now() time.Duration { return clockStart + time.Since(l.start) }

// run goes on until ctx ends; then it closes all connections.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare []driver.Event
	var cmds []driver.Command
	for {
		due := time.Duration(math.MaxInt64)
		if at, ok := l.engine.Wake(); ok {
			timer.Reset(max(0, at-l.now()))
			due = at
		}
		select {
		case <-l.inbox.Ready():
		case <-timer.C:
		case f := <-l.looks:
			f(l.engine)
			continue
		case <-ctx.Done():
			l.end()
			return nil
		}
		advance := l.engine.Step
		if l.now()-due > stall { // this machine stood still
			time.Sleep(readersFirst)
			advance = l.engine.StepLate
		}
		events, waited := l.inbox.Drain(spare)
		if len(events) > 0 {
			l.front.looped(waited)
		}
		cmds = advance(l.now(), events, cmds[:0])
		for i := range cmds {
			l.do(ctx, &cmds[i])
			cmds[i] = driver.Command{}
		}
		l.forget(events)
		clear(events)
		spare = events
		l.metrics.state(l.engine.Held(), l.engine.Conns())
	}
}

const (
	stall        = 100 * time.Millisecond // by which the loop must be late to count as stopped
	readersFirst = 2 * time.Millisecond   // which the connections then have to tell what came
)

// forget drops the connections that said their last word.
func (l *loop) forget(events []driver.Event) {
	for i := range events {
		ev := &events[i]
		if ev.Kind == driver.EventClosed || ev.Kind == driver.EventDialed && ev.Dial != nil ||
			ev.Kind == driver.EventResult && ev.Result.End != driver.EndAnswered {
			delete(l.conns, ev.Conn)
		}
	}
}

// end answers what is still held, so that no handler waits for a loop that is gone.
func (l *loop) end() {
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
	case driver.CommandAsk:
		if c := l.conns[cmd.Conn]; c != nil {
			l.words = c.start(job{kind: exchangeAsk, sink: &reply{}}, l.words)
		}
	case driver.CommandCancel:
		if c := l.conns[cmd.Conn]; c != nil {
			l.work.Go(func() error { c.cancelWork(l.cancels); return nil })
		}
	case driver.CommandClose:
		if c := l.conns[cmd.Conn]; c != nil {
			c.cancel()
			delete(l.conns, cmd.Conn)
		}
	case driver.CommandOpen:
		if c := l.conns[cmd.Conn]; c != nil {
			l.calls.open(cmd.Request, cmd.Answer, c.stream)
		}
	case driver.CommandAnswer:
		l.calls.answer(cmd.Request, cmd.Answer)
	case driver.CommandSubscribe:
		l.inbox.Put(driver.Event{Kind: driver.EventList, List: listFull, Nodes: l.list()})
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
	j := job{kind: exchangeRead, st: &call.st}
	if cmd.Write {
		j.kind, j.guard = exchangeWrite, cmd.Guard
	}
	if c.stream = nil; call.ctx != nil {
		c.stream = newStream(call.ctx, l.streamed)
		j.sink, j.stream = c.stream, c.stream
	} else if cmd.Write {
		j.sink = &reply{most: call.most} // it ran: what it says is not thrown away for want of room
	} else {
		j.sink = &reply{most: call.most, room: l.whole}
	}
	l.words = c.start(j, l.words)
}
