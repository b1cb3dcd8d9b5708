package position

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history is the actual log that a clock observes parts of: commits, and forks by promotions.
type history struct {
	commits    []commit
	promotions []promotion
	end        time.Duration
}

type commit struct {
	at   Position
	when time.Duration
}

type promotion struct {
	at   Position // start of the new timeline
	when time.Duration
}

// drawHistory generates a history of one to three timelines; a promotion may lose the last commits before it.
func drawHistory(t *rapid.T) history {
	var h history
	now, lsn := time.Duration(0), uint64(100)
	for tl := uint32(1); tl <= uint32(rapid.IntRange(1, 3).Draw(t, "timelines")); tl++ {
		h.promotions = append(h.promotions, promotion{Position{Timeline: tl, LSN: lsn}, now})
		fork := lsn
		for range rapid.IntRange(1, 12).Draw(t, "commits") {
			now += time.Duration(rapid.IntRange(1, 50).Draw(t, "gap"))
			lsn += uint64(rapid.IntRange(1, 30).Draw(t, "bytes"))
			h.commits = append(h.commits, commit{Position{Timeline: tl, LSN: lsn}, now})
		}
		if rapid.Bool().Draw(t, "loses") && lsn > fork {
			lsn = fork + (lsn-fork)/2 // a promotion that lost commits
		}
		now += 10
	}
	h.end = now
	return h
}

// positionAt returns the position of a timeline's log at a time.
func (h history) positionAt(tl uint32, when time.Duration) Position {
	p := h.promotions[tl-1].at
	for _, c := range h.commits {
		if c.at.Timeline == tl && c.when <= when {
			p = c.at
		}
	}
	return p
}

// survives reports whether a commit is in the history of a timeline.
func (h history) survives(c commit, tl uint32) bool {
	for next := c.at.Timeline; next < tl; next++ {
		if c.at.LSN > h.promotions[next].at.LSN {
			return false
		}
	}
	return c.at.Timeline <= tl
}

func (h history) timelineAt(when time.Duration) uint32 {
	tl := uint32(1)
	for i, p := range h.promotions {
		if p.when <= when {
			tl = uint32(i + 1)
		}
	}
	return tl
}

// TestClockBoundsAreSafe: no order of observations makes a replica seem newer, or a commit earlier, than it is.
func TestClockBoundsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		type observation struct {
			p              Position
			sent, received time.Duration
		}
		var all []observation
		last := uint32(len(h.promotions))
		for range rapid.IntRange(1, 40).Draw(t, "observations") {
			at := time.Duration(rapid.IntRange(0, int(h.end)).Draw(t, "at"))
			sent := at - time.Duration(rapid.IntRange(0, 20).Draw(t, "out"))
			received := at + time.Duration(rapid.IntRange(0, 20).Draw(t, "back"))
			all = append(all, observation{h.positionAt(h.timelineAt(at), at), sent, received})
		}
		var c Clock
		for _, i := range rapid.Permutation(seq(len(all))).Draw(t, "order") {
			c.ObservePrimary(all[i].p, all[i].sent, all[i].received)
		}
		if rapid.Bool().Draw(t, "last timeline seen") {
			c.ObserveTimeline(last)
		}
		tl := c.Timeline()
		for _, p := range h.promotions[:tl] {
			member := p.at
			for _, add := range []uint64{0, 1, 7, 50, 1000} {
				member.LSN = p.at.LSN + add
				by, ok := c.AppliedBy(member)
				if !ok {
					continue
				}
				for _, com := range h.commits {
					if com.when < by && h.survives(com, tl) && com.at.LSN > member.LSN {
						t.Fatalf("member at %v is proven up to %v but lacks commit %v of %v", member, by, com.at, com.when)
					}
				}
			}
		}
		for _, com := range h.commits {
			if by, ok := c.CommittedBy(com.at); ok && by < com.when && h.survives(com, tl) {
				t.Fatalf("commit %v of %v is bounded by %v", com.at, com.when, by)
			}
		}
	})
}

func seq(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

// TestOrderDoesNotMatter: the bounds on one timeline depend on the observations, not on their order.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		n := rapid.IntRange(1, 30).Draw(t, "observations")
		var a, b Clock
		at := rapid.SliceOfN(rapid.IntRange(0, int(h.end)), n, n).Draw(t, "at")
		for _, i := range seq(n) {
			when := time.Duration(at[i])
			a.ObservePrimary(h.positionAt(1, when), when-3, when+5)
		}
		for _, i := range rapid.Permutation(seq(n)).Draw(t, "order") {
			when := time.Duration(at[i])
			b.ObservePrimary(h.positionAt(1, when), when-3, when+5)
		}
		for lsn := uint64(90); lsn < 600; lsn += 7 {
			p := Position{Timeline: 1, LSN: lsn}
			a1, aok := a.AppliedBy(p)
			b1, bok := b.AppliedBy(p)
			a2, aok2 := a.CommittedBy(p)
			b2, bok2 := b.CommittedBy(p)
			if a1 != b1 || a2 != b2 || aok != bok || aok2 != bok2 {
				t.Fatalf("at %v the bounds are %v %v in order, %v %v permuted", p, a1, a2, b1, b2)
			}
		}
	})
}

func TestUnknownRequiresThePresent(t *testing.T) {
	var c Clock
	c.ObservePrimary(Position{Timeline: 1, LSN: 100}, 10, 12)
	if _, ok := c.CommittedBy(Position{Timeline: 1, LSN: UnknownLSN}); ok {
		t.Error("the time of a commit at an unknown position was bounded")
	}
	if _, ok := c.CommittedBy(Position{Timeline: 2, LSN: 50}); ok {
		t.Error("the time of a commit on an unseen timeline was bounded")
	}
	c.ObservePrimary(Position{Timeline: 2, LSN: 110}, 30, 33)
	if by, ok := c.CommittedBy(Position{Timeline: 1, LSN: UnknownLSN}); !ok || by != 33 {
		t.Errorf("after the promotion the commit is bounded by %v, %v, want 33", by, ok)
	}
	if c.ObservePrimary(Position{Timeline: 1, LSN: 500}, 40, 41) {
		t.Error("an observation of a superseded primary was recorded")
	}
	if _, ok := c.AppliedBy(Position{Timeline: 1, LSN: 500}); ok {
		t.Error("a member of the superseded timeline counts as proven")
	}
}

func TestPointsAreBounded(t *testing.T) {
	var c Clock
	for i := range 20 * maxPoints {
		c.ObservePrimary(Position{Timeline: 1, LSN: uint64(i)}, time.Duration(i), time.Duration(i+1))
	}
	if len(c.lower) > maxPoints || len(c.upper) > maxPoints {
		t.Fatalf("%d and %d points kept", len(c.lower), len(c.upper))
	}
	if by, _ := c.AppliedBy(Position{Timeline: 1, LSN: 20*maxPoints - 1}); by != 20*maxPoints-1 {
		t.Errorf("the newest bound is %v", by)
	}
}

func TestParseLSN(t *testing.T) {
	for text, want := range map[string]uint64{"0/0": 0, "16/B374D848": 0x16b374d848, "FFFFFFFF/FFFFFFFF": UnknownLSN} {
		if got, err := ParseLSN(text); err != nil || got != want {
			t.Errorf("%s: %x, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "/", "1", "1/", "G/1", "100000000/0", "1/2/3", "-1/2"} {
		if _, err := ParseLSN(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func BenchmarkClock(b *testing.B) {
	var c Clock
	for i := range b.N {
		now := time.Duration(i)
		c.ObservePrimary(Position{Timeline: 1, LSN: uint64(i)}, now, now+3)
		c.AppliedBy(Position{Timeline: 1, LSN: uint64(i) / 2})
	}
}
