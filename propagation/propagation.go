// Package propagation propagates causal tokens through services over gRPC metadata, HTTP headers, cookies and W3C baggage,
// and retries calls that a driver refused. In go the tokens of the request that a service serves and of the answers to
// the calls that it makes; out goes their union, with every call made afterwards and with the service's own answer.
// Authors of services install its gRPC interceptors, HTTP handler and HTTP transport, and pass on the request's context.
//
// It needs no keys and verifies no signature. A token that a caller sent is kept until an answer covers it, and a token
// that cannot be parsed counts as lost, not as absent.
package propagation

import (
	"context"
	"slices"
	"sync"

	"umberladder/token"
)

// Names of the headers, the cookie, the metadata and the baggage member that carry tokens.
const (
	Header      = "Umberladder-Token" // HTTP header of requests and responses
	Cookie      = "umberladder"       // HTTP cookie, for browsers
	MetadataKey = "umberladder-token" // gRPC metadata of requests and of the headers and trailers of responses
	// SettledKey is the HTTP header and the gRPC trailer of responses that hold the digest of the request's tokens if
	// one of them was lost and the response settled it.
	SettledKey = "Umberladder-Settled"
	BaggageKey = "umberladder.token" // member of the W3C baggage of requests
	maxCookie  = 3800                // longest value that browsers and proxies keep in a cookie, in bytes
)

// Collector holds the tokens that one request has observed: those that it carried and those of the answers to the calls
// made for it. A nil *Collector ignores additions and returns no tokens. It is safe for concurrent use; its methods do
// not block on I/O.
type Collector struct {
	mu      sync.Mutex
	tokens  token.Set
	initial token.Set // tokens that the request carried
}

// Tokens returns the union of all tokens collected so far.
func (c *Collector) Tokens() token.Set {
	if c == nil {
		return token.Set{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

// Add adds the tokens of header values, each a list separated by dots, commas or spaces. A malformed token counts as
// lost.
func (c *Collector) Add(values ...string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = c.tokens.Join(token.ParseSet(values...))
}

// AddAnswer adds the tokens of the answer to a call and removes collected tokens that they cover.
func (c *Collector) AddAnswer(values ...string) {
	if c == nil || len(values) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = c.tokens.Absorb(token.ParseSet(values...))
}

// replaceLost replaces the tokens sent with a call by those of its answer, if a token was lost among the sent ones and
// the answer's digests include that of the sent ones. A driver then answered from the present of the slice, with a token
// that requires the present of all other slices, and the digest shows that the tokens sent arrived unchanged.
func (c *Collector) replaceLost(sent token.Set, digests []string, values ...string) {
	if c == nil || !sent.HasUnknown() || !slices.Contains(digests, sent.Digest()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = c.tokens.Replace(sent, "").Absorb(token.ParseSet(values...))
}

// settledDigest returns the digest of the tokens that the request carried if one of them was lost and has been settled,
// that is, an answer covers it. Otherwise it returns "".
func (c *Collector) settledDigest() string {
	if c.initial.HasUnknown() && !c.Tokens().HasUnknown() {
		return c.initial.Digest()
	}
	return ""
}

// Replace replaces the tokens sent with a call by the token of the driver's answer, which covers all of them.
func (c *Collector) Replace(sent token.Set, answer string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = c.tokens.Replace(sent, answer)
}

type contextKey struct{}

// NewContext returns a context with a new Collector that holds the tokens of the given header values, and the Collector.
func NewContext(ctx context.Context, values ...string) (context.Context, *Collector) {
	c := &Collector{}
	c.Add(values...)
	c.initial = c.tokens
	return context.WithValue(ctx, contextKey{}, c), c
}

// FromContext returns the Collector of a context, nil if there is none.
func FromContext(ctx context.Context) *Collector {
	c, _ := ctx.Value(contextKey{}).(*Collector)
	return c
}
