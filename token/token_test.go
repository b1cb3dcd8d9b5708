package token

import (
	"encoding/base64"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"umberladder/position"
)

func drawToken(t *rapid.T) Token {
	var tok Token
	for range rapid.IntRange(1, 6).Draw(t, "slices") {
		name := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "slice")
		tok = tok.With(name, position.Position{Timeline: rapid.Uint32().Draw(t, "timeline"),
			LSN: rapid.Uint64().Draw(t, "lsn")})
	}
	return tok
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tok := drawToken(t)
		back, err := Parse(tok.String())
		if err != nil || back.String() != tok.String() {
			t.Fatalf("%v became %v, %v", tok, back, err)
		}
		for _, s := range tok.Slices() {
			a, _ := tok.At(s)
			b, ok := back.At(s)
			if !ok || a != b {
				t.Fatalf("slice %s: %v became %v", s, a, b)
			}
		}
	})
}

func TestJoinIsALeastUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawToken(t), drawToken(t), drawToken(t)
		if a.Join(b).String() != b.Join(a).String() || a.Join(a).String() != a.String() ||
			a.Join(b).Join(c).String() != a.Join(b.Join(c)).String() {
			t.Fatal("join is not idempotent, commutative and associative")
		}
		for _, s := range a.Slices() {
			x, _ := a.At(s)
			if y, ok := a.Join(b).At(s); !ok || y.Compare(x) < 0 {
				t.Fatalf("the join asks for less of %s", s)
			}
		}
	})
}

// TestAnyChangeIsNoticed flips each bit and cuts at each place: none may pass as another token.
func TestAnyChangeIsNoticed(t *testing.T) {
	tok := Token{}.With("news", position.Position{Timeline: 3, LSN: 0x16b374d848})
	raw, _ := base64.RawURLEncoding.DecodeString(tok.String())
	for i := range raw {
		for bit := range 8 {
			changed := append([]byte(nil), raw...)
			changed[i] ^= 1 << bit
			if got, err := Parse(base64.RawURLEncoding.EncodeToString(changed)); err == nil {
				t.Errorf("byte %d bit %d: became %v", i, bit, got)
			}
		}
		if _, err := Parse(base64.RawURLEncoding.EncodeToString(raw[:i])); i > 0 && err == nil {
			t.Errorf("cut after %d bytes it was taken", i)
		}
	}
	var e *Error
	for _, text := range []string{"!", "AA==", tok.String() + "\n", "x" + tok.String()} {
		if _, err := Parse(text); !errors.As(err, &e) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Token{}.With("news", position.Position{Timeline: 3, LSN: 77}).String())
	f.Fuzz(func(t *testing.T, text string) {
		if tok, err := Parse(text); err == nil && tok.String() != text {
			t.Fatalf("%q is written as %q", text, tok.String())
		}
	})
}
