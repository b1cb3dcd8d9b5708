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
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of all plots

	"umberladder/lab/record"
)

// lineColors are the Okabe-Ito colors, distinguishable with color blindness too, and two more.
var lineColors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{90, 90, 90, 255}, color.RGBA{150, 120, 0, 255}}

var (
	gridColor    = color.RGBA{225, 225, 225, 255}
	troubleColor = color.NRGBA{255, 190, 60, 60}
)

const (
	plotWidth  = 19 * vg.Centimeter
	plotHeight = 6.5 * vg.Centimeter
)

func buildPlots(r *record.Recording, arms []*armStats, figures map[string]map[string][]float64) ([]Plot, error) {
	var all []Plot
	for _, make := range []func() (Plot, *plot.Plot, error){
		func() (Plot, *plot.Plot, error) { return goodputPlot(r, arms) },
		func() (Plot, *plot.Plot, error) { return latencyPlot(r, arms) },
		func() (Plot, *plot.Plot, error) { return coldPlot(arms) },
		func() (Plot, *plot.Plot, error) { return growthPlot(arms, figures) },
	} {
		p, drawing, err := make()
		if err == nil && drawing != nil {
			all, err = appendPlot(all, p, drawing)
		}
		if err != nil {
			return nil, fmt.Errorf("report: %s: %w", p.Title, err)
		}
	}
	for _, a := range arms[:min(4, len(arms))] { // more plots are hard to compare by eye
		for _, make := range []func() (Plot, *plot.Plot, error){a.latencyByClassPlot, a.loadPlot} {
			p, drawing, err := make()
			if err == nil && drawing != nil {
				all, err = appendPlot(all, p, drawing)
			}
			if err != nil {
				return nil, fmt.Errorf("report: %s: %w", p.Title, err)
			}
		}
	}
	return all, nil
}

func appendPlot(all []Plot, p Plot, drawing *plot.Plot) ([]Plot, error) {
	w, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:] // an XML declaration is not allowed inside HTML
	}
	p.SVG = template.HTML(svg)
	return append(all, p), nil
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = gridColor, gridColor
	p.Add(grid)
	return p
}

func addLine(p *plot.Plot, name string, i int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = lineColors[i%len(lineColors)], vg.Points(1.5)
	if i >= len(lineColors) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// markTroubles shades the time of each trouble, once if several arms have it.
func markTroubles(p *plot.Plot, r *record.Recording, yMax float64) error {
	seen := map[record.TroubleSpan]bool{}
	for _, t := range r.Manifest.Troubles {
		t.Arm = ""
		if seen[t] {
			continue
		}
		seen[t] = true
		from, to := time.Duration(t.From).Seconds(), time.Duration(t.To).Seconds()
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: yMax}, {X: from, Y: yMax}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = troubleColor, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: yMax * (0.05 + 0.06*float64(len(seen)%5))}}, Labels: []string{t.Kind}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// goodputPlot shows the value earned over time, as a fraction of the mean value requested.
func goodputPlot(r *record.Recording, arms []*armStats) (Plot, *plot.Plot, error) {
	info := Plot{Title: "Goodput", Note: "Value earned in each half second, as a fraction of the mean value requested in half a second. Troubles are shaded."}
	p := newPlot("seconds", "fraction of the value requested")
	yMax := 1.1
	for _, a := range arms {
		for _, v := range a.goodputSeries() {
			yMax = max(yMax, v.Y)
		}
	}
	if err := markTroubles(p, r, yMax); err != nil {
		return info, nil, err
	}
	for i, a := range arms {
		if err := addLine(p, a.name, i, a.goodputSeries()); err != nil {
			return info, nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, yMax
	return info, p, nil
}

// goodputSeries returns the arm's goodput by window. The windows before the first request and the last, incomplete one are
// left out.
func (a *armStats) goodputSeries() (xys plotter.XYs) {
	first, last := 0, len(a.requested)-1
	for first < last && a.requested[first] == 0 {
		first++
	}
	sum := 0.0
	for _, v := range a.requested {
		sum += v
	}
	meanRequested := sum / float64(max(1, last-first+1))
	for i := first; i < last && i < len(a.earned); i++ {
		xys = append(xys, plotter.XY{X: (time.Duration(i) * window).Seconds(), Y: a.earned[i] / max(meanRequested, 1e-9)})
	}
	return xys
}

// latencyPlot shows the 99th percentile of latency over time.
func latencyPlot(r *record.Recording, arms []*armStats) (Plot, *plot.Plot, error) {
	info := Plot{Title: "Latency", Note: "99th percentile of the latency of requests served in each half second, in ms, on a logarithmic scale."}
	p := newPlot("seconds", "ms")
	yMax := 1.0
	all := make([]plotter.XYs, len(arms))
	for i, a := range arms {
		for w, h := range a.latencyByWindow {
			if h.TotalCount() > 0 {
				ms := float64(h.ValueAtQuantile(99)) / 1000
				all[i] = append(all[i], plotter.XY{X: (time.Duration(w) * window).Seconds(), Y: max(ms, 0.01)})
				yMax = max(yMax, ms)
			}
		}
	}
	for i, a := range arms {
		if err := addLine(p, a.name, i, all[i]); err != nil {
			return info, nil, err
		}
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Max = yMax * 1.5
	return info, p, nil
}

// latencyByClassPlot shows the cumulative distribution of latency for each class.
func (a *armStats) latencyByClassPlot() (Plot, *plot.Plot, error) {
	info := Plot{Title: "Latency by class: " + a.name, Note: "Fraction of served requests with at most this latency in ms, on a logarithmic scale."}
	if len(a.latencyByClass) == 0 {
		return info, nil, nil
	}
	p := newPlot("ms", "part")
	for i, class := range slices.Sorted(maps.Keys(a.latencyByClass)) {
		var xys plotter.XYs
		for _, q := range []float64{0.1, 1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 95, 97, 98, 99, 99.5, 99.9, 100} {
			xys = append(xys, plotter.XY{X: max(0.001, float64(a.latencyByClass[class].ValueAtQuantile(q))/1000), Y: q / 100})
		}
		if err := addLine(p, class, i, xys); err != nil {
			return info, nil, err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	return info, p, nil
}

// loadPlot shows the attempts at each node, in descending order.
func (a *armStats) loadPlot() (Plot, *plot.Plot, error) {
	info := Plot{Title: "Load by node: " + a.name, Note: fmt.Sprintf("Attempts at each of %d nodes, in descending order. %.1f%% of served requests were served by a primary.", len(a.attemptsByNode),
		100*float64(a.servedByPrimary)/float64(max(1, a.served)))}
	if len(a.attemptsByNode) == 0 {
		return info, nil, nil
	}
	values := plotter.Values{}
	for _, n := range a.attemptsByNode {
		values = append(values, float64(n))
	}
	slices.SortFunc(values, func(x, y float64) int { return int(y - x) })
	p := newPlot("nodes", "attempts")
	var xys plotter.XYs
	for i, v := range values {
		xys = append(xys, plotter.XY{X: float64(i), Y: v}, plotter.XY{X: float64(i + 1), Y: v})
	}
	if err := addLine(p, "", 0, xys); err != nil {
		return info, nil, err
	}
	p.Legend = plot.NewLegend()
	p.Y.Min = 0
	return info, p, nil
}

// coldPlot shows the mean number of attempts at a node in the windows after its start.
func coldPlot(arms []*armStats) (Plot, *plot.Plot, error) {
	info := Plot{Title: "Cold nodes", Note: "Mean number of attempts at a node in each half second after its start: how much load it is spared, and how soon it has its full share."}
	p, found := newPlot("seconds since the start", "attempts"), false
	for i, a := range arms {
		var xys plotter.XYs
		for w, n := range a.coldAttempts {
			if a.starts > 0 {
				xys = append(xys, plotter.XY{X: (time.Duration(w) * window).Seconds(), Y: float64(n) / float64(a.starts)})
				found = found || n > 0
			}
		}
		if err := addLine(p, a.name, i, xys); err != nil {
			return info, nil, err
		}
	}
	if !found {
		return info, nil, nil
	}
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	return info, p, nil
}

// growthPlot shows goodput, the 99th percentile of latency and the fraction refused against the number that the arms differ
// in. It returns no plot unless at least three arms are named by the same directive and a number.
func growthPlot(arms []*armStats, figures map[string]map[string][]float64) (Plot, *plot.Plot, error) {
	info := Plot{Title: "Growth"}
	parameter := ""
	var goodput, p99, refused plotter.XYs
	for i, a := range arms {
		label, n, ok := splitNumber(a.name)
		if !ok || i > 0 && label != parameter {
			return info, nil, nil
		}
		parameter = label
		for name, into := range map[string]*plotter.XYs{"goodput": &goodput, "p99 all s": &p99, "refused": &refused} {
			if vs := figures[a.name][name]; len(vs) > 0 && !math.IsNaN(mean(vs)) {
				*into = append(*into, plotter.XY{X: n, Y: mean(vs)})
			}
		}
	}
	if len(goodput) < 3 {
		return info, nil, nil
	}
	info.Note = "Means of all repeats against " + parameter + ", on a logarithmic scale."
	p := newPlot(parameter, "")
	for i, l := range []struct {
		name   string
		points plotter.XYs
	}{{"goodput", goodput}, {"p99 in s", p99}, {"refused", refused}} {
		if err := addLine(p, l.name, i, l.points); err != nil {
			return info, nil, err
		}
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = 0
	return info, p, nil
}
