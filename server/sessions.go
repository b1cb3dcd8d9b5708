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
	sessionsFile  = "sessions.last"
	sessionsMagic = "umbses\x00\x01"

	// maxSessionsAge is the maximum age of a snapshot that counts as complete. An older one may have been restored by
	// hand, and the driver may have answered requests since.
	maxSessionsAge = time.Minute
)

type storedSessions struct {
	Taken int64                `cbor:"1,keyasint"` // nanoseconds since 1970
	State *driver.SessionState `cbor:"2,keyasint"`
}

// saveSessions saves the session state of a driver after a graceful stop.
func saveSessions(dir string, st *driver.SessionState, now time.Time) error {
	if dir == "" {
		return nil
	}
	body, err := cbor.Marshal(storedSessions{now.UnixNano(), st})
	if err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	text := append([]byte(sessionsMagic), body...)
	return inventory.ReplaceFile(filepath.Join(dir, sessionsFile), binary.BigEndian.AppendUint64(text, xxhash.Sum64(text)))
}

// loadSessions reads the session state that a previous process saved, and removes the file, because it is out of date
// as soon as this process answers a request. complete is false if writes may be missing: after a crash, or with an old
// or damaged file. Then the engine guards every session that it has no record of.
func loadSessions(dir string, now time.Time) (st *driver.SessionState, complete bool, err error) {
	if dir == "" {
		return nil, false, nil
	}
	path := filepath.Join(dir, sessionsFile)
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
		return nil, false, fmt.Errorf("sessions: %s is damaged and not used; sessions are guarded instead", path)
	}
	var stored storedSessions
	if err := cbor.Unmarshal(text[n:len(text)-8], &stored); err != nil {
		return nil, false, fmt.Errorf("sessions: %s: %w", path, err)
	}
	age := now.Sub(time.Unix(0, stored.Taken))
	return stored.State, age >= 0 && age < maxSessionsAge, nil
}
