package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of all pictures

	"umberladder/lab/record"
)

// colours of lines, told apart by people who don't see all colours too.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{90, 90, 90, 255}, color.RGBA{150, 120, 0, 255}}

var (
	grey  = color.RGBA{225, 225, 225, 255}
	amber = color.NRGBA{255, 190, 60, 60}
)

const (
	wide = 19 * vg.Centimeter
	high = 6.5 * vg.Centimeter
)

func plots(r *record.Recording, arms []*arm, figures map[string]map[string][]float64) ([]Plot, error) {
	var all []Plot
	for _, make := range []func() (Plot, *plot.Plot, error){
		func() (Plot, *plot.Plot, error) { return goodput(r, arms) },
		func() (Plot, *plot.Plot, error) { return latency(r, arms) },
		func() (Plot, *plot.Plot, error) { return cold(arms) },
		func() (Plot, *plot.Plot, error) { return growth(arms, figures) },
	} {
		p, drawn, err := make()
		if err == nil && drawn != nil {
			all, err = appendPlot(all, p, drawn)
		}
		if err != nil {
			return nil, fmt.Errorf("report: %s: %w", p.Title, err)
		}
	}
	for _, a := range arms[:min(4, len(arms))] { // more are hard to compare by eye
		for _, make := range []func() (Plot, *plot.Plot, error){a.distribution, a.loads} {
			p, drawn, err := make()
			if err == nil && drawn != nil {
				all, err = appendPlot(all, p, drawn)
			}
			if err != nil {
				return nil, fmt.Errorf("report: %s: %w", p.Title, err)
			}
		}
	}
	return all, nil
}

func appendPlot(all []Plot, p Plot, drawn *plot.Plot) ([]Plot, error) {
	w, err := drawn.WriterTo(wide, high, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:] // its declaration stands only at the head of a file
	}
	p.SVG = template.HTML(svg)
	return append(all, p), nil
}

func blank(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = grey, grey
	p.Add(grid)
	return p
}

func line(p *plot.Plot, name string, i int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[i%len(colours)], vg.Points(1.5)
	if i >= len(colours) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// troubles marks when they were there, the same ones of several arms once.
func troubles(p *plot.Plot, r *record.Recording, top float64) error {
	seen := map[record.TroubleSpan]bool{}
	for _, t := range r.About.Troubles {
		t.Arm = ""
		if seen[t] {
			continue
		}
		seen[t] = true
		from, to := time.Duration(t.From).Seconds(), time.Duration(t.To).Seconds()
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = amber, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: top * (0.05 + 0.06*float64(len(seen)%5))}}, Labels: []string{t.Kind}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// goodput is worth earned over worth asked for in time.
func goodput(r *record.Recording, arms []*arm) (Plot, *plot.Plot, error) {
	about := Plot{Title: "Goodput", Note: "Worth earned in each half second, as part of what is asked for in a mean one. Troubles are marked where they strike."}
	p := blank("seconds", "part of the worth asked for")
	top := 1.1
	for _, a := range arms {
		for _, v := range a.parts() {
			top = max(top, v.Y)
		}
	}
	if err := troubles(p, r, top); err != nil {
		return about, nil, err
	}
	for i, a := range arms {
		if err := line(p, a.name, i, a.parts()); err != nil {
			return about, nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, top
	return about, p, nil
}

// parts are the arm's goodput by window, without the run's ragged ends.
func (a *arm) parts() (xys plotter.XYs) {
	first, last := 0, len(a.asked)-1
	for first < last && a.asked[first] == 0 {
		first++
	}
	sum := 0.0
	for _, v := range a.asked {
		sum += v
	}
	usual := sum / float64(max(1, last-first+1))
	for i := first; i < last && i < len(a.earned); i++ {
		xys = append(xys, plotter.XY{X: (time.Duration(i) * window).Seconds(), Y: a.earned[i] / max(usual, 1e-9)})
	}
	return xys
}

// latency is the 99th percentile in time.
func latency(r *record.Recording, arms []*arm) (Plot, *plot.Plot, error) {
	about := Plot{Title: "Latency", Note: "99th percentile of what was served in each half second, in ms, on a logarithmic scale."}
	p := blank("seconds", "ms")
	top := 1.0
	all := make([]plotter.XYs, len(arms))
	for i, a := range arms {
		for w, h := range a.at99 {
			if h.TotalCount() > 0 {
				ms := float64(h.ValueAtQuantile(99)) / 1000
				all[i] = append(all[i], plotter.XY{X: (time.Duration(w) * window).Seconds(), Y: max(ms, 0.01)})
				top = max(top, ms)
			}
		}
	}
	for i, a := range arms {
		if err := line(p, a.name, i, all[i]); err != nil {
			return about, nil, err
		}
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Max = top * 1.5
	return about, p, nil
}

// distribution is what part of each class was served within which time.
func (a *arm) distribution() (Plot, *plot.Plot, error) {
	about := Plot{Title: "Latency by class: " + a.name, Note: "What part of what was served took no longer than so many ms, on a logarithmic scale."}
	if len(a.classes) == 0 {
		return about, nil, nil
	}
	p := blank("ms", "part")
	for i, class := range slices.Sorted(maps.Keys(a.classes)) {
		var xys plotter.XYs
		for _, q := range []float64{0.1, 1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 95, 97, 98, 99, 99.5, 99.9, 100} {
			xys = append(xys, plotter.XY{X: max(0.001, float64(a.classes[class].ValueAtQuantile(q))/1000), Y: q / 100})
		}
		if err := line(p, class, i, xys); err != nil {
			return about, nil, err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	return about, p, nil
}

// loads is how many attempts went to each node, in order of number.
func (a *arm) loads() (Plot, *plot.Plot, error) {
	about := Plot{Title: "Load by node: " + a.name, Note: fmt.Sprintf("Attempts at each of %d nodes, most first. %.1f%% of what was served came from a primary.", len(a.nodes),
		100*float64(a.primary)/float64(max(1, a.reads)))}
	if len(a.nodes) == 0 {
		return about, nil, nil
	}
	values := plotter.Values{}
	for _, n := range a.nodes {
		values = append(values, float64(n))
	}
	slices.SortFunc(values, func(x, y float64) int { return int(y - x) })
	p := blank("nodes", "attempts")
	var xys plotter.XYs
	for i, v := range values {
		xys = append(xys, plotter.XY{X: float64(i), Y: v}, plotter.XY{X: float64(i + 1), Y: v})
	}
	if err := line(p, "", 0, xys); err != nil {
		return about, nil, err
	}
	p.Legend = plot.NewLegend()
	p.Y.Min = 0
	return about, p, nil
}

// cold is how much nodes got after their starts.
func cold(arms []*arm) (Plot, *plot.Plot, error) {
	about := Plot{Title: "Cold nodes", Note: "Attempts in each half second after a node's start, in the mean of all starts: what it is spared, and how soon it has its part."}
	p, any := blank("seconds since the start", "attempts"), false
	for i, a := range arms {
		var xys plotter.XYs
		for w, n := range a.cold {
			if a.starts > 0 {
				xys = append(xys, plotter.XY{X: (time.Duration(w) * window).Seconds(), Y: float64(n) / float64(a.starts)})
				any = any || n > 0
			}
		}
		if err := line(p, a.name, i, xys); err != nil {
			return about, nil, err
		}
	}
	if !any {
		return about, nil, nil
	}
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	return about, p, nil
}

// growth is how goodput and the 99th percentile move with what the arms differ in, where that is a number.
func growth(arms []*arm, figures map[string]map[string][]float64) (Plot, *plot.Plot, error) {
	about := Plot{Title: "Growth"}
	kind := ""
	var good, slow, polls plotter.XYs
	for i, a := range arms {
		what, n, ok := scaleOf(a.name)
		if !ok || i > 0 && what != kind {
			return about, nil, nil
		}
		kind = what
		for name, into := range map[string]*plotter.XYs{"goodput": &good, "p99 all s": &slow, "refused": &polls} {
			if vs := figures[a.name][name]; len(vs) > 0 && !math.IsNaN(mean(vs)) {
				*into = append(*into, plotter.XY{X: n, Y: mean(vs)})
			}
		}
	}
	if len(good) < 3 {
		return about, nil, nil
	}
	about.Note = "Means of all repeats against " + kind + ", on a logarithmic scale."
	p := blank(kind, "")
	for i, l := range []struct {
		name   string
		points plotter.XYs
	}{{"goodput", good}, {"p99 in s", slow}, {"refused", polls}} {
		if err := line(p, l.name, i, l.points); err != nil {
			return about, nil, err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = 0
	return about, p, nil
}
