package position

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const maxID = 8

func drawSet(t *rapid.T, name string) Transactions {
	return Transactions{Below: rapid.Uint64Range(0, maxID).Draw(t, name+" below"), Except: rapid.Uint64Range(0, maxID).Draw(t, name+" except")}.normal()
}

// TestTransactions compares each operation on sets with its definition on single transactions.
func TestTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSet(t, "a"), drawSet(t, "b"), drawSet(t, "c")
		union, meet, covers, same := a.Union(b), a.Intersect(b), true, true
		for id := uint64(0); id <= maxID; id++ {
			if a.Has(id) || b.Has(id) {
				if !union.Has(id) {
					t.Fatalf("the union of %v and %v is %v, without %d", a, b, union, id)
				}
			}
			if meet.Has(id) && !(a.Has(id) && b.Has(id)) {
				t.Fatalf("the intersection of %v and %v is %v, with %d", a, b, meet, id)
			}
			covers = covers && (a.Has(id) || !b.Has(id))
			same = same && a.Has(id) == b.Has(id)
		}
		if a.Covers(b) != covers {
			t.Fatalf("%v covers %v is reported as %v", a, b, a.Covers(b))
		}
		if same && a != b {
			t.Fatalf("%v and %v are the same set but not equal", a, b)
		}
		if c.Covers(a) && c.Covers(b) && !c.Covers(union) {
			t.Fatalf("%v covers %v and %v but not their union %v", c, a, b, union)
		}
		if a.Covers(c) && b.Covers(c) && !meet.Covers(c) {
			t.Fatalf("%v and %v cover %v, but their intersection %v does not", a, b, c, meet)
		}
	})
}

// TestSnapshots: the same text of a snapshot means different sets on a primary and on a replica.
func TestSnapshots(t *testing.T) {
	for _, c := range []struct {
		text        string
		over, shown Transactions
	}{
		{"20:20:", Transactions{Below: 20}, Transactions{Below: 20}},
		{"10:20:10", Transactions{Below: 20, Except: 10}, Transactions{Below: 20, Except: 10}},
		{"10:20:10,14,15", Transactions{Below: 14, Except: 10}, Transactions{Below: 20, Except: 10}},
		{"10:12:10,11", Transactions{Below: 10}, Transactions{Below: 12, Except: 10}},
		{"10:20:15,10", Transactions{Below: 15, Except: 10}, Transactions{Below: 20, Except: 10}},
	} {
		s, err := ParseSnapshot(c.text)
		if err != nil || s.Finished() != c.over || s.MaybeVisible() != c.shown {
			t.Errorf("%s: %v, finished %v, maybe visible %v", c.text, err, s.Finished(), s.MaybeVisible())
		}
	}
	for text, want := range map[string]string{"20": "is not a snapshot", "a:20:": "transaction id \"a\"", "10:20:x": "\"x\"",
		"10:20:11,": "", "20:10:": "has xmin above xmax", "10:b:": "\"b\""} {
		if _, err := ParseSnapshot(text); want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
