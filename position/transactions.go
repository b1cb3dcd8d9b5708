package position

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Transactions is a set of transactions: all below an id, with at most one exception. The ids are PostgreSQL's full
// ones, which include the epoch. The zero Transactions is the empty set. Sets made by the functions of this package are
// in their one normal form, so that equal sets are equal by ==.
type Transactions struct {
	Below  uint64 // first id that is not in the set
	Except uint64 // an id below Below that is not in the set either; 0 for none
}

// AllTransactions has every transaction.
var AllTransactions = Transactions{Below: math.MaxUint64}

// TransactionsBelow has all transactions below an id.
func TransactionsBelow(id uint64) Transactions { return Transactions{Below: id} }

// normal is the set in its normal form.
func (t Transactions) normal() Transactions {
	switch {
	case t.Except == 0 || t.Except >= t.Below:
		return Transactions{Below: t.Below}
	case t.Except == t.Below-1:
		return Transactions{Below: t.Except}
	}
	return t
}

// Normal tells whether the set is in its normal form, as one from elsewhere may not be.
func (t Transactions) Normal() bool { return t == t.normal() }

// Has tells whether a transaction is in the set.
func (t Transactions) Has(id uint64) bool { return id < t.Below && (id != t.Except || id == 0) }

// Covers tells whether every transaction of u is in t.
func (t Transactions) Covers(u Transactions) bool {
	return u.Below <= t.Below && (t.Except == 0 || !u.Has(t.Except))
}

// Union is the set of what is in t or in u.
func (t Transactions) Union(u Transactions) Transactions {
	out := Transactions{Below: max(t.Below, u.Below)}
	switch {
	case t.Except != 0 && !u.Has(t.Except):
		out.Except = t.Except
	case u.Except != 0 && !t.Has(u.Except):
		out.Except = u.Except
	}
	return out.normal()
}

// Intersect is the greatest set of this form that lies in both t and u: where their exceptions differ, it ends below
// the higher one.
func (t Transactions) Intersect(u Transactions) Transactions {
	out := Transactions{Below: min(t.Below, u.Below), Except: t.Except}
	switch {
	case t.Except == 0 || t.Except >= out.Below:
		out.Except = u.Except
	case u.Except != 0 && u.Except != t.Except:
		out.Below, out.Except = min(out.Below, max(t.Except, u.Except)), min(t.Except, u.Except)
	}
	return out.normal()
}

// Compare sorts sets; it is not the order of Covers.
func (t Transactions) Compare(u Transactions) int {
	return cmp.Or(cmp.Compare(t.Below, u.Below), cmp.Compare(t.Except, u.Except))
}

// Snapshot is what PostgreSQL's pg_current_snapshot tells.
type Snapshot struct {
	Oldest uint64   // xmin: all transactions below it are over
	Next   uint64   // xmax: no transaction at or above it was over
	InUse  []uint64 // xip_list: transactions between these that were running. A server in recovery tells none.
}

// ParseSnapshot reads PostgreSQL's text form of a snapshot, "xmin:xmax:xip_list".
func ParseSnapshot(text string) (s Snapshot, err error) {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return s, fmt.Errorf("%q is no snapshot; one looks like 10:20:10,14,15", text)
	}
	if s.Oldest, err = parseID(fields[0]); err != nil {
		return s, err
	}
	if s.Next, err = parseID(fields[1]); err != nil {
		return s, err
	}
	if s.Oldest > s.Next {
		return s, fmt.Errorf("snapshot %q ends before it begins", text)
	}
	for list := fields[2]; list != ""; {
		var one string
		one, list, _ = strings.Cut(list, ",")
		id, err := parseID(one)
		if err != nil {
			return s, err
		}
		s.InUse = append(s.InUse, id)
	}
	slices.Sort(s.InUse)
	return s, nil
}

func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("transaction id %q: %w", text, err)
	}
	return id, nil
}

// Over has transactions that are over and shown by the primary that told the snapshot: all but the oldest that runs,
// up to the next one that runs.
func (s *Snapshot) Over() Transactions {
	out := Transactions{Below: s.Next}
	if len(s.InUse) > 0 {
		out.Except = s.InUse[0]
	}
	if len(s.InUse) > 1 {
		out.Below = s.InUse[1]
	}
	return out.normal()
}

// Shown has every transaction that the replica which told the snapshot may have shown: all that began before the
// newest that was over, but for the oldest that still ran. The others that ran are not told, and count as shown.
func (s *Snapshot) Shown() Transactions {
	return Transactions{Below: s.Next, Except: s.Oldest}.normal()
}
