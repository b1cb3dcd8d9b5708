package record

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Query selects rows and groups them by fields.
type Query struct {
	Kind   string // kind of the rows; KindRequest if empty
	By     []string
	Where  []Condition
	Window time.Duration // length of the windows of By "window"; 1 s if 0
	Limit  int           // keep only this many groups, those with the most rows; 0 for all
}

// Condition matches rows whose field is (or with Not, is not) one of Values.
type Condition struct {
	Field  string
	Not    bool
	Values []string
}

// fields are the columns that rows can be grouped and filtered by.
var fields = map[string]func(*Row) string{
	"arm":     func(r *Row) string { return r.Arm },
	"repeat":  func(r *Row) string { return strconv.Itoa(int(r.Repeat)) },
	"request": func(r *Row) string { return r.Request },
	"class":   func(r *Row) string { return r.Class },
	"slice":   func(r *Row) string { return r.Slice },
	"session": func(r *Row) string { return r.Session },
	"driver":  func(r *Row) string { return r.Driver },
	"node":    func(r *Row) string { return r.Node },
	"hall":    func(r *Row) string { return r.Zone },
	"role":    func(r *Row) string { return r.Role },
	"outcome": func(r *Row) string { return r.Outcome },
	"cause":   func(r *Row) string { return r.Cause },
	"trouble": func(r *Row) string { return r.Trouble },
	"broken":  func(r *Row) string { return r.Broken },
	"attempt": func(r *Row) string { return strconv.Itoa(int(r.Attempt)) },
}

// Fields returns the names that rows can be grouped by, in order: the fields of a condition and "window".
func Fields() []string { return slices.Sorted(maps.Keys(groupFields())) }

func groupFields() map[string]bool {
	all := map[string]bool{"window": true}
	for name := range fields {
		all[name] = true
	}
	return all
}

// ParseCondition parses a condition like class=write,post or outcome!=served.
func ParseCondition(text string) (Condition, error) {
	field, values, ok := strings.Cut(text, "=")
	c := Condition{Field: strings.TrimSuffix(field, "!"), Not: strings.HasSuffix(field, "!"), Values: strings.Split(values, ",")}
	if !ok || fields[c.Field] == nil {
		return c, fmt.Errorf("condition %q: want FIELD=VALUE,… or FIELD!=VALUE,… with one of the fields %s", text, strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
	}
	return c, nil
}

func (c *Condition) matches(r *Row) bool {
	return slices.Contains(c.Values, fields[c.Field](r)) != c.Not
}

// Summary holds the totals of one group of rows.
type Summary struct {
	By                      []string
	Rows                    int
	Served, Refused, Failed int
	Broken                  int
	Value                   float64
	Took                    *hdrhistogram.Histogram // latency of served rows, in microseconds
}

// Query runs a query and returns a summary for each group that has rows: ordered by group, or by descending number of rows
// if the limit left groups out. A field that does not exist is an error that lists the fields.
func (r *Recording) Query(q Query) ([]*Summary, error) {
	for _, by := range q.By {
		if !groupFields()[by] {
			return nil, fmt.Errorf("query: cannot group rows by %q; fields are %s", by, strings.Join(Fields(), ", "))
		}
	}
	kind, window := cmp.Or(q.Kind, KindRequest), cmp.Or(q.Window, time.Second)
	groups := map[string]*Summary{}
	err := r.Each(func(row *Row) error {
		if row.Kind != kind || slices.ContainsFunc(q.Where, func(c Condition) bool { return !c.matches(row) }) {
			return nil
		}
		key := make([]string, len(q.By))
		for i, by := range q.By {
			if by == "window" {
				key[i] = fmt.Sprintf("%9.2fs", (time.Duration(row.Sent) / window * window).Seconds())
			} else {
				key[i] = fields[by](row)
			}
		}
		group := strings.Join(key, "\x00")
		if groups[group] == nil {
			groups[group] = &Summary{By: key, Took: hdrhistogram.New(1, 600_000_000, 3)}
		}
		groups[group].add(row)
		return nil
	})
	if err != nil {
		return nil, err
	}
	all := slices.SortedFunc(maps.Values(groups), func(a, b *Summary) int { return slices.Compare(a.By, b.By) })
	if q.Limit > 0 && len(all) > q.Limit {
		slices.SortStableFunc(all, func(a, b *Summary) int { return b.Rows - a.Rows })
		all = all[:q.Limit]
	}
	return all, nil
}

func (l *Summary) add(r *Row) {
	l.Rows++
	l.Value += r.Value
	if r.Broken != "" {
		l.Broken++
	}
	switch r.Outcome {
	case "served":
		l.Served++
		l.Took.RecordValue(max(1, r.Took().Microseconds()))
	case "refused":
		l.Refused++
	default:
		l.Failed++
	}
}

// WriteSummaries writes summaries as a table.
func WriteSummaries(out io.Writer, q Query, groups []*Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, by := range q.By {
		fmt.Fprintf(w, "%s\t", by)
	}
	fmt.Fprintln(w, "rows\tserved\trefused\tother\tworth\tp50\tp99\tmax\tbroken\t")
	for _, l := range groups {
		for _, by := range l.By {
			fmt.Fprintf(w, "%s\t", cmp.Or(by, "-"))
		}
		n := float64(l.Rows)
		fmt.Fprintf(w, "%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.0f\t", l.Rows, 100*float64(l.Served)/n, 100*float64(l.Refused)/n, 100*float64(l.Failed)/n, l.Value)
		for _, micros := range []int64{l.Took.ValueAtQuantile(50), l.Took.ValueAtQuantile(99), l.Took.Max()} {
			if l.Served == 0 {
				fmt.Fprint(w, "-\t")
				continue
			}
			fmt.Fprintf(w, "%v\t", (time.Duration(micros) * time.Microsecond).Round(10*time.Microsecond))
		}
		fmt.Fprintf(w, "%d\t\n", l.Broken)
	}
	w.Flush()
}
