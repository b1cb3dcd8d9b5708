package driver

import (
	"time"

	"umberladder/position"
)

const (
	sessionKeep = 10 * time.Minute // a session not heard of for so long is forgotten
	sessionMost = 100000           // so many are kept at once
)

// sessions remembers, where the driver itself follows sessions, how far the writes of each have come. What is
// forgotten is not lost: it raises a floor that then holds for every session of the slice.
type sessions struct {
	known map[sessionKey]*sessionAt
	order []sessionKey // by first mention
	floor map[string]position.Position
	// place names an unknown place that was written by a time, once the log was heard to stand there later.
	place func(slice string, by time.Duration) (position.Position, bool)
}

type sessionKey struct{ slice, session string }

type sessionAt struct {
	at   position.Position
	last time.Duration
}

func (s *sessions) wrote(slice, session string, at position.Position, now time.Duration) {
	if s.known == nil {
		s.known, s.floor = map[sessionKey]*sessionAt{}, map[string]position.Position{}
	}
	key := sessionKey{slice, session}
	known := s.known[key]
	if known == nil {
		known = &sessionAt{}
		s.known[key] = known
		s.order = append(s.order, key)
	}
	known.at, known.last = known.at.Max(at), now
	s.prune(now)
}

// needs is the place that a read of the session must see, the zero Position for none.
func (s *sessions) needs(slice, session string) position.Position {
	need := s.floor[slice]
	if known := s.known[sessionKey{slice, session}]; known != nil {
		need = need.Max(known.at)
	}
	return need
}

// prune looks at the oldest mentions only: one that was heard of since goes to the end again.
func (s *sessions) prune(now time.Duration) {
	for range 2 {
		if len(s.order) == 0 {
			return
		}
		key := s.order[0]
		known := s.known[key]
		if len(s.known) <= sessionMost && now-known.last < sessionKeep {
			return
		}
		s.order = s.order[1:]
		if now-known.last < sessionKeep/2 && len(s.known) <= 2*sessionMost {
			s.order = append(s.order, key)
			continue
		}
		if at, ok := s.place(key.slice, known.last); ok && known.at.LSN == position.Unknown {
			known.at = at
		}
		s.floor[key.slice] = s.floor[key.slice].Max(known.at)
		delete(s.known, key)
	}
}
