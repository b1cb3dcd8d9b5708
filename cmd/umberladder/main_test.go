package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberladder/lab"
	"umberladder/lab/memory"
)

// run runs the program with arguments and returns the texts of standard output and standard error.
func run(t *testing.T, args ...string) (out, errs string, err error) {
	t.Helper()
	var o, e bytes.Buffer
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(&o)
	root.SetErr(&e)
	err = root.ExecuteContext(context.Background())
	return o.String(), e.String(), err
}

// TestQueryAndToken writes a row, shows the token of the answer, and reads with the token and as a stream.
func TestQueryAndToken(t *testing.T) {
	f, err := lab.NewFleet(lab.Spec{Slices: 1, Members: 3, Drivers: 1, Node: lab.SmallNode})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	query := func(class, statement string, args ...string) string {
		t.Helper()
		all := append([]string{"query", "--driver", f.Drivers[0].Addr(), "--slice", "slice0", "--class", class}, args...)
		out, _, err := run(t, append(all, statement, "a", "mark")...)
		for try := 0; err != nil && strings.Contains(err.Error(), "Unavailable") && try < 20; try++ {
			out, _, err = run(t, append(all, statement, "a", "mark")...)
		}
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	out := query("write", "insert into kv (key, value) values ($1, $2)")
	_, tokenText, _ := strings.Cut(strings.TrimSpace(out), "token ")
	if shown, _, err := run(t, "token", "show", "--slice", "slice0", tokenText); err != nil || !strings.HasPrefix(shown, "slice0 1:0/") {
		t.Errorf("token show: %q, %v", shown, err)
	}
	const read = "select value, lsn from kv where key = $1 and $2 <> ''"
	if out := query("own-read", read, "--token", tokenText); !strings.Contains(out, "value  lsn") || !strings.Contains(out, "mark") {
		t.Errorf("read: %s", out)
	}
	if out := query("stats", read, "--stream"); !strings.Contains(out, "mark\t") {
		t.Errorf("stream: %s", out)
	}
	if _, _, err := run(t, "query", "--driver", f.Drivers[0].Addr(), "--slice", "slice0", "--class", "write", "--token", "%%", "x"); err == nil || !strings.Contains(err.Error(), "InvalidArgument: token: not base64url") {
		t.Errorf("a malformed token: %v", err)
	}
}

func TestCheckAndInventory(t *testing.T) {
	dir := t.TempDir()
	bad, good, nodes := filepath.Join(dir, "bad.conf"), filepath.Join("..", "..", "docs", "umberladder.conf"), filepath.Join(dir, "n.csv")
	os.WriteFile(bad, []byte("rond 3\n"), 0o600)
	os.WriteFile(nodes, []byte("name,host,slice\ndb1,10.0.0.1,news\ndb2,10.0.0.2,news\n"), 0o600)
	if _, errs, err := run(t, "check", bad); err == nil || !strings.Contains(errs, bad+`:1:1: unknown directive "rond"; did you mean "round"?`) {
		t.Errorf("%s, %v", errs, err)
	}
	if out, _, err := run(t, "check", good); err != nil || !strings.Contains(out, "3 classes, 3 nodes") {
		t.Errorf("%s, %v", out, err)
	}
	if out, _, err := run(t, "config", "show", good); err != nil || !strings.Contains(out, "[default]") {
		t.Errorf("%s, %v", out, err)
	}
	if out, _, err := run(t, "inventory", "show", "--format", "json", nodes); err != nil || !strings.Contains(out, `"name": "db1"`) {
		t.Errorf("%s, %v", out, err)
	}
	os.WriteFile(filepath.Join(dir, "b.csv"), []byte("name,host,slice\ndb1,10.0.0.1,news\n"), 0o600)
	if out, _, err := run(t, "inventory", "diff", nodes, filepath.Join(dir, "b.csv")); err != nil || !strings.Contains(out, "hold  news  db2") {
		t.Errorf("%s, %v", out, err)
	}
	os.WriteFile(nodes, []byte("name,host,slice\ndb1,10.0.0.1,\n"), 0o600)
	if _, errs, err := run(t, "inventory", "check", nodes); err == nil || !strings.Contains(errs, nodes+":2:") {
		t.Errorf("%s, %v", errs, err)
	}
}

// TestLoad runs the documented load plan against two drivers; a goal that can't be met is reported as missed.
func TestLoad(t *testing.T) {
	f, err := lab.NewFleet(lab.Spec{Slices: 1, Members: 3, Drivers: 2, Node: lab.SmallNode})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	args := []string{"load", "../../docs/examples/newsroom.load", "--quiet", "--driver", f.Drivers[0].Addr(), "--driver", f.Drivers[1].Addr(), "--slice", "slice0",
		"--rate", "60", "--for", "1500ms", "--warm-up", "700ms", "--require", "served(all) > 20%"}
	out, _, err := run(t, args...)
	if err != nil && !strings.Contains(out, "void") || !strings.Contains(out, "own-read") {
		t.Errorf("%v:\n%s", err, out)
	}
	if out, _, err = run(t, append(args, "--require", "p50(own-read) < 1us")...); err != errReported || !strings.Contains(out, "MISSED  p50(own-read) < 1us") {
		t.Errorf("a goal that can't be met: %v:\n%s", err, out)
	}
}

// TestLabMemory runs the memory bench with the test program as the driver's process.
func TestLabMemory(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(runAsProgramEnv, "1")
	r, err := memory.Run(memory.Spec{Program: program, MemoryLimit: 192 << 20, Streams: 5000, Nodes: 1000, ReachableNodes: 50, SlowReaders: 60, BurstCalls: 1000})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if r.Write(&out); r.Broken() > 0 {
		t.Error(out.String())
	}
}

// runAsProgramEnv is the environment variable that makes the test program run as umberladder.
const runAsProgramEnv = "UMBERLADDER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}
