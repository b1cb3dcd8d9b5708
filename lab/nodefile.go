package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"umberladder/balance"
	"umberladder/settings"
)

// noticeFile is how long a file must stand unchanged for every driver to count as told of what it says.
const noticeFile = 600 * time.Millisecond

// nodeFile is an inventory that drivers follow, written in one of several forms and ways, and spoilt on wish.
type nodeFile struct {
	dir  string
	path string

	mu    sync.Mutex
	rng   *rand.Rand
	nodes []settings.Node
	text  string // as it should stand
	holds int    // so many spoil it now; what is written meanwhile comes to light after
	swaps int
	gen   int                         // how often its content changed
	there func(nodes []settings.Node) // it may be read from now on
	stood func(nodes []settings.Node) // every driver has read it
}

// landed takes note that what the file should say is there. Called with the lock held.
func (f *nodeFile) landed() {
	f.gen++
	gen, nodes := f.gen, f.nodes
	if f.there != nil {
		f.there(nodes)
	}
	time.AfterFunc(noticeFile, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.gen == gen && f.stood != nil {
			f.stood(nodes)
		}
	})
}

func newNodeFile(dir string, seed uint64) *nodeFile {
	return &nodeFile{dir: dir, path: filepath.Join(dir, "nodes.yaml"), rng: rand.New(rand.NewPCG(seed, 99))}
}

func (f *nodeFile) settings(driver string) string {
	return fmt.Sprintf("inventory %s\nstate dir %s\nmembership {\n    confirm-after 4s\n    step 100ms\n}\n", f.path, f.stateDir(driver))
}

func (f *nodeFile) stateDir(driver string) string {
	dir := filepath.Join(f.dir, driver)
	os.MkdirAll(dir, 0o700)
	return dir
}

// write puts the nodes into the file: as a list or in Ansible's form, by rename, at once or in pieces.
func (f *nodeFile) write(nodes []settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes, f.text = nodes, listOf(nodes)
	if f.rng.IntN(2) == 0 {
		f.text = ansibleOf(nodes)
	}
	if f.holds > 0 {
		return
	}
	defer f.landed()
	switch f.rng.IntN(3) {
	case 0:
		f.rename(f.text)
	case 1:
		os.WriteFile(f.path, []byte(f.text), 0o600)
	default:
		f.pieces(f.text)
	}
}

func (f *nodeFile) rename(text string) {
	f.swaps++
	if os.WriteFile(f.path+".new", []byte(text), 0o600) == nil {
		os.Rename(f.path+".new", f.path)
	}
}

func (f *nodeFile) pieces(text string) {
	file, err := os.Create(f.path)
	if err != nil {
		return
	}
	defer file.Close()
	for k, line := range strings.SplitAfter(text, "\n") {
		file.WriteString(line)
		if k%4 == 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// spoil puts something else in the file's place for a while.
func (f *nodeFile) spoil(what func(text string) string, wait func()) {
	f.hold(func() { f.rename(what(f.text)) }, wait)
}

// vanish takes the file away for a while.
func (f *nodeFile) vanish(wait func()) {
	f.hold(func() { os.Remove(f.path) }, wait)
}

// hold does something to the file, and after the wait puts it right again, unless somebody else holds it still.
func (f *nodeFile) hold(do, wait func()) {
	f.mu.Lock()
	f.holds++
	f.gen++
	do()
	f.mu.Unlock()
	wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holds--; f.holds == 0 {
		f.rename(f.text)
		f.landed()
	}
}

// swap replaces the file by itself many times, pausing while it is spoilt.
func (f *nodeFile) swap(ctx context.Context, times int) {
	for n := 0; n < times && ctx.Err() == nil; {
		f.mu.Lock()
		if f.holds == 0 {
			f.rename(f.text)
			n++
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func stateOf(n settings.Node) string {
	return map[balance.Life]string{balance.LifeReady: "ready", balance.LifeDraining: "draining", balance.LifeGone: "gone"}[n.Life]
}

func fieldsOf(n settings.Node, indent string) string {
	host, port, _ := strings.Cut(n.Address, ":")
	text := fmt.Sprintf("%shost: %q\n%sport: %s\n%shall: %q\n%sstate: %s\n", indent, host, indent, port, indent, n.Hall, indent, stateOf(n))
	if !n.Started.IsZero() {
		text += fmt.Sprintf("%sstarted: %q\n", indent, n.Started.Format(time.RFC3339Nano))
	}
	return text
}

func listOf(nodes []settings.Node) string {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for _, n := range nodes {
		fmt.Fprintf(&b, "  - name: %q\n    slice: %q\n%s", n.Name, n.Slice, fieldsOf(n, "    "))
	}
	return b.String()
}

func ansibleOf(nodes []settings.Node) string {
	var b strings.Builder
	b.WriteString("all:\n  children:\n")
	done := map[string]bool{}
	for _, first := range nodes {
		if done[first.Slice] {
			continue
		}
		done[first.Slice] = true
		fmt.Fprintf(&b, "    %s:\n      vars:\n        slice: %q\n      hosts:\n", first.Slice, first.Slice)
		for _, n := range nodes {
			if n.Slice == first.Slice {
				fmt.Fprintf(&b, "        %s:\n%s", n.Name, fieldsOf(n, "          "))
			}
		}
	}
	return b.String()
}
