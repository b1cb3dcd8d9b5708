package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"

	"umberladder/pgwire"
)

// cluster is a group of one primary and its replicas, with the log that they share.
type cluster struct {
	run  *run
	lag  time.Duration // how far the replicas are behind
	work time.Duration // time that a request takes

	mu      sync.Mutex
	clock   []clockStep // of the members' machines
	commits []commit
	primary *member // nil while there is none
}

// clockStep says that from a time on the wall clock of the members' machines is ahead of this machine's.
type clockStep struct {
	from  time.Time
	ahead time.Duration
}

// commit is one write.
type commit struct {
	key, value string
	at         time.Time     // real time
	stamp      time.Duration // wall clock of the members' machines, since 1970
}

// stepClock steps the wall clock of the members' machines.
func (c *cluster) stepClock(ahead time.Duration) {
	c.mu.Lock()
	c.clock = append(c.clock, clockStep{time.Now(), ahead})
	c.mu.Unlock()
	c.run.log("the wall clock of the members' machines steps by %v", ahead)
}

// wall returns what the wall clock of the members' machines showed at a time. mu is held.
func (c *cluster) wall(t time.Time) time.Duration {
	w := time.Duration(t.UnixNano())
	for _, s := range c.clock {
		if !t.Before(s.from) {
			w += s.ahead
		}
	}
	return w
}

// member is one database node.
type member struct {
	uid      string
	cluster  *cluster
	listener net.Listener
	started  time.Time
	boot     int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	dead     bool
	draining bool
	requests []request // requests whose last byte has come
}

// request is a request that reached a member.
type request struct {
	id   string
	at   time.Time
	text string
}

// newMember starts a member.
func (c *cluster) newMember(uid string) (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{uid: uid, cluster: c, listener: l, started: time.Now(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[nc] = true
			m.mu.Unlock()
			go m.serve(nc)
		}
	}()
	return m, nil
}

func (m *member) entry(state string) entry {
	return entry{UID: m.uid, Endpoint: m.listener.Addr().String(), Zone: "a", Model: "m1", Group: group, State: state, Capacity: 1, Boot: m.boot}
}

// die ends the member as a process that dies: its connections are reset, new ones refused.
func (m *member) die() {
	m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	for nc := range m.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	m.cluster.run.log("%s dies", m.uid)
}

// promote makes a member the primary; nil for none.
func (c *cluster) promote(m *member) {
	c.mu.Lock()
	c.primary = m
	c.mu.Unlock()
	if m != nil {
		c.run.log("%s is the primary", m.uid)
	}
}

// received returns the requests that reached the member.
func (m *member) received() []request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]request(nil), m.requests...)
}

var (
	idPattern    = regexp.MustCompile(`/\* id=([^,]+),`)
	keyPattern   = regexp.MustCompile(`oid = '([^']+)'|VALUES \('([^']+)', '\\x([0-9a-f]*)'\)`)
	answerColumn = []pgwire.Column{{Name: "body", Type: pgwire.OIDBytea, Size: -1, Mod: -1, Format: 1}}
)

func (m *member) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		m.mu.Lock()
		delete(m.conns, nc)
		m.mu.Unlock()
	}()
	r := pgwire.NewReader(nc, 1<<20)
	if _, err := r.NextStartup(); err != nil {
		return
	}
	nc.Write(pgwire.AppendReadyForQuery(pgwire.AppendAuthOK(nil), pgwire.TxIdle))
	for {
		typ, body, err := r.Next()
		if err != nil || typ != pgwire.MsgQuery {
			return
		}
		text, err := pgwire.ParseString(typ, body)
		if err != nil {
			return
		}
		nc.Write(m.answer(text))
	}
}

// state returns the member's role and position: the wall clock of its machine up to which it has applied all commits.
func (m *member) state() (primary bool, position time.Duration, applied time.Time) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	applied = time.Now()
	if primary = c.primary == m; !primary {
		applied = applied.Add(-c.lag)
	}
	return primary, c.wall(applied), applied
}

func (m *member) answer(text string) []byte {
	switch {
	case text == "":
		return pgwire.AppendReadyForQuery(pgwire.AppendEmpty(nil, pgwire.MsgEmptyQueryResponse), pgwire.TxIdle)
	case text == "SHOW gauges":
		return m.ready(row(m.gauges(), "SELECT 1"), 0)
	}
	id, parts := idPattern.FindStringSubmatch(text), keyPattern.FindStringSubmatch(text)
	if id == nil || parts == nil {
		m.cluster.run.log("%s: unknown query %.100q", m.uid, text)
		return m.ready(pgwire.AppendErrorResponse(nil, &pgwire.Error{Severity: "ERROR", Code: "08P01", Message: "unknown query"}), 0)
	}
	m.mu.Lock()
	m.requests = append(m.requests, request{id[1], time.Now(), text})
	draining := m.draining
	m.mu.Unlock()
	if draining {
		m.cluster.run.log("%s: %s turned away: draining", m.uid, id[1])
		return m.ready(pgwire.AppendErrorResponse(nil, &pgwire.Error{Severity: "ERROR", Code: "53300", Message: "draining"}), 0)
	}
	time.Sleep(m.cluster.work)
	if strings.HasPrefix(text, "INSERT") {
		return m.write(id[1], parts[2], parts[3])
	}
	return m.read(id[1], parts[1])
}

func (m *member) write(id, key, digits string) []byte {
	c := m.cluster
	value, err := hex.DecodeString(digits)
	c.mu.Lock()
	if c.primary != m || err != nil {
		c.mu.Unlock()
		c.run.log("%s: write %s turned away, not the primary", m.uid, id)
		return m.ready(pgwire.AppendErrorResponse(nil, &pgwire.Error{Severity: "ERROR", Code: "25006", Message: "not the primary"}), 0)
	}
	now := time.Now()
	done := commit{key, string(value), now, c.wall(now)}
	c.commits = append(c.commits, done)
	c.mu.Unlock()
	c.run.log("%s: write %s ran, %s = %s", m.uid, id, key, short(done.value))
	return m.ready(row(done.value, "INSERT 0 1"), done.stamp)
}

func (m *member) read(id, key string) []byte {
	primary, _, applied := m.state()
	c := m.cluster
	value := "none"
	c.mu.Lock()
	for _, w := range c.commits {
		if w.key == key && !w.at.After(applied) {
			value = w.value
		}
	}
	c.mu.Unlock()
	c.run.log("%s: read %s of %s gives %s, primary %v", m.uid, id, key, short(value), primary)
	return m.ready(row(value, "SELECT 1"), 0)
}

// gauges is the member's load report.
func (m *member) gauges() string {
	primary, position, _ := m.state()
	role := 0
	if primary {
		role = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,util=0.20", float64(position.Milliseconds())/1000, role)
}

func row(value, tag string) []byte {
	b := pgwire.AppendDataRow(pgwire.AppendRowDescription(nil, answerColumn), [][]byte{[]byte(value)})
	return pgwire.AppendCommandComplete(b, tag)
}

// ready appends the end of an answer, with the position, or the time of a commit.
func (m *member) ready(b []byte, committed time.Duration) []byte {
	primary, position, _ := m.state()
	role := "replica"
	if primary {
		role = "master"
	}
	at := position.Milliseconds()
	if committed > 0 {
		at = (committed + time.Millisecond - 1).Milliseconds()
	}
	b = pgwire.AppendParameterStatus(b, "part", role)
	b = pgwire.AppendParameterStatus(b, "caught_up_to", fmt.Sprint(at))
	return pgwire.AppendReadyForQuery(b, pgwire.TxIdle)
}

// newCluster starts a group of a primary and replicas that are listed as ready and warm.
func (r *run) newCluster(a *agent, replicas int) (*cluster, []*member, error) {
	c := &cluster{run: r, work: 5 * time.Millisecond}
	var members []*member
	for i := range replicas + 1 {
		m, err := c.newMember(fmt.Sprintf("s-%04d", i+1))
		if err != nil {
			return nil, nil, err
		}
		members = append(members, m)
		a.put(m.entry("ready"))
	}
	c.promote(members[0])
	return c, members, nil
}

// settings returns a driver's settings. tokens is client or router, coldFrom the share at which a member starts, and
// deadline and need are those of the class page.
func settings(tokens, need string, coldFrom float64) string {
	return fmt.Sprintf(`{"areas":["a"],"locality":0,"round":5,"n-instances":1,"discovery":"push",
 "classes":[{"name":"page","deadline":1000,"target":400,"effect":"read_like","worth":2,"late-worth":0},
  {"name":"own","deadline":1000,"target":250,"effect":"read_like","worth":1,"late-worth":0},
  {"name":"write","deadline":5000,"target":500,"effect":"non_idempotent","worth":6,"late-worth":0.5}],
 "family-info":{"positions":true,"tokens":%q,"needs-by-class":[%q,"own_writes","update"],"oldest-data":[200,0,0],"behind":"none"},
 "obligations":{"drain-grace":500,"answer-slack":20,"cold-from":%v,"ramp-time":12000,"tip-multiple":3,"fall":1000},
 "bounds":{"cancel":true,"probing":true,"try-limit":10,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,"idle-close":30000,"max-open":20000},
 "feedback":{"via":"probe","fields":["x0","x1","util"]}}`, tokens, need, coldFrom)
}
