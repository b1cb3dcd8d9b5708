package inventory

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Update is what a Watcher found when the files had changed and were quiet again.
type Update struct {
	Set    *Set // nil if there is none
	Digest uint64
	Err    error // Problems, or what the system said, where Set is nil
	At     time.Time
}

// Watcher follows the files of an inventory. It looks when the system tells of a change, and every Poll as a
// fall-back. A change is taken only once two readings with Quiet between them agree: a file that is written
// in pieces, cut first, removed for a moment or replaced is read when that is over.
type Watcher struct {
	Paths   []string
	Options Options
	Quiet   time.Duration // 100 ms if zero
	Poll    time.Duration // 2 s if zero
}

// Read reads the files until two readings agree, or ctx ends. Whatever the outcome, it is an Update.
func (w *Watcher) Read(ctx context.Context) Update {
	var last reading
	for first := true; ; first = false {
		now := w.reading()
		if !first && now.same(last) {
			return w.update(now)
		}
		last = now
		select {
		case <-time.After(w.quiet()):
		case <-ctx.Done():
			return Update{Err: ctx.Err(), At: time.Now()}
		}
	}
}

func (w *Watcher) quiet() time.Duration {
	if w.Quiet > 0 {
		return w.Quiet
	}
	return 100 * time.Millisecond
}

// reading is the files as they stood at one time.
type reading struct {
	files  []File
	digest uint64
	err    error
}

func (w *Watcher) reading() reading {
	files, err := ReadFiles(w.Paths)
	r := reading{files: files, err: err}
	if err == nil {
		r.digest = Digest(files)
	}
	return r
}

func (r reading) same(o reading) bool {
	if r.err != nil || o.err != nil {
		return r.err != nil && o.err != nil && r.err.Error() == o.err.Error()
	}
	return r.digest == o.digest
}

func (w *Watcher) update(r reading) Update {
	u := Update{Digest: r.digest, Err: r.err, At: time.Now()}
	if r.err == nil {
		u.Set, u.Err = Parse(r.files, w.Options)
	}
	return u
}

// Run calls changed for every settled change after the one with the digest given, until ctx ends. It calls it
// again for a file that stays bad only when that file changes.
func (w *Watcher) Run(ctx context.Context, since uint64, changed func(Update)) error {
	events, stop := w.notices()
	defer stop()
	poll := w.Poll
	if poll <= 0 {
		poll = 2 * time.Second
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	last := reading{digest: since}
	signature := ""
	for first := true; ; first = false {
		noticed := first // it may have changed before this began to look
		if !first {
			select {
			case <-ctx.Done():
				return nil
			case <-events:
				noticed = true
			case <-ticker.C:
			}
		}
		now := w.signature()
		if !noticed && now == signature {
			continue
		}
		signature = now
		r := w.settle(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if !r.same(last) {
			last = r
			changed(w.update(r))
		}
		signature = w.signature()
	}
}

// settle reads until two readings agree.
func (w *Watcher) settle(ctx context.Context) reading {
	for last := w.reading(); ; {
		select {
		case <-time.After(w.quiet()):
		case <-ctx.Done():
			return last
		}
		now := w.reading()
		if now.same(last) {
			return now
		}
		last = now
	}
}

// signature tells, without reading, whether a file is likely to have changed.
func (w *Watcher) signature() string {
	names, err := List(w.Paths)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, name := range names {
		if st, err := os.Stat(name); err == nil {
			fmt.Fprintf(&b, "%s %d %d\n", name, st.Size(), st.ModTime().UnixNano())
		}
	}
	return b.String()
}

// notices gives a signal when the system tells of a change in one of the directories that matter. Where it
// can't, polling remains.
func (w *Watcher) notices() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	fs, err := fsnotify.NewWatcher()
	if err != nil {
		return signal, func() {}
	}
	for _, path := range w.Paths {
		fs.Add(dirOf(path))
		if target, err := filepath.EvalSymlinks(path); err == nil {
			fs.Add(dirOf(target)) // a link swapped, or what it leads to written
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case _, ok := <-fs.Events:
				if !ok {
					return
				}
				select {
				case signal <- struct{}{}:
				default:
				}
			case err, ok := <-fs.Errors:
				if !ok || errors.Is(err, fsnotify.ErrClosed) {
					return
				}
			}
		}
	}()
	return signal, func() { fs.Close(); <-done }
}

func dirOf(path string) string {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return path
	}
	return filepath.Dir(path)
}
