package experiment

import (
	"math"

	"umberladder/lab/record"
)

// Recorder returns a function for Options.Record that adds the rows of each run to w, with the arm and repeat filled in.
func Recorder(w *record.Writer) func(arm string, repeat int) func(*record.Row) {
	return func(arm string, repeat int) func(*record.Row) {
		return func(r *record.Row) {
			row := *r
			row.Arm, row.Repeat = arm, int32(repeat)
			w.Add(row)
		}
	}
}

// Manifest returns the manifest of a recording of the experiment.
func (x *Experiment) Manifest(o Options) record.Manifest {
	manifest := record.Manifest{Name: x.Name, Text: x.Text, Seed: o.Seed, Live: o.Runner.Name != "" && o.Runner.Name != Simulated.Name}
	for i := range x.Arms {
		for _, t := range x.Arms[i].World.Troubles {
			manifest.Troubles = append(manifest.Troubles, record.TroubleSpan{Arm: x.Arms[i].Name, Kind: t.Kind.String(), From: t.At.Nanoseconds(), To: (t.At + t.For).Nanoseconds()})
		}
	}
	return manifest
}

// Runs returns the figures of all runs for the manifest of a recording. NaNs are left out, as JSON has none.
func Runs(all []Outcome) (runs []record.Run) {
	for i := range all {
		for n := range all[i].Runs {
			f := &all[i].Runs[n]
			run := record.Run{Arm: all[i].Arm, Repeat: n, Figures: map[string]float64{}, Broken: f.Broken}
			for _, c := range comparedColumns {
				if v := c.value(f); !math.IsNaN(v) {
					run.Figures[c.name] = v
				}
			}
			runs = append(runs, run)
		}
	}
	return runs
}
