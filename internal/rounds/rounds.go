// Package rounds runs a router: it passes events to the router and carries out the resulting actions, at one clock
// time. An action may cause an event at once, as an attempt for a request that has ended does: the router gets that
// event in a further round.
package rounds

import (
	"time"

	"umberladder/balance"
	"umberladder/internal/schedule"
)

// Rounds is a router with its pending events. It is not safe for concurrent use.
type Rounds struct {
	Router    *balance.Router
	Timers    *schedule.Timers
	Act       func(*balance.Action) // carries out an action other than setting a timer
	MaxRounds int                   // limit on the rounds of one Run
	Pause     time.Duration         // delay of further rounds beyond that limit

	events  []balance.Event
	actions []balance.Action
}

// Notify queues an event for the next round.
func (r *Rounds) Notify(ev balance.Event) { r.events = append(r.events, ev) }

// Run runs one round, and further ones while events are pending, up to MaxRounds. Beyond that it sets a timer for the
// remaining events. It blocks only if Act does.
func (r *Rounds) Run(now time.Duration) {
	for round := 0; round == 0 || len(r.events) > 0; round++ {
		if round == r.MaxRounds {
			r.Timers.Set(now+r.Pause, func(time.Duration) {})
			return
		}
		events := r.events
		r.events = nil
		r.actions = r.Router.Step(now, events, r.actions[:0])
		for i := range r.actions {
			if a := &r.actions[i]; a.Kind == balance.ActionTimer {
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
		r.Notify(balance.Event{Kind: balance.EventTimer, Token: token})
	})
}
