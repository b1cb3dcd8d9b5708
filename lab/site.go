package lab

import (
	"fmt"
	"strings"
	"time"

	"umberladder/balance"
)

// Class is a request class, for the drivers' settings and for clients.
type Class struct {
	Name      string
	Need      balance.Need
	Effect    balance.Effect
	Share     float64 // of all requests, 0 to 1
	Target    time.Duration
	Deadline  time.Duration
	Bound     time.Duration // maximum age of the data, for bounded reads
	Window    time.Duration // within which repeats are discarded, for keyed writes
	Value     float64
	LateValue float64 // fraction of Value that remains after Target
	Stream    bool    // clients read the rows as a stream
}

// Site holds the classes and rules of the drivers' settings.
type Site struct {
	Classes              []Class
	Grace                time.Duration // of drains
	ColdOverloadWindow   time.Duration // a cold node fails after this time above its limit
	ColdOverloadMultiple float64       // the limit, as a multiple of the cold node's capacity
	ParallelAttempts     bool          // two attempts of one request may be in flight at once
	Margin               time.Duration // drivers answer at least this long before the client's deadline
}

// NewsroomSite returns the newsroom's three classes and a keyed, a fresh and a streamed one, with times that suit
// short runs.
func NewsroomSite() Site {
	const second = time.Second
	return Site{Grace: 500 * time.Millisecond, ColdOverloadWindow: second, ColdOverloadMultiple: 3, Margin: 50 * time.Millisecond, Classes: []Class{
		{Name: "article-read", Need: balance.NeedBounded, Bound: 200 * time.Millisecond, Share: 0.40, Target: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 2},
		{Name: "own-read", Need: balance.NeedSession, Share: 0.28, Target: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1},
		{Name: "write", Need: balance.NeedWrite, Effect: balance.Unsafe, Share: 0.12, Target: 500 * time.Millisecond, Deadline: 3 * second, Value: 6},
		{Name: "post", Need: balance.NeedWrite, Effect: balance.Keyed, Window: 2 * second, Share: 0.08, Target: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 6},
		{Name: "desk-check", Need: balance.NeedFresh, Share: 0.08, Target: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1},
		{Name: "stats", Need: balance.NeedAny, Share: 0.04, Target: second, Deadline: 3 * second, Value: 1, Stream: true},
	}}
}

// Window returns the longest window of all classes, for which the site's groups discard repeats of keyed writes.
func (s *Site) Window() (w time.Duration) {
	for _, c := range s.Classes {
		w = max(w, c.Window)
	}
	return w
}

// Settings returns the site in the format of the drivers' settings.
func (s *Site) Settings() string {
	var b strings.Builder
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "class %s {\n    effect %s\n", c.Name, [...]string{"safe", "keyed", "unsafe"}[c.Effect])
		fmt.Fprintf(&b, "    need %s", [...]string{"write", "fresh", "session", "bounded", "any"}[c.Need])
		if c.Need == balance.NeedBounded {
			fmt.Fprintf(&b, " %v", c.Bound)
		}
		if c.Effect == balance.Keyed {
			fmt.Fprintf(&b, "\n    window %v", c.Window)
		}
		fmt.Fprintf(&b, "\n    target %v\n    deadline %v\n    worth %g\n    late-worth %g%%\n}\n", c.Target, c.Deadline, c.Value, 100*c.LateValue)
	}
	fmt.Fprintf(&b, "drain grace %v\ncold fall %v\ncold tip %g\nanswers margin %v\n", s.Grace, s.ColdOverloadWindow, s.ColdOverloadMultiple, s.Margin)
	if s.ParallelAttempts {
		b.WriteString("attempts parallel on\n")
	}
	b.WriteString("attempts cancel-work on\npool linger 4s\nstop within 4s\n")
	return b.String()
}
