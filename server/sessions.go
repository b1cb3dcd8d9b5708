package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"umberladder/driver"
	"umberladder/inventory"
)

const (
	sessionsName  = "sessions.last"
	sessionsMagic = "umbses\x00\x01"

	// sessionsFresh is how old a snapshot may be that is taken for whole. An older one may have been put back by
	// hand, and the driver may have answered since.
	sessionsFresh = time.Minute
)

type storedSessions struct {
	Taken int64                `cbor:"1,keyasint"` // nanoseconds since 1970
	State *driver.SessionState `cbor:"2,keyasint"`
}

// keepSessions saves what a driver that stopped in order knew of sessions.
func keepSessions(dir string, st *driver.SessionState, now time.Time) error {
	if dir == "" {
		return nil
	}
	body, err := cbor.Marshal(storedSessions{now.UnixNano(), st})
	if err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	text := append([]byte(sessionsMagic), body...)
	return inventory.ReplaceFile(filepath.Join(dir, sessionsName), binary.BigEndian.AppendUint64(text, xxhash.Sum64(text)))
}

// takeSessions reads what an earlier life knew, and takes the file away: it serves once, as this life will
// answer more. whole is false where writes may be missing: after a crash, with an old or a damaged file. Then
// the engine guards every session that it doesn't remember.
func takeSessions(dir string, now time.Time) (st *driver.SessionState, whole bool, err error) {
	if dir == "" {
		return nil, false, nil
	}
	path := filepath.Join(dir, sessionsName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err == nil {
		err = os.Remove(path)
	}
	if err != nil {
		return nil, false, fmt.Errorf("sessions: %w", err)
	}
	n := len(sessionsMagic)
	if len(text) < n+8 || string(text[:n]) != sessionsMagic || xxhash.Sum64(text[:len(text)-8]) != binary.BigEndian.Uint64(text[len(text)-8:]) {
		return nil, false, fmt.Errorf("sessions: %s is damaged and not taken; sessions are guarded instead", path)
	}
	var stored storedSessions
	if err := cbor.Unmarshal(text[n:len(text)-8], &stored); err != nil {
		return nil, false, fmt.Errorf("sessions: %s: %w", path, err)
	}
	age := now.Sub(time.Unix(0, stored.Taken))
	return stored.State, age >= 0 && age < sessionsFresh, nil
}
