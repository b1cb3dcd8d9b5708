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

// Update is the result of reading the files once they were stable.
type Update struct {
	Set    *Set // nil if Err is set
	Digest uint64
	Err    error // Problems, or wraps the error of the system or of the context
	At     time.Time
}

// Watcher follows the files of an inventory, by notifications of the system and, in case of missing notifications, by
// polling. A change is reported only when two reads, SettleTime apart, agree. Otherwise a file that is being written in
// pieces, was truncated first or is removed for a moment would be reported half-written or missing.
type Watcher struct {
	Paths        []string
	Options      Options
	SettleTime   time.Duration // 100 ms if not positive
	PollInterval time.Duration // 2 s if not positive
}

// Read reads the files every SettleTime until two consecutive reads agree, and returns the result. If ctx ends first, Err
// is that of ctx.
func (w *Watcher) Read(ctx context.Context) Update {
	var last snapshot
	for first := true; ; first = false {
		now := w.read()
		if !first && now.equal(last) {
			return w.update(now)
		}
		last = now
		select {
		case <-time.After(w.settleTime()):
		case <-ctx.Done():
			return Update{Err: ctx.Err(), At: time.Now()}
		}
	}
}

func (w *Watcher) settleTime() time.Duration {
	if w.SettleTime > 0 {
		return w.SettleTime
	}
	return 100 * time.Millisecond
}

// snapshot is the contents of the files at one time, or the error of reading them.
type snapshot struct {
	files  []File
	digest uint64
	err    error
}

func (w *Watcher) read() snapshot {
	files, err := ReadFiles(w.Paths)
	r := snapshot{files: files, err: err}
	if err == nil {
		r.digest = Digest(files)
	}
	return r
}

func (r snapshot) equal(o snapshot) bool {
	if r.err != nil || o.err != nil {
		return r.err != nil && o.err != nil && r.err.Error() == o.err.Error()
	}
	return r.digest == o.digest
}

func (w *Watcher) update(r snapshot) Update {
	u := Update{Digest: r.digest, Err: r.err, At: time.Now()}
	if r.err == nil {
		u.Set, u.Err = Parse(r.files, w.Options)
	}
	return u
}

// Run calls changed after each change of the files, once they are stable, with the new set or the error. since is the
// Digest of the contents that the caller already has. Files with mistakes are reported again only when they change. Run
// blocks until ctx ends and returns nil.
func (w *Watcher) Run(ctx context.Context, since uint64, changed func(Update)) error {
	events, stop := w.subscribe()
	defer stop()
	poll := w.PollInterval
	if poll <= 0 {
		poll = 2 * time.Second
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	last := snapshot{digest: since}
	signature := ""
	for first := true; ; first = false {
		notified := first // the files may have changed before the watch was set
		if !first {
			select {
			case <-ctx.Done():
				return nil
			case <-events:
				notified = true
			case <-ticker.C:
			}
		}
		now := w.signature()
		if !notified && now == signature {
			continue
		}
		signature = now
		r := w.readStable(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if !r.equal(last) {
			last = r
			changed(w.update(r))
		}
		signature = w.signature()
	}
}

// readStable reads the files every SettleTime until two consecutive reads agree or ctx ends.
func (w *Watcher) readStable(ctx context.Context) snapshot {
	for last := w.read(); ; {
		select {
		case <-time.After(w.settleTime()):
		case <-ctx.Done():
			return last
		}
		now := w.read()
		if now.equal(last) {
			return now
		}
		last = now
	}
}

// signature returns names, sizes and modification times of the files, to detect likely changes without reading them.
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

// subscribe returns a channel that receives when a directory of the files changes, and a function that ends the
// subscription. If the system supports no notifications the channel never receives, and Run relies on polling.
func (w *Watcher) subscribe() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	fs, err := fsnotify.NewWatcher()
	if err != nil {
		return signal, func() {}
	}
	for _, path := range w.Paths {
		fs.Add(dirOf(path))
		if target, err := filepath.EvalSymlinks(path); err == nil {
			fs.Add(dirOf(target)) // path may be a symbolic link, whose target is replaced or written to
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
