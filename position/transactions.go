package position

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Transactions is a set of transaction ids: all below a bound, with at most one exception. The ids are PostgreSQL's
// 64-bit ones, which include the epoch. The zero Transactions is the empty set. The functions of this package return
// sets in normal form, in which equal sets are equal by ==.
type Transactions struct {
	Below  uint64 // no id from this one on is in the set
	Except uint64 // an id below Below that is not in the set; 0 for none
}

// AllTransactions is the set of all transactions.
var AllTransactions = Transactions{Below: math.MaxUint64}

// TransactionsBelow returns the set of all transactions below an id.
func TransactionsBelow(id uint64) Transactions { return Transactions{Below: id} }

// normal returns the set in normal form.
func (t Transactions) normal() Transactions {
	switch {
	case t.Except == 0 || t.Except >= t.Below:
		return Transactions{Below: t.Below}
	case t.Except == t.Below-1:
		return Transactions{Below: t.Except}
	}
	return t
}

// Normal reports whether the set is in normal form; a decoded one may not be.
func (t Transactions) Normal() bool { return t == t.normal() }

// Has reports whether a transaction is in the set.
func (t Transactions) Has(id uint64) bool { return id < t.Below && (id != t.Except || id == 0) }

// Covers reports whether t contains every transaction of u.
func (t Transactions) Covers(u Transactions) bool {
	return u.Below <= t.Below && (t.Except == 0 || !u.Has(t.Except))
}

// Union returns the set of all transactions in t or in u.
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

// Intersect returns the largest set of this form that t and u both contain: if their exceptions differ, it ends below
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

// Compare returns -1, 0 or 1 in a total order for sorting, which differs from that of Covers.
func (t Transactions) Compare(u Transactions) int {
	return cmp.Or(cmp.Compare(t.Below, u.Below), cmp.Compare(t.Except, u.Except))
}

// Snapshot is the result of PostgreSQL's pg_current_snapshot.
type Snapshot struct {
	Oldest  uint64   // xmin: all transactions below it are finished
	Next    uint64   // xmax: no transaction from it on was finished
	Running []uint64 // xip_list: those running between xmin and xmax, in ascending order; none on a server in recovery
}

// ParseSnapshot parses PostgreSQL's text form of a snapshot, "xmin:xmax:xip_list". It returns an error if the text has
// another form, an id is not a 64-bit decimal number or xmin is above xmax.
func ParseSnapshot(text string) (s Snapshot, err error) {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return s, fmt.Errorf("%q is not a snapshot, want xmin:xmax:xip_list as in 10:20:10,14,15", text)
	}
	if s.Oldest, err = parseID(fields[0]); err != nil {
		return s, err
	}
	if s.Next, err = parseID(fields[1]); err != nil {
		return s, err
	}
	if s.Oldest > s.Next {
		return s, fmt.Errorf("snapshot %q has xmin above xmax", text)
	}
	for list := fields[2]; list != ""; {
		var one string
		one, list, _ = strings.Cut(list, ",")
		id, err := parseID(one)
		if err != nil {
			return s, err
		}
		s.Running = append(s.Running, id)
	}
	slices.Sort(s.Running)
	return s, nil
}

func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("transaction id %q: %w", text, err)
	}
	return id, nil
}

// Finished returns transactions that are finished and visible on the primary that reported the snapshot: all below the
// second oldest running one, or below xmax if fewer run, except the oldest running one.
func (s *Snapshot) Finished() Transactions {
	out := Transactions{Below: s.Next}
	if len(s.Running) > 0 {
		out.Except = s.Running[0]
	}
	if len(s.Running) > 1 {
		out.Below = s.Running[1]
	}
	return out.normal()
}

// MaybeVisible returns every transaction that the replica which reported the snapshot may have shown: all below xmax
// except xmin, the oldest one that was still running. The other running ones are not reported and count as shown.
func (s *Snapshot) MaybeVisible() Transactions {
	return Transactions{Below: s.Next, Except: s.Oldest}.normal()
}
