package topology

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is the part of a driver's topology that outlives its process: the terms and fences. It can only cause refusals,
// so an outdated one makes no node primary.
type State struct {
	Slices []SliceState `cbor:"1,keyasint"`
}

// SliceState is the saved state of one slice.
type SliceState struct {
	Name   string            `cbor:"1,keyasint"`
	Terms  map[uint64]uint32 `cbor:"2,keyasint"` // highest timeline seen, by cluster
	Fenced []string          `cbor:"3,keyasint,omitempty"`
}

// State returns the state to save: the fences, and the term of the slice's current cluster.
func (s *Slice) State() SliceState {
	st := SliceState{Name: s.Name, Terms: map[uint64]uint32{s.verdict.System: s.verdict.Term}}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		if s.members[name].fenced {
			st.Fenced = append(st.Fenced, name)
		}
	}
	return st
}

// Restore merges a saved state: terms rise to at least the saved ones, and the saved fences are added.
func (s *Slice) Restore(st SliceState) {
	for system, term := range st.Terms {
		s.terms[system] = max(s.terms[system], term)
		s.since[system] = -1 // before any claim, so that a restored cluster wins a tie
	}
	for _, name := range st.Fenced {
		s.member(name).fenced = true
	}
	s.update(Claim{Channel: Restored})
}

const magic = "umbtop\x00\x01"

// Encode returns the state in CBOR between a version header and an xxHash checksum.
func (st *State) Encode() ([]byte, error) {
	body, err := cbor.Marshal(st)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	text := append([]byte(magic), body...)
	return binary.BigEndian.AppendUint64(text, xxhash.Sum64(text)), nil
}

// Decode reads the output of Encode. It returns an error if the header is unknown, the checksum does not match or the
// CBOR is invalid; a damaged state is never used in part.
func Decode(text []byte) (*State, error) {
	n := len(magic)
	if len(text) < n+8 || string(text[:n]) != magic {
		return nil, fmt.Errorf("topology: unknown header: not a saved topology state, or one of a newer version")
	}
	if xxhash.Sum64(text[:len(text)-8]) != binary.BigEndian.Uint64(text[len(text)-8:]) {
		return nil, fmt.Errorf("topology: saved state is damaged: checksum does not match")
	}
	st := &State{}
	if err := cbor.Unmarshal(text[n:len(text)-8], st); err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	return st, nil
}

func decimal(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
