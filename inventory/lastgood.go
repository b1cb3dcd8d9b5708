package inventory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// lastGoodMagic is the start of a file with a last good inventory. Its last byte is the format version.
const lastGoodMagic = "umbinv\x00\x01"

// LastGood is the last inventory without mistakes, and the time at which it was read.
type LastGood struct {
	LoadedAt time.Time
	Set      *Set
}

type storedSet struct {
	Taken int64        `cbor:"1,keyasint"` // nanoseconds since 1970
	Nodes []storedNode `cbor:"2,keyasint"`
}

type storedNode struct {
	Name    string            `cbor:"1,keyasint"`
	Host    string            `cbor:"2,keyasint"`
	Port    int               `cbor:"3,keyasint"`
	Slice   string            `cbor:"4,keyasint"`
	Zone    string            `cbor:"5,keyasint,omitempty"`
	State   State             `cbor:"6,keyasint"`
	Started int64             `cbor:"7,keyasint,omitempty"`
	Labels  map[string]string `cbor:"8,keyasint,omitempty"`
}

// Save replaces the file at path with l. The file is CBOR between a magic number and an xxHash. See ReplaceFile for
// crashes and errors.
func (l *LastGood) Save(path string) error {
	stored := storedSet{Taken: l.LoadedAt.UnixNano()}
	for _, n := range l.Set.Nodes {
		s := storedNode{Name: n.Name, Host: n.Host, Port: n.Port, Slice: n.Slice, Zone: n.Zone, State: n.State, Labels: n.Labels}
		if !n.Started.IsZero() {
			s.Started = n.Started.UnixNano()
		}
		stored.Nodes = append(stored.Nodes, s)
	}
	body, err := cbor.Marshal(stored)
	if err != nil {
		return fmt.Errorf("last good inventory: %w", err)
	}
	text := append([]byte(lastGoodMagic), body...)
	text = binary.BigEndian.AppendUint64(text, xxhash.Sum64(text))
	return ReplaceFile(path, text)
}

// ReplaceFile atomically replaces the contents of the file at path with text, or creates the file: after a crash the file
// is the old or the new one. It writes a temporary file in the same directory, syncs and renames it, and blocks until
// the directory is synced. The error wraps that of the system.
func ReplaceFile(path string, text []byte) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new*")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
			err = fmt.Errorf("%s: %w", path, err)
		}
	}()
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// LoadLastGood reads a file written by Save. The error wraps that of the system, or says that the file is of another
// format or version, is damaged or contains no nodes. The Origin of each node is that file, with the node's number as
// line.
func LoadLastGood(path string) (*LastGood, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("last good inventory: %w", err)
	}
	n := len(lastGoodMagic)
	if len(text) < n+8 || string(text[:n-1]) != lastGoodMagic[:n-1] {
		return nil, fmt.Errorf("last good inventory: %s is not a file of this kind", path)
	}
	if text[n-1] != lastGoodMagic[n-1] {
		return nil, fmt.Errorf("last good inventory: %s has format version %d; only version %d is supported", path, text[n-1], lastGoodMagic[n-1])
	}
	body := text[:len(text)-8]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(text[len(text)-8:]) {
		return nil, fmt.Errorf("last good inventory: %s is damaged: checksum mismatch", path)
	}
	var stored storedSet
	if err := cbor.Unmarshal(body[n:], &stored); err != nil {
		return nil, fmt.Errorf("last good inventory: %s: %w", path, err)
	}
	if len(stored.Nodes) == 0 {
		return nil, errors.New("last good inventory: " + path + " contains no nodes")
	}
	set := &Set{}
	for i, s := range stored.Nodes {
		node := Node{Name: s.Name, Host: s.Host, Port: s.Port, Slice: s.Slice, Zone: s.Zone, State: s.State, Labels: s.Labels,
			Origin: Origin{File: path, Line: i + 1}}
		if node.Labels == nil {
			node.Labels = map[string]string{}
		}
		if s.Started != 0 {
			node.Started = time.Unix(0, s.Started).UTC()
		}
		set.Nodes = append(set.Nodes, node)
	}
	return &LastGood{LoadedAt: time.Unix(0, stored.Taken), Set: set}, nil
}
