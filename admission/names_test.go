package admission

import (
	"fmt"
	"testing"
	"time"
)

// TestClientNamesAreBoundedOverAllPools guards against memory that grows with clients under ever new names.
func TestClientNamesAreBoundedOverAllPools(t *testing.T) {
	g := gate(t, config())
	now := time.Hour
	for slice := range 100 {
		for client := range maxClients {
			ticket, _ := g.Admit(now, Request{Slice: fmt.Sprint(slice), Client: fmt.Sprint(slice, "/", client)})
			if ticket != nil {
				g.Done(now, ticket, Other)
			}
			now += time.Millisecond / 2
		}
	}
	names := 0
	for _, p := range g.pools {
		names += len(p.recentClients[0]) + len(p.recentClients[1])
	}
	if names > maxNames || names != g.names {
		t.Errorf("%d names of clients are kept, %d are counted", names, g.names)
	}
	ticket, decision := g.Admit(now, Request{Slice: "0", Client: "one more"})
	if ticket == nil {
		t.Errorf("refused: %v", decision.Reason)
	}
	if !g.pools[poolKey{"0", false}].recentClients[0]["one more"] && !g.pools[poolKey{"0", true}].recentClients[0]["one more"] {
		t.Error("names of the past keep a new one out")
	}
}

// TestPoolsOfUnknownSlicesMakeRoom guards against slices that share a pool for good, as unknown names have taken all.
func TestPoolsOfUnknownSlicesMakeRoom(t *testing.T) {
	g := gate(t, config())
	for i := range 2 * maxPools {
		if ticket, _ := g.Admit(time.Hour, Request{Slice: fmt.Sprint(i)}); ticket != nil {
			g.Done(time.Hour, ticket, Other)
		}
	}
	later := time.Hour + 10*rateSpan
	if ticket, _ := g.Admit(later, Request{Slice: "real"}); ticket == nil || ticket.pool != g.pools[poolKey{"real", g.cfg.Classes[0].Primary}] {
		t.Error("a new slice shares a pool with unknown ones")
	}
}
