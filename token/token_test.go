package token

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"umberladder/position"
)

// drawTransactions draws the transactions that a snapshot of a primary or a replica may show, often the empty set.
func drawTransactions(t *rapid.T) position.Transactions {
	next := rapid.Uint64Range(0, 6).Draw(t, "next")
	s := position.Snapshot{Oldest: rapid.Uint64Range(0, next).Draw(t, "oldest"), Next: next}
	return s.MaybeVisible()
}

func drawToken(t *rapid.T) Token {
	var tok Token
	for range rapid.IntRange(0, 6).Draw(t, "slices") {
		tok = tok.With(rapid.StringMatching(`[a-f]`).Draw(t, "slice"), position.Position{
			Timeline: rapid.Uint32Range(1, 4).Draw(t, "timeline"), LSN: rapid.Uint64Range(1, 50).Draw(t, "lsn"),
			Transactions: drawTransactions(t)})
	}
	tok.present = rapid.IntRange(0, 9).Draw(t, "present") == 0
	return tok
}

func TestRoundTrip(t *testing.T) {
	ring, _ := NewKeyring(map[uint64][]byte{3: make([]byte, 16)}, 3)
	rapid.Check(t, func(t *rapid.T) {
		tok := drawToken(t)
		back, err := Parse(tok.String())
		if err != nil || !back.Equal(tok) {
			t.Fatalf("%+v decoded as %+v, %v", tok, back, err)
		}
		scope := rapid.SampledFrom([]string{"", "s1"}).Draw(t, "scope")
		signed, err := ring.Verify(ring.Sign(tok, scope), scope)
		if err != nil || !signed.Equal(tok) {
			t.Fatalf("signed %+v decoded as %+v, %v", tok, signed, err)
		}
	})
}

// TestExceptionHasCanonicalEncoding: an excepted transaction that is not in normal form is refused, so that each token
// has exactly one text.
func TestExceptionHasCanonicalEncoding(t *testing.T) {
	at := position.Position{Timeline: 1, LSN: 64, Transactions: position.Transactions{Below: 20, Except: 10}}
	body := Token{}.With("news", at).appendBody(nil, 0)
	for distance, ok := range map[byte]bool{10: true, 19: true, 0: false, 1: false, 20: false, 21: false} {
		b := append(body[:len(body)-1:len(body)-1], distance)
		got, err := Parse(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, checksum(b))))
		if (err == nil) != ok {
			t.Errorf("distance %d: %+v, %v", distance, got, err)
		}
	}
}

// TestLattice: Join is idempotent, commutative, associative and the least upper bound in the order of Covers.
func TestLattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawToken(t), drawToken(t), drawToken(t)
		j := a.Join(b)
		switch {
		case !a.Join(a).Equal(a):
			t.Fatal("not idempotent")
		case !j.Equal(b.Join(a)):
			t.Fatalf("not commutative: %+v, %+v", j, b.Join(a))
		case !j.Join(c).Equal(a.Join(b.Join(c))):
			t.Fatalf("not associative: %+v, %+v", j.Join(c), a.Join(b.Join(c)))
		case !j.Covers(a) || !j.Covers(b):
			t.Fatalf("not an upper bound: %+v of %+v and %+v", j, a, b)
		case c.Covers(a) && c.Covers(b) && !c.Covers(j):
			t.Fatalf("not the least upper bound: %+v, %+v is lower", j, c)
		case a.Covers(b) && b.Covers(a) && !a.Equal(b):
			t.Fatalf("%+v and %+v cover each other", a, b)
		case a.Covers(b) && b.Covers(c) && !a.Covers(c):
			t.Fatal("the order is not transitive")
		case !a.Covers(Token{}):
			t.Fatal("a token does not cover the zero token")
		}
		for _, s := range []string{"a", "b", "c", "d", "e", "f"} {
			x, _ := a.Position(s)
			if y, _ := j.Position(s); !y.Covers(x) {
				t.Fatalf("the join requires less of %s", s)
			}
		}
	})
}

// TestSliceLimitKeepsRequirements: a token over the limit of slices still requires no less of any of them.
func TestSliceLimitKeepsRequirements(t *testing.T) {
	var tok Token
	for i := range 3 * MaxSlices {
		tok = tok.With(fmt.Sprintf("s%d", i), position.Position{Timeline: 1, LSN: uint64(i + 1)})
	}
	if len(tok.Slices()) > MaxSlices || !tok.RequiresPresent() {
		t.Fatalf("%d slices, present %v", len(tok.Slices()), tok.RequiresPresent())
	}
	for i := range 3 * MaxSlices {
		at, ok := tok.Position(fmt.Sprintf("s%d", i))
		if !ok || !at.Covers(position.Position{Timeline: 1, LSN: uint64(i + 1)}) {
			t.Fatalf("s%d: %v", i, at)
		}
	}
}

// TestNewerTimelineLowerLSN: a position on a newer timeline with a lower LSN, as of a replica that still replays the
// part shared with the older timeline, does not cover a higher LSN of the older one. Their join covers both.
func TestNewerTimelineLowerLSN(t *testing.T) {
	wrote := Token{}.With("news", position.Position{Timeline: 1, LSN: 23296})
	read := Token{}.With("news", position.Position{Timeline: 2, LSN: 22400})
	if read.Covers(wrote) || !read.Join(wrote).Covers(wrote) || !wrote.Join(read).Covers(read) {
		t.Error("the read covers the write, or a join does not cover both")
	}
}

func TestSize(t *testing.T) {
	ring, _ := NewKeyring(map[uint64][]byte{200: make([]byte, 32)}, 200)
	var tok Token
	for i := range 8 {
		tok = tok.With(fmt.Sprintf("a slice with a long name %d", i), position.Position{Timeline: 9, LSN: 0x16b374d848 + uint64(i)})
	}
	if n := len(ring.Sign(tok, "scope")); n >= 200 {
		t.Errorf("8 slices, signed: %d characters", n)
	}
}

// TestTamperingIsDetected flips each bit of a token and truncates it at each byte, signed and unsigned: every such text
// must be refused.
func TestTamperingIsDetected(t *testing.T) {
	ring, _ := NewKeyring(map[uint64][]byte{1: []byte("0123456789abcdef")}, 1)
	tok := Token{}.With("news", position.Position{Timeline: 3, LSN: 0x16b374d848})
	for name, text := range map[string]string{"plain": tok.String(), "signed": ring.Sign(tok, ""), "scoped": ring.Sign(tok, "s1")} {
		parse := func(text string) error {
			if name == "plain" {
				_, err := Parse(text)
				return err
			}
			_, err := ring.Verify(text, "s1")
			return err
		}
		raw, _ := base64.RawURLEncoding.DecodeString(text)
		for i := range raw {
			for bit := range 8 {
				changed := append([]byte(nil), raw...)
				changed[i] ^= 1 << bit
				if parse(base64.RawURLEncoding.EncodeToString(changed)) == nil {
					t.Errorf("%s: a change of byte %d bit %d was accepted", name, i, bit)
				}
			}
			if i > 0 && parse(base64.RawURLEncoding.EncodeToString(raw[:i])) == nil {
				t.Errorf("%s: a truncation after %d bytes was accepted", name, i)
			}
		}
	}
	var e *Error
	for _, text := range []string{"!", "AA==", tok.String() + "\n", "x" + tok.String()} {
		if _, err := Parse(text); !errors.As(err, &e) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestScopeAndRotation: tokens of another session, tokens signed with a key that was removed, and unsigned tokens.
func TestScopeAndRotation(t *testing.T) {
	old, next := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	before, _ := NewKeyring(map[uint64][]byte{1: old}, 1)
	during, _ := NewKeyring(map[uint64][]byte{1: old, 2: next}, 2)
	after, _ := NewKeyring(map[uint64][]byte{2: next}, 2)
	tok := Token{}.With("news", position.Position{Timeline: 3, LSN: 77})
	text := before.Sign(tok, "s1")
	for name, c := range map[string]struct {
		ring  *Keyring
		text  string
		scope string
		want  string // part of the error, "" for none
	}{
		"its own session":        {before, text, "s1", ""},
		"another session":        {before, text, "s2", "another session"},
		"no session":             {before, text, "", "another session"},
		"during the rotation":    {during, text, "s1", ""},
		"after the rotation":     {after, text, "s1", "key 1, which is not known"},
		"unsigned":               {before, tok.String(), "", "not signed"},
		"signed without a scope": {before, before.Sign(tok, ""), "s9", ""},
		"driver without keys":    {nil, tok.String(), "s1", ""},
	} {
		got, err := c.ring.Verify(c.text, c.scope)
		if c.want == "" && (err != nil || !got.Equal(tok)) {
			t.Errorf("%s: %v", name, err)
		}
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

func TestKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	good := "# keys\n1 MDEyMzQ1Njc4OWFiY2RlZg==\n2 ZmVkY2JhOTg3NjU0MzIxMA== sign\n"
	os.WriteFile(path, []byte(good), 0o600)
	if ring, err := LoadKeys(path); err != nil || ring.signing != 2 {
		t.Errorf("%+v, %v", ring, err)
	}
	os.Chmod(path, 0o644)
	if _, err := LoadKeys(path); err == nil || !strings.Contains(err.Error(), "make it 0600") {
		t.Errorf("a file that others may read: %v", err)
	}
	for text, want := range map[string]string{"": "0 keys", "1 MDEyMzQ1Njc4OWFiY2RlZg==\n": "0 keys", "1 short sign": ":1: the key",
		good + "2 MDEyMzQ1Njc4OWFiY2RlZg==": ":4: key 2 is listed twice", "x MDEyMzQ1Njc4OWFiY2RlZg== sign": `"x" is not a key number`,
		good + "3 MDEyMzQ1Njc4OWFiY2RlZg== sign": "2 keys are marked", "1": ":1: expected"} {
		if _, err := parseKeys("f", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestOtherVersions: version 1 is parsed. An unknown extension of an even type is skipped, one of an odd type refused.
func TestOtherVersions(t *testing.T) {
	b := []byte{1}
	b = binary.AppendUvarint(b, 1)
	b = append(binary.AppendUvarint(b, 4), "news"...)
	b = binary.AppendUvarint(binary.AppendUvarint(b, 3), 77)
	old, err := Parse(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, checksum(b))))
	want := Token{}.With("news", position.Position{Timeline: 3, LSN: 77})
	if err != nil || !old.Equal(want) {
		t.Errorf("version 1: %+v, %v", old, err)
	}
	for typ, ok := range map[byte]bool{4: true, 3: false} {
		b := want.appendBody(nil, 0)
		b = append(b[:len(b)-1], 1, typ, 2, 'x', 'y')
		got, err := Parse(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, checksum(b))))
		if (err == nil) != ok || ok && !got.Equal(want) {
			t.Errorf("extension %d: %+v, %v", typ, got, err)
		}
	}
}

// TestSet: tokens are not dropped, malformed ones are counted as lost, and so are those over the limit.
func TestSet(t *testing.T) {
	one := func(lsn uint64) string {
		return Token{}.With("news", position.Position{Timeline: 1, LSN: lsn}).String()
	}
	b := ParseSet(one(1)+"."+one(2), one(2)+", "+one(3))
	if got, complete := b.JoinUnverified(); !complete || len(b.Texts()) != 3 {
		t.Errorf("%v, %v, %v", b, got, complete)
	}
	if _, complete := b.Add("garbage").JoinUnverified(); complete {
		t.Error("a malformed token was not counted as lost")
	}
	if _, complete := ParseSet(one(1)[:5]).JoinUnverified(); complete {
		t.Error("a truncated token was not counted as lost")
	}
	for i := range uint64(2 * MaxSetSize) {
		b = b.Add(one(100 + i))
	}
	if _, complete := b.JoinUnverified(); complete || len(b.Texts()) > MaxSetSize {
		t.Errorf("%d texts, complete %v", len(b.Texts()), complete)
	}
	sent := ParseSet(one(1), one(2))
	later := sent.Add(one(9))
	if got := later.Replace(sent, one(5)); got.String() != ParseSet(one(5), one(9)).String() {
		t.Errorf("after Replace: %v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		x, y := ParseSet(one(rapid.Uint64Range(1, 9).Draw(t, "x"))), ParseSet(one(rapid.Uint64Range(1, 9).Draw(t, "y")), "!")
		if x.Join(y).String() != y.Join(x).String() || x.Join(x).String() != x.String() {
			t.Fatal("the union is not commutative and idempotent")
		}
	})
}

func FuzzParse(f *testing.F) {
	ring, _ := NewKeyring(map[uint64][]byte{1: []byte("0123456789abcdef")}, 1)
	tok := Token{}.With("news", position.Position{Timeline: 3, LSN: 77})
	f.Add(tok.String())
	f.Add(ring.Sign(tok, "s"))
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := Parse(text)
		if err != nil {
			return
		}
		back, err := Parse(tok.String())
		if err != nil || !back.Equal(tok) {
			t.Fatalf("%q: %+v is encoded as %q", text, tok, tok.String())
		}
		if _, err := ring.Verify(text, ""); err == nil && text != "" && text != ring.Sign(tok, "") {
			t.Fatalf("%q was accepted", text)
		}
	})
}

func FuzzSet(f *testing.F) {
	f.Add("a.b,c", "!")
	f.Fuzz(func(t *testing.T, x, y string) {
		b := ParseSet(x, y)
		if len(b.Texts()) > MaxSetSize {
			t.Fatal("more than 16 texts")
		}
		if again := ParseSet(b.String()); again.String() != b.String() {
			t.Fatalf("%q is parsed as %q", b, again)
		}
	})
}

func BenchmarkToken(b *testing.B) {
	ring, _ := NewKeyring(map[uint64][]byte{1: []byte("0123456789abcdef")}, 1)
	tok := Token{}
	for i := range 3 {
		tok = tok.With(fmt.Sprintf("s%d", i), position.Position{Timeline: 9, LSN: 0x16b374d848 + uint64(i)})
	}
	text := ring.Sign(tok, "s")
	b.Run("sign", func(b *testing.B) {
		for range b.N {
			ring.Sign(tok, "s")
		}
	})
	b.Run("verify", func(b *testing.B) {
		for range b.N {
			ring.Verify(text, "s")
		}
	})
	b.Run("verify-first", func(b *testing.B) {
		for range b.N {
			ring.recent.Purge()
			ring.Verify(text, "s")
		}
	})
	b.Run("parse", func(b *testing.B) {
		for range b.N {
			Parse(text)
		}
	})
	b.Run("join", func(b *testing.B) {
		other := tok.With("s9", position.Position{Timeline: 1, LSN: 1})
		for range b.N {
			tok.Join(other)
		}
	})
}
