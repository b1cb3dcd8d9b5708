package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"umberladder/lab"
	"umberladder/server"
)

// control sends a request to a driver's control socket.
func control(t *testing.T, socket, method, path string) (st server.InventoryStatus) {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}
	defer transport.CloseIdleConnections()
	req, _ := http.NewRequestWithContext(t.Context(), method, "http://driver"+path, nil)
	for try := 0; ; try++ {
		res, err := (&http.Client{Transport: transport}).Do(req)
		if err == nil {
			defer res.Body.Close()
			if err := json.NewDecoder(res.Body).Decode(&st); err != nil {
				t.Fatal(err)
			}
			return st
		}
		if try == 100 {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for try := 0; !done(); try++ {
		if try == 500 {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestInventoryFile: nodes that a shorter file lacks are held until confirmed; an invalid file changes nothing and is
// reported; a start with an invalid file uses the last valid one, and fails without one.
func TestInventoryFile(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "control")
	path := filepath.Join(dir, "nodes.yaml")
	f := newFleet(t, lab.Spec{Members: 4, Dir: dir, ExtraSettings: "state control " + socket + "\n"})
	must(t, f, writeReq("a", "one"))
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var short strings.Builder
	short.WriteString("nodes:\n")
	for _, n := range f.Groups[0].Nodes()[:2] {
		host, port, _ := net.SplitHostPort(n.Addr())
		fmt.Fprintf(&short, "  - {name: %s, host: %s, port: %s, slice: %s, hall: %s}\n", n.Name, host, port, f.Groups[0].Name, n.Zone)
	}
	write(t, path, short.String(), 0o600)
	until(t, "two nodes are held", func() bool { return len(control(t, socket, "GET", "/inventory").Held) == 2 })
	if st := control(t, socket, "GET", "/inventory"); st.Members != 4 {
		t.Errorf("%d current nodes", st.Members)
	}
	if st := control(t, socket, "POST", "/inventory/confirm"); st.Members != 2 || len(st.Held) != 0 {
		t.Errorf("after the confirmation: %+v", st)
	}
	must(t, f, readReq("stats", "a", ""))
	write(t, path, "nodes: [", 0o600)
	until(t, "the file is reported as invalid", func() bool { return control(t, socket, "GET", "/inventory").Error != "" })
	if st := control(t, socket, "GET", "/inventory"); st.Members != 2 || st.ErrorSince == nil || !strings.Contains(st.Error, path+":1") {
		t.Errorf("with an invalid file: %+v", st)
	}
	must(t, f, readReq("stats", "a", ""))
	if err := f.Drivers[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := f.Start(f.Drivers[0]); err != nil {
		t.Fatalf("start with the last valid inventory: %v", err)
	}
	must(t, f, readReq("stats", "a", ""))
	s, err := f.Settings(f.Drivers[0])
	if err != nil {
		t.Fatal(err)
	}
	s.StateDir, s.Control = t.TempDir(), ""
	if _, err := server.New(s, zap.NewNop(), 1); err == nil || !strings.Contains(err.Error(), "no inventory to start with") {
		t.Errorf("start without any inventory: %v", err)
	}
	write(t, path, string(text), 0o600)
	until(t, "the file is valid again", func() bool { return control(t, socket, "GET", "/inventory").Error == "" })
}

// TestReplacedInventoryFile: no request is lost while the inventory file is replaced a thousand times under load.
func TestReplacedInventoryFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "nodes.yaml")
	f := newFleet(t, lab.Spec{Dir: dir})
	must(t, f, writeReq("a", "one"))
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			write(t, path+".new", string(text), 0o600)
			os.Rename(path+".new", path)
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-done:
			if n == 0 {
				t.Error("no request was served in the meantime")
			}
			return
		default:
			must(t, f, readReq("desk-check", "a", ""))
		}
	}
}

// BenchmarkNotice measures the time from a change of the inventory file to the first new connection to the node
// added.
//
//	go test ./server -run '^$' -bench Notice -benchtime 5x
func BenchmarkNotice(b *testing.B) {
	dir := b.TempDir()
	f, err := lab.NewFleet(lab.Spec{Slices: 1, Members: 3, Drivers: 1, Node: lab.SmallNode, Dir: dir})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	g := f.Groups[0]
	for i := range b.N {
		time.Sleep(300 * time.Millisecond)
		n, err := g.AddNode(fmt.Sprintf("new%d", i), "reykjavik-a", lab.SmallNode)
		if err != nil {
			b.Fatal(err)
		}
		before := f.Trace.TotalConns()
		b.StartTimer()
		f.AddNode(lab.NodeOf(n))
		for f.Trace.TotalConns() == before {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
	}
}

// TestStatusOfNodes: the status names a listed node that is unreachable, with cause and time, and an unlisted standby
// that follows a listed primary. The other nodes keep serving.
func TestStatusOfNodes(t *testing.T) {
	dir := t.TempDir()
	socket, path := filepath.Join(dir, "control"), filepath.Join(dir, "nodes.csv")
	f := newFleet(t, lab.Spec{})
	nodes := f.Groups[0].Nodes()
	cfg := lab.SmallNode
	cfg.StandbyHost = "127.0.0.77"
	if _, err := f.Groups[0].AddColdNode("stray", "h", cfg, 0); err != nil {
		t.Fatal(err)
	}
	text := "name,host,port,slice,hall\n"
	for _, n := range nodes {
		host, port, _ := net.SplitHostPort(n.Addr())
		text += fmt.Sprintf("%s,%s,%s,slice0,%s\n", n.Name, host, port, n.Zone)
	}
	write(t, path, text+"far,127.0.0.1,1,slice0,"+nodes[0].Zone+"\n", 0o600)
	s, err := f.Settings(f.Drivers[0])
	if err != nil {
		t.Fatal(err)
	}
	s.Nodes, s.Inventory, s.Control = nil, []string{path}, socket
	srv, err := server.New(s, zap.NewNop(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	defer func() {
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	until(t, "the unreachable and the unlisted node are reported", func() bool {
		st := control(t, socket, http.MethodGet, "/inventory")
		return len(st.Unreachable) == 1 && st.Unreachable[0].Node == "far" && strings.Contains(st.Unreachable[0].Why, "refused") &&
			len(st.Unlisted) == 1 && st.Unlisted[0].Address == "127.0.0.77" && st.Members == 4
	})
}
