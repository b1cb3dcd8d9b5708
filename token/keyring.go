package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"
	"os"
	"strconv"
	"strings"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Keyring signs tokens with one key and verifies tokens signed with any of its keys, so that keys can be rotated with
// an overlap. Its keys never change; it is safe for concurrent use. A nil *Keyring neither signs nor verifies.
type Keyring struct {
	keys    map[uint64]*signer
	signing uint64
	// recent caches tokens that this ring signed or verified, by text and scope: most are presented again soon and often.
	recent *lru.Cache[string, Token]
}

// recentTexts is the capacity of Keyring.recent; an entry takes about 400 bytes.
const recentTexts = 8192

func newKeyring() *Keyring {
	recent, err := lru.New[string, Token](recentTexts)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &Keyring{keys: map[uint64]*signer{}, recent: recent}
}

// signer is one key with a pool of HMAC states that are initialized with it.
type signer struct{ hashes sync.Pool }

func newSigner(key []byte) *signer {
	return &signer{hashes: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

// append appends the HMAC of a scope and a body to b.
func (s *signer) append(b, body []byte, scope string) []byte {
	h := s.hashes.Get().(hash.Hash)
	defer s.hashes.Put(h)
	h.Reset()
	var sum [sha256.Size]byte
	h.Write(append(append(sum[:0], scope...), 0))
	h.Write(body)
	return append(b, h.Sum(sum[:0])[:macBytes]...)
}

// minKeyBytes is the minimum length of a key, in bytes.
const minKeyBytes = 16

// LoadKeys reads a key file. Each line has the number of a key (32 bits), the key of 16 bytes or more in base64 and, for
// exactly one key, the word "sign", which marks the signing key. Lines that begin with # are comments. It returns an
// error if the file cannot be read, if its mode permits access by group or others, or if its content is invalid.
func LoadKeys(path string) (*Keyring, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("token keys: %w", err)
	}
	if st.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("token keys: %s is accessible to other users (mode %04o); make it 0600", path, st.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("token keys: %w", err)
	}
	return parseKeys(path, string(text))
}

func parseKeys(path, text string) (*Keyring, error) {
	k := newKeyring()
	signs := 0
	for n, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		at := fmt.Sprintf("token keys: %s:%d", path, n+1)
		if len(words) > 3 || len(words) < 2 || len(words) == 3 && words[2] != "sign" {
			return nil, fmt.Errorf("%s: expected a key number, a key in base64 and, for exactly one key, \"sign\"", at)
		}
		id, err := strconv.ParseUint(words[0], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is not a key number from 0 to 4294967295", at, words[0])
		}
		key, err := base64.StdEncoding.DecodeString(words[1])
		if err != nil || len(key) < minKeyBytes {
			return nil, fmt.Errorf("%s: the key is not base64 of at least %d bytes", at, minKeyBytes)
		}
		if k.keys[id] != nil {
			return nil, fmt.Errorf("%s: key %d is listed twice", at, id)
		}
		k.keys[id] = newSigner(key)
		if len(words) == 3 {
			k.signing = id
			signs++
		}
	}
	if signs != 1 {
		return nil, fmt.Errorf("token keys: %s: %d keys are marked \"sign\", exactly 1 is required", path, signs)
	}
	return k, nil
}

// NewKeyring returns a keyring of the given keys by number; signing is the number of the signing key. It returns an
// error if the signing key is missing or shorter than 16 bytes.
func NewKeyring(keys map[uint64][]byte, signing uint64) (*Keyring, error) {
	if len(keys[signing]) < minKeyBytes {
		return nil, fmt.Errorf("token keys: signing key %d is missing or shorter than %d bytes", signing, minKeyBytes)
	}
	k := newKeyring()
	k.signing = signing
	for id, key := range keys {
		k.keys[id] = newSigner(key)
	}
	return k, nil
}

// Sign returns the text form with a signature, the empty string for the zero Token. With a scope that is not empty, such
// as the name of a session, Verify accepts the text only under the same scope. A nil Keyring returns t.String().
func (k *Keyring) Sign(t Token, scope string) string {
	if k == nil || t.IsZero() {
		return t.String()
	}
	flags := byte(flagSigned)
	if scope != "" {
		flags |= flagScoped
	}
	b := t.appendBody(make([]byte, 0, 96), flags)
	b = binary.AppendUvarint(b, k.signing)
	text := base64.RawURLEncoding.EncodeToString(k.keys[k.signing].append(b, b, scope))
	k.recent.Add(recentKey(text, scope), t)
	return text
}

func recentKey(text, scope string) string {
	if scope == "" {
		return text
	}
	return text + "\x00" + scope
}

// Verify parses a text form and verifies that one of the keys signed it, with the given scope if it was signed with a
// scope. The empty text is the zero Token. A nil Keyring accepts every token that Parse accepts. Errors are of type
// *Error.
func (k *Keyring) Verify(text, scope string) (Token, error) {
	if k != nil {
		if t, ok := k.recent.Get(recentKey(text, scope)); ok {
			return t, nil
		}
	}
	p, err := decode(text)
	if err != nil || k == nil || text == "" {
		return p.token, err
	}
	if !p.signed {
		return Token{}, errorf("not signed, and this driver accepts signed tokens only")
	}
	key := k.keys[p.key]
	if key == nil {
		return Token{}, errorf("signed with key %d, which is not known or no longer valid; repeat the read without this token", p.key)
	}
	bound := scope
	if !p.scoped {
		bound = ""
	}
	if !hmac.Equal(key.append(nil, p.body, bound), p.mac) {
		if p.scoped {
			return Token{}, errorf("signature does not match: the token was changed or belongs to another session")
		}
		return Token{}, errorf("signature does not match: the token was changed in transit")
	}
	k.recent.Add(recentKey(text, scope), p.token)
	return p.token, nil
}
