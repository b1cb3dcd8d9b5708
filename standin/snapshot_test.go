package standin

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"umberladder/position"
)

// reportedSnapshot returns the snapshot that a node reports.
func (n *Node) reportedSnapshot(t *testing.T) position.Snapshot {
	t.Helper()
	s, err := position.ParseSnapshot(n.facts().snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startWrite runs a write in a goroutine and returns a channel that receives its result.
func startWrite(t *testing.T, c *pgx.Conn, value string) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), "insert into kv (key, value) values ($1, $2)", "a", value)
		done <- err
	}()
	return done
}

// waitLogged waits until the group has logged n commits.
func waitLogged(g *Group, n int) {
	for len(g.Commits()) < n {
		time.Sleep(time.Millisecond)
	}
}

// TestLoggedBeforeVisible: a commit is in the log, and its position reported, before the primary shows it.
func TestLoggedBeforeVisible(t *testing.T) {
	cfg := testConfig()
	cfg.CommitDelay = 200 * time.Millisecond
	g, _ := newGroup(t, cfg, 1)
	p := g.Nodes()[0]
	w, r := connect(t, p, "x"), connect(t, p, "x")
	before := p.facts().at.LSN
	done := startWrite(t, w, "one")
	waitLogged(g, 1)
	if v, at := read(t, r, "a"), p.facts().at.LSN; v != "" || at <= before {
		t.Errorf("read %q at LSN %d; LSN %d before the write", v, at, before)
	}
	if err := <-done; err != nil || read(t, r, "a") != "one" {
		t.Errorf("after the write was answered: %v, read %q", err, read(t, r, "a"))
	}
}

// TestRemoteApply: a commit waits until a standby has replayed it; the standby shows it before the primary does, while the
// primary reports its transaction as in progress.
func TestRemoteApply(t *testing.T) {
	cfg := testConfig()
	cfg.RemoteApply = 2
	g, _ := newGroup(t, cfg, 3)
	nodes := g.Nodes()
	nodes[2].Pause(true)
	w, p, r := connect(t, nodes[0], "x"), connect(t, nodes[0], "x"), connect(t, nodes[1], "x")
	done := startWrite(t, w, "one")
	for read(t, r, "a") != "one" {
		time.Sleep(time.Millisecond)
	}
	if v := read(t, p, "a"); v != "" {
		t.Errorf("the primary shows %q while a standby has not replayed it", v)
	}
	if next, oldest := nodes[1].reportedSnapshot(t).Next, nodes[0].reportedSnapshot(t).Oldest; next <= oldest {
		t.Errorf("the standby shows transactions below %d, the primary reports none in progress below %d", next, oldest)
	}
	nodes[2].Pause(false)
	if err := <-done; err != nil || read(t, p, "a") != "one" {
		t.Errorf("after the write was answered: %v, read %q", err, read(t, p, "a"))
	}
	if next, oldest := nodes[1].reportedSnapshot(t).Next, nodes[0].reportedSnapshot(t).Oldest; next > oldest {
		t.Errorf("after the commit: the standby shows transactions below %d, the primary reports none in progress below %d", next, oldest)
	}
}

// TestPause: a paused replica receives the log, but keeps its position and shows the same data.
func TestPause(t *testing.T) {
	g, _ := newGroup(t, testConfig(), 2)
	p, n := connect(t, g.Nodes()[0], "x"), g.Nodes()[1]
	r := connect(t, n, "x")
	n.Pause(true)
	time.Sleep(5 * time.Millisecond)
	at := n.facts().at
	if err := <-startWrite(t, p, "one"); err != nil {
		t.Fatal(err)
	}
	for n.facts().received == at.LSN {
		time.Sleep(time.Millisecond)
	}
	if v := read(t, r, "a"); v != "" || n.facts().at != at {
		t.Errorf("the paused replica shows %q at %v", v, n.facts().at)
	}
	n.Pause(false)
	for read(t, r, "a") != "one" {
		time.Sleep(time.Millisecond)
	}
}

// TestVisibleBeforePosition: a replica shows a commit before its position moves past the record.
func TestVisibleBeforePosition(t *testing.T) {
	g, _ := newGroup(t, testConfig(), 2)
	n := g.Nodes()[1]
	p, r := connect(t, g.Nodes()[0], "x"), connect(t, n, "x")
	n.SlowReplay(20000) // two seconds per record
	at := n.facts().at
	if err := <-startWrite(t, p, "one"); err != nil {
		t.Fatal(err)
	}
	for read(t, r, "a") != "one" {
		time.Sleep(time.Millisecond)
	}
	if f := n.facts(); f.at != at || f.received <= at.LSN {
		t.Errorf("facts %+v: the position moved before the commit was visible, or the record was never received", f)
	}
}

// TestSnapshots: with read committed a statement sees commits from before it began, and one that reads through a volatile
// function also commits made while it ran; with repeatable read the transaction's first statement takes the snapshot.
func TestSnapshots(t *testing.T) {
	for _, c := range []struct {
		repeatable bool
		sql        string
		want       string
	}{
		{false, "select value, lsn from kv where key = $1", "one"},
		{false, "select value, lsn from kv_late($1)", "two"},
		{true, "select value, lsn from kv_late($1)", "one"},
	} {
		cfg := testConfig()
		cfg.Read, cfg.RepeatableRead = 200*time.Millisecond, c.repeatable
		g, trace := newGroup(t, cfg, 1)
		w, r := connect(t, g.Nodes()[0], "x"), connect(t, g.Nodes()[0], "x")
		if err := <-startWrite(t, w, "one"); err != nil {
			t.Fatal(err)
		}
		if _, err := r.Prepare(t.Context(), "q", c.sql); err != nil {
			t.Fatal(err)
		}
		n := len(trace.Statements())
		got := make(chan string, 1)
		go func() {
			var value string
			r.QueryRow(t.Context(), "q", "a").Scan(&value, new(int64))
			got <- value
		}()
		for len(trace.Statements()) == n {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		if err := <-startWrite(t, w, "two"); err != nil {
			t.Fatal(err)
		}
		if v := <-got; v != c.want {
			t.Errorf("repeatable read %v, %s: read %q, want %q", c.repeatable, c.sql, v, c.want)
		}
		g.Close()
	}
}

// TestAsynchronousCommit: the commit is visible, answered and its position reported at once; a crash before the flush to
// disk loses it.
func TestAsynchronousCommit(t *testing.T) {
	cfg := testConfig()
	cfg.FlushDelay = time.Hour
	g, _ := newGroup(t, cfg, 2)
	nodes := g.Nodes()
	w, r := connect(t, nodes[0], "x"), connect(t, nodes[0], "x")
	before := nodes[0].facts().at.LSN
	if err := <-startWrite(t, w, "one"); err != nil {
		t.Fatal(err)
	}
	if v, at := read(t, r, "a"), nodes[0].facts().at.LSN; v != "one" || at <= before {
		t.Errorf("read %q at LSN %d; LSN %d before the write", v, at, before)
	}
	nodes[0].Crash()
	g.Promote(nodes[1])
	if err := nodes[0].Restart(); err != nil {
		t.Fatal(err)
	}
	if v := read(t, connect(t, nodes[1], "x"), "a"); v != "" {
		t.Errorf("after the crash the new primary has %q", v)
	}
	if kept, lost := g.Log(); len(kept) != 0 || len(lost) != 1 {
		t.Errorf("%d kept, %d lost", len(kept), len(lost))
	}
}
