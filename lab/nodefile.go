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

// fileNoticeDelay is the time for which a file must be unchanged until every driver counts as notified of its
// content.
const fileNoticeDelay = 600 * time.Millisecond

// nodeFile is an inventory file that drivers follow. It is written in several formats and ways, and corrupted on
// request.
type nodeFile struct {
	dir  string
	path string

	mu                 sync.Mutex
	rng                *rand.Rand
	nodes              []settings.Node
	text               string // valid content
	activeReplacements int    // running calls of replaceWhile; writes are deferred until they end
	replaceCount       int
	generation         int                         // number of changes of the content
	onReadable         func(nodes []settings.Node) // called when drivers may read the content
	onNoticed          func(nodes []settings.Node) // called when every driver has read the content
}

// markPublished calls onReadable now and onNoticed after fileNoticeDelay, unless the file changes before. The caller
// holds mu.
func (f *nodeFile) markPublished() {
	f.generation++
	generation, nodes := f.generation, f.nodes
	if f.onReadable != nil {
		f.onReadable(nodes)
	}
	time.AfterFunc(fileNoticeDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.generation == generation && f.onNoticed != nil {
			f.onNoticed(nodes)
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

// write puts the nodes into the file, as a list or in Ansible's format: by rename, by one write or in pieces.
func (f *nodeFile) write(nodes []settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes, f.text = nodes, listOf(nodes)
	if f.rng.IntN(2) == 0 {
		f.text = ansibleOf(nodes)
	}
	if f.activeReplacements > 0 {
		return
	}
	defer f.markPublished()
	switch f.rng.IntN(3) {
	case 0:
		f.replace(f.text)
	case 1:
		os.WriteFile(f.path, []byte(f.text), 0o600)
	default:
		f.writeInPieces(f.text)
	}
}

func (f *nodeFile) replace(text string) {
	f.replaceCount++
	if os.WriteFile(f.path+".new", []byte(text), 0o600) == nil {
		os.Rename(f.path+".new", f.path)
	}
}

func (f *nodeFile) writeInPieces(text string) {
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

// corrupt replaces the content until wait returns.
func (f *nodeFile) corrupt(change func(text string) string, wait func()) {
	f.replaceWhile(func() { f.replace(change(f.text)) }, wait)
}

// remove removes the file until wait returns.
func (f *nodeFile) remove(wait func()) {
	f.replaceWhile(func() { os.Remove(f.path) }, wait)
}

// replaceWhile calls do and wait, and then restores the valid content, unless another call is still running.
func (f *nodeFile) replaceWhile(do, wait func()) {
	f.mu.Lock()
	f.activeReplacements++
	f.generation++
	do()
	f.mu.Unlock()
	wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.activeReplacements--; f.activeReplacements == 0 {
		f.replace(f.text)
		f.markPublished()
	}
}

// replaceRepeatedly replaces the file with its own content many times, pausing while it is corrupted.
func (f *nodeFile) replaceRepeatedly(ctx context.Context, times int) {
	for n := 0; n < times && ctx.Err() == nil; {
		f.mu.Lock()
		if f.activeReplacements == 0 {
			f.replace(f.text)
			n++
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func stateOf(n settings.Node) string {
	return map[balance.Life]string{balance.LifeReady: "ready", balance.LifeDraining: "draining", balance.LifeRemoved: "gone"}[n.Life]
}

func fieldsOf(n settings.Node, indent string) string {
	host, port, _ := strings.Cut(n.Address, ":")
	text := fmt.Sprintf("%shost: %q\n%sport: %s\n%shall: %q\n%sstate: %s\n", indent, host, indent, port, indent, n.Zone, indent, stateOf(n))
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
