package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSessionsUnderNewNamesAreBounded guards against memory that grows with each session that writes, and against reads
// older than a commit that was forgotten.
func TestSessionsUnderNewNamesAreBounded(t *testing.T) {
	r := &Router{sessions: map[uint64]time.Duration{}}
	rng := rand.New(rand.NewPCG(1, 2))
	commits := map[uint64]time.Duration{}
	for i := range 8 * maxSessions {
		key, commit := rng.Uint64(), time.Duration(i)*time.Millisecond-time.Duration(rng.Int64N(int64(5*time.Second)))
		commits[key] = commit
		if r.recordCommit(key, commit); len(r.sessions) > maxSessions {
			t.Fatalf("%d sessions are kept", len(r.sessions))
		}
	}
	for key, commit := range commits {
		if max(r.sessionFloor, r.sessions[key]) < commit {
			t.Fatalf("a commit at %v is forgotten, reads need %v", commit, r.sessionFloor)
		}
	}
	if len(r.sessions) < maxSessions/2 {
		t.Errorf("only %d sessions are kept", len(r.sessions))
	}
}

// TestSessionsOfOneCommitTimeAreBounded is the same where all commits have one time.
func TestSessionsOfOneCommitTimeAreBounded(t *testing.T) {
	r := &Router{sessions: map[uint64]time.Duration{}}
	for key := range uint64(3 * maxSessions) {
		if r.recordCommit(key, time.Second); len(r.sessions) > maxSessions {
			t.Fatalf("%d sessions are kept", len(r.sessions))
		}
	}
	if r.sessionFloor != time.Second {
		t.Errorf("reads need %v", r.sessionFloor)
	}
}
