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

func list(n int) string {
	var b strings.Builder
	b.WriteString("name,host,slice,hall\n")
	for i := range n {
		fmt.Fprintf(&b, "db%03d,10.0.0.%d,news,a\n", i, i+1)
	}
	return b.String()
}

// watched runs a watcher and collects what it says.
type watched struct {
	mu      sync.Mutex
	updates []Update
	fresh   chan struct{}
}

func watch(t *testing.T, paths ...string) *watched {
	t.Helper()
	before := goleak.IgnoreCurrent()
	w := &Watcher{Paths: paths, Quiet: 30 * time.Millisecond, Poll: 50 * time.Millisecond}
	first := w.Read(t.Context())
	if first.Err != nil {
		t.Fatal(first.Err)
	}
	got := &watched{fresh: make(chan struct{}, 1000)}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		w.Run(ctx, first.Digest, func(u Update) {
			got.mu.Lock()
			got.updates = append(got.updates, u)
			got.mu.Unlock()
			got.fresh <- struct{}{}
		})
	})
	t.Cleanup(func() { stop(); done.Wait(); goleak.VerifyNone(t, before) })
	return got
}

// until waits for an update that fits.
func (w *watched) until(t *testing.T, what string, fits func(Update) bool) {
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
		case <-w.fresh:
		case <-deadline:
			t.Fatalf("no update with %s: %+v", what, w.updates)
		}
	}
}

func nodes(n int) func(Update) bool {
	return func(u Update) bool { return u.Set != nil && len(u.Set.Nodes) == n }
}

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func swap(t *testing.T, path, text string) {
	t.Helper()
	put(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// TestChangesOnDisk goes through the ways in which files change.
func TestChangesOnDisk(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, path string){
		"replaced by rename": func(t *testing.T, path string) { swap(t, path, list(7)) },
		"written in place":   func(t *testing.T, path string) { put(t, path, list(7)) },
		"written in pieces": func(t *testing.T, path string) {
			f, err := os.Create(path)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			for _, line := range strings.SplitAfter(list(7), "\n") {
				f.WriteString(line)
				time.Sleep(8 * time.Millisecond)
			}
		},
		"removed for a moment": func(t *testing.T, path string) {
			os.Remove(path)
			time.Sleep(10 * time.Millisecond)
			put(t, path, list(7))
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "nodes.csv")
			put(t, path, list(3))
			w := watch(t, path)
			change(t, path)
			w.until(t, "7 nodes", nodes(7))
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, u := range w.updates {
				if u.Set != nil && len(u.Set.Nodes) != 7 && len(u.Set.Nodes) != 3 {
					t.Errorf("half a list of %d nodes was taken", len(u.Set.Nodes))
				}
			}
		})
	}
}

func TestLinkSwapped(t *testing.T) {
	dir := t.TempDir()
	put(t, filepath.Join(dir, "a.csv"), list(3))
	put(t, filepath.Join(dir, "b.csv"), list(5))
	link := filepath.Join(dir, "now.csv")
	os.Symlink("a.csv", link)
	w := watch(t, link)
	os.Symlink("b.csv", link+".new")
	os.Rename(link+".new", link)
	w.until(t, "5 nodes", nodes(5))
}

// TestTwoFilesOfADirectory change together: a node moves from one to the other.
func TestTwoFilesOfADirectory(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.csv"), filepath.Join(dir, "b.csv")
	put(t, a, "name,host,slice\ndb1,10.0.0.1,news\ndb2,10.0.0.2,news\n")
	put(t, b, "name,host,slice\ndb3,10.0.0.3,news\n")
	w := watch(t, dir)
	swap(t, a, "name,host,slice\ndb1,10.0.0.1,news\n")
	swap(t, b, "name,host,slice\ndb3,10.0.0.3,news\ndb2,10.0.0.2,news\ndb4,10.0.0.4,news\n")
	w.until(t, "4 nodes", nodes(4))
}

// TestBadFileIsSaid once for each time it changes, and a good one takes its place.
func TestBadFileIsSaid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	put(t, path, list(3))
	w := watch(t, path)
	swap(t, path, list(3)+"db9,10.0.0.999,news,a\n")
	w.until(t, "a problem in line 5", func(u Update) bool {
		var p Problems
		return errors.As(u.Err, &p) && p[0].Line == 5
	})
	swap(t, path, list(4))
	w.until(t, "4 nodes", nodes(4))
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
	if err != nil || !back.Set.Equal(set) || !back.Taken.Equal(taken) {
		t.Fatalf("%+v, %v", back, err)
	}
	text, _ := os.ReadFile(path)
	for i := range text {
		spoilt := append([]byte(nil), text...)
		spoilt[i] ^= 0x40
		put(t, path, string(spoilt))
		if _, err := LoadLastGood(path); err == nil {
			t.Fatalf("taken with byte %d changed", i)
		}
		put(t, path, string(text[:i]))
		if _, err := LoadLastGood(path); err == nil {
			t.Fatalf("taken when cut after %d bytes", i)
		}
	}
	if left, _ := filepath.Glob(path + ".new*"); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
