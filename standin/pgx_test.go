package standin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"
)

func testConfig() Config {
	return Config{Cores: 4, Read: time.Millisecond, Write: time.Millisecond, ShipDelay: time.Millisecond,
		ReplayTime: 100 * time.Microsecond, MaxConns: 50, ColdFrom: 0.2, RampTime: time.Second}
}

func newGroup(t *testing.T, cfg Config, members int) (*Group, *Trace) {
	t.Helper()
	trace := NewTrace()
	g := NewGroup("news", time.Minute, trace)
	for i := range members {
		if _, err := g.AddNode(fmt.Sprintf("db%d", i), "north", cfg); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(g.Close)
	return g, trace
}

func connect(t *testing.T, n *Node, password string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://pgx:%s@%s/kv?sslmode=prefer", password, n.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// TestPgxAsClient checks that pgx, an independent PostgreSQL client, works against the simulated nodes.
func TestPgxAsClient(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	for _, params := range []bool{false, true} {
		cfg := testConfig()
		cfg.Password, cfg.ReportParameters = "leyndarmál", params
		g, trace := newGroup(t, cfg, 2)
		p := connect(t, g.Nodes()[0], cfg.Password)
		if tag, err := p.Exec(t.Context(), "insert into kv (key, value) values ($1, $2)", "a", "one"); err != nil || tag.RowsAffected() != 1 {
			t.Fatalf("%v, %v", tag, err)
		}
		var value string
		var lsn int64
		if err := p.QueryRow(t.Context(), "select value, lsn from kv where key = $1 and $2 <> ''", "a", "m").Scan(&value, &lsn); err != nil || value != "one" || lsn == 0 {
			t.Fatalf("%q at %d, %v", value, lsn, err)
		}
		rows, err := p.Query(t.Context(), "select n from generate_series(1, $1)", 5000)
		if err != nil {
			t.Fatal(err)
		}
		all, err := pgx.CollectRows(rows, pgx.RowTo[int64])
		if err != nil || len(all) != 5000 || all[4999] != 5000 {
			t.Fatalf("%d rows, %v", len(all), err)
		}
		var pgErr *pgconn.PgError
		if _, err := p.Exec(t.Context(), "select 1/0"); !errors.As(err, &pgErr) || pgErr.Code != "22012" {
			t.Errorf("division by zero: %v", err)
		}
		r := connect(t, g.Nodes()[1], cfg.Password)
		if _, err := r.Exec(t.Context(), "insert into kv (key, value) values ($1, $2)", "a", "two"); !errors.As(err, &pgErr) || pgErr.Code != "25006" {
			t.Errorf("a write at a replica: %v", err)
		}
		if _, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://pgx:rangt@%s/kv", g.Nodes()[0].Addr())); !errors.As(err, &pgErr) || pgErr.Code != "28P01" {
			t.Errorf("a wrong password: %v", err)
		}
		if n := len(trace.Statements()); n < 5 {
			t.Errorf("%d statements recorded", n)
		}
		p.Close(t.Context())
		r.Close(t.Context())
		g.Close()
	}
}

func read(t *testing.T, c *pgx.Conn, key string) (value string) {
	t.Helper()
	err := c.QueryRow(t.Context(), "select value, lsn from kv where key = $1", key).Scan(&value, new(int64))
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		t.Fatal(err)
	}
	return value
}

// TestLagAndPromotion: a lagging replica shows old data, and its promotion loses the commits it had not replayed.
func TestLagAndPromotion(t *testing.T) {
	g, _ := newGroup(t, testConfig(), 3)
	nodes := g.Nodes()
	p, r := connect(t, nodes[0], "x"), connect(t, nodes[1], "x")
	write := func(c *pgx.Conn, value string) {
		t.Helper()
		if _, err := c.Exec(t.Context(), "insert into kv (key, value) values ($1, $2)", "a", value); err != nil {
			t.Fatal(err)
		}
	}
	write(p, "one")
	for read(t, r, "a") != "one" {
		time.Sleep(time.Millisecond)
	}
	nodes[1].SlowReplay(1e6)
	nodes[2].SlowReplay(1e6)
	write(p, "two")
	if v := read(t, r, "a"); v != "one" {
		t.Errorf("the lagging replica has %q", v)
	}
	g.Promote(nodes[1])
	if v := read(t, r, "a"); v != "one" {
		t.Errorf("the new primary has %q", v)
	}
	write(r, "three")
	if v := read(t, p, "a"); v != "two" {
		t.Errorf("the old primary, still running, has %q", v)
	}
	commits := g.Commits()
	if len(commits) != 3 || g.Survives(commits[1].Position, 2) || !g.Survives(commits[0].Position, 2) {
		t.Errorf("wrong commits survive on timeline 2: %+v", commits)
	}
	nodes[0].Crash()
	if err := nodes[0].Restart(); err != nil {
		t.Fatal(err)
	}
	old := connect(t, nodes[0], "x")
	for read(t, old, "a") != "three" {
		time.Sleep(time.Millisecond)
	}
}
