package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"umberladder/balance"
	"umberladder/standin"
)

// TestBadDay plays one seed; `umberladder lab badday --seed N` plays others.
func TestBadDay(t *testing.T) {
	check(t, func() (*Report, error) { return BadDay(11) })
}

// TestInventory plays one day on which the inventory file is corrupted and restored.
func TestInventory(t *testing.T) {
	check(t, func() (*Report, error) { return Inventory(12) })
}

// TestChain plays one chain of services for each of two seeds. The number of steps depends on the machine.
func TestChain(t *testing.T) {
	for _, seed := range []uint64{13, 14} { // commits become visible late on odd seeds, at once on even ones
		check(t, func() (*Report, error) { return chainOf(seed, 2000) })
	}
}

// TestHistory plays sessions that are judged by the values that they saw.
func TestHistory(t *testing.T) {
	check(t, func() (*Report, error) { return History(14, NoPlant) })
}

// TestOverload sends ten times the load through real drivers. The simulated part has tests in lab/world.
func TestOverload(t *testing.T) {
	if raceDetector {
		t.Skip("ten times the load is too slow under the race detector; the other days run under it")
	}
	const tries = 3
	for n := 1; n <= tries; n++ {
		r, err := overloadLive(15)
		if err != nil {
			t.Fatal(err)
		}
		why := voidReason(r)
		if why == "" {
			check(t, func() (*Report, error) { return r, nil })
			return
		}
		t.Logf("run %d of %d is void: %s", n, tries, why)
	}
	t.Fatalf("all %d runs were void: nothing was shown", tries)
}

// maxStall is the longest time for which a machine may keep a ready goroutine waiting and still count as having
// produced the load.
const maxStall = 100 * time.Millisecond

// voidReason returns why an overload run shows nothing: the machine did not produce the load, and only amounts fell
// short. The other rules hold at any speed, so a break of one of them is never excused.
func voidReason(r *Report) string {
	if r.Broken() == 0 || r.Slack <= maxStall || len(r.Leaks) > 0 {
		return ""
	}
	what := append([]string{}, r.Missing...)
	for _, rule := range r.Rules {
		if rule.Name != liveGoodput && len(rule.Broken) > 0 {
			return ""
		}
		what = append(what, rule.Broken...)
	}
	return fmt.Sprintf("a ready goroutine waited %v, at most %v is allowed; %s", r.Slack.Round(time.Millisecond), maxStall, strings.Join(what, "; "))
}

// TestVoidedRuns checks that a run is void only if a stalled machine fell short of amounts.
func TestVoidedRuns(t *testing.T) {
	amount, other := &Rule{Name: liveGoodput, Broken: []string{"50 a second"}}, &Rule{Name: "no second effect", Broken: []string{"ran twice"}}
	for _, c := range []struct {
		name string
		r    Report
		void bool
	}{
		{"nothing broke", Report{Slack: 3 * maxStall}, false},
		{"goodput, stalled", Report{Slack: 3 * maxStall, Rules: []*Rule{amount}}, true},
		{"goodput, not stalled", Report{Slack: maxStall, Rules: []*Rule{amount}}, false},
		{"too few answers, stalled", Report{Slack: 3 * maxStall, Missing: []string{"400 refused"}}, true},
		{"another rule, stalled", Report{Slack: 3 * maxStall, Rules: []*Rule{amount, other}}, false},
		{"a leak, stalled", Report{Slack: 3 * maxStall, Leaks: []string{"a goroutine"}, Rules: []*Rule{amount}}, false},
	} {
		if got := voidReason(&c.r) != ""; got != c.void {
			t.Errorf("%s: void %v", c.name, got)
		}
	}
}

func TestDemo(t *testing.T) {
	var out bytes.Buffer
	check(t, func() (*Report, error) { return Demo(&out) })
	if !strings.HasSuffix(out.String(), "rules broken: 0\n") {
		t.Errorf("the demo ends with:\n%s", out.String())
	}
}

func check(t *testing.T, run func() (*Report, error)) {
	t.Helper()
	r, err := run()
	if err != nil {
		t.Fatal(err)
	}
	if r.Broken() > 0 {
		var b bytes.Buffer
		r.Write(&b)
		t.Error(b.String())
	}
}

// TestReplay writes a small day file with several kinds of trouble and plays it.
func TestReplay(t *testing.T) {
	day := map[string]any{"site": "test", "kind": "trouble", "length": 40e6, "zones": []string{"north", "south"},
		"traffic": map[string]any{"load": 0.5, "shape": [][2]float64{{0, 1}}}, "allow": map[string]any{"max_attempts": 6},
		"drain_grace": 5e5, "fall_multiple": 3, "fall_for": 1e6,
		"classes": []map[string]any{
			{"name": "browse", "share": 0.6, "aim": 4e5, "deadline": 1.5e6, "worth": 1, "effect": "safe"},
			{"name": "own", "share": 0.2, "aim": 4e5, "deadline": 1.5e6, "worth": 1, "effect": "safe"},
			{"name": "post", "share": 0.2, "aim": 5e5, "deadline": 2e6, "worth": 6, "effect": "keyed", "window": 2e6}},
		"tiers":     []any{map[string]any{"kinds": []any{map[string]any{"cores": 4, "cold_from": 0.2, "cold": 8e6}}}},
		"servers":   []map[string]any{{"zone": 0, "cell": 0, "up": true}, {"zone": 1, "cell": 0, "up": true}, {"zone": 0, "cell": 0, "up": true}},
		"balancers": []map[string]any{{"zone": 0}, {"zone": 1}},
		"fam":       map[string]any{"read": []int{1, 2, 4}, "bound": []float64{3e6, 0, 0}, "primary": []int{0}, "ship": 5e3, "detect": 1e6, "elect": 1e6},
		"troubles": []map[string]any{
			{"kind": "crash", "at": 5e6, "len": 8e6, "on": []int{0}},
			{"kind": "slow_link", "at": 16e6, "len": 6e6, "size": 0.3, "extra": 0.1, "which": 1, "how": "zone"},
			{"kind": "balancer_roll", "at": 24e6, "extra": 0.5, "steps": []any{map[string]any{"at": 24e6, "stop": []int{0}}}},
			{"kind": "nobody knows", "at": 1e6, "len": 1e6}}}
	text, _ := json.Marshal(day)
	path := filepath.Join(t.TempDir(), "day.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var r *Report
	check(t, func() (_ *Report, err error) { r, err = Replay(path, 3); return r, err })
	if faults := strings.Join(r.Faults, " "); !strings.Contains(faults, "nobody knows (not played)") || !strings.Contains(faults, "crash 1") {
		t.Errorf("faults: %s", faults)
	}
	for name, text := range map[string]string{"no JSON": "{", "no classes": "{}",
		"trouble on no server": strings.Replace(string(text), `"on":[0]`, `"on":[99]`, 1)} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Replay(path, 1); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// judged judges the given calls and statements for a fleet that served nothing.
func judged(t *testing.T, calls []Call, statements []standin.Statement, notices []Notice, starts []standin.Start) map[string]*Rule {
	t.Helper()
	f := &Fleet{Spec: Spec{Site: NewsroomSite(), Node: SmallNode}, Trace: standin.NewTrace(), notices: notices}
	f.Drivers = []*Driver{{Name: "d", pastLifetimes: []lifetime{{time.Unix(0, 0), time.Unix(1000, 0)}}}}
	g := standin.NewGroup("news", time.Second, f.Trace)
	f.Groups = []*standin.Group{g}
	f.Trace.Replace(statements, starts)
	rules := map[string]*Rule{}
	for _, r := range Judge(f, calls, 10*time.Millisecond) {
		rules[r.Name] = r
	}
	return rules
}

func sec(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }

// TestJudgeSeesBrokenRules gives the judge traffic that breaks each rule and similar traffic that does not.
func TestJudgeSeesBrokenRules(t *testing.T) {
	site := NewsroomSite()
	class := func(name string) *Class {
		for i := range site.Classes {
			if site.Classes[i].Name == name {
				return &site.Classes[i]
			}
		}
		t.Fatal(name)
		return nil
	}
	call := func(name string, v Verdict, answered float64) Call {
		c := class(name)
		return Call{Tag: "x", Class: c, Slice: "news", Driver: "d", Sent: sec(0), Answered: sec(answered), Timeout: c.Deadline, Verdict: v}
	}
	st := func(node string, arrived, ended float64, how func(*standin.Statement)) standin.Statement {
		s := standin.Statement{Node: node, Driver: "d", Kind: standin.KindWrite, Tag: "x", Arrived: sec(arrived), Ended: sec(ended), Ran: true}
		if how != nil {
			how(&s)
		}
		return s
	}
	refused := func(s *standin.Statement) { s.Ran, s.Code = false, "25006" }
	lost := func(s *standin.Statement) { s.Ran = false }
	var burst []standin.Statement
	for i := range 200 {
		burst = append(burst, st("db1", 0.2+float64(i)*0.001, 0.21+float64(i)*0.001, func(s *standin.Statement) { s.Kind, s.Tag = standin.KindRead, "y" }))
	}
	for _, c := range []struct {
		rule, name string
		broken     bool
		calls      []Call
		sts        []standin.Statement
		notices    []Notice
		starts     []standin.Start
	}{
		{"one final answer", "answered", false, []Call{call("write", Served, 1)}, nil, nil, nil},
		{"one final answer", "never answered", true, []Call{call("write", Unanswered, 8)}, nil, nil, nil},
		{"one final answer", "answered too late", true, []Call{call("write", Refused, 3.2)}, nil, nil, nil},
		{"one final answer", "sent after", true, []Call{call("write", Refused, 0.5)}, []standin.Statement{st("db0", 0.6, 0.7, nil)}, nil, nil},
		{"no second effect", "once", false, []Call{call("write", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, nil)}, nil, nil},
		{"no second effect", "again after a refusal", false, []Call{call("write", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, refused), st("db1", 0.3, 0.4, nil)}, nil, nil},
		{"no second effect", "ran twice", true, []Call{call("write", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, nil), st("db1", 0.3, 0.4, nil)}, nil, nil},
		{"no second effect", "again though it may have run", true, []Call{call("write", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, lost), st("db1", 0.3, 0.4, nil)}, nil, nil},
		{"no second effect", "a keyed one inside its window", false, []Call{call("post", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, lost), st("db1", 0.3, 0.4, nil)}, nil, nil},
		{"no second effect", "a keyed one outside its window", true, []Call{call("post", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.2, lost), st("db1", 2.3, 2.4, nil)}, nil, nil},
		{"no second effect", "two at once", true, []Call{call("article-read", Served, 1)}, []standin.Statement{st("db0", 0.1, 0.9, nil), st("db1", 0.3, 0.4, nil)}, nil, nil},
		{"drains kept", "inside the grace", false, nil, []standin.Statement{st("db1", 0.4, 0.5, nil)}, []Notice{{"d", "db1", balance.LifeDraining, sec(0)}}, nil},
		{"drains kept", "after the grace", true, nil, []standin.Statement{st("db1", 0.6, 0.7, nil)}, []Notice{{"d", "db1", balance.LifeDraining, sec(0)}}, nil},
		{"drains kept", "removed after it drained", true, nil, []standin.Statement{st("db1", 0.6, 0.7, nil)}, []Notice{{"d", "db1", balance.LifeDraining, sec(0)}, {"d", "db1", balance.LifeRemoved, sec(0.5)}}, nil},
		{"drains kept", "ready again", false, nil, []standin.Statement{st("db1", 1.6, 1.7, nil)}, []Notice{{"d", "db1", balance.LifeDraining, sec(0)}, {"d", "db1", balance.LifeReady, sec(1)}}, nil},
		{"cold nodes spared", "overloaded", true, nil, burst, nil, []standin.Start{{Node: "db1", At: sec(0.1), Cold: true}}},
		{"cold nodes spared", "below its limit", false, nil, burst[:20], nil, []standin.Start{{Node: "db1", At: sec(0.1), Cold: true}}},
	} {
		r := judged(t, c.calls, c.sts, c.notices, c.starts)[c.rule]
		if (len(r.Broken) > 0) != c.broken {
			t.Errorf("%s, %s: broken %v", c.rule, c.name, r.Broken)
		}
		if r.Chances == 0 {
			t.Errorf("%s, %s: no chance counted", c.rule, c.name)
		}
	}
}

// TestTwoDriversBeforeOneColdNode restarts a replica under load from two drivers that do not communicate. Together
// they must stay below the load at which a cold node fails, and must send it work.
func TestTwoDriversBeforeOneColdNode(t *testing.T) {
	f, err := NewFleet(Spec{Slices: 1, Members: 3, Drivers: 2, Node: SmallNode, Seed: 4})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	d := newDay(ctx, f, rand.New(rand.NewPCG(4, 4)))
	var clients sync.WaitGroup
	for i := range 24 {
		s := newSession(f, d.callLog, i, 0)
		clients.Go(func() { s.run(ctx, 40*time.Millisecond) })
	}
	time.Sleep(500 * time.Millisecond)
	cold := f.Groups[0].Nodes()[2]
	cold.Crash()
	time.Sleep(300 * time.Millisecond)
	d.restart(cold)
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	f.Close()
	r := Judge(f, d.callLog.Calls(), 50*time.Millisecond)[3]
	if len(r.Broken) > 0 || r.Chances < 10 {
		t.Errorf("%+v", r)
	}
}
