package world

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// newSessions creates the client sessions of a driver.
func (w *World) newSessions(d int) []session {
	all := make([]session, max(1, w.cfg.Sessions))
	for i := range all {
		all[i] = session{name: fmt.Sprintf("s%d-%d", d, i), covered: map[string][]string{}, firstSlice: d*len(all) + i}
	}
	return all
}

// finished schedules the next request of a closed-loop session after the end of its last one.
func (s *session) finished() {
	if s.scheduleNext != nil {
		s.scheduleNext()
	}
}

// startClosedLoop starts sessions that have at most one request in flight and a think time between requests, so that
// slow answers reduce the arrival rate.
func (w *World) startClosedLoop() {
	for d, h := range w.drivers {
		rng := w.stream(fmt.Sprintf("thinkers %d", d))
		sessions := w.newSessions(d)
		for i := range sessions {
			s := &sessions[i]
			s.scheduleNext = func() {
				pause := rng.ExpFloat64() * float64(w.cfg.ThinkTime) / w.loadFactor / w.cfg.Burst.factor(w.now-start, w.cfg.Burst.Load)
				w.schedule(w.now+time.Duration(pause), func() { w.nextRequest(h, rng, s) })
			}
			w.schedule(start+time.Second, s.scheduleNext)
		}
	}
}

// nextRequest starts a session's next request, or schedules it again if no driver is running.
func (w *World) nextRequest(h *host, rng *rand.Rand, s *session) {
	if w.now >= start+w.cfg.Length {
		return
	}
	if to := w.runningDriver(h); to != nil {
		w.drawRequest(to, rng, s)
	} else {
		s.scheduleNext()
	}
}

// replayArrivals schedules recorded requests at their recorded times, all of one session at one driver. Requests with
// unknown classes or slices are skipped.
func (w *World) replayArrivals() {
	rng := w.stream("played")
	classes, byName, sessions := map[string]int{}, map[string]*slice{}, map[string]*session{}
	for i, c := range w.cfg.Engine.Router.Classes {
		classes[c.Name] = i
	}
	for _, s := range w.slices {
		byName[s.name] = s
	}
	for _, a := range w.cfg.Arrivals {
		class, ok := classes[a.Class]
		sl := byName[a.Slice]
		if !ok || sl == nil || a.At >= w.cfg.Length {
			continue
		}
		s := sessions[a.Session]
		if s == nil {
			s = &session{name: a.Session, covered: map[string][]string{}, firstSlice: len(sessions)}
			sessions[a.Session] = s
		}
		h := w.drivers[s.firstSlice%len(w.drivers)]
		w.schedule(start+a.At, func() {
			if to := w.runningDriver(h); to != nil {
				w.newRequest(to, rng, s, class, sl)
			}
		})
	}
}
