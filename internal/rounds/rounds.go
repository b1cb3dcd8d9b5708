// Package rounds runs a router: it passes events to it and carries out the resulting actions, at one clock time. An action
// may cause an event at once, as an attempt for a request that has ended does: the router gets it in a further round.
package rounds

import (
	"time"

	"umberladder/balance"
	"umberladder/internal/schedule"
)

// Rounds is a router with its pending events. It is not safe for concurrent use.
type Rounds struct {
	Router *balance.Router
	Timers *schedule.Timers
	Act    func(*balance.Action) // carries out an action other than setting a timer
	Most   int                   // limit on the rounds at one time
	Pause  time.Duration         // delay of further rounds beyond that limit

	news []balance.Event
	acts []balance.Action
}

// Tell queues an event for the next round.
func (r *Rounds) Tell(ev balance.Event) { r.news = append(r.news, ev) }

// Settle runs one round, and further ones while events are pending, up to the limit. It does not
// block.
func (r *Rounds) Settle(now time.Duration) {
	for round := 0; round == 0 || len(r.news) > 0; round++ {
		if round == r.Most {
			r.Timers.Set(now+r.Pause, func(time.Duration) {})
			return
		}
		events := r.news
		r.news = nil
		r.acts = r.Router.Step(now, events, r.acts[:0])
		for i := range r.acts {
			if a := &r.acts[i]; a.Kind == balance.ActionTimer {
				r.setTimer(now, a)
			} else {
				r.Act(a)
			}
		}
	}
}

func (r *Rounds) setTimer(now time.Duration, a *balance.Action) {
	token := a.Token
	r.Timers.Set(now+max(a.After, 0), func(time.Duration) {
		r.Tell(balance.Event{Kind: balance.EventTimer, Token: token})
	})
}
