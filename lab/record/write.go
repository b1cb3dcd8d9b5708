package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/parquet-go/parquet-go/compress/zstd"
)

// The open part is closed by the first write that finds it with partRows rows or older than partAge, so a killed process
// loses about partAge of rows at most.
const (
	partRows  = 50_000
	partAge   = 5 * time.Second
	batchRows = 512 // rows written to a part at once
)

// Manifest describes the run of a recording; it is the content of about.json.
type Manifest struct {
	Name     string        `json:"name"`
	Text     string        `json:"text"` // the experiment file
	Seed     uint64        `json:"seed"`
	Live     bool          `json:"live"` // false: simulated
	Began    time.Time     `json:"began"`
	Ended    time.Time     `json:"ended,omitzero"` // zero if the run is in progress or was killed
	Version  string        `json:"version"`        // of this program, with the commit if known
	Go       string        `json:"go"`
	Runs     []Run         `json:"runs,omitempty"`
	Troubles []TroubleSpan `json:"troubles,omitempty"`
}

// Run is the result of one repeat of one arm, with its figures by name.
type Run struct {
	Arm     string             `json:"arm"`
	Repeat  int                `json:"repeat"`
	Figures map[string]float64 `json:"figures"`
	Broken  []string           `json:"broken,omitempty"` // one line for each broken rule
}

// TroubleSpan is the time during which a trouble was active, in ns since the start of the run.
type TroubleSpan struct {
	Arm  string `json:"arm"`
	Kind string `json:"kind"`
	From int64  `json:"from"`
	To   int64  `json:"to"`
}

// buildVersion returns the versions of this program and of Go from the build information.
func buildVersion() (program, goVersion string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", "unknown"
	}
	program = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			program += " " + s.Value
		}
	}
	return program, info.GoVersion
}

// Writer adds rows to a recording. It is safe for concurrent use.
type Writer struct {
	dir      string
	manifest Manifest

	mu      sync.Mutex
	buffer  []Row // rows not yet written to a part
	part    *part
	parts   int
	err     error // the first error; no rows are written after it
	written int
}

// part is a Parquet file being written, under a .tmp name that readers skip.
type part struct {
	file   *os.File
	w      *parquet.GenericWriter[Row]
	rows   int
	opened time.Time
	name   string
}

// Create starts a recording in dir, which must be new or empty, and writes its manifest.
func Create(dir string, manifest Manifest) (*Writer, error) {
	if entries, err := os.ReadDir(dir); err == nil && len(entries) > 0 {
		return nil, fmt.Errorf("recording: directory %s is not empty; choose another one or remove it", dir)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	manifest.Version, manifest.Go = buildVersion()
	manifest.Began = time.Now()
	w := &Writer{dir: dir, manifest: manifest}
	return w, w.writeManifest()
}

func (w *Writer) writeManifest() error {
	text, err := json.MarshalIndent(&w.manifest, "", "  ")
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return replaceFile(filepath.Join(w.dir, manifestName), append(text, '\n'))
}

// replaceFile writes a file atomically, through a .tmp file that is renamed.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".tmp", text, 0o644); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// Add adds a row. Write errors are returned by Close.
func (w *Writer) Add(r Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer, r)
	if len(w.buffer) >= batchRows {
		w.flush()
	}
}

// flush writes the buffered rows to the open part, unless an earlier write failed.
func (w *Writer) flush() {
	if w.err == nil && len(w.buffer) > 0 {
		w.err = w.writeRows(w.buffer)
	}
	clear(w.buffer)
	w.buffer = w.buffer[:0]
}

func (w *Writer) writeRows(rows []Row) error {
	if w.part == nil {
		if err := w.openPart(); err != nil {
			return err
		}
	}
	p := w.part
	if _, err := p.w.Write(rows); err != nil {
		return fmt.Errorf("recording: %s: %w", p.name, err)
	}
	p.rows += len(rows)
	w.written += len(rows)
	if p.rows >= partRows || time.Since(p.opened) >= partAge {
		return w.closePart()
	}
	return nil
}

func (w *Writer) openPart() error {
	w.parts++
	name := filepath.Join(w.dir, fmt.Sprintf("rows-%06d.parquet", w.parts))
	f, err := os.Create(name + ".tmp")
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	w.part = &part{file: f, name: name, opened: time.Now(), w: parquet.NewGenericWriter[Row](f, parquet.Compression(&zstd.Codec{}))}
	return nil
}

// closePart completes the open part and gives it its final name.
func (w *Writer) closePart() error {
	p := w.part
	w.part = nil
	if err := errors.Join(p.w.Close(), p.file.Close()); err != nil {
		return fmt.Errorf("recording: %s: %w", p.name, err)
	}
	if err := os.Rename(p.name+".tmp", p.name); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// Close writes the buffered rows and adds the end time and the figures of the runs to the manifest. It returns the first
// error since Create.
func (w *Writer) Close(runs []Run) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flush()
	if w.part != nil {
		if err := w.closePart(); w.err == nil {
			w.err = err
		}
	}
	w.manifest.Ended, w.manifest.Runs = time.Now(), runs
	if err := w.writeManifest(); w.err == nil {
		w.err = err
	}
	return w.err
}

// Rows returns the number of rows added, without those that a write error lost.
func (w *Writer) Rows() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written + len(w.buffer)
}
