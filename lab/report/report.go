// Package report turns a recording (lab/record) into an HTML page. The page needs no other files; it shows the figures of
// each arm with confidence intervals, the broken rules, and plots of goodput, latency and load over time with the troubles
// marked. The command lab report calls it.
package report

import (
	"bytes"
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberladder/lab/experiment"
	"umberladder/lab/record"
)

//go:embed page.html
var page string

// window is the time that one point of a plot covers.
const window = 500 * time.Millisecond

// armStats are the totals of the rows of one arm, over all repeats.
type armStats struct {
	name              string
	requested, earned []float64                          // value by window
	latencyByWindow   []*hdrhistogram.Histogram          // of served requests by window of their end, in microseconds
	latencyByClass    map[string]*hdrhistogram.Histogram // of served requests by class, in microseconds
	attemptsByNode    map[string]int
	causes            map[string]int
	lastStart         map[string]int64 // time of the last start in ns, by repeat and node
	starts            int
	coldAttempts      [coldWindows]int // attempts by windows since the start of their node
	requests          int
	servedByPrimary   int // requests served by a primary
	served            int
}

// collect reads the rows of a recording and returns the totals of each arm, in the order of the experiment.
func collect(r *record.Recording) ([]*armStats, error) {
	byName := map[string]*armStats{}
	var all []*armStats
	err := r.Each(func(row *record.Row) error {
		a := byName[row.Arm]
		if a == nil {
			a = &armStats{name: row.Arm, latencyByClass: map[string]*hdrhistogram.Histogram{}, attemptsByNode: map[string]int{}, causes: map[string]int{}, lastStart: map[string]int64{}}
			byName[row.Arm], all = a, append(all, a)
		}
		switch row.Kind {
		case record.KindAttempt:
			a.attemptsByNode[row.Node]++
			a.addColdAttempt(row)
		case record.KindNodeStart:
			a.starts++
			a.lastStart[fmt.Sprint(row.Repeat, row.Node)] = row.Sent
		default:
			a.addRequest(row)
		}
		return nil
	})
	order := map[string]int{} // of arms in the experiment; rows of parallel runs come in any order
	for i, run := range r.Manifest.Runs {
		if _, ok := order[run.Arm]; !ok {
			order[run.Arm] = i
		}
	}
	slices.SortStableFunc(all, func(a, b *armStats) int { return cmp.Compare(order[a.name], order[b.name]) })
	return all, err
}

// coldWindows is the number of windows after a node's start for which its attempts are counted.
const coldWindows = 20

// addColdAttempt counts an attempt at a node that started less than coldWindows windows before.
func (a *armStats) addColdAttempt(row *record.Row) {
	if at, ok := a.lastStart[fmt.Sprint(row.Repeat, row.Node)]; ok && row.Sent >= at {
		if i := (row.Sent - at) / window.Nanoseconds(); i < coldWindows {
			a.coldAttempts[i]++
		}
	}
}

func (a *armStats) addRequest(row *record.Row) {
	a.requests++
	addToWindow(&a.requested, row.Sent, row.RequestedValue)
	if row.Outcome != "served" {
		if row.Cause != "" {
			a.causes[row.Class+": "+row.Cause]++
		}
		return
	}
	addToWindow(&a.earned, row.Ended, row.Value)
	took := max(1, row.Took().Microseconds())
	if a.latencyByClass[row.Class] == nil {
		a.latencyByClass[row.Class] = hdrhistogram.New(1, 600_000_000, 3)
	}
	a.latencyByClass[row.Class].RecordValue(took)
	i := int(row.Ended / window.Nanoseconds())
	for len(a.latencyByWindow) <= i {
		a.latencyByWindow = append(a.latencyByWindow, hdrhistogram.New(1, 600_000_000, 2))
	}
	a.latencyByWindow[i].RecordValue(took)
	if row.Role == "primary" {
		a.servedByPrimary++
	}
	a.served++
}

func addToWindow(sums *[]float64, at int64, v float64) {
	i := int(max(0, at) / window.Nanoseconds())
	for len(*sums) <= i {
		*sums = append(*sums, 0)
	}
	(*sums)[i] += v
}

// View is the data of the page; page.html refers to its fields by name.
type View struct {
	Title, How, Verdict string
	Good                bool
	Seed                uint64
	Repeats             int
	Rows                int
	Version, Go         string
	Began               string
	Cut                 bool
	Columns             []string
	Arms                []ArmView
	Broken              []string
	Plots               []Plot
	Text                string
}

// ArmView is a row of the table of arms.
type ArmView struct {
	Name    string
	Cells   []Cell
	Gain    string // difference of mean goodput from the first arm
	Against string // confidence interval of Gain
	Better  int    // 1 if the goodput is significantly better, -1 if worse, else 0
	Causes  []string
}

// Cell is a mean and its confidence interval.
type Cell struct{ Mean, Within string }

// Plot is a plot with its title and a note.
type Plot struct {
	Title, Note string
	SVG         template.HTML
}

// Write writes the page of a recording. It is an error if the recording has no rows.
func Write(out io.Writer, r *record.Recording) error {
	v, err := buildView(r)
	if err != nil {
		return err
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var b bytes.Buffer
	if err := t.Execute(&b, v); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	_, err = out.Write(b.Bytes())
	return err
}

func buildView(r *record.Recording) (*View, error) {
	arms, err := collect(r)
	if err != nil {
		return nil, err
	}
	if len(arms) == 0 {
		return nil, fmt.Errorf("report: the recording of %s has no requests", r.Manifest.Name)
	}
	v := &View{Title: r.Manifest.Name, How: "simulated: figures come from the model", Seed: r.Manifest.Seed, Version: r.Manifest.Version, Go: r.Manifest.Go, Text: r.Manifest.Text,
		Began: r.Manifest.Began.Format("2006-01-02 15:04"), Cut: r.Incomplete || r.Manifest.Ended.IsZero()}
	if r.Manifest.Live {
		v.How = "live: figures come from stand-in nodes on one machine"
	}
	figures := figuresByArm(r.Manifest.Runs)
	for _, a := range arms {
		v.Rows += a.requests
		v.Arms = append(v.Arms, a.tableRow(figures, arms[0].name))
		v.Repeats = max(v.Repeats, len(figures[a.name]["goodput"]))
	}
	for _, c := range tableColumns {
		v.Columns = append(v.Columns, c.name)
	}
	for _, run := range r.Manifest.Runs {
		for _, b := range run.Broken {
			v.Broken = append(v.Broken, fmt.Sprintf("%s, repeat %d: %s", run.Arm, run.Repeat+1, b))
		}
	}
	v.Verdict, v.Good = summarize(v)
	if v.Plots, err = buildPlots(r, arms, figures); err != nil {
		return nil, err
	}
	return v, nil
}

// summarize returns the result of the run in a few sentences, and whether it was good.
func summarize(v *View) (string, bool) {
	switch {
	case len(v.Broken) > 0:
		return fmt.Sprintf("%d rules broken.", len(v.Broken)), false
	case v.Cut:
		return "The run did not end; its result is not known.", false
	}
	sentences := []string{"No rule broken."}
	for _, a := range v.Arms[1:] {
		if a.Better != 0 {
			sentences = append(sentences, fmt.Sprintf("%s is %s than %s (goodput %s, in 95 of 100 cases %s).", a.Name, map[int]string{1: "better", -1: "worse"}[a.Better], v.Arms[0].Name, a.Gain, a.Against))
		}
	}
	if len(v.Arms) > 1 && len(sentences) == 1 {
		sentences = append(sentences, "No arm differs significantly from "+v.Arms[0].Name+" in goodput.")
	}
	return strings.Join(sentences, " "), true
}

// tableColumns are the figures in the table, with their formats.
var tableColumns = []struct{ name, format string }{{"goodput", "%.3f"}, {"served", "%.3f"}, {"refused", "%.3f"}, {"failed", "%.4f"}, {"p50 s", "%.3f"}, {"p99 all s", "%.3f"},
	{"at primary", "%.3f"}, {"polls/node/s", "%.0f"}, {"noticed s", "%.2f"}, {"recovery s", "%.2f"}}

// figuresByArm returns the figures of all repeats by arm and name.
func figuresByArm(runs []record.Run) map[string]map[string][]float64 {
	all := map[string]map[string][]float64{}
	for _, run := range runs {
		if all[run.Arm] == nil {
			all[run.Arm] = map[string][]float64{}
		}
		for name, v := range run.Figures {
			all[run.Arm][name] = append(all[run.Arm][name], v)
		}
	}
	return all
}

func mean(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	return sum / float64(len(vs))
}

// tableRow returns the row of an arm in the table; first is the name of the arm that it is compared with.
func (a *armStats) tableRow(figures map[string]map[string][]float64, first string) ArmView {
	v := ArmView{Name: a.name}
	for _, c := range tableColumns {
		vs := figures[a.name][c.name]
		if len(vs) == 0 {
			v.Cells = append(v.Cells, Cell{Mean: "–"})
			continue
		}
		cell := Cell{Mean: fmt.Sprintf(c.format, mean(vs))}
		if low, high := experiment.Interval(vs); !math.IsNaN(low) && high-low > 0 {
			cell.Within = fmt.Sprintf(c.format+"–"+c.format, low, high)
		}
		v.Cells = append(v.Cells, cell)
	}
	own, baseline := figures[a.name]["goodput"], figures[first]["goodput"]
	if a.name != first && len(own) == len(baseline) && len(own) > 0 {
		gains := make([]float64, len(own))
		for i := range own {
			gains[i] = own[i] - baseline[i]
		}
		low, high := experiment.Interval(gains)
		v.Gain = fmt.Sprintf("%+.3f", mean(gains))
		v.Against = fmt.Sprintf("%+.3f to %+.3f", low, high)
		if low > 0 {
			v.Better = 1
		} else if high < 0 {
			v.Better = -1
		}
	}
	causes := slices.SortedFunc(maps.Keys(a.causes), func(x, y string) int { return cmp.Or(a.causes[y]-a.causes[x], cmp.Compare(x, y)) })
	for _, c := range causes[:min(5, len(causes))] {
		v.Causes = append(v.Causes, fmt.Sprintf("%.2f%% %s", 100*float64(a.causes[c])/float64(a.requests), c))
	}
	return v
}

// splitNumber splits an arm's name, like "rate 100", into the text and the number at its end, which is in seconds if it is
// a duration. It returns false if the name does not end with a positive number or a duration.
func splitNumber(name string) (label string, n float64, ok bool) {
	i := strings.LastIndex(name, " ")
	if i < 0 {
		return "", 0, false
	}
	v := name[i+1:]
	if d, err := time.ParseDuration(v); err == nil {
		return name[:i], d.Seconds(), true
	}
	n, err := strconv.ParseFloat(v, 64)
	return name[:i], n, err == nil && n > 0
}
