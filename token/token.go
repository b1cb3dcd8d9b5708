// Package token holds the causal token that clients carry from a write to the reads that must see it. To
// clients it is opaque text; inside it names, for each slice, a place in that slice's log.
//
// The binary form is a version, the number of slices, each slice's name, timeline and LSN, and the first four
// bytes of the xxHash of all that; the text form is that in unpadded base64url. A later version may add
// to it; Parse refuses versions that it doesn't know rather than guess.
package token

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"umberladder/position"
)

const (
	version = 1
	maxText = 4096 // longest text that Parse looks at, in bytes
	maxName = 64   // longest name of a slice, in bytes
)

// Token is a place in the log of each of some slices. The zero Token asks for nothing. Tokens are values:
// no method changes one.
type Token struct{ entries []entry }

type entry struct {
	slice string
	at    position.Position
}

// Error says why a text is no token.
type Error struct{ Why string }

func (e *Error) Error() string { return "token: " + e.Why }

func bad(format string, args ...any) error { return &Error{Why: fmt.Sprintf(format, args...)} }

// At is the place that the token names for a slice, false if it names none.
func (t Token) At(slice string) (position.Position, bool) {
	i, ok := t.find(slice)
	if !ok {
		return position.Position{}, false
	}
	return t.entries[i].at, true
}

func (t Token) find(slice string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, slice, func(e entry, s string) int { return cmp.Compare(e.slice, s) })
}

// Slices lists the slices that the token names, sorted.
func (t Token) Slices() []string {
	names := make([]string, len(t.entries))
	for i, e := range t.entries {
		names[i] = e.slice
	}
	return names
}

// With is the token with the place of one slice set to at, whatever it was before.
func (t Token) With(slice string, at position.Position) Token {
	entries := slices.Clone(t.entries)
	if i, ok := t.find(slice); ok {
		entries[i].at = at
	} else {
		entries = slices.Insert(entries, i, entry{slice, at})
	}
	return Token{entries}
}

// Join is the least token that asks for all that both ask for.
func (t Token) Join(u Token) Token {
	for _, e := range u.entries {
		at, _ := t.At(e.slice)
		t = t.With(e.slice, at.Max(e.at))
	}
	return t
}

// String is the text form; the zero Token is the empty text.
func (t Token) String() string {
	if len(t.entries) == 0 {
		return ""
	}
	b := []byte{version}
	b = binary.AppendUvarint(b, uint64(len(t.entries)))
	for _, e := range t.entries {
		b = append(binary.AppendUvarint(b, uint64(len(e.slice))), e.slice...)
		b = binary.AppendUvarint(b, uint64(e.at.Timeline))
		b = binary.AppendUvarint(b, e.at.LSN)
	}
	b = binary.BigEndian.AppendUint32(b, sum(b))
	return base64.RawURLEncoding.EncodeToString(b)
}

func sum(b []byte) uint32 { return uint32(xxhash.Sum64(b) >> 32) }

// Parse reads the text form. The error is an *Error that says what is wrong.
func Parse(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > maxText {
		return Token{}, bad("%d characters, %d at most", len(text), maxText)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || strings.ContainsAny(text, "\r\n") {
		return Token{}, bad("not base64url text")
	}
	if len(b) < 6 {
		return Token{}, bad("cut off after %d bytes", len(b))
	}
	if b[0] != version {
		return Token{}, bad("version %d is not known here, %d is", b[0], version)
	}
	body, check := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	if sum(body) != check {
		return Token{}, bad("checksum is wrong: it was changed or cut off on the way")
	}
	return parseEntries(body[1:])
}

func parseEntries(b []byte) (Token, error) {
	number := func() (v uint64, ok bool) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return 0, false
		}
		b = b[n:]
		return v, true
	}
	n, ok := number()
	if !ok || n == 0 || n > uint64(len(b)) {
		return Token{}, bad("number of slices is wrong")
	}
	var t Token
	for range n {
		size, ok := number()
		if !ok || size == 0 || size > maxName || size > uint64(len(b)) {
			return Token{}, bad("name of slice %d is cut off or over %d bytes", len(t.entries)+1, maxName)
		}
		name := string(b[:size])
		b = b[size:]
		timeline, ok1 := number()
		lsn, ok2 := number()
		if !ok1 || !ok2 || timeline > 1<<32-1 {
			return Token{}, bad("place in slice %q is wrong", name)
		}
		if k := len(t.entries); k > 0 && t.entries[k-1].slice >= name {
			return Token{}, bad("slices are not in order at %q", name)
		}
		t.entries = append(t.entries, entry{name, position.Position{Timeline: uint32(timeline), LSN: lsn}})
	}
	if len(b) > 0 {
		return Token{}, bad("%d bytes too many", len(b))
	}
	return t, nil
}
