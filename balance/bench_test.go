package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures the cost of an event for few and many servers and for few and many held requests. The cost
// must not grow with the product of the two.
func BenchmarkStep(b *testing.B) {
	for _, groups := range []int{1, 20} {
		for _, held := range []int{0, 200} {
			b.Run(fmt.Sprintf("servers=%d/held=%d", 6*groups, held), func(b *testing.B) { benchStep(b, groups, held) })
		}
	}
}

func benchStep(b *testing.B, groups, held int) {
	cfg := baseConfig()
	cfg.Routers = 100
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := 100 * time.Second
	list := Event{Kind: EventList, List: ListCached}
	var polls []Event
	for i := range 6 * groups {
		s := ServerID(i + 1)
		list.Entries = append(list.Entries, Entry{Server: s, Group: i / 6})
		polls = append(polls, Event{Kind: EventPoll, Server: s, Outcome: OutcomeOK, Report: Report{Valid: true,
			HasPosition: true, HasRole: true, Primary: i%6 == 0 && i > 0, Position: now - cfg.Origin}})
	}
	actions := r.Step(now, append([]Event{list}, polls...), nil)
	for i := range held { // writes of group 0, which has no primary
		e := Event{Kind: EventRequest, Request: RequestID(1<<40 + i), Class: write, Deadline: now + time.Hour}
		actions = r.Step(now, []Event{e}, actions[:0])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 10 * time.Microsecond
		id := RequestID(i + 1)
		e := Event{Kind: EventRequest, Request: id, Class: anyRead, Group: groups - 1, Deadline: now + time.Second}
		actions = r.Step(now, []Event{e}, actions[:0])
		for _, a := range actions {
			if a.Kind == ActionSend && a.Request == id {
				done := Event{Kind: EventOutcome, Request: id, Server: a.Server, Outcome: OutcomeOK, Role: RoleReplica,
					Settled: true, Age: 10 * time.Millisecond, Position: now - cfg.Origin}
				actions = r.Step(now, []Event{done}, actions[:0])
				break
			}
		}
	}
}
