package driver

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"umberladder/position"
)

// sessionCost is the memory of one tracked session beside its names, in bytes, rounded up.
const sessionCost = 200

// sessions tracks, with Config.DriverSessions, the position up to which each session has written or read. Evicting a
// session loses no guarantee: unless every node has passed its position, that position raises its slice's floor, and
// every session of the slice must see the floor.
type sessions struct {
	tracked  *simplelru.LRU[sessionKey, trackedSession]
	bytes    int
	maxBytes int // limit, in bytes
	floor    map[string]position.Position
	// floorUnknown is set after a restart without complete state: a session that this run has not observed may have
	// written since that state, so it requires the latest position until the primary has reported one.
	floorUnknown bool
	restoredAt   time.Duration
	// reportedAfter returns a position that the slice's primary reported after a time, false if there is none.
	reportedAfter func(slice string, since time.Duration) (position.Position, bool)
	// passedByAll reports whether every node of the slice is at or beyond a position.
	passedByAll func(slice string, at position.Position) bool
}

type sessionKey struct{ slice, session string }

type trackedSession struct {
	at       position.Position
	lastUsed time.Duration // last read or write
	observed bool          // by this run; otherwise it was only restored
}

func (k sessionKey) cost() int { return len(k.slice) + len(k.session) + sessionCost }

func newSessions(maxBytes int) *sessions {
	lru, err := simplelru.NewLRU[sessionKey, trackedSession](1<<31-1, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &sessions{tracked: lru, maxBytes: max(maxBytes, 1), floor: map[string]position.Position{}}
}

// observe records a position up to which a session has read or written, and evicts the least recently used
// sessions over the memory limit.
func (s *sessions) observe(slice, session string, at position.Position, now time.Duration) {
	key := sessionKey{slice, session}
	known, tracked := s.tracked.Get(key)
	if !tracked {
		s.bytes += key.cost()
	}
	s.tracked.Add(key, trackedSession{at: known.at.Join(at), lastUsed: now, observed: true})
	for s.bytes > s.maxBytes && s.tracked.Len() > 0 {
		s.evict()
	}
}

func (s *sessions) evict() {
	key, known, _ := s.tracked.RemoveOldest()
	s.bytes -= key.cost()
	if known.at.LSN == position.UnknownLSN {
		if at, ok := s.reportedAfter(key.slice, known.lastUsed); ok {
			known.at = at
		}
	}
	if !s.passedByAll(key.slice, known.at) {
		s.floor[key.slice] = s.floor[key.slice].Join(known.at)
	}
}

// required returns the position that a read of the session must see, the zero Position for none.
func (s *sessions) required(slice, session string) position.Position {
	known, _ := s.tracked.Get(sessionKey{slice, session})
	need := known.at.Join(s.floor[slice])
	if known.observed || !s.floorUnknown {
		return need
	}
	at, ok := s.reportedAfter(slice, s.restoredAt)
	if !ok {
		at = position.Present
	}
	return need.Join(at)
}

// SessionState is the tracked sessions, to be kept for the next run of the driver.
type SessionState struct {
	Sessions []SessionPosition            `cbor:"1,keyasint"`
	Floors   map[string]position.Position `cbor:"2,keyasint"`
}

// SessionPosition is the position up to which a session has written or read in a slice.
type SessionPosition struct {
	Slice   string            `cbor:"1,keyasint"`
	Session string            `cbor:"2,keyasint"`
	At      position.Position `cbor:"3,keyasint"`
}

// Sessions returns the tracked sessions, the least recently used first, and the slices' floors. The result shares
// the floors with the engine.
func (e *Engine) Sessions() *SessionState {
	st := &SessionState{Floors: e.sessions.floor}
	for _, key := range e.sessions.tracked.Keys() {
		known, _ := e.sessions.tracked.Peek(key)
		st.Sessions = append(st.Sessions, SessionPosition{key.slice, key.session, known.at})
	}
	return st
}

// restore loads the sessions of an earlier run. Without complete state the floors are unknown: otherwise a session
// might not see what it wrote since.
func (s *sessions) restore(st *SessionState, complete bool, now time.Duration) {
	s.floorUnknown, s.restoredAt = !complete, now
	if st == nil {
		return
	}
	for slice, at := range st.Floors {
		s.floor[slice] = at
	}
	for _, p := range st.Sessions {
		s.observe(p.Slice, p.Session, p.At, now)
		s.markRestored(sessionKey{p.Slice, p.Session})
	}
}

// markRestored marks a session as not observed by this run.
func (s *sessions) markRestored(key sessionKey) {
	if known, ok := s.tracked.Get(key); ok { // it may have been evicted at once
		known.observed = false
		s.tracked.Add(key, known)
	}
}
