// Command 1 is the case of review/1: a keyed write is sent again after its group has forgotten its key, because the
// connection for the further attempt came up late.
package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/review/stand"
)

// The settings follow the site of the notices service: 2 s for a write, and a group that drops a repeat for 1.2 s.
const settings = `{"areas":["a"],"locality":0,"me":0,"round":2,"n-instances":3,"discovery":"push","service-type":"replicas",
 "classes":[{"name":"notice-read","deadline":800,"target":200,"effect":"read_like","worth":3,"late-worth":0.2,"group":"all","window":5000,"stream":false},
  {"name":"notice-write","deadline":2000,"target":200,"effect":"idempotency_key","worth":6,"late-worth":0.3,"group":"cell","window":1200,"stream":false}],
 "family-info":{"positions":true,"tokens":"client","needs-by-class":["recent","update"],"oldest-data":[500,0],"behind":"none","catch-up-wait":0,"shows-role":"none"},
 "obligations":{"drain-grace":500,"answer-slack":20,"cold-from":0.16,"ramp-time":13000,"tip-multiple":2.5,"fall":1000},
 "bounds":{"cancel":true,"probing":true,"parallel-tries":false,"try-limit":10,"retry-after":true,"max-retry-after":2000,"dial-timeout":250,"idle-close":15000,"max-open":20000},
 "feedback":{"via":"probe","fields":["x0","x1","utilization"]}}`

const (
	window    = 1200 * time.Millisecond // how long the group drops a repeat, from the send of the first attempt
	slack     = 50 * time.Millisecond   // each time limit is longer by this on sockets
	work      = 1160 * time.Millisecond // from the case's first attempt to its error
	late      = 200 * time.Millisecond  // until a late connection is up
	usualWork = 25 * time.Millisecond   // of the primary for any other write
	longWork  = 300 * time.Millisecond  // for three other writes shortly before the error
	keyedWait = 2000                    // ms that the client waits for a write
)

// longAt is when three other clients send writes that take long, after the case's write. Until then another client sends
// usual ones.
var longAt = []time.Duration{1080 * time.Millisecond, 1090 * time.Millisecond, 1100 * time.Millisecond}

func main() { stand.Main(run) }

// store is what the group's primary holds: for each key when it was first sent, and how often its write was applied.
type store struct {
	mu      sync.Mutex
	first   map[string]time.Time
	applied map[string]int
	sent    map[string]int
}

var keyPattern = regexp.MustCompile(`[ ,]k=([\w-]+)`)

func run(e *stand.Env) (int, error) {
	db := &store{first: map[string]time.Time{}, applied: map[string]int{}, sent: map[string]int{}}
	var slow atomic.Bool           // from now on connections to the primary come up late
	var opened, lates atomic.Int32 // connections to all members, and how many of them come up late
	var members []*stand.Member
	for i := range 5 {
		m, err := stand.NewMember(fmt.Sprintf("s-%d", i), i == 0)
		if err != nil {
			return 0, err
		}
		defer m.Close()
		m.Startup = func(conn int) {
			all := opened.Add(1)
			if m.Primary() && slow.Load() && 3*(lates.Load()+1) <= all { // a third of the connections at most
				e.Record.Add("%s: connection %d comes up %v late (%d late of %d to all members)", m.UID, conn, late, lates.Add(1), all)
				time.Sleep(late)
			}
		}
		m.Request = func(q *stand.Query) ([]byte, bool) { return request(e, db, m, q) }
		go m.Serve()
		members = append(members, m)
	}
	agent, err := stand.NewAgent(2, members...)
	if err != nil {
		return 0, err
	}
	defer agent.Close()
	d, err := stand.StartDriver(e.Root, e.Run, e.Dir, settings, stand.Limits{MemoryMB: 192, Sockets: 1024}, agent)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	c, err := stand.Dial(d.Addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	for n, served := 0, 0; served < 5; n++ { // until the driver knows the primary
		if n == 100 {
			return 0, fmt.Errorf("the driver serves no write")
		}
		time.Sleep(50 * time.Millisecond)
		r, err := ask(e, c, fmt.Sprintf("plain%d", n))
		if err != nil {
			return 0, err
		}
		if r.Code == "" {
			served++
		}
	}
	var others sync.WaitGroup
	start := time.Now()
	for n, at := range longAt {
		other, err := stand.Dial(d.Addr)
		if err != nil {
			return 0, err
		}
		defer other.Close()
		others.Go(func() {
			for i := 0; n == 0 && time.Since(start) < at-2*usualWork; i++ {
				ask(e, other, fmt.Sprintf("usual%d", i))
			}
			time.Sleep(time.Until(start.Add(at)))
			slow.Store(e.Trouble)
			ask(e, other, fmt.Sprintf("long%d", n))
		})
	}
	r, err := ask(e, c, "case")
	if err != nil {
		return 0, err
	}
	others.Wait()
	time.Sleep(500 * time.Millisecond) // for an attempt that is still out
	db.mu.Lock()
	defer db.mu.Unlock()
	e.Record.Print("write of key case: %s to the client, sent to the primary %d times, applied %d times", r.Kind(), db.sent["case"], db.applied["case"])
	for key, n := range db.applied {
		if n > 1 {
			e.Record.Print("broken: the write of key %s was applied %d times", key, n)
			return stand.Broken, nil
		}
	}
	return stand.Held, nil
}

func ask(e *stand.Env, c *stand.Client, key string) (stand.Reply, error) {
	text := fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING body /* id=%s,c=notice-write,d=%d,cluster=2,k=%s */`, "i"+key, keyedWait, key)
	e.Record.Add("client sends %s", text)
	if err := c.Send(text); err != nil {
		return stand.Reply{}, err
	}
	r, err := c.Read(time.Now().Add(4 * time.Second))
	if err == nil {
		e.Record.Add("client gets for %s: %s %s", key, r.Kind(), r.Text)
	}
	return r, err
}

// request is the primary's work on one request. It applies a write at once unless it still remembers the key, and
// answers then; only the first attempt of the case's write takes long and ends with an error.
func request(e *stand.Env, db *store, m *stand.Member, q *stand.Query) ([]byte, bool) {
	found := keyPattern.FindStringSubmatch(q.Text)
	if found == nil {
		return m.Ready(stand.Row([]byte("value"))), false
	}
	if !m.Primary() {
		e.Record.Add("%s turns %s away: it is no primary", m.UID, q.ID)
		return m.Fault("25006", "not the primary"), false
	}
	key := found[1]
	db.mu.Lock()
	first, known := db.first[key]
	db.sent[key]++
	since := q.At.Sub(first)
	if !known || since > window+slack {
		db.first[key] = q.At
		db.applied[key]++
		e.Record.Add("%s applies the write of key %s, time %d%s: %s", m.UID, key, db.applied[key], map[bool]string{true: fmt.Sprintf(", %v after the first attempt", since)}[known], q.Text)
	} else {
		e.Record.Add("%s drops the repeat of key %s, %v after the first attempt", m.UID, key, since)
	}
	db.mu.Unlock()
	switch {
	case strings.HasPrefix(key, "long"):
		time.Sleep(longWork)
	case key == "case" && !known:
		time.Sleep(work)
		e.Record.Add("%s answers the first attempt with XX000", m.UID)
		return m.Fault("XX000", "internal error"), false
	default:
		time.Sleep(usualWork)
	}
	return m.Ready(stand.Row([]byte("\x9f\x03"))), false
}
