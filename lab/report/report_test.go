package report

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"umberladder/lab/experiment"
	"umberladder/lab/record"
	"umberladder/lab/world"
)

const file = `experiment "a <small> one"
repeats 3
drivers 2
slices 1
members 3
rate 100
for 6s
trouble crash {
    at 3s
    slice 0
    member primary
}
`

// recordRun runs an experiment and returns its recording.
func recordRun(t *testing.T, text string, plant world.Plant) *record.Recording {
	t.Helper()
	x, err := experiment.Parse("x", text)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "r")
	o := experiment.Options{Seed: 3, Procs: 2, Plant: plant}
	w, err := record.Create(dir, x.Manifest(o))
	if err != nil {
		t.Fatal(err)
	}
	o.Record = experiment.Recorder(w)
	all, err := x.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Close(experiment.Runs(all)); err != nil {
		t.Fatal(err)
	}
	r, err := record.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func renderPage(t *testing.T, r *record.Recording) string {
	t.Helper()
	var b strings.Builder
	if err := Write(&b, r); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestPage checks that the page shows arms, troubles, plots and a verdict, escapes names and refers to no other files.
func TestPage(t *testing.T) {
	html := renderPage(t, recordRun(t, file+"vary rate 50 100 200\n", world.NoPlant))
	for _, want := range []string{"a &lt;small&gt; one", "rate 50", "rate 200", "No rule broken.", "crash", "Growth", "Latency by class: rate 50", "Load by node", "Cold nodes", "95 of 100", "simulated"} {
		if !strings.Contains(html, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(html, "<script") || strings.Contains(html, "src=") || strings.Contains(html, "href=") || strings.Contains(html, "0001-01-01") {
		t.Error("the page refers to other files, or shows no time")
	}
	for _, svg := range strings.Split(html, "<svg")[1:] {
		d := xml.NewDecoder(strings.NewReader("<svg" + svg[:strings.Index(svg, "</svg>")+6]))
		for {
			if _, err := d.Token(); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatalf("invalid SVG: %v", err)
			}
		}
	}
}

// TestBrokenRules checks that the page shows a broken rule, and says so in its verdict.
func TestBrokenRules(t *testing.T) {
	html := renderPage(t, recordRun(t, file, world.PlantSilent))
	if !strings.Contains(html, "rules broken.") || !strings.Contains(html, world.RuleAnswer) || strings.Contains(html, "No rule broken") {
		t.Error("the page does not say that a rule was broken")
	}
}

// TestVerdict checks that the verdict names an arm with significantly less goodput, and not one that differs by chance.
func TestVerdict(t *testing.T) {
	v, err := buildView(recordRun(t, file+"arm one {\n}\narm two {\n drivers 3\n}\narm three {\n work 400ms\n}\n", world.NoPlant))
	if err != nil {
		t.Fatal(err)
	}
	if len(v.Arms) != 3 || v.Arms[0].Name != "one" || v.Arms[2].Better != -1 || !strings.Contains(v.Verdict, "three is worse than one") || strings.Contains(v.Verdict, "two is") {
		t.Errorf("%s: %+v", v.Verdict, v.Arms)
	}
}
