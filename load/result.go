package load

import (
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

// Outcome is the way a request ended.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Refused            // nothing ran; safe to retry
	Failed             // the request may have run
	Faulty             // error of the statement itself, or request invalid for the driver
	Unanswered         // no answer within the call's deadline, or no connection
	NotSent            // the plan's maximum of calls were in flight
	outcomes   int     = iota
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "faulty", "unanswered", "not sent"}[o]
}

// Tally counts a set of requests by outcome.
type Tally struct {
	Counts  [outcomes]int
	Latency [outcomes]*hdrhistogram.Histogram // from due time to end, in microseconds
	Errors  map[string]int                    // counts by error text, for at most maxErrorTexts texts
}

// maxRecordedMicros is the longest recorded time in microseconds; longer times are recorded as this.
const maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)

func newTally() *Tally {
	t := &Tally{Errors: map[string]int{}}
	for i := range t.Latency {
		t.Latency[i] = hdrhistogram.New(1, maxRecordedMicros, 3)
	}
	return t
}

// maxErrorTexts is the maximum number of error texts counted in a tally; further texts are not counted.
const maxErrorTexts = 50

func (t *Tally) add(o Outcome, took time.Duration, text string) {
	t.Counts[o]++
	t.Latency[o].RecordValue(min(max(1, took.Microseconds()), maxRecordedMicros))
	if text != "" && (t.Errors[text] > 0 || len(t.Errors) < maxErrorTexts) {
		t.Errors[text]++
	}
}

func (t *Tally) sum() (n int) {
	for _, c := range t.Counts {
		n += c
	}
	return n
}

func (t *Tally) share(o Outcome) float64 { return float64(t.Counts[o]) / float64(max(1, t.sum())) }

// latency returns a measure of the latencies of served requests in nanoseconds: pNN, max or mean.
func (t *Tally) latency(measure string) float64 {
	h := t.Latency[Served]
	switch measure {
	case "max":
		return float64(h.Max()) * 1e3
	case "mean":
		return h.Mean() * 1e3
	}
	q, _ := strconv.ParseFloat(strings.TrimPrefix(measure, "p"), 64)
	return float64(h.ValueAtQuantile(q)) * 1e3
}

// Result holds the figures of a run after its warm-up.
type Result struct {
	Classes   map[string]*Tally
	Total     *Tally
	Elapsed   time.Duration           // from the end of the warm-up until no more requests were due, at least 1 ms
	SendDelay *hdrhistogram.Histogram // from due time to sending, in microseconds; open loop only
	Goals     []GoalResult
}

// GoalResult is a goal and its result.
type GoalResult struct {
	Goal     Goal
	Measured string
	Met      bool
}

// Tally returns the tally of a class, nil for an unknown one, or of all classes for All.
func (r *Result) Tally(class string) *Tally {
	if class == All {
		return r.Total
	}
	return r.Classes[class]
}

// maxSendDelay is the highest 99th percentile of send delays at which the figures still measure the driver rather than the
// load tool.
const maxSendDelay = 20 * time.Millisecond

// Void reports whether the load tool itself sent requests too late for its figures to be the driver's: over 20 ms at the
// 99th percentile.
func (r *Result) Void() bool {
	return r.SendDelay.ValueAtQuantile(99) > maxSendDelay.Microseconds()
}

// Passed reports whether the run is not void, has at least one request and met every goal.
func (r *Result) Passed() bool {
	return !r.Void() && r.Total.sum() > 0 && !slices.ContainsFunc(r.Goals, func(v GoalResult) bool { return !v.Met })
}

// Write writes the result as text: a table by class, the served rate, the five most frequent errors and the goals.
func (r *Result) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequests\tserved\trefused\tfailed\tfaulty\tunanswered\tnot sent\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, name := range append(slices.Sorted(maps.Keys(r.Classes)), All) {
		t := r.Tally(name)
		fmt.Fprintf(w, "%s\t%d\t", name, t.sum())
		for _, c := range t.Counts {
			fmt.Fprintf(w, "%d\t", c)
		}
		for _, measure := range []string{"p50", "p90", "p99", "p99.9", "max"} {
			if t.Counts[Served] == 0 {
				fmt.Fprint(w, "-\t")
				continue
			}
			fmt.Fprintf(w, "%v\t", time.Duration(t.latency(measure)).Round(10*time.Microsecond))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	fmt.Fprintf(out, "%.1f served a second over %v; requests were sent late by %v at the 99th percentile, %v at most\n",
		float64(r.Total.Counts[Served])/r.Elapsed.Seconds(), r.Elapsed.Round(time.Millisecond), micros(r.SendDelay.ValueAtQuantile(99)), micros(r.SendDelay.Max()))
	for _, text := range slices.SortedFunc(maps.Keys(r.Total.Errors), func(a, b string) int { return r.Total.Errors[b] - r.Total.Errors[a] })[:min(5, len(r.Total.Errors))] {
		fmt.Fprintf(out, "%7d times: %s\n", r.Total.Errors[text], text)
	}
	for _, v := range r.Goals {
		fmt.Fprintf(out, "%s  %s: %s\n", map[bool]string{true: "met   ", false: "MISSED"}[v.Met], v.Goal.Text, v.Measured)
	}
	if r.Void() {
		fmt.Fprintln(out, "void: the load tool itself sent requests late, so the figures are not the driver's; use a larger machine, more processes or a lower rate")
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
