package soak

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestSoak plays seeds with each series of signals, a crowd and each trouble at members through the built program.
// `umberladder lab soak --seeds A-B` plays others.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "umberladder")
	if out, err := exec.Command("go", "build", "-o", program, "umberladder/cmd/umberladder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const first, last = 101, 116
	var out bytes.Buffer
	s := &Series{Program: program, Keep: t.TempDir(), Procs: 2, Out: &out}
	if err := s.Play(t.Context(), first, last); err != nil {
		t.Fatal(err)
	}
	if s.Write(&out); s.Broken() > 0 || len(s.Results()) != last-first+1 {
		t.Error(out.String())
	}
	for _, sum := range s.sums() {
		if sum.Chances == 0 {
			t.Errorf("%s: no chance to be broken", sum.Name)
		}
	}
}

// TestPlansDiffer: the seeds of TestSoak have all series of signals and troubles, a crowd and none.
func TestPlansDiffer(t *testing.T) {
	signals, troubles, crowds := map[Signals]bool{}, map[MemberTrouble]bool{}, map[bool]bool{}
	for seed := uint64(101); seed <= 116; seed++ {
		p := Draw(seed)
		signals[p.Signals], troubles[p.Trouble], crowds[p.Crowd] = true, true, true
	}
	if len(signals) != int(signalSeries) || len(troubles) != int(memberTroubles) || len(crowds) != 2 {
		t.Errorf("signals %v, troubles %v, crowds %v", signals, troubles, crowds)
	}
}

// TestRequestBehindTheEnd: a client that sends on a connection whose end it has read has sent nothing. Such a request used
// to wait for good in a queue that nobody looked at any more, and counted as unanswered: seed 116, once beside load, "k1c2n94,
// sent 327ms after SIGTERM: no answer".
func TestRequestBehindTheEnd(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go io.Copy(io.Discard, theirs) // what is written goes through, as to a socket that is closed on one side
	k := &connection{Conn: ours, book: &book{}, over: make(chan struct{})}
	defer k.Close()
	c := &client{run: &run{plan: Draw(1), book: k.book}, driver: &process{}, rng: rand.New(rand.NewPCG(1, 1)), current: k}
	k.ended(io.EOF, "")
	r, query := c.next()
	c.send(r, query, false)
	if got := k.book.all()[0]; !got.unsent || len(k.queue) > 0 {
		t.Errorf("unsent %v, ended by %s, %d wait", got.unsent, endingNames[got.end], len(k.queue))
	}
}
