// Package carry takes causal tokens through services that know nothing of them. A service that imports it
// collects the tokens of every call that it makes and of the one that it serves, and passes their union up and
// down: over gRPC by interceptors, over HTTP by a handler and a transport, in a header, a cookie and W3C
// baggage. It needs no keys: it never reads a token, never drops one for seeming to be covered, and never takes
// one that it can't read for nothing (see token.Bag).
package carry

import (
	"context"
	"slices"
	"sync"

	"umberladder/token"
)

// Names under which tokens travel.
const (
	Header      = "Umberladder-Token"   // HTTP, in requests and answers
	Cookie      = "umberladder"         // HTTP, for browsers
	MetadataKey = "umberladder-token"   // gRPC, in requests, answers' headers and trailers
	Settled     = "Umberladder-Settled" // HTTP and gRPC, in answers: the bag with a lost token that was settled
	BaggageKey  = "umberladder.token"   // W3C baggage, in requests
	maxCookie   = 3800                  // bytes of a cookie that browsers and proxies keep
)

// Collector is what one request has seen: the tokens that came with it and those of all calls made for it. It
// is safe for concurrent use.
type Collector struct {
	mu    sync.Mutex
	bag   token.Bag
	first token.Bag // what it began with
}

// Bag is the union so far.
func (c *Collector) Bag() token.Bag {
	if c == nil {
		return token.Bag{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bag
}

// Add takes note of tokens as they came in headers.
func (c *Collector) Add(values ...string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bag = c.bag.Join(token.ParseBag(values...))
}

// Answered takes note of the tokens of an answer to a call. What they cover is not carried on beside them.
func (c *Collector) Answered(values ...string) {
	if c == nil || len(values) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bag = c.bag.Absorb(token.ParseBag(values...))
}

// settled takes note that whoever was handed a bag in which a token was lost has settled that: a driver answered
// by the present of the slice, and its token asks for the present of the others. The digest proves that the
// very bag arrived.
func (c *Collector) settled(handed token.Bag, digests []string, values ...string) {
	if c == nil || !handed.HasUnknown() || !slices.Contains(digests, handed.Digest()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bag = c.bag.Replace(handed, "").Absorb(token.ParseBag(values...))
}

// settles is the digest to hand back if the lost token that came was settled, "" if not, or if none came.
func (c *Collector) settles() string {
	if c.first.HasUnknown() && !c.Bag().HasUnknown() {
		return c.first.Digest()
	}
	return ""
}

// Covered takes note that a driver answered: its token stands for all that it was handed.
func (c *Collector) Covered(handed token.Bag, answer string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bag = c.bag.Replace(handed, answer)
}

type key struct{}

// NewContext returns a context that collects, beginning with the tokens given.
func NewContext(ctx context.Context, values ...string) (context.Context, *Collector) {
	c := &Collector{}
	c.Add(values...)
	c.first = c.bag
	return context.WithValue(ctx, key{}, c), c
}

// FromContext is the collector of a context, nil if there is none; a nil Collector collects nothing.
func FromContext(ctx context.Context) *Collector {
	c, _ := ctx.Value(key{}).(*Collector)
	return c
}
