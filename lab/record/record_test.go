package record

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

func row(i int) Row {
	return Row{Arm: "a", Kind: KindRequest, Request: fmt.Sprintf("q%d", i), Class: []string{"read", "write"}[i%2], Node: fmt.Sprintf("db%d", i%3), Session: "s",
		Sent: int64(i) * int64(time.Millisecond), Ended: int64(i+5) * int64(time.Millisecond), Outcome: []string{"served", "served", "refused", "failed"}[i%4], Value: 1}
}

// TestConcurrentWrites checks that rows added by several goroutines are read back unchanged, in the order in which each
// goroutine added them.
func TestConcurrentWrites(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	w, err := Create(dir, Manifest{Name: "n", Seed: 7, Text: "rate 1"})
	if err != nil {
		t.Fatal(err)
	}
	const perWriter, writers = 30_000, 4
	var writing sync.WaitGroup
	for n := range writers {
		writing.Go(func() {
			for i := range perWriter {
				r := row(i)
				r.Repeat = int32(n)
				w.Add(r)
			}
		})
	}
	writing.Wait()
	if err := w.Close([]Run{{Arm: "a", Figures: map[string]float64{"goodput": 0.5}}}); err != nil {
		t.Fatal(err)
	}
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if r.Incomplete || r.Manifest.Ended.IsZero() || r.Manifest.Seed != 7 || r.Manifest.Runs[0].Figures["goodput"] != 0.5 || r.Manifest.Go == "" || len(r.parts) < 2 {
		t.Errorf("%+v", r)
	}
	next := make([]int, writers)
	err = r.Each(func(got *Row) error {
		want := row(next[got.Repeat])
		want.Repeat = got.Repeat
		next[got.Repeat]++
		if *got != want {
			return fmt.Errorf("%+v, want %+v", *got, want)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for n, rows := range next {
		if rows != perWriter {
			t.Errorf("writer %d: %d rows of %d", n, rows, perWriter)
		}
	}
	if w.Rows() != perWriter*writers {
		t.Errorf("%d rows were added", w.Rows())
	}
}

// TestIncompleteRecording checks that a recording that was never closed is readable up to its last complete part and
// marked as incomplete.
func TestIncompleteRecording(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	w, err := Create(dir, Manifest{Name: "n"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range partRows + 3*batchRows { // Close is never called
		w.Add(row(i))
	}
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := r.Each(func(*Row) error { n++; return nil }); err != nil || n < partRows || n >= partRows+3*batchRows || !r.Incomplete || !r.Manifest.Ended.IsZero() {
		t.Errorf("%d rows, incomplete %v, %v", n, r.Incomplete, err)
	}
}

// TestErrorsNameTheFile checks the errors for a directory without a recording, one that is not empty, and a truncated part.
func TestErrorsNameTheFile(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir); err == nil || !strings.Contains(err.Error(), dir) {
		t.Error(err)
	}
	w, err := Create(filepath.Join(dir, "r"), Manifest{})
	if err != nil {
		t.Fatal(err)
	}
	w.Add(row(0))
	if err := w.Close(nil); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(filepath.Join(dir, "r"), Manifest{}); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Error(err)
	}
	part := filepath.Join(dir, "r", "rows-000001.parquet")
	text, _ := os.ReadFile(part)
	if err := os.WriteFile(part, text[:len(text)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	r, err := Open(filepath.Join(dir, "r"))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Each(func(*Row) error { return nil }); err == nil || !strings.Contains(err.Error(), part) {
		t.Errorf("truncated part: %v", err)
	}
	if _, err := r.Arrivals("b", 0); err == nil {
		t.Error("arrivals of a truncated part: no error")
	}
}

// TestQuery checks the counts of filtered rows by class and window, the limit, and errors in queries.
func TestQuery(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	w, _ := Create(dir, Manifest{})
	for i := range 4000 {
		w.Add(row(i))
	}
	if err := w.Close(nil); err != nil {
		t.Fatal(err)
	}
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseCondition("node!=db2")
	if err != nil {
		t.Fatal(err)
	}
	q := Query{By: []string{"class", "window"}, Where: []Condition{c}, Window: 2 * time.Second}
	groups, err := r.Query(q)
	if err != nil || len(groups) != 4 {
		t.Fatalf("%d groups, %v", len(groups), err)
	}
	if l := groups[0]; l.By[0] != "read" || l.Rows != 667 || l.Served+l.Refused != l.Rows || l.Failed != 0 || l.Took.Max() < 4900 || l.Took.Max() > 5100 {
		t.Errorf("%+v", l)
	}
	var out strings.Builder
	if WriteSummaries(&out, q, groups); !strings.Contains(out.String(), "667") {
		t.Error(out.String())
	}
	if limited, _ := r.Query(Query{By: []string{"request"}, Limit: 3}); len(limited) != 3 {
		t.Errorf("%d groups, want 3", len(limited))
	}
	if _, err := r.Query(Query{By: []string{"nod"}}); err == nil || !strings.Contains(err.Error(), "node") {
		t.Error(err)
	}
	for _, wrong := range []string{"node", "nod=1", "=1"} {
		if _, err := ParseCondition(wrong); err == nil || !strings.Contains(err.Error(), "node") {
			t.Errorf("%q: %v", wrong, err)
		}
	}
	arrivals, err := r.Arrivals("", 0)
	if err != nil || len(arrivals) != 4000 || arrivals[3].At != 3*time.Millisecond || arrivals[3].Class != "write" {
		t.Errorf("%d arrivals, %v", len(arrivals), err)
	}
}
