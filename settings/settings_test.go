package settings

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// full sets every directive to a value other than its default.
const full = `
hall reykjavik-a "hafnarfjordur b" # two halls
here "hafnarfjordur b"
routers 3
round 2ms
listen { 
    grpc 127.0.0.1:1
    metrics [::1]:2
}
drain {
    grace 400ms
    only-listed on
}
cold {
    from 12.5%
    ramp 9s
    tip 2.5
    fall 2s
}
attempts {
    limit 4
    parallel on
    withdraw off
    cancel-work on
    dial-timeout 100ms
    start-within 700ms
}
polls {
    on off
    timeout 300ms
    clock-age 70ms
}
answers {
    margin 10ms
    retry-after off
    max-retry-after 3s
}
replicas {
    behind wait
    catch-up 90ms
    positions off
    driver-sessions on
    origin 1s
}
list {
    ask on
    ask-within 4s
    roles on
}
pool {
    max-open 100
    size 9
    idle-close 1m
    linger 2s
    max-message 1MiB
    max-result 2MiB
    database "a \"b\" \\ c"
    user u
    password-file /run/p
}
tokens {
    keys /tmp/k
    bind-session on
    session-memory 1MiB
    history on
}
stop within 3s
state {
    dir /tmp/x
    control /tmp/y
}
membership {
    most-lost 10%
    confirm-after 1m
    least 2
    together 3
    step 1s
    own-pace 5
    flap-window 2m
    flap-limit 4
    flap-hold 3s
}
admission {
    on off
    start 32
    least 4
    retries 10%
    late 30ms
    max-bytes 64MiB
    answer-bytes 32MiB
    memory 512MiB
    streams 9000
    max-streams 500
    stall 3s
}
log {
    level debug
    format json
    repeat 1s
}
class own-read {
    effect safe
    need session
    target 250ms
    deadline 1s
    worth 2
    late-worth 25%
    without-token refuse
}
class read {
    effect safe
    need bounded 200ms
    target 250ms
    deadline 1s
}
class post {
    effect keyed
    scope hall
    window 2s
    need write
    target 300ms
    deadline 2s
}
node db1 127.0.0.1:5501 slice=news hall=reykjavik-a
node "db 2" [::1]:5502 "slice=a b" "hall=hafnarfjordur b" state=draining started=2026-03-01T06:30:00Z
`

func parse(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := Parse("test.conf", text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestEveryFieldCanBeSet sets each directive and checks that each field of Settings and of balance.Config changes. It
// guards against a field without a directive.
func TestEveryFieldCanBeSet(t *testing.T) {
	s := parse(t, full)
	defaults := Defaults()
	got, def := reflect.ValueOf(s.Router()), reflect.ValueOf(defaults.Router())
	for i := range got.NumField() {
		if reflect.DeepEqual(got.Field(i).Interface(), def.Field(i).Interface()) {
			t.Errorf("balance.Config.%s can't be set", got.Type().Field(i).Name)
		}
	}
	own, d := reflect.ValueOf(*s), reflect.ValueOf(*defaults)
	for i := range own.NumField() {
		if own.Type().Field(i).Name == "Inventory" {
			continue // excluded by node directives; TestInventory covers it
		}
		if reflect.DeepEqual(own.Field(i).Interface(), d.Field(i).Interface()) {
			t.Errorf("Settings.%s can't be set", own.Type().Field(i).Name)
		}
	}
}

func TestShowAndParse(t *testing.T) {
	for _, text := range []string{full, "class a {\neffect unsafe\nneed write\ntarget 1s\ndeadline 1s\n}\n"} {
		s := parse(t, text)
		var shown strings.Builder
		if err := s.Show(&shown); err != nil {
			t.Fatal(err)
		}
		back := parse(t, shown.String())
		for i := range back.Nodes {
			back.Nodes[i].Line = s.Nodes[i].Line
		}
		if !reflect.DeepEqual(s, back) {
			t.Errorf("settings differ after Show and Parse:\n%+v\n%+v\n%s", s, back, shown.String())
		}
	}
}

func TestInventory(t *testing.T) {
	const class = "class a {\neffect unsafe\nneed write\ntarget 1s\ndeadline 1s\n}\n"
	s := parse(t, class+"inventory /etc/nodes \"b c.csv\"\n")
	if !reflect.DeepEqual(s.Inventory, []string{"/etc/nodes", "b c.csv"}) {
		t.Errorf("%q", s.Inventory)
	}
	var shown strings.Builder
	s.Show(&shown)
	if back := parse(t, shown.String()); !reflect.DeepEqual(back.Inventory, s.Inventory) {
		t.Errorf("read back as %q", back.Inventory)
	}
	if _, err := Parse("f", class+"inventory x\nnode a 127.0.0.1:1 slice=s\n"); err == nil || !strings.Contains(err.Error(), "from the inventory on line 7") {
		t.Errorf("nodes with an inventory: %v", err)
	}
}

// TestMistakes checks the position and the message of each mistake.
func TestMistakes(t *testing.T) {
	const class = "class a {\neffect safe\nneed any\ntarget 1s\ndeadline 2s\n}\n"
	for _, c := range []struct{ text, want string }{
		{"", "test.conf:1:1: no class is defined"},
		{class + "lisen grpc 127.0.0.1:1", `7:1: unknown directive "lisen"; did you mean "listen"?`},
		{class + "listen grpcc 127.0.0.1:1", `7:8: unknown directive "grpcc"; did you mean "grpc"?`},
		{class + "drain grace 500", `7:13: drain grace: "500" has no unit`},
		{class + "drain grace fast", `7:13: drain grace: "fast" is not a duration`},
		{class + "drain grace -1s", `is negative; write 0s or more`},
		{class + "cold from 0.2", `7:11: cold from: "0.2" is not a percentage`},
		{class + "pool max-message 64", `"64" is not a size`},
		{class + "pool size 0", `7:11: pool size: 0 is not in the range 1 to 100000`},
		{class + "attempts parallel yes", `"yes" is not a valid value`},
		{class + "replicas behind rejct", `did you mean "reject"?`},
		{class + "round 2ms\nround 3ms", `8:1: round is already set on line 7`},
		{class + "drain {\ngrace 1s\n", `7:7: this block is never closed`},
		{class + "}", `7:1: closing brace without a block`},
		{class + "listen { grpc 127.0.0.1:1 }", `misplaced brace`},
		{class + "pool user \"abc", `7:11: this quote is never closed`},
		{class + "pool user a b", `7:13: user takes one value`},
		{class + "round", `7:1: round needs a value`},
		{class + "round {\n}", `round takes a value, not a block`},
		{class + "listen grpc :99", `has no host`},
		{class + "listen grpc 127.0.0.1:99999", `port "99999"`},
		{class + "hall x", `7:6: halls are listed, but not the one that this driver runs in`},
		{class + "hall north south\nhere noth", `8:1: hall "noth" is not listed by a hall directive; did you mean "north"?`},
		{class + "node a 127.0.0.1:1", `7:6: node "a" has no slice=NAME`},
		{class + "node a 127.0.0.1:1 slice=s\nnode a 127.0.0.1:2 slice=s", `8:6: node "a" is already defined on line 7`},
		{class + "node a 127.0.0.1:1 slice=s\nnode b 127.0.0.1:1 slice=s", `8:8: address 127.0.0.1:1 is already used by node "a" on line 7`},
		{class + "node a 127.0.0.1:1 slce=s", `7:20: unknown directive "slce"; did you mean "slice"?`},
		{class + "node a 127.0.0.1:1 slice=s state=redy", `did you mean "ready"?`},
		{class + "node a 127.0.0.1:1 slice=s started=yesterday", `"yesterday" is not an RFC 3339 time`},
		{class + class, `7:7: class "a" is already defined on line 1`},
		{"class a {\n}", `1:7: class "a" has no deadline`},
		{"class a {\neffect keyed\nneed write\ntarget 1s\ndeadline 2s\n}", `is keyed and has no window`},
		{"class a {\neffect safe\nneed write\ntarget 1s\ndeadline 2s\n}", `'need write' goes with 'effect keyed' or 'effect unsafe', not with 'effect safe'`},
		{"class a {\neffect safe\nneed bounded\ntarget 1s\ndeadline 2s\n}", `3:6: need bounded requires a maximum age`},
		{"class a {\neffect safe\nneed any\ntarget 3s\ndeadline 2s\n}", `deadline 2s is shorter than its target 3s`},
		{"class a {\neffect safe\nneed any\ntarget 3ms\ndeadline 20ms\n}", `must be longer than twice the answer margin`},
		{"class a {\nefect safe\n}", `2:1: unknown directive "efect"; did you mean "effect"?`},
		{"caf\xe9", "test.conf:1:1: not UTF-8 text"},
		{"a\nb\x00", "test.conf:2:1: not UTF-8 text"},
	} {
		_, err := Parse("test.conf", c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q:\ngot  %v\nwant %s", c.text, err, c.want)
		}
	}
}

// TestAllMistakesAtOnce checks that one mistake does not hide the others.
func TestAllMistakesAtOnce(t *testing.T) {
	_, err := Parse("f", "rond 1ms\nclass a {\neffect maybe\nneed never\n}\ndrain grace 3\n")
	problems, ok := err.(Problems)
	if !ok || len(problems) < 6 {
		t.Fatalf("%v", err)
	}
	for i := 1; i < len(problems); i++ {
		if problems[i].Line < problems[i-1].Line {
			t.Errorf("out of order: %v", problems)
		}
	}
}

// TestParseAnyText parses random sequences of words from a settings file. Parse must return either settings or an
// error, and every problem must lie within the text.
func TestParseAnyText(t *testing.T) {
	pieces := append(strings.Fields(full), "{", "}", "\n", "\n", "\"", "#", "\\", "=", "\r\n", "\t")
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 60).Draw(t, "pieces"), " ")
		s, err := Parse("f", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		problems, _ := err.(Problems)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("%q: position of a problem is outside the text: %v", text, p)
			}
		}
	})
}
