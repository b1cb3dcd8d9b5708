package balance_test

import (
	"fmt"
	"time"

	"umberladder/balance"
)

// A driver collects events, calls Step with its own clock, and carries out the actions in order.
func Example() {
	cfg := balance.Config{
		Classes: []balance.Class{{Name: "write", Effect: balance.Unsafe, Need: balance.NeedWrite,
			Target: 500 * time.Millisecond, Deadline: 5 * time.Second, Value: 1}},
		Probing: true, AttemptLimit: 3, RampTime: 10 * time.Second, DrainGrace: time.Second,
	}
	router, err := balance.New(cfg, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	const clock = time.Hour // the clock's zero is arbitrary
	var actions []balance.Action
	step := func(now time.Duration, events ...balance.Event) {
		actions = router.Step(now, events, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balance.ActionPoll:
				fmt.Println("poll", a.Server)
			case balance.ActionSend:
				fmt.Println("send request", a.Request, "to", a.Server)
			}
		}
	}
	step(clock, balance.Event{Kind: balance.EventList, List: balance.ListFull, Entries: []balance.Entry{{Server: 1}}})
	step(clock+10*time.Millisecond, balance.Event{Kind: balance.EventRequest, Request: 9, Deadline: clock + 5*time.Second})
	step(clock+12*time.Millisecond, balance.Event{Kind: balance.EventPoll, Server: 1, Age: 2 * time.Millisecond,
		Outcome: balance.OutcomeOK,
		Report:  balance.Report{Valid: true, HasRole: true, Primary: true, HasPosition: true, Position: clock + 11*time.Millisecond}})
	// Output:
	// poll 1
	// send request 9 to 1
}
