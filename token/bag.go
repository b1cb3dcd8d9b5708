package token

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxBag is how many texts a Bag keeps.
const MaxBag = 16

// Unknown stands in a bag for tokens that there was no room for, or that could not be read: some token was
// there, and nobody knows which. A driver treats it as a lost token.
const Unknown = "!"

// Bag is a set of tokens as texts, for carriers that have no keys and so can't sign a join. The driver that
// gets a bag joins what it believes of it, and its answer carries one token that covers them all.
// The zero Bag is empty. Bags are values.
type Bag struct{ texts []string }

// ParseBag reads texts separated by dots or commas, as they come from one or several headers. What is no
// token counts as Unknown, never as nothing.
func ParseBag(values ...string) Bag {
	var b Bag
	for _, v := range values {
		if len(v) > maxText*MaxBag {
			b = b.Add(Unknown)
			continue
		}
		for _, text := range texts(v) {
			b = b.Add(text)
		}
	}
	return b
}

func texts(v string) []string {
	return strings.FieldsFunc(v, func(r rune) bool { return r == '.' || r == ',' || r == ' ' })
}

// VerifyAll reads what a client presents to a driver: one token, or several with dots between them. Unlike a
// carrier, it takes a malformed one for a mistake. unknown tells that a token was lost on the way.
func (k *Keyring) VerifyAll(text, scope string) (t Token, unknown bool, err error) {
	if len(text) > maxText*MaxBag {
		return t, false, bad("%d characters, %d at most", len(text), maxText*MaxBag)
	}
	for _, one := range texts(text) {
		if one == Unknown {
			unknown = true
			continue
		}
		part, err := k.Verify(one, scope)
		if err != nil {
			return Token{}, unknown, err
		}
		t = t.Join(part)
	}
	return t, unknown, nil
}

// Add is the bag with one more text. Nothing is dropped for being covered by another: who has no keys can't
// know that the other will be believed.
func (b Bag) Add(text string) Bag {
	if text == "" || slices.Contains(b.texts, text) {
		return b
	}
	if _, err := Parse(text); text != Unknown && err != nil {
		return b.Add(Unknown)
	}
	all := append(slices.Clone(b.texts), text)
	if len(all) > MaxBag {
		all = all[len(all)-MaxBag+1:]
		if !slices.Contains(all, Unknown) {
			all = append(all, Unknown)
		}
	}
	slices.Sort(all)
	return Bag{all}
}

// Join is the union of both.
func (b Bag) Join(o Bag) Bag {
	for _, text := range o.texts {
		b = b.Add(text)
	}
	return b
}

// Replace is the bag after a driver answered to it: the answer's token covers what was handed over, other is
// what came in since.
func (b Bag) Replace(handed Bag, answer string) Bag {
	rest := Bag{slices.DeleteFunc(slices.Clone(b.texts), func(t string) bool { return slices.Contains(handed.texts, t) })}
	return rest.Add(answer)
}

// Absorb is the union with a bag from further up, without the texts of b that it covers. Who answers a call is
// trusted not to claim more than it has; a text that it covers asks for nothing more, whoever made it.
func (b Bag) Absorb(from Bag) Bag {
	have, whole := from.Peek()
	if !whole {
		return b.Join(from)
	}
	rest := Bag{}
	for _, text := range b.texts {
		if one, err := Parse(text); text == Unknown || err != nil || !have.Covers(one) {
			rest = rest.Add(text)
		}
	}
	return rest.Join(from)
}

// HasUnknown tells whether a token was lost on the way.
func (b Bag) HasUnknown() bool { return slices.Contains(b.texts, Unknown) }

// Digest names the bag, for who settled it to say so.
func (b Bag) Digest() string { return fmt.Sprintf("%016x", xxhash.Sum64String(b.String())) }

// IsEmpty tells whether there is no text.
func (b Bag) IsEmpty() bool { return len(b.texts) == 0 }

// Texts are the texts, sorted.
func (b Bag) Texts() []string { return slices.Clone(b.texts) }

// String is the text form: the texts with dots between them.
func (b Bag) String() string { return strings.Join(b.texts, ".") }

// Peek joins what the bag's texts say without believing any: for caches, to which a token that says too
// little costs its presenter alone. whole is false if one of them is unknown.
func (b Bag) Peek() (t Token, whole bool) {
	whole = true
	for _, text := range b.texts {
		one, err := Parse(text)
		if err != nil || text == Unknown {
			whole = false
			continue
		}
		t = t.Join(one)
	}
	return t, whole
}
