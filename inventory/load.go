package inventory

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Options are requirements on an inventory, from the settings of a driver.
type Options struct {
	Zones      []string // known zones; nil accepts any
	MinMembers int      // minimum number of nodes per slice, not counting those with state gone; below 1 counts as 1
}

// File is the path and the contents of one file.
type File struct {
	Path string
	Text []byte
}

// Load reads and checks files and directories as one inventory. The error is Problems, or wraps that of the system.
func Load(paths []string, o Options) (*Set, error) {
	files, err := ReadFiles(paths)
	if err != nil {
		return nil, err
	}
	return Parse(files, o)
}

// ReadFiles reads the files that List returns for paths, each of at most 64 MiB. The error is Problems, or wraps that of
// the system.
func ReadFiles(paths []string) ([]File, error) {
	names, err := List(paths)
	if err != nil {
		return nil, err
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		st, err := os.Stat(name)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		if st.Size() > maxFileBytes {
			return nil, Problems{{Origin{name, 1, 0}, fmt.Sprintf("the file has %d bytes; at most %d are allowed", st.Size(), maxFileBytes)}}
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		files = append(files, File{name, text})
	}
	return files, nil
}

// List returns the paths of an inventory's files: files in paths as they are, directories replaced by their .csv, .tsv,
// .yaml, .yml and .json files in the order of names. Hidden files and subdirectories are skipped. The error is Problems
// if a directory has no such file, or wraps that of the system.
func List(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		st, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		if !st.IsDir() {
			names = append(names, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		before := len(names)
		for _, e := range entries { // in the order of names
			if formatOf(e.Name()) != "" && !strings.HasPrefix(e.Name(), ".") && !e.IsDir() {
				names = append(names, filepath.Join(path, e.Name()))
			}
		}
		if len(names) == before {
			return nil, Problems{{Origin{path, 1, 0}, "the directory contains no .csv, .tsv, .yaml, .yml or .json file"}}
		}
	}
	return slices.Compact(names), nil
}

func formatOf(name string) string {
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv", ".tsv":
		return "csv"
	case ".yaml", ".yml", ".json":
		return "yaml"
	}
	return ""
}

// Parse parses and checks files as one inventory. The error, if any, is Problems; the set is nil then.
func Parse(files []File, o Options) (*Set, error) {
	c := &collector{zones: o.Zones}
	for _, f := range files {
		if !c.checkText(f) {
			continue
		}
		switch formatOf(f.Path) {
		case "csv":
			c.readCSV(f.Path, bytes.TrimPrefix(f.Text, []byte("\ufeff")))
		case "yaml":
			c.readYAML(f.Path, bytes.TrimPrefix(f.Text, []byte("\ufeff")))
		default:
			c.problem(Origin{f.Path, 1, 0}, "unknown type of file; .csv, .tsv, .yaml, .yml or .json is needed")
		}
	}
	set := c.finish()
	c.checkMembers(set, o.MinMembers)
	if len(c.problems) > 0 {
		return nil, c.problems.sorted()
	}
	if len(set.Nodes) == 0 {
		return nil, Problems{{Origin{strings.Join(pathsOf(files), ", "), 1, 0}, "the inventory contains no nodes"}}
	}
	return set, nil
}

func pathsOf(files []File) []string {
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = f.Path
	}
	return names
}

// checkText rejects files that are empty, not UTF-8 or contain NUL bytes or merge conflicts.
func (c *collector) checkText(f File) bool {
	before := len(c.problems)
	if len(bytes.TrimSpace(f.Text)) == 0 {
		c.problem(Origin{f.Path, 1, 0}, "the file is empty")
		return false
	}
	n := 0
	for line := range bytes.Lines(f.Text) {
		n++
		at := Origin{f.Path, n, 0}
		if i := bytes.IndexByte(line, 0); i >= 0 {
			at.Column = i + 1
			c.problem(at, "the line contains a NUL byte")
		} else if !utf8.Valid(line) {
			at.Column = 1 + invalidAt(line)
			c.problem(at, "not UTF-8 text")
		}
		if bytes.HasPrefix(line, []byte("<<<<<<< ")) || bytes.HasPrefix(line, []byte(">>>>>>> ")) ||
			bytes.Equal(bytes.TrimRight(line, "\r\n"), []byte("=======")) {
			c.problem(at, "unresolved merge conflict")
		}
	}
	return len(c.problems) == before
}

func invalidAt(line []byte) int {
	for i := 0; i < len(line); {
		r, size := utf8.DecodeRune(line[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return 0
}

// checkMembers records a problem for each slice with fewer than least nodes, or with none. Nodes with state gone don't
// count.
func (c *collector) checkMembers(set *Set, least int) {
	count, first := map[string]int{}, map[string]*Node{}
	for i := range set.Nodes {
		n := &set.Nodes[i]
		if first[n.Slice] == nil {
			first[n.Slice] = n
		}
		if n.State != Removed {
			count[n.Slice]++
		}
	}
	for _, n := range set.Nodes {
		if n.Slice != "" && first[n.Slice].Name == n.Name && count[n.Slice] < max(1, least) {
			c.problem(n.Origin, "slice %q has %d members that are not gone; at least %d are needed", n.Slice, count[n.Slice], max(1, least))
		}
	}
}

// Digest returns a hash of the paths and contents of files, to detect changes.
func Digest(files []File) uint64 {
	d := xxhash.New()
	for _, f := range files {
		fmt.Fprintf(d, "%s\x00%d\x00", f.Path, len(f.Text))
		d.Write(f.Text)
	}
	return d.Sum64()
}
