// Package token encodes the causal token that a client carries from a write to the reads that must observe it: for
// each of some slices, the least log position that an answer must include. Log positions and token texts go in;
// out come joined tokens, the answer to whether one covers another, and opaque text, signed if a Keyring is given.
// Drivers create and verify tokens; services and caches only parse them and collect them unverified in a set of texts.
//
// Tokens form a lattice. Covers is its order, Join the least upper bound, the zero Token the bottom. Join and With
// limit a token to MaxSlices slices: a token over the limit is replaced by a stronger one, which requires the
// present position of every slice that it no longer lists. The present position of a slice is the end of its log at
// the time of the read.
//
// The binary form, version 2, consists of:
//   - one byte of version and one of flags;
//   - the number of slices, and for each slice five bytes of the xxHash of its name, its timeline and its LSN;
//   - the number of extensions, and for each extension a type, a length in bytes and that many bytes. An unknown
//     type is skipped if it is even and refused if it is odd;
//   - if signed, the id of a key and 16 bytes of an HMAC-SHA256, else four bytes of an xxHash.
//
// Numbers without a stated size are varints. The text form is unpadded base64url of the binary form, which is safe
// in headers, cookies, URLs and ETags. Version 1, which lists slices by name, can still be parsed.
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
	version = 2
	maxText = 4096 // longest text that Parse accepts, in bytes
	maxName = 64   // longest slice name in version 1, in bytes

	flagSigned  = 1 << 0
	flagScoped  = 1 << 1
	flagPresent = 1 << 2 // slices that are not listed require their present position
	knownFlags  = flagSigned | flagScoped | flagPresent

	checksumBytes = 4
	macBytes      = 16
)

// MaxSlices is the largest number of slices that a token lists. Beyond it, the token requires the present position of
// the slices that were left out.
const MaxSlices = 32

// SliceID identifies a slice within a token: the upper 40 bits of the xxHash of its name. Two slices with the same ID
// share one entry, so a token may require more of them than needed but never less.
type SliceID uint64

// IDOf returns the ID of the slice with the given name.
func IDOf(slice string) SliceID { return SliceID(xxhash.Sum64String(slice) >> 24) }

// Token holds the log position required of each of some slices. The zero Token requires nothing. A Token is
// immutable: methods return a new one.
type Token struct {
	entries []entry // sorted by ID
	present bool    // slices without an entry require their present position
}

type entry struct {
	id SliceID
	at position.Position
}

// Error reports why a text is not a valid token or could not be verified.
type Error struct{ Reason string }

func (e *Error) Error() string { return "token: " + e.Reason }

func errorf(format string, args ...any) error { return &Error{Reason: fmt.Sprintf(format, args...)} }

// IsZero reports whether the token requires nothing.
func (t Token) IsZero() bool { return len(t.entries) == 0 && !t.present }

// Position returns the position that the token requires of a slice: the listed one, or position.Present if the slice is
// not listed and the token requires the present of such slices. It returns false if nothing is required of the slice.
func (t Token) Position(slice string) (position.Position, bool) {
	at, ok := t.PositionByID(IDOf(slice))
	if !ok {
		return position.Position{}, false
	}
	return at, true
}

func (t Token) find(id SliceID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e entry, id SliceID) int { return cmp.Compare(e.id, id) })
}

// Slices returns the IDs of the listed slices in ascending order.
func (t Token) Slices() []SliceID {
	ids := make([]SliceID, len(t.entries))
	for i, e := range t.entries {
		ids[i] = e.id
	}
	return ids
}

// WithPresent returns a token that additionally requires the present position of every slice that t does not list.
func (t Token) WithPresent() Token { return Token{entries: t.entries, present: true} }

// ListedPosition returns the position listed for a slice, the zero Position if the slice is not listed.
func (t Token) ListedPosition(id SliceID) position.Position {
	if i, ok := t.find(id); ok {
		return t.entries[i].at
	}
	return position.Position{}
}

// PositionByID returns the position that the token requires of the slice with the given ID: the listed one, or
// position.Present if the slice is not listed and the token requires the present of such slices. If nothing is required
// of the slice, it returns false and a position without meaning.
func (t Token) PositionByID(id SliceID) (position.Position, bool) {
	if i, ok := t.find(id); ok {
		return t.entries[i].at, true
	}
	return position.Present, t.present
}

// Meet returns the lower bound of a result composed of two reads with the lower bounds t and u. For a slice listed in
// both it is the Meet of the two positions; for a slice listed in only one, the position listed there. Neither t nor u
// may require the present of slices that it does not list.
func (t Token) Meet(u Token) Token {
	out := t.Join(u)
	for i := range out.entries {
		a, inT := t.find(out.entries[i].id)
		b, inU := u.find(out.entries[i].id)
		if inT && inU {
			out.entries[i].at = t.entries[a].at.Meet(u.entries[b].at)
		}
	}
	return out
}

// RequiresPresent reports whether the token requires the present position of every slice that it does not list.
func (t Token) RequiresPresent() bool { return t.present }

// With returns a token in which the position of one slice is replaced by at, even by a lower one. The zero Position
// removes the slice, which is safe once every member has long replayed its position.
func (t Token) With(slice string, at position.Position) Token {
	id := IDOf(slice)
	i, ok := t.find(id)
	out := Token{entries: slices.Clone(t.entries), present: t.present}
	switch {
	case at.IsZero() && ok:
		out.entries = slices.Delete(out.entries, i, i+1)
	case at.IsZero():
	case ok:
		out.entries[i].at = at
	default:
		out.entries = slices.Insert(out.entries, i, entry{id, at})
	}
	return out.bounded()
}

// bounded limits the token to MaxSlices slices. It removes those with the lowest positions, as a token does not record
// when a slice was added, and requires the present of all slices not listed, which covers the removed positions.
func (t Token) bounded() Token {
	if len(t.entries) <= MaxSlices {
		return t
	}
	order := slices.Clone(t.entries)
	slices.SortFunc(order, func(a, b entry) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	drop := map[SliceID]bool{}
	for _, e := range order[:len(order)-MaxSlices] {
		drop[e.id] = true
	}
	t.entries = slices.DeleteFunc(slices.Clone(t.entries), func(e entry) bool { return drop[e.id] })
	t.present = true
	return t
}

// Join returns the least token of at most MaxSlices slices that requires all that t and u require.
func (t Token) Join(u Token) Token {
	switch {
	case t.IsZero():
		return u
	case u.IsZero():
		return t
	}
	out := Token{entries: make([]entry, 0, len(t.entries)+len(u.entries)), present: t.present || u.present}
	for i, j := 0, 0; i < len(t.entries) || j < len(u.entries); {
		switch {
		case j == len(u.entries) || i < len(t.entries) && t.entries[i].id < u.entries[j].id:
			out.add(t.entries[i], u.present)
			i++
		case i == len(t.entries) || u.entries[j].id < t.entries[i].id:
			out.add(u.entries[j], t.present)
			j++
		default:
			out.entries = append(out.entries, entry{t.entries[i].id, t.entries[i].at.Join(u.entries[j].at)})
			i, j = i+1, j+1
		}
	}
	return out.bounded()
}

// add appends an entry that only one side of a join lists. If the other side requires the present of slices that it
// does not list, so does the join, together with the transactions of the entry.
func (t *Token) add(e entry, otherPresent bool) {
	if otherPresent {
		e.at = e.at.Join(position.Present)
	}
	if e.at != position.Present {
		t.entries = append(t.entries, e)
	}
}

// Covers reports whether whatever satisfies t also satisfies need, that is, whether t is at or above need in the order
// of tokens.
func (t Token) Covers(need Token) bool {
	if need.present && !t.present {
		return false
	}
	for _, e := range need.entries {
		i, ok := t.find(e.id)
		if ok && !t.entries[i].at.Covers(e.at) || !ok && !(t.present && position.Present.Covers(e.at)) {
			return false
		}
	}
	if need.present {
		for _, e := range t.entries { // listed by t alone: need requires its present position
			if _, ok := need.find(e.id); !ok && !e.at.IsPresent() {
				return false
			}
		}
	}
	return true
}

// Equal reports whether t and u require the same.
func (t Token) Equal(u Token) bool {
	return t.present == u.present && slices.Equal(t.entries, u.entries)
}

// appendBody appends the binary form without its signature or checksum.
func (t Token) appendBody(b []byte, flags byte) []byte {
	if t.present {
		flags |= flagPresent
	}
	b = append(b, version, flags)
	b = binary.AppendUvarint(b, uint64(len(t.entries)))
	for _, e := range t.entries {
		b = append(b, byte(e.id>>32), byte(e.id>>24), byte(e.id>>16), byte(e.id>>8), byte(e.id))
		b = binary.AppendUvarint(b, uint64(e.at.Timeline))
		b = binary.AppendUvarint(b, e.at.LSN)
	}
	return t.appendExtensions(b)
}

// Types of the extensions that hold the Transactions of each position, in the order of the slices: extBelow holds
// Below, extExcept holds Below minus Except, or 0 without an exception. A version that does not know an extension skips
// it. One that knows only extBelow treats the excepted transaction as visible, which requires more.
const (
	extBelow  = 2
	extExcept = 6
)

func below(e *entry) uint64 { return e.at.Transactions.Below }

func setBelow(e *entry, value uint64) { e.at.Transactions.Below = value }

func exceptDistance(e *entry) uint64 {
	if e.at.Transactions.Except == 0 {
		return 0
	}
	return e.at.Transactions.Below - e.at.Transactions.Except
}

func setExceptDistance(e *entry, value uint64) {
	switch below := e.at.Transactions.Below; value {
	case 0:
	case below:
		e.at.Transactions.Except = below // not in normal form, which extensions refuses
	default:
		e.at.Transactions.Except = below - value
	}
}

// appendExtensions appends the number of extensions and each extension in which a value is not 0.
func (t Token) appendExtensions(b []byte) []byte {
	bounds, exceptions := t.encodeColumn(below), t.encodeColumn(exceptDistance)
	count := byte(0)
	for _, column := range [][]byte{bounds, exceptions} {
		if column != nil {
			count++
		}
	}
	b = append(b, count)
	b = appendExtension(b, extBelow, bounds)
	return appendExtension(b, extExcept, exceptions)
}

func appendExtension(b []byte, typ uint64, body []byte) []byte {
	if body == nil {
		return b
	}
	b = binary.AppendUvarint(b, typ)
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

// encodeColumn encodes one number of each entry, or returns nil if all are 0.
func (t Token) encodeColumn(of func(*entry) uint64) (body []byte) {
	any := false
	for i := range t.entries {
		value := of(&t.entries[i])
		any = any || value > 0
		body = binary.AppendUvarint(body, value)
	}
	if !any {
		return nil
	}
	return body
}

// String returns the text form without a signature, the empty string for the zero Token.
func (t Token) String() string {
	if t.IsZero() {
		return ""
	}
	b := t.appendBody(make([]byte, 0, 64), 0)
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, checksum(b)))
}

func checksum(b []byte) uint32 { return uint32(xxhash.Sum64(b) >> 32) }

// Parse parses a text form of at most 4096 bytes without verifying its signature. It is meant for services and caches,
// which trust the sender, and for drivers without keys. The empty text is the zero Token. Errors are of type *Error.
func Parse(text string) (Token, error) {
	p, err := decode(text)
	return p.token, err
}

// parsed holds the parts of a decoded text form.
type parsed struct {
	token  Token
	body   []byte // covered by the signature or checksum
	signed bool
	scoped bool
	key    uint64
	mac    []byte
}

func decode(text string) (parsed, error) {
	if text == "" {
		return parsed{}, nil
	}
	if len(text) > maxText {
		return parsed{}, errorf("text of %d characters is over the limit of %d", len(text), maxText)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || strings.ContainsAny(text, "\r\n") {
		return parsed{}, errorf("not base64url text")
	}
	if len(b) < 6 {
		return parsed{}, errorf("truncated after %d bytes", len(b))
	}
	switch b[0] {
	case 1:
		return decodeV1(b)
	case version:
		return decodeV2(b)
	}
	return parsed{}, errorf("version %d is not supported, only 1 and %d are", b[0], version)
}

// reader decodes a binary form. ok becomes false at the first value that is truncated or not canonical.
type reader struct {
	b  []byte
	ok bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 { // not the shortest encoding: a token would have two texts
		r.ok = false
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.ok = false
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func decodeV2(b []byte) (parsed, error) {
	flags := b[1]
	if flags&^knownFlags != 0 {
		return parsed{}, errorf("flags %#x include an unknown flag", flags)
	}
	r := reader{b: b[2:], ok: true}
	t := Token{present: flags&flagPresent != 0}
	n := r.number()
	if n > MaxSlices {
		return parsed{}, errorf("lists %d slices, over the limit of %d", n, MaxSlices)
	}
	for range n {
		raw := r.bytes(5)
		tl, lsn := r.number(), r.number()
		if !r.ok || tl > 1<<32-1 {
			return parsed{}, errorf("truncated or malformed in slice %d", len(t.entries)+1)
		}
		id := SliceID(raw[0])<<32 | SliceID(binary.BigEndian.Uint32(raw[1:]))
		if k := len(t.entries); k > 0 && t.entries[k-1].id >= id {
			return parsed{}, errorf("slices are not in ascending order of their IDs")
		}
		at := position.Position{Timeline: uint32(tl), LSN: lsn}
		if at.IsZero() {
			return parsed{}, errorf("lists a slice without a log position")
		}
		t.entries = append(t.entries, entry{id, at})
	}
	if err := r.extensions(t.entries); err != nil {
		return parsed{}, err
	}
	p := parsed{token: t, body: b[:len(b)-len(r.b)], signed: flags&flagSigned != 0, scoped: flags&flagScoped != 0}
	if !p.signed {
		if len(r.b) != checksumBytes || binary.BigEndian.Uint32(r.b) != checksum(p.body) {
			return parsed{}, errorf("checksum does not match: the token was changed or truncated in transit")
		}
	} else {
		if p.key = r.number(); !r.ok || len(r.b) != macBytes {
			return parsed{}, errorf("signature is truncated")
		}
		p.body, p.mac = b[:len(b)-macBytes], r.b
	}
	if t.IsZero() {
		return parsed{}, errorf("lists no slice and does not require the present")
	}
	return p, nil
}

// extensions decodes the known extensions. It skips unknown ones of an even type, which a later version may add, and
// refuses unknown ones of an odd type.
func (r *reader) extensions(entries []entry) error {
	n := r.number()
	for range min(n, 16) {
		typ := r.number()
		body := r.bytes(r.number())
		var err error
		switch {
		case !r.ok:
		case typ == extBelow:
			err = decodeColumn(body, entries, setBelow)
		case typ == extExcept:
			err = decodeColumn(body, entries, setExceptDistance)
		}
		if err != nil {
			return err
		}
		if r.ok && typ%2 == 1 {
			return errorf("required extension %d is not supported", typ)
		}
	}
	if !r.ok || n > 16 {
		return errorf("extensions are truncated, or there are more than 16")
	}
	for i := range entries {
		if !entries[i].at.Transactions.Normal() {
			return errorf("transactions of slice %d are not in normal form", i+1)
		}
	}
	return nil
}

// decodeColumn decodes one number for each entry.
func decodeColumn(body []byte, entries []entry, set func(*entry, uint64)) error {
	r := reader{b: body, ok: true}
	any := false
	for i := range entries {
		value := r.number()
		set(&entries[i], value)
		any = any || value > 0
	}
	if !r.ok || len(r.b) > 0 || !any {
		return errorf("transaction extension does not have one number for each slice, or all are 0")
	}
	return nil
}

// decodeV1 decodes version 1, which lists slices by name.
func decodeV1(b []byte) (parsed, error) {
	body := b[:len(b)-checksumBytes]
	if checksum(body) != binary.BigEndian.Uint32(b[len(b)-checksumBytes:]) {
		return parsed{}, errorf("checksum does not match: the token was changed or truncated in transit")
	}
	r := reader{b: body[1:], ok: true}
	var t Token
	n := r.number()
	for i := uint64(0); i < n && r.ok; i++ {
		size := r.number()
		if size == 0 || size > maxName {
			return parsed{}, errorf("name of slice %d is empty or longer than %d bytes", i+1, maxName)
		}
		name := string(r.bytes(size))
		tl, lsn := r.number(), r.number()
		if tl > 1<<32-1 {
			return parsed{}, errorf("timeline of slice %q is over 32 bits", name)
		}
		t = t.With(name, position.Position{Timeline: uint32(tl), LSN: lsn})
	}
	if !r.ok || len(r.b) > 0 || n == 0 {
		return parsed{}, errorf("truncated, without slices, or followed by surplus bytes")
	}
	return parsed{token: t, body: body}, nil
}
