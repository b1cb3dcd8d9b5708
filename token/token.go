// Package token holds the causal token that clients carry from a write to the reads that must see it. To
// clients it is opaque text; inside it is a vector: for each of some slices a place in that slice's log.
//
// Tokens form a lattice. Join is the least token that asks for all that both ask for, Covers its order, the
// zero Token its bottom. A token that would outgrow MaxSlices becomes a stronger one: slices that it no longer
// names are asked for as they are at present, never less.
//
// The binary form (version 2) is a version, flags, the number of slices, for each slice five bytes of the xxHash
// of its name, its timeline and its LSN as varints, any number of extensions (a type, a length and that many
// bytes; an odd type that is not known is refused, an even one passed over), and at the end either the id of a
// key and 16 bytes of an HMAC-SHA256 or four bytes of an xxHash. The text form is that in unpadded base64url,
// which is safe in headers, cookies, URLs and ETags. Version 1, with slices by name, is still read.
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
	maxText = 4096 // longest text that Parse looks at, in bytes
	maxName = 64   // longest name of a slice in version 1, in bytes

	flagSigned  = 1 << 0
	flagScoped  = 1 << 1
	flagPresent = 1 << 2 // slices not named are asked for as they are at present
	knownFlags  = flagSigned | flagScoped | flagPresent

	sumBytes = 4
	macBytes = 16
)

// MaxSlices is how many slices a token names at the most; beyond that it asks for the present of the others.
const MaxSlices = 32

// SliceID is what stands for a slice in a token: 40 bits of the xxHash of its name. Two slices that share an
// ID share a place, which only asks for more.
type SliceID uint64

// IDOf is the ID of a slice.
func IDOf(slice string) SliceID { return SliceID(xxhash.Sum64String(slice) >> 24) }

// Token is a place in the log of each of some slices. The zero Token asks for nothing. Tokens are values:
// no method changes one.
type Token struct {
	entries []entry // by ID
	present bool    // slices not among them are asked for as they are at present
}

type entry struct {
	id SliceID
	at position.Position
}

// Error says why a text is no token, or not one to be believed.
type Error struct{ Why string }

func (e *Error) Error() string { return "token: " + e.Why }

func bad(format string, args ...any) error { return &Error{Why: fmt.Sprintf(format, args...)} }

// IsZero tells whether the token asks for nothing.
func (t Token) IsZero() bool { return len(t.entries) == 0 && !t.present }

// At is the place that the token asks for of a slice, false if it asks for none.
func (t Token) At(slice string) (position.Position, bool) {
	at, ok := t.AtID(IDOf(slice))
	if !ok {
		return position.Position{}, false
	}
	return at, true
}

func (t Token) find(id SliceID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e entry, id SliceID) int { return cmp.Compare(e.id, id) })
}

// Slices lists the IDs of the slices that the token names, rising.
func (t Token) Slices() []SliceID {
	ids := make([]SliceID, len(t.entries))
	for i, e := range t.entries {
		ids[i] = e.id
	}
	return ids
}

// WithPresent is the token with all slices that it doesn't name asked for as they are at present.
func (t Token) WithPresent() Token { return Token{entries: t.entries, present: true} }

// Place is the place of a slice that the token names, by its ID.
func (t Token) Place(id SliceID) position.Position {
	if i, ok := t.find(id); ok {
		return t.entries[i].at
	}
	return position.Position{}
}

// AtID is At by the slice's ID.
func (t Token) AtID(id SliceID) (position.Position, bool) {
	if i, ok := t.find(id); ok {
		return t.entries[i].at, true
	}
	return position.Present, t.present
}

// Meet is what something made of two parts holds, if t and u are what the parts hold: of a slice that both read the
// lower place, of one that only one read that one's. Neither may ask for the present.
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

// AsksForPresent tells whether the token asks for the present of the slices that it doesn't name.
func (t Token) AsksForPresent() bool { return t.present }

// With is the token with the place of one slice set to at, whatever it was before. The zero Position takes the
// slice out, as one whose place everybody has long passed.
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

// bounded makes a token that names too many slices a stronger one that names fewer: those named longest ago
// can't be told, so the ones with the lowest places go, which the present covers.
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

// Join is the least token within the bound that asks for all that both ask for.
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

// add takes an entry that only one side names; where the other asks for the present, so does the join, of the
// transactions too that the entry names.
func (t *Token) add(e entry, otherPresent bool) {
	if otherPresent {
		e.at = e.at.Join(position.Present)
	}
	if e.at != position.Present {
		t.entries = append(t.entries, e)
	}
}

// Covers tells whether what the token stands for has all that need asks for: whether t is at or above need in
// the order of tokens.
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
		for _, e := range t.entries { // named by t alone: need asks for its present
			if _, ok := need.find(e.id); !ok && !e.at.IsPresent() {
				return false
			}
		}
	}
	return true
}

// Equal tells whether both ask for the same.
func (t Token) Equal(u Token) bool {
	return t.present == u.present && slices.Equal(t.entries, u.entries)
}

// appendBody appends all but what guards it.
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

// The extensions that hold the transactions of each place, in order of the slices: the id that all are below, and by how
// much less the one is that is excepted, 0 for none. Versions that do not know an extension pass over it; one that knows only
// the first takes the exception for shown, which asks for more.
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
		e.at.Transactions.Except = below // no set has this, so that it is told as not normal
	default:
		e.at.Transactions.Except = below - value
	}
}

// appendExtensions appends the number of extensions and each that says anything.
func (t Token) appendExtensions(b []byte) []byte {
	bounds, exceptions := t.column(below), t.column(exceptDistance)
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

// column is one number of each entry, nil if all are 0.
func (t Token) column(of func(*entry) uint64) (body []byte) {
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

// String is the text form without a signature; the zero Token is the empty text.
func (t Token) String() string {
	if t.IsZero() {
		return ""
	}
	b := t.appendBody(make([]byte, 0, 64), 0)
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, sum(b)))
}

func sum(b []byte) uint32 { return uint32(xxhash.Sum64(b) >> 32) }

// Parse reads a text form without looking at its signature: for carriers and caches, which trust whom they
// have it from, and for drivers without keys. The error is an *Error that says what is wrong.
func Parse(text string) (Token, error) {
	p, err := split(text)
	return p.token, err
}

// parsed is a text form taken apart.
type parsed struct {
	token  Token
	body   []byte // what a signature covers
	signed bool
	scoped bool
	key    uint64
	mac    []byte
}

func split(text string) (parsed, error) {
	if text == "" {
		return parsed{}, nil
	}
	if len(text) > maxText {
		return parsed{}, bad("%d characters, %d at most", len(text), maxText)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || strings.ContainsAny(text, "\r\n") {
		return parsed{}, bad("not base64url text")
	}
	if len(b) < 6 {
		return parsed{}, bad("cut off after %d bytes", len(b))
	}
	switch b[0] {
	case 1:
		return splitNamed(b)
	case version:
		return splitVector(b)
	}
	return parsed{}, bad("version %d is not known here, 1 and %d are", b[0], version)
}

// reader takes a binary form apart; ok turns false at the first thing that is cut off.
type reader struct {
	b  []byte
	ok bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 { // longer than it need be: two texts for one token
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

func splitVector(b []byte) (parsed, error) {
	flags := b[1]
	if flags&^knownFlags != 0 {
		return parsed{}, bad("flags %#x are not known here", flags)
	}
	r := reader{b: b[2:], ok: true}
	t := Token{present: flags&flagPresent != 0}
	n := r.number()
	if n > MaxSlices {
		return parsed{}, bad("names %d slices, %d at most", n, MaxSlices)
	}
	for range n {
		raw := r.bytes(5)
		tl, lsn := r.number(), r.number()
		if !r.ok || tl > 1<<32-1 {
			return parsed{}, bad("cut off within slice %d", len(t.entries)+1)
		}
		id := SliceID(raw[0])<<32 | SliceID(binary.BigEndian.Uint32(raw[1:]))
		if k := len(t.entries); k > 0 && t.entries[k-1].id >= id {
			return parsed{}, bad("slices are not in order")
		}
		at := position.Position{Timeline: uint32(tl), LSN: lsn}
		if at.IsZero() {
			return parsed{}, bad("names a slice without a place")
		}
		t.entries = append(t.entries, entry{id, at})
	}
	if err := r.extensions(t.entries); err != nil {
		return parsed{}, err
	}
	p := parsed{token: t, body: b[:len(b)-len(r.b)], signed: flags&flagSigned != 0, scoped: flags&flagScoped != 0}
	if !p.signed {
		if len(r.b) != sumBytes || binary.BigEndian.Uint32(r.b) != sum(p.body) {
			return parsed{}, bad("checksum is wrong: it was changed or cut off on the way")
		}
	} else {
		if p.key = r.number(); !r.ok || len(r.b) != macBytes {
			return parsed{}, bad("signature is cut off")
		}
		p.body, p.mac = b[:len(b)-macBytes], r.b
	}
	if t.IsZero() {
		return parsed{}, bad("asks for nothing")
	}
	return p, nil
}

// extensions reads those that are known, and passes over what a later version added, unless it says that it must
// be understood.
func (r *reader) extensions(entries []entry) error {
	n := r.number()
	for range min(n, 16) {
		typ := r.number()
		body := r.bytes(r.number())
		var err error
		switch {
		case !r.ok:
		case typ == extBelow:
			err = takeColumn(body, entries, setBelow)
		case typ == extExcept:
			err = takeColumn(body, entries, setExceptDistance)
		}
		if err != nil {
			return err
		}
		if r.ok && typ%2 == 1 {
			return bad("extension %d must be understood and is not known here", typ)
		}
	}
	if !r.ok || n > 16 {
		return bad("extensions are cut off")
	}
	for i := range entries {
		if !entries[i].at.Transactions.Normal() {
			return bad("transactions of slice %d are not in normal form", i+1)
		}
	}
	return nil
}

// takeColumn reads one number of each entry.
func takeColumn(body []byte, entries []entry, set func(*entry, uint64)) error {
	r := reader{b: body, ok: true}
	any := false
	for i := range entries {
		value := r.number()
		set(&entries[i], value)
		any = any || value > 0
	}
	if !r.ok || len(r.b) > 0 || !any {
		return bad("transaction ids do not match the slices")
	}
	return nil
}

// splitNamed reads version 1.
func splitNamed(b []byte) (parsed, error) {
	body := b[:len(b)-sumBytes]
	if sum(body) != binary.BigEndian.Uint32(b[len(b)-sumBytes:]) {
		return parsed{}, bad("checksum is wrong: it was changed or cut off on the way")
	}
	r := reader{b: body[1:], ok: true}
	var t Token
	n := r.number()
	for i := uint64(0); i < n && r.ok; i++ {
		size := r.number()
		if size == 0 || size > maxName {
			return parsed{}, bad("name of slice %d is empty or over %d bytes", i+1, maxName)
		}
		name := string(r.bytes(size))
		tl, lsn := r.number(), r.number()
		if tl > 1<<32-1 {
			return parsed{}, bad("place in slice %q is wrong", name)
		}
		t = t.With(name, position.Position{Timeline: uint32(tl), LSN: lsn})
	}
	if !r.ok || len(r.b) > 0 || n == 0 {
		return parsed{}, bad("cut off, or longer than it says")
	}
	return parsed{token: t, body: body}, nil
}
