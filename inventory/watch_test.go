package inventory

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func csvList(n int) string {
	var b strings.Builder
	b.WriteString("name,host,slice,hall\n")
	for i := range n {
		fmt.Fprintf(&b, "db%03d,10.0.0.%d,news,a\n", i, i+1)
	}
	return b.String()
}

// watched runs a Watcher and collects its updates.
type watched struct {
	mu      sync.Mutex
	updates []Update
	updated chan struct{}
}

func watch(t *testing.T, paths ...string) *watched {
	t.Helper()
	before := goleak.IgnoreCurrent()
	w := &Watcher{Paths: paths, SettleTime: 30 * time.Millisecond, PollInterval: 50 * time.Millisecond}
	first := w.Read(t.Context())
	if first.Err != nil {
		t.Fatal(first.Err)
	}
	got := &watched{updated: make(chan struct{}, 1000)}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		w.Run(ctx, first.Digest, func(u Update) {
			got.mu.Lock()
			got.updates = append(got.updates, u)
			got.mu.Unlock()
			got.updated <- struct{}{}
		})
	})
	t.Cleanup(func() { stop(); done.Wait(); goleak.VerifyNone(t, before) })
	return got
}

// waitFor waits up to 10 s for an update for which fits returns true.
func (w *watched) waitFor(t *testing.T, what string, fits func(Update) bool) {
	t.Helper()
	for deadline := time.After(10 * time.Second); ; {
		w.mu.Lock()
		for _, u := range w.updates {
			if fits(u) {
				w.mu.Unlock()
				return
			}
		}
		w.mu.Unlock()
		select {
		case <-w.updated:
		case <-deadline:
			t.Fatalf("no update with %s: %+v", what, w.updates)
		}
	}
}

func nodes(n int) func(Update) bool {
	return func(u Update) bool { return u.Set != nil && len(u.Set.Nodes) == n }
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// TestChangesOnDisk checks that a file that is replaced, rewritten, written slowly or removed for a moment is reported
// with its new contents, and never half-written.
func TestChangesOnDisk(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, path string){
		"replaced by rename": func(t *testing.T, path string) { replaceFile(t, path, csvList(7)) },
		"written in place":   func(t *testing.T, path string) { writeFile(t, path, csvList(7)) },
		"written in pieces": func(t *testing.T, path string) {
			f, err := os.Create(path)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			for _, line := range strings.SplitAfter(csvList(7), "\n") {
				f.WriteString(line)
				time.Sleep(8 * time.Millisecond)
			}
		},
		"removed for a moment": func(t *testing.T, path string) {
			os.Remove(path)
			time.Sleep(10 * time.Millisecond)
			writeFile(t, path, csvList(7))
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "nodes.csv")
			writeFile(t, path, csvList(3))
			w := watch(t, path)
			change(t, path)
			w.waitFor(t, "7 nodes", nodes(7))
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, u := range w.updates {
				if u.Set != nil && len(u.Set.Nodes) != 7 && len(u.Set.Nodes) != 3 {
					t.Errorf("an incomplete list of %d nodes was reported", len(u.Set.Nodes))
				}
			}
		})
	}
}

func TestLinkSwapped(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.csv"), csvList(3))
	writeFile(t, filepath.Join(dir, "b.csv"), csvList(5))
	link := filepath.Join(dir, "now.csv")
	os.Symlink("a.csv", link)
	w := watch(t, link)
	os.Symlink("b.csv", link+".new")
	os.Rename(link+".new", link)
	w.waitFor(t, "5 nodes", nodes(5))
}

// TestTwoFilesOfADirectory moves a node from one file to another. Between the two writes it is in neither.
func TestTwoFilesOfADirectory(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.csv"), filepath.Join(dir, "b.csv")
	writeFile(t, a, "name,host,slice\ndb1,10.0.0.1,news\ndb2,10.0.0.2,news\n")
	writeFile(t, b, "name,host,slice\ndb3,10.0.0.3,news\n")
	w := watch(t, dir)
	replaceFile(t, a, "name,host,slice\ndb1,10.0.0.1,news\n")
	replaceFile(t, b, "name,host,slice\ndb3,10.0.0.3,news\ndb2,10.0.0.2,news\ndb4,10.0.0.4,news\n")
	w.waitFor(t, "4 nodes", nodes(4))
}

// TestBadFileIsReported checks that a file with a mistake is reported with its line, and then the corrected file.
func TestBadFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	writeFile(t, path, csvList(3))
	w := watch(t, path)
	replaceFile(t, path, csvList(3)+"db9,10.0.0.999,news,a\n")
	w.waitFor(t, "a problem in line 5", func(u Update) bool {
		var p Problems
		return errors.As(u.Err, &p) && p[0].Line == 5
	})
	replaceFile(t, path, csvList(4))
	w.waitFor(t, "4 nodes", nodes(4))
}

func TestLastGood(t *testing.T) {
	set, err := Parse([]File{{"a.csv", []byte("name,host,slice,state,started,label:rack\ndb1,10.0.0.1,news,,2026-03-01T06:30:00Z,r1\ndb2,10.0.0.2,news,gone,,\n")}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "inventory.last")
	taken := time.Unix(1_800_000_000, 5)
	if err := (&LastGood{taken, set}).Save(path); err != nil {
		t.Fatal(err)
	}
	back, err := LoadLastGood(path)
	if err != nil || !back.Set.Equal(set) || !back.LoadedAt.Equal(taken) {
		t.Fatalf("%+v, %v", back, err)
	}
	text, _ := os.ReadFile(path)
	for i := range text {
		damaged := append([]byte(nil), text...)
		damaged[i] ^= 0x40
		writeFile(t, path, string(damaged))
		if _, err := LoadLastGood(path); err == nil {
			t.Fatalf("accepted with byte %d changed", i)
		}
		writeFile(t, path, string(text[:i]))
		if _, err := LoadLastGood(path); err == nil {
			t.Fatalf("accepted when truncated after %d bytes", i)
		}
	}
	if left, _ := filepath.Glob(path + ".new*"); len(left) > 0 {
		t.Errorf("temporary files remain: %v", left)
	}
}
