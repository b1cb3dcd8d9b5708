package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/parquet-go/parquet-go"
)

const manifestName = "about.json"

// Recording is a recording opened for reading.
type Recording struct {
	Manifest   Manifest
	dir        string
	parts      []string
	Incomplete bool // a part is incomplete: the run is in progress or was killed
}

// Open opens the recording in dir. Rows are read later, by Each.
func Open(dir string) (*Recording, error) {
	r := &Recording{dir: dir}
	text, err := os.ReadFile(filepath.Join(dir, manifestName))
	if err != nil {
		return nil, fmt.Errorf("recording: directory %s holds no recording: %w", dir, err)
	}
	if err := json.Unmarshal(text, &r.Manifest); err != nil {
		return nil, fmt.Errorf("recording: %s: %w", filepath.Join(dir, manifestName), err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	for _, e := range entries {
		switch name := e.Name(); {
		case strings.HasSuffix(name, ".parquet"):
			r.parts = append(r.parts, filepath.Join(dir, name))
		case strings.HasSuffix(name, ".parquet.tmp"):
			r.Incomplete = true
		}
	}
	slices.Sort(r.parts)
	return r, nil
}

// Each calls fn with every row in the order of adding, and stops at the first error. The row is only valid during the
// call; memory holds a batch of rows at a time.
func (r *Recording) Each(fn func(*Row) error) error {
	for _, name := range r.parts {
		if err := eachRow(name, fn); err != nil {
			return fmt.Errorf("recording: %s: %w", name, err)
		}
	}
	return nil
}

func eachRow(name string, fn func(*Row) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	pf, err := parquet.OpenFile(f, info.Size())
	if err != nil {
		return err
	}
	reader := parquet.NewGenericReader[Row](pf)
	defer reader.Close()
	buf := make([]Row, batchRows)
	for {
		n, err := reader.Read(buf)
		for i := range buf[:n] {
			if err := fn(&buf[i]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
