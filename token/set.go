package token

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxSetSize is the largest number of texts in a set.
const MaxSetSize = 16

// Unknown is a text that represents one or more lost tokens: tokens that could not be parsed or did not fit. A driver
// treats it as a lost token: a read of a session class then requires the present or is refused.
const Unknown = "!"

// Set is a set of token texts, for services that have no keys and so cannot sign a joined token. A driver that receives
// it joins the tokens that it can verify and answers with one token that covers all of them. The zero value is the
// empty set. Sets are immutable: methods return a new one.
type Set struct{ texts []string }

// ParseSet parses the values of one or more headers, each a list of token texts separated by dots, commas or spaces. A
// text that is not a token is replaced by Unknown, as is a value longer than 65536 bytes.
func ParseSet(values ...string) Set {
	var s Set
	for _, v := range values {
		if len(v) > maxText*MaxSetSize {
			s = s.Add(Unknown)
			continue
		}
		for _, text := range splitTexts(v) {
			s = s.Add(text)
		}
	}
	return s
}

func splitTexts(v string) []string {
	return strings.FieldsFunc(v, func(r rune) bool { return r == '.' || r == ',' || r == ' ' })
}

// VerifyAll verifies the tokens that a client presents to a driver, separated by dots, commas or spaces, and returns
// their join. unknown reports that the text contains Unknown. It returns an *Error for a malformed token, for one that
// Verify refuses, and for a text longer than 65536 bytes.
func (k *Keyring) VerifyAll(text, scope string) (t Token, unknown bool, err error) {
	if len(text) > maxText*MaxSetSize {
		return t, false, errorf("text of %d characters is over the limit of %d", len(text), maxText*MaxSetSize)
	}
	for _, one := range splitTexts(text) {
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

// Add returns the union with one text. A text that is not a token is added as Unknown. Texts that another one covers
// are kept, as without keys it is not known whether the driver will accept the other. Over the limit of 16 texts, the
// first in sort order are dropped and Unknown is added.
func (s Set) Add(text string) Set {
	if text == "" || slices.Contains(s.texts, text) {
		return s
	}
	if _, err := Parse(text); text != Unknown && err != nil {
		return s.Add(Unknown)
	}
	all := append(slices.Clone(s.texts), text)
	if len(all) > MaxSetSize {
		all = all[len(all)-MaxSetSize+1:]
		if !slices.Contains(all, Unknown) {
			all = append(all, Unknown)
		}
	}
	slices.Sort(all)
	return Set{all}
}

// Join returns the union of s and o, limited to 16 texts as by Add.
func (s Set) Join(o Set) Set {
	for _, text := range o.texts {
		s = s.Add(text)
	}
	return s
}

// Replace returns the set after a driver answered a request that carried the texts of sent. These are replaced by the
// answer's token, which covers them. Texts added since are kept. An empty answer removes the texts only.
func (s Set) Replace(sent Set, answer string) Set {
	rest := Set{slices.DeleteFunc(slices.Clone(s.texts), func(t string) bool { return slices.Contains(sent.texts, t) })}
	return rest.Add(answer)
}

// Absorb returns the union with the set from a called service's answer, without the texts of s that it covers. The
// service is trusted not to claim more than its data includes, so covered texts require nothing more. If from contains
// Unknown, nothing is removed.
func (s Set) Absorb(from Set) Set {
	have, complete := from.JoinUnverified()
	if !complete {
		return s.Join(from)
	}
	rest := Set{}
	for _, text := range s.texts {
		if one, err := Parse(text); text == Unknown || err != nil || !have.Covers(one) {
			rest = rest.Add(text)
		}
	}
	return rest.Join(from)
}

// HasUnknown reports whether a token was lost, that is, whether the set contains Unknown.
func (s Set) HasUnknown() bool { return slices.Contains(s.texts, Unknown) }

// Digest returns a 64-bit hash of the set as 16 hexadecimal digits, by which a service identifies the set whose lost
// token its answer settled.
func (s Set) Digest() string { return fmt.Sprintf("%016x", xxhash.Sum64String(s.String())) }

// IsEmpty reports whether the set has no texts.
func (s Set) IsEmpty() bool { return len(s.texts) == 0 }

// Texts returns a sorted copy of the texts.
func (s Set) Texts() []string { return slices.Clone(s.texts) }

// String returns the sorted texts separated by dots.
func (s Set) String() string { return strings.Join(s.texts, ".") }

// JoinUnverified returns the join of all tokens in the set without verifying signatures. It is meant for caches, where a
// forged token that requires too little harms only the client that presents it. complete is false if the set contains
// Unknown, whose requirements are not known.
func (s Set) JoinUnverified() (t Token, complete bool) {
	complete = true
	for _, text := range s.texts {
		one, err := Parse(text)
		if err != nil || text == Unknown {
			complete = false
			continue
		}
		t = t.Join(one)
	}
	return t, complete
}
