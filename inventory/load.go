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

// Options is what an inventory is checked against.
type Options struct {
	Halls      []string // known halls; nil if any will do
	MinMembers int      // nodes that each slice needs at the least, those that are gone not counted
}

// File is one file as it was read.
type File struct {
	Path string
	Text []byte
}

// Load reads and checks files and directories as one inventory. The error is Problems, or what the system said.
func Load(paths []string, o Options) (*Set, error) {
	files, err := ReadFiles(paths)
	if err != nil {
		return nil, err
	}
	return Parse(files, o)
}

// ReadFiles reads what the paths name, directories in the order of their files' names.
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
		if st.Size() > maxFile {
			return nil, Problems{{Origin{name, 1, 0}, fmt.Sprintf("%d bytes, %d at most", st.Size(), maxFile)}}
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		files = append(files, File{name, text})
	}
	return files, nil
}

// List names the files of an inventory.
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
			if kindOf(e.Name()) != "" && !strings.HasPrefix(e.Name(), ".") && !e.IsDir() {
				names = append(names, filepath.Join(path, e.Name()))
			}
		}
		if len(names) == before {
			return nil, Problems{{Origin{path, 1, 0}, "no .csv, .tsv, .yaml, .yml or .json file in this directory"}}
		}
	}
	return slices.Compact(names), nil
}

func kindOf(name string) string {
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv", ".tsv":
		return "csv"
	case ".yaml", ".yml", ".json":
		return "yaml"
	}
	return ""
}

// Parse checks files that were read and makes one inventory of them.
func Parse(files []File, o Options) (*Set, error) {
	c := &collector{halls: o.Halls}
	for _, f := range files {
		if !c.readable(f) {
			continue
		}
		switch kindOf(f.Path) {
		case "csv":
			c.readCSV(f.Path, bytes.TrimPrefix(f.Text, []byte("\ufeff")))
		case "yaml":
			c.readYAML(f.Path, bytes.TrimPrefix(f.Text, []byte("\ufeff")))
		default:
			c.problem(Origin{f.Path, 1, 0}, "neither .csv nor .tsv, .yaml, .yml or .json")
		}
	}
	set := c.whole()
	c.members(set, o.MinMembers)
	if len(c.problems) > 0 {
		return nil, c.problems.sorted()
	}
	if len(set.Nodes) == 0 {
		return nil, Problems{{Origin{strings.Join(pathsOf(files), ", "), 1, 0}, "holds no node"}}
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

// readable looks at what no reader should be given.
func (c *collector) readable(f File) bool {
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
			c.problem(at, "holds a NUL byte")
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

// members checks that no slice is left with fewer nodes than it needs.
func (c *collector) members(set *Set, least int) {
	count, first := map[string]int{}, map[string]*Node{}
	for i := range set.Nodes {
		n := &set.Nodes[i]
		if first[n.Slice] == nil {
			first[n.Slice] = n
		}
		if n.State != Gone {
			count[n.Slice]++
		}
	}
	for _, n := range set.Nodes {
		if n.Slice != "" && first[n.Slice].Name == n.Name && count[n.Slice] < max(1, least) {
			c.problem(n.Origin, "slice %q has %d members that are not gone, %d at the least", n.Slice, count[n.Slice], max(1, least))
		}
	}
}

// Digest tells two readings of the same files apart.
func Digest(files []File) uint64 {
	d := xxhash.New()
	for _, f := range files {
		fmt.Fprintf(d, "%s\x00%d\x00", f.Path, len(f.Text))
		d.Write(f.Text)
	}
	return d.Sum64()
}
