package history

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
)

// parse parses a history with lines "log x=1 y=2 x=3!" (! for lost) and "ID SESSION r|w KEY VALUE BEGIN END OPTIONS".
// VALUE is "-" for none; options are covered=A,B fresh bound=N unknown refused excused. Times are in milliseconds.
func parse(t testing.TB, text string) *History {
	h := &History{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		w := strings.Fields(line)
		if w[0] == "log" {
			for _, v := range w[1:] {
				key, value, _ := strings.Cut(v, "=")
				h.Versions = append(h.Versions, Version{Slice: "s", Key: key, Value: strings.TrimSuffix(value, "!"), Lost: strings.HasSuffix(value, "!")})
			}
			continue
		}
		begin, err1 := strconv.Atoi(w[5])
		end, err2 := strconv.Atoi(w[6])
		if err1 != nil || err2 != nil {
			t.Fatalf("%q: %v, %v", line, err1, err2)
		}
		op := Op{ID: w[0], Session: w[1], Slice: "s", Key: w[3], Value: strings.Trim(w[4], "-"), Begin: time.Duration(begin) * time.Millisecond,
			End: time.Duration(end) * time.Millisecond}
		if w[2] == "w" {
			op.Kind = Write
		}
		for _, o := range w[7:] {
			name, value, _ := strings.Cut(o, "=")
			switch name {
			case "covered":
				op.Covered = strings.Split(value, ",")
			case "fresh":
				op.Fresh = true
			case "bound":
				n, _ := strconv.Atoi(value)
				op.Bound = time.Duration(n) * time.Millisecond
			case "unknown":
				op.Outcome = Unknown
			case "refused":
				op.Outcome = Refused
			case "excused":
				op.Excused = true
			default:
				t.Fatalf("%q: option %q", line, o)
			}
		}
		h.Ops = append(h.Ops, op)
	}
	return h
}

// TestPlanted checks that each violation is found by its rule and reported with only the operations that cause it.
func TestPlanted(t *testing.T) {
	for _, c := range []struct {
		name  string
		rule  int
		shown string // ids of the operations in the violation
		text  string
	}{
		{"own write missed", ReadYourWrites, "a b", `
			log x=1
			a s w x 1 0 5
			b s r x - 6 9 covered=a`},
		{"own write missed after other reads", ReadYourWrites, "a d", `
			log x=1 y=2
			a s w x 1 0 5
			b s r y - 6 9 covered=a
			c s r y - 10 11 covered=b
			d s r x - 12 14 covered=c`},
		{"an older value after a newer one", MonotonicReads, "w1 w2 a b", `
			log x=1 x=2
			w1 u w x 1 0 5
			w2 u w x 2 6 9
			a s r x 2 10 12
			b s r x 1 13 15 covered=a`},
		{"nothing after a value", MonotonicReads, "w1 a b", `
			log x=1
			w1 u w x 1 0 5
			a s r x 1 4 6
			b s r x - 7 8 covered=a`},
		{"back in time with the end of the write unknown", MonotonicReads, "w1 a b", `
			log x=1
			w1 u w x 1 0 500 unknown
			a s r x 1 4 6
			b s r x - 7 8 covered=a`},
		{"own writes out of order", MonotonicWrites, "a b", `
			log x=2 x=1
			a s w x 1 0 5
			b s w x 2 6 9 covered=a`},
		{"a write before what its client had read", WritesFollowReads, "w a b", `
			log x=2 x=1
			w u w x 1 0 5
			a s r x 1 4 6 
			b s w x 2 7 9 covered=a`},
		{"a reply without what it answers", WritesFollowReads, "q ra rw r b", `
			log x=1 y=2
			q u w x 1 0 5
			ra v r x 1 6 7
			rw v w y 2 8 9 covered=ra
			r s r y 2 10 11
			b s r x - 12 13 covered=r`},
		{"a reply to a reply", WritesFollowReads, "w1 a1 a2 b1 b2 c1 c2", `
			log x=1 y=2 z=3
			w1 u w x 1 0 5
			a1 v r x 1 6 7
			a2 v w y 2 8 9 covered=a1
			b1 q r y 2 10 11
			b2 q w z 3 12 13 covered=b1
			c1 s r z 3 14 15
			c2 s r x - 16 17 covered=c1`},
		{"read that misses what another session's token covers", CausalOrder, "w a b", `
			log x=1
			w u w x 1 0 5
			a v r x 1 6 7
			b s r x - 8 9 covered=a`},
		{"read that misses a write covered by another session's token", CausalOrder, "w b", `
			log x=1
			w u w x 1 0 5
			b s r x - 8 9 covered=w`},
		{"two sessions swap tokens", CausalOrder, "w1 a2", `
			log x=1 y=2
			w1 a w x 1 0 5
			w2 b w y 2 0 5
			a2 b r x - 6 8 covered=w2,w1
			b2 a r y 2 6 8 covered=w1,w2`},
		{"older than its bound", BoundedStaleness, "w1 b", `
			log x=1
			w1 u w x 1 0 5
			b s r x - 206 209 bound=200`},
		{"an older value than the bound allows", BoundedStaleness, "w1 w2 b", `
			log x=1 x=2 x=3
			w1 u w x 1 0 5
			w2 u w x 2 6 9
			w3 u w x 3 200 205
			b s r x 1 306 309 bound=200`},
		{"a fresh read of the past", Linearizable, "w1 w2 b", `
			log x=1 x=2
			w1 u w x 1 0 5
			w2 u w x 2 6 9
			r0 v r x 1 4 6 fresh
			b s r x 1 10 12 fresh
			r1 v r x 2 13 14 fresh`},
		{"a write with unknown outcome that is seen once and then not", Linearizable, "w1 w2 a b", `
			log x=1 x=2
			w1 u w x 1 0 5
			w2 u w x 2 6 9 unknown
			a s r x 2 10 12 fresh
			b v r x 1 13 14 fresh`},
		{"refused and yet done", AnswersKept, "a", `
			log x=1
			a s w x 1 0 5 refused`},
		{"served and never done", AnswersKept, "a", `
			log y=1
			a s w x 2 0 5`},
		{"a value that nobody wrote", AnswersKept, "a", `
			log x=1
			a s r x 7 0 5`},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, r := range Check(parse(t, c.text)) {
				switch {
				case i != c.rule && len(r.Broken) > 0:
					t.Errorf("%s is broken as well: %v", r.Name, r.Broken)
				case i == c.rule && len(r.Broken) != 1:
					t.Errorf("%s is broken %d times", r.Name, len(r.Broken))
				case i == c.rule:
					var ids []string
					for _, op := range r.Broken[0].Ops {
						ids = append(ids, op.ID)
					}
					if got := strings.Join(ids, " "); got != c.shown {
						t.Errorf("shown by %s, want %s\n%v", got, c.shown, &r.Broken[0])
					}
				}
			}
		})
	}
}

// TestNoViolation checks that histories without a violation are accepted.
func TestNoViolation(t *testing.T) {
	for name, text := range map[string]string{
		"without its token": `
			log x=1 x=2
			a s w x 1 0 5
			b s r x - 6 9`,
		"a version lost by a promotion": `
			log x=1! x=2
			a s w x 1 0 5
			b s r x - 6 9 covered=a
			c s r x - 6 9 fresh`,
		"a lost value after one that stays": `
			log x=1 x=2!
			a s w x 1 0 5
			b u w x 2 6 9
			c s r x 2 10 11 covered=a
			d s r x 1 12 13 covered=c`,
		"a first read without a token": `
			log x=1
			a s r x - 6 9`,
		"unknown and never seen": `
			log x=1
			a s w x 1 0 5
			b s w x 2 6 9 unknown covered=a
			c s r x 1 10 12 fresh covered=a
			d s r x 1 13 15 fresh covered=c`,
		"unknown and seen later": `
			log x=1 x=2
			a s w x 1 0 5
			b s w x 2 6 9 unknown covered=a
			c s r x 1 10 12 fresh covered=a
			d s r x 2 13 15 fresh covered=c`,
		"a former primary before any driver was notified": `
			log x=1
			a s w x 1 0 5
			b s r x - 300 301 bound=200 excused
			c s r x - 300 301 fresh excused`,
		"within its bound": `
			log x=1
			a s w x 1 0 5
			b s r x - 204 209 bound=200`,
	} {
		for _, r := range Check(parse(t, text)) {
			if len(r.Broken) > 0 {
				t.Errorf("%s: %s is broken: %v", name, r.Name, &r.Broken[0])
			}
		}
	}
}

// store draws a history of a store that keeps all guarantees: reads return the newest value or, with lag, an older one
// that the session's token allows.
func store(seed uint64, ops, keys, sessions int, lag bool) *History {
	rng := rand.New(rand.NewPCG(seed, 1))
	h := &History{}
	newest := map[string]int{} // key to order
	byKey := map[string][]int{}
	type progress struct{ last, order int } // index of its last operation, and the highest log position it has seen
	all := make([]progress, sessions)
	for s := range all {
		all[s].last = -1
	}
	now := time.Duration(0)
	for i := range ops {
		now += time.Millisecond
		s := rng.IntN(sessions)
		if other := rng.IntN(sessions); rng.IntN(10) == 0 && all[other].order > all[s].order {
			all[s] = all[other]
		}
		op := Op{ID: fmt.Sprintf("o%d", i), Session: fmt.Sprintf("s%d", s), Slice: "s", Key: fmt.Sprintf("k%d", rng.IntN(keys)), Begin: now, End: now + 500*time.Microsecond}
		if all[s].last >= 0 {
			op.Covered = []string{fmt.Sprintf("o%d", all[s].last)}
		}
		switch {
		case rng.IntN(4) == 0:
			op.Kind, op.Value = Write, fmt.Sprintf("v%d", i)
			h.Versions = append(h.Versions, Version{Slice: "s", Key: op.Key, Value: op.Value})
			newest[op.Key] = len(h.Versions)
			byKey[op.Key] = append(byKey[op.Key], len(h.Versions))
			all[s].order = len(h.Versions)
		default:
			at := len(h.Versions)
			if lag && rng.IntN(2) == 0 {
				at = all[s].order + rng.IntN(at-all[s].order+1)
			} else {
				op.Fresh = true
			}
			for _, order := range byKey[op.Key] {
				if order <= at {
					op.Value = h.Versions[order-1].Value
				}
			}
			all[s].order = max(all[s].order, at)
		}
		all[s].last = i
		h.Ops = append(h.Ops, op)
	}
	return h
}

// TestCorrectStore checks that a correct store is accepted, and that a store which serves a session data older than its
// token is not.
func TestCorrectStore(t *testing.T) {
	for seed := range uint64(30) {
		h := store(seed, 400, 5, 6, true)
		for _, r := range Check(h) {
			if len(r.Broken) > 0 {
				t.Fatalf("seed %d: %s: %v", seed, r.Name, &r.Broken[0])
			}
		}
		found := 0
		for i := len(h.Ops) - 1; i > 0; i-- { // such reads return no value, as before the first write
			if op := &h.Ops[i]; op.Kind == Read && !op.Fresh && op.Value != "" && len(op.Covered) > 0 {
				op.Value = ""
				found++
			}
		}
		if Broken(Check(h)) == 0 {
			t.Errorf("seed %d: %d reads of no value were not detected", seed, found)
		}
	}
}

// TestLongHistory checks that over many operations of a correct store the rules have chances and none is broken.
func TestLongHistory(t *testing.T) {
	rules := Check(store(1, 15_000, 100, 200, true))
	if n := Broken(rules); n > 0 {
		t.Errorf("%d violations", n)
	}
	for _, i := range []int{ReadYourWrites, MonotonicReads, WritesFollowReads, CausalOrder, Linearizable} {
		if rules[i].Chances < 100 {
			t.Errorf("%s: %d chances", rules[i].Name, rules[i].Chances)
		}
	}
}

// BenchmarkCheck checks a history of a hundred thousand operations.
//
//	go test ./lab/history -run '^$' -bench Check -benchtime 1x
func BenchmarkCheck(b *testing.B) {
	h := store(1, 100_000, 200, 500, true)
	for b.Loop() {
		if n := Broken(Check(h)); n > 0 {
			b.Fatalf("%d violations", n)
		}
	}
}
