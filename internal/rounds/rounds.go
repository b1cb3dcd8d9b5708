// Package rounds gives a router what happened and has what it settles carried out, at one clock time. Some of that ends
// at once, as an attempt for a request that is over: the router hears of it in a further round.
package rounds

import (
	"time"

	"umberladder/balance"
	"umberladder/internal/schedule"
)

// Rounds is a router with what is to be told to it. It is not safe for concurrent use.
type Rounds struct {
	Router *balance.Router
	Timers *schedule.Timers
	Act    func(*balance.Action) // carries out what is settled, but for the router's timers
	Most   int                   // rounds at one time
	Pause  time.Duration         // until the next, after so many

	news []balance.Event
	acts []balance.Action
}

// Tell has the router hear of an event in the next round.
func (r *Rounds) Tell(ev balance.Event) { r.news = append(r.news, ev) }

// Settle plays one round at least, and further ones while there is news.
func (r *Rounds) Settle(now time.Duration) {
	for round := 0; round == 0 || len(r.news) > 0; round++ {
		if round == r.Most {
			r.Timers.Set(now+r.Pause, func(time.Duration) {})
			return
		}
		news := r.news
		r.news = nil
		r.acts = r.Router.Step(now, news, r.acts[:0])
		for i := range r.acts {
			if a := &r.acts[i]; a.Kind == balance.ActionTimer {
				r.arm(now, a)
			} else {
				r.Act(a)
			}
		}
	}
}

func (r *Rounds) arm(now time.Duration, a *balance.Action) {
	token := a.Token
	r.Timers.Set(now+max(a.After, 0), func(time.Duration) {
		r.Tell(balance.Event{Kind: balance.EventTimer, Token: token})
	})
}
