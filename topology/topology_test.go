package topology

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestData replays the claims of testdata/*.txt and checks the verdicts. A line "claim ..." or "fence ..." is input,
// "is ..." states the expected verdict and "node ..." the expected status of a node.
func TestData(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 8 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { replay(t, path) })
	}
}

func replay(t *testing.T, path string) {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, now, checks := NewSlice("s"), time.Duration(0), 0
	for n, in := 1, bufio.NewScanner(f); in.Scan(); n++ {
		words := strings.Fields(strings.SplitN(in.Text(), "#", 2)[0])
		if len(words) == 0 {
			continue
		}
		where := fmt.Sprintf("%s:%d", path, n)
		switch rest := words[1:]; words[0] {
		case "claim":
			c := claimOf(t, where, rest)
			now = max(now, c.Received)
			s.Observe(c)
		case "fence", "lift":
			s.Fence(rest[0], words[0] == "fence", now)
		case "forget":
			s.Forget(now)
		case "restart": // only the saved state is left
			st := s.State()
			s = NewSlice("s")
			s.Restore(st)
		case "is":
			checks++
			v := s.Verdict()
			got := fmt.Sprintf("term %d primary %s", v.Term, map[bool]string{true: "-", false: v.Primary}[v.Primary == ""])
			if want := strings.Join(rest, " "); got != want {
				t.Errorf("%s: %s, want %s (%s)", where, got, want, v.Evidence)
			}
		case "node":
			checks++
			if got, want := s.Status(rest[0]).String(), strings.Join(rest[1:], " "); got != want {
				t.Errorf("%s: %s is %s, want %s", where, rest[0], got, want)
			}
		default:
			t.Fatalf("%s: unknown line %q", where, words[0])
		}
	}
	if checks == 0 {
		t.Errorf("%s checks nothing", path)
	}
}

// claimOf parses NODE ROLE TIMELINE:LSN @SENT [system N] [follows NODE]; times are in milliseconds.
func claimOf(t *testing.T, where string, words []string) Claim {
	t.Helper()
	c := Claim{Node: words[0], Role: map[string]Role{"primary": Primary, "replica": Replica}[words[1]], System: 7}
	var sent int
	if _, err := fmt.Sscanf(words[2]+" "+words[3], "%d:%d @%d", &c.Timeline, &c.LSN, &sent); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	c.Sent, c.Received = time.Duration(sent)*time.Millisecond, time.Duration(sent+1)*time.Millisecond
	for i := 4; i+1 < len(words); i += 2 {
		switch words[i] {
		case "system":
			fmt.Sscan(words[i+1], &c.System)
		case "follows":
			c.Upstream = words[i+1]
		default:
			t.Fatalf("%s: %q", where, words[i])
		}
	}
	return c
}

func drawClaims(t *rapid.T) []Claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
		nodes := []string{"a", "b", "c", "d"}
		c := Claim{Node: rapid.SampledFrom(nodes).Draw(t, "node"), Role: Role(rapid.IntRange(0, 1).Draw(t, "role")), Timeline: uint32(rapid.IntRange(0, 4).Draw(t, "timeline")),
			LSN: uint64(rapid.IntRange(0, 9).Draw(t, "lsn")), System: uint64(rapid.IntRange(0, 2).Draw(t, "system")), Sent: time.Duration(rapid.IntRange(0, 30).Draw(t, "sent")) * time.Second,
			Upstream: rapid.SampledFrom(append(nodes, "")).Draw(t, "upstream")}
		c.Received = c.Sent + time.Second
		return c
	}), 0, 30).Draw(t, "claims")
}

// TestAnyOrder: any order and repetition of the same claims ends in the same verdict, statuses and ends of timelines.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		one := NewSlice("s")
		for _, c := range claims {
			one.Observe(c)
		}
		other := NewSlice("s")
		for _, c := range append(rapid.Permutation(claims).Draw(t, "order"), claims[:len(claims)/2]...) {
			other.Observe(c)
		}
		a, b := one.Verdict(), other.Verdict()
		if !a.same(&b) || fmt.Sprint(one.ends) != fmt.Sprint(other.ends) {
			t.Fatalf("%+v and %+v", a, b)
		}
		for _, n := range []string{"a", "b", "c", "d"} {
			if one.Status(n) != other.Status(n) {
				t.Fatalf("%s is %v and %v", n, one.Status(n), other.Status(n))
			}
		}
	})
}

// TestTermNeverDecreases: within a cluster the term never decreases; the primary claims the term, belongs to the
// cluster and is not fenced; and a state restored after a restart keeps the term and names no primary.
func TestTermNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSlice("s")
		was := map[uint64]uint32{}
		for _, c := range drawClaims(t) {
			if c.Node == "d" && c.LSN == 3 {
				s.Fence("d", c.Sent%2 == 0, c.Received)
			}
			s.Observe(c)
			v := s.Verdict()
			if v.Term < was[v.System] {
				t.Fatalf("term %d after %d", v.Term, was[v.System])
			}
			was[v.System] = v.Term
			if p := v.Primary; p != "" {
				m := s.members[p]
				if !m.claims || m.latest.Timeline != v.Term || m.fenced || m.foreign(v.System) || s.Status(p) != Incumbent {
					t.Fatalf("%s is accepted as primary: %+v", p, m)
				}
			}
			if slices.Contains(v.Rivals, "") {
				t.Fatal("a rival has no name")
			}
		}
		st := State{Slices: []SliceState{s.State()}}
		text, err := st.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		next := NewSlice("s")
		next.Restore(back.Slices[0])
		if v := next.Verdict(); v.Primary != "" || next.Verdict().Term != s.Verdict().Term {
			t.Fatalf("%+v after %+v", v, s.Verdict())
		}
	})
}

// TestDamagedState: a state that is truncated or has a changed byte is refused.
func TestDamagedState(t *testing.T) {
	st := State{Slices: []SliceState{{Name: "s", Terms: map[uint64]uint32{7: 3}, Fenced: []string{"a"}}}}
	text, err := st.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if _, err := Decode(text[:i]); err == nil {
			t.Errorf("the first %d bytes were accepted", i)
		}
		changed := slices.Clone(text)
		changed[i] ^= 0x20
		if _, err := Decode(changed); err == nil {
			t.Errorf("the state with byte %d changed was accepted", i)
		}
	}
}

// TestHistory: each change is recorded with the claim that caused it, and the number of records is bounded.
func TestHistory(t *testing.T) {
	s := NewSlice("s")
	for i := range uint32(2 * maxRecords) {
		s.Observe(Claim{Node: "a", Role: Primary, Timeline: i + 1, LSN: 5, Sent: time.Duration(i) * time.Second, Received: time.Duration(i) * time.Second})
	}
	h := s.History()
	if len(h) != maxRecords || h[len(h)-1].Number != 2*maxRecords || h[len(h)-1].Claim.Timeline != 2*maxRecords {
		t.Errorf("%d records, last %+v", len(h), h[len(h)-1])
	}
	if l, ok := s.LossBeyond(3, 4); !ok || l.To != 5 || l.Node != "a" {
		t.Errorf("%+v %v", l, ok)
	}
	if _, ok := s.LossBeyond(3, 5); ok {
		t.Error("a loss is reported beyond the last reported position")
	}
}
