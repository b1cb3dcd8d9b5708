// Package stand has what the cases of the review share: a driver process that is started with the command of the deploy
// file, and stand-ins for members, the discovery agent and clients of the shared platform. All addresses are on loopback.
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"umberladder/pgwire"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NoRun  = 2 // the case could not run
)

// Record writes what was sent, answered and run, one line an event, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Print writes one line to the record and to standard output.
func (r *Record) Print(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Query is one complete query that a member received.
type Query struct {
	Text   string
	ID     string // the request's id, "" for a poll or an empty query
	Conn   int    // number of the connection at this member, from 1
	Number int    // number of the request at this member, from 1
	At     time.Time
}

// Request reports whether the query is a client's request.
func (q *Query) Request() bool { return q.ID != "" }

// Member is a stand-in member. It answers polls and empty queries itself.
type Member struct {
	UID  string
	Addr string

	// Startup is called before a connection's startup is answered; it may wait. nil for an answer at once.
	Startup func(conn int)
	// Request answers a client's request: the messages to be written. It may wait. With end the connection is closed
	// after them.
	Request func(q *Query) (answer []byte, end bool)

	mu       sync.Mutex
	primary  bool
	listener net.Listener
	conns    map[net.Conn]bool // value: a query is being answered on it
	opened   int
	requests int
	closed   bool
}

// NewMember starts a member on a free port.
func NewMember(uid string, primary bool) (*Member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Member{UID: uid, Addr: l.Addr().String(), primary: primary, listener: l, conns: map[net.Conn]bool{}}, nil
}

// Serve accepts connections until Close.
func (m *Member) Serve() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.opened++
		number := m.opened
		m.conns[c] = false
		m.mu.Unlock()
		go m.serve(c, number)
	}
}

// Close ends the member and its connections.
func (m *Member) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.listener.Close()
	for c := range m.conns {
		c.Close()
	}
}

// CloseIdle closes the connections on which no request is being answered, and returns their number.
func (m *Member) CloseIdle() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, busy := range m.conns {
		if !busy {
			c.Close()
			n++
		}
	}
	return n
}

// Primary reports whether the member is the primary.
func (m *Member) Primary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary
}

// SetPrimary makes the member the primary or a replica.
func (m *Member) SetPrimary(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.primary = on
}

var idPattern = regexp.MustCompile(`[ ,]id=([\w-]+)`)

func (m *Member) serve(c net.Conn, number int) {
	defer func() {
		c.Close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	r := pgwire.NewReader(c, 1<<20)
	if _, err := r.NextStartup(); err != nil {
		return
	}
	if m.Startup != nil {
		m.Startup(number)
	}
	c.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthOK(nil), pgwire.TxIdle))
	for {
		typ, body, err := r.Next()
		if err != nil || typ != pgwire.MsgQuery {
			return
		}
		text, err := pgwire.ParseString(typ, body)
		if err != nil {
			return
		}
		q := &Query{Text: text, Conn: number, At: time.Now()}
		if found := idPattern.FindStringSubmatch(text); found != nil {
			q.ID = found[1]
		}
		switch {
		case text == "":
			c.Write(pgwire.AppendReadyForQuery(pgwire.AppendEmpty(nil, pgwire.MsgEmptyQueryResponse), pgwire.TxIdle))
		case !q.Request():
			is := 0
			if m.Primary() {
				is = 1
			}
			c.Write(m.Ready(Row([]byte(fmt.Sprintf("x0=%.6f,x1=%d,util=0.1", float64(time.Now().UnixMicro())/1e6, is)))))
		default:
			m.mu.Lock()
			m.requests++
			q.Number = m.requests
			m.conns[c] = true
			m.mu.Unlock()
			answer, end := m.Request(q)
			if _, err := c.Write(answer); err != nil || end {
				return
			}
			m.mu.Lock()
			m.conns[c] = false
			m.mu.Unlock()
		}
	}
}

// Row returns an answer with one value, up to CommandComplete.
func Row(value []byte) []byte {
	b := pgwire.AppendRowDescription(nil, []pgwire.Column{{Name: "body", Type: pgwire.OIDBytea, Size: -1, Mod: -1, Format: 1}})
	return pgwire.AppendCommandComplete(pgwire.AppendDataRow(b, [][]byte{value}), "SELECT 1")
}

// Fault returns an error of a member, up to ReadyForQuery.
func (m *Member) Fault(code, text string) []byte {
	return m.Ready(pgwire.AppendErrorResponse(nil, &pgwire.Error{Severity: "ERROR", Code: code, Message: text}))
}

// Ready appends the end of an answer with the member's role and position.
func (m *Member) Ready(b []byte) []byte {
	role := "replica"
	if m.Primary() {
		role = "master"
	}
	b = pgwire.AppendParameterStatus(b, "part", role)
	b = pgwire.AppendParameterStatus(b, "caught_up_to", fmt.Sprint(time.Now().UnixMilli()))
	return pgwire.AppendReadyForQuery(b, pgwire.TxIdle)
}

// Entry is one member in discovery's list.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
	Part     string  `json:"part,omitempty"`
}

// Agent is a stand-in for discovery: a list that does not change, with a watch that sends an empty line every 2 s.
type Agent struct {
	Addr   string
	list   []byte
	server *http.Server
}

// NewAgent starts an agent whose list has the members as ready.
func NewAgent(group int, members ...*Member) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	entries := []Entry{}
	for _, m := range members {
		entries = append(entries, Entry{UID: m.UID, Endpoint: m.Addr, Zone: "a", Model: "m", Group: group, State: "ready", Capacity: 1})
	}
	list, err := json.Marshal(map[string]any{"rev": 41, "all": true, "targets": entries})
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), list: list}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(l)
	return a, nil
}

// List returns the list in discovery's form.
func (a *Agent) List() json.RawMessage { return a.list }

// Close ends the agent and its watches.
func (a *Agent) Close() { a.server.Close() }

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	flusher, _ := w.(http.Flusher)
	if r.URL.Query().Get("after") != "41" {
		w.Write(append(a.list, '\n'))
	}
	if r.URL.Query().Get("watch") == "" {
		return
	}
	flusher.Flush()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.Write([]byte("\n"))
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// Limits are the limits of a driver's machine.
type Limits struct {
	MemoryMB int
	Sockets  int
}

// Driver is a driver process.
type Driver struct {
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartDriver starts a driver with the command of the deploy file, with its configuration and log in dir, and waits until
// it answers an empty query.
func StartDriver(root, run, dir, settings string, limits Limits, agent *Agent) (*Driver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, addr, agent.Addr, limits.MemoryMB, limits.Sockets, agent.List(), settings)
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "driver.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the case
	cmd.Env = append(os.Environ(), "LB_CONFIG="+file, "LB_NAME=n0", "LB_LISTEN="+addr, "LB_DISCOVERY="+agent.Addr, "TMPDIR="+tmp)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d := &Driver{Addr: addr, cmd: cmd, done: make(chan struct{})}
	go func() { d.err = cmd.Wait(); close(d.done) }()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.Ended() {
			return nil, fmt.Errorf("the driver ended: %v", d.err)
		}
		c, err := Dial(d.Addr)
		if err != nil {
			continue
		}
		c.Send("")
		reply, err := c.Read(time.Now().Add(time.Second))
		c.Close()
		if err == nil && reply.Empty {
			return d, nil
		}
	}
	d.Stop()
	return nil, errors.New("the driver is not ready after 30 s")
}

// PID returns the process's id.
func (d *Driver) PID() int { return d.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (d *Driver) Ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// Stop ends the process, with SIGTERM and after 5 s with SIGKILL.
func (d *Driver) Stop() {
	d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(5 * time.Second):
		d.cmd.Process.Kill()
		<-d.done
	}
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	r *pgwire.Reader
}

// Reply is one whole answer to a query.
type Reply struct {
	Value []byte // nil if there was no row
	Code  string // SQLSTATE of an error
	Text  string // its message
	Empty bool   // the answer to an empty query
}

// Kind names the reply in the protocol's terms.
func (r *Reply) Kind() string {
	switch {
	case r.Code == "53300" || r.Code == "57P03":
		return "refused (" + r.Code + ")"
	case r.Code != "":
		return "failed (" + r.Code + ")"
	}
	return fmt.Sprintf("served (%d bytes)", len(r.Value))
}

// Dial opens a connection and completes its startup.
func Dial(addr string) (*Client, error) { return DialSegment(addr, 0) }

// DialSegment is Dial with a largest TCP segment, as that of an Ethernet between client and driver; 0 for loopback's own.
func DialSegment(addr string, segment int) (*Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	d := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if segment > 0 {
			c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			})
		}
		return err
	}}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{nc, pgwire.NewReader(nc, 1<<20)}
	nc.Write(pgwire.AppendStartup(nil, map[string]string{"user": "worker", "database": "catalog"}))
	if _, err := c.Read(time.Now().Add(2 * time.Second)); err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// Send sends queries in one write.
func (c *Client) Send(texts ...string) error {
	var b []byte
	for _, t := range texts {
		b = pgwire.AppendQuery(b, t)
	}
	_, err := c.Write(b)
	return err
}

// Read reads one whole answer, up to ReadyForQuery.
func (c *Client) Read(by time.Time) (reply Reply, err error) {
	c.SetReadDeadline(by)
	for {
		typ, body, err := c.r.Next()
		if err != nil {
			return reply, err
		}
		switch typ {
		case pgwire.MsgEmptyQueryResponse:
			reply.Empty = true
		case pgwire.MsgErrorResponse:
			e, err := pgwire.ParseError(typ, body)
			if err != nil {
				return reply, err
			}
			reply.Code, reply.Text = e.Code, e.Message
		case pgwire.MsgDataRow:
			values, err := pgwire.ParseDataRow(body, nil)
			if err != nil || len(values) != 1 {
				return reply, fmt.Errorf("row of %d values: %v", len(values), err)
			}
			reply.Value = append([]byte{}, values[0]...)
		case pgwire.MsgReadyForQuery:
			return reply, nil
		}
	}
}

// Env is a case's surroundings: the repository's root, the command that starts a driver, a temporary folder, the record
// and whether the disruption is on.
type Env struct {
	Root, Run, Dir string
	Trouble        bool
	Record         *Record
}

// timeLimit is the longest that a case may run.
const timeLimit = 110 * time.Second

// Main runs a case and exits with its code. It takes the surroundings from the variables that run.sh sets.
func Main(run func(*Env) (int, error)) {
	e := &Env{Root: os.Getenv("CASE_ROOT"), Run: os.Getenv("CASE_RUN"), Dir: os.Getenv("CASE_TMP"), Trouble: os.Getenv("TROUBLE") != "0"}
	if e.Root == "" || e.Run == "" || e.Dir == "" {
		fmt.Println("run.sh starts this program")
		os.Exit(NoRun)
	}
	var err error
	if e.Record, err = NewRecord(os.Getenv("CASE_RECORD")); err != nil {
		fmt.Println(err)
		os.Exit(NoRun)
	}
	time.AfterFunc(timeLimit, func() {
		e.Record.Print("the case could not run: it takes over %v", timeLimit)
		os.Exit(NoRun)
	})
	code, err := run(e)
	if err != nil {
		e.Record.Print("the case could not run: %v", err)
		code = NoRun
	}
	e.Record.Close()
	os.Exit(code)
}
