// Command 3 is the case of review/3: a client sends many commands at once and reads all answers as they come. The driver
// ends the connection with most of the answers in its hands.
package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"umberladder/review/stand"
)

// The settings follow the site of the news platform.
const settings = `{"areas":["a"],"locality":0,"me":0,"round":5,"n-instances":2,"discovery":"push","service-type":"replicas",
 "classes":[{"name":"article-read","deadline":1000,"target":400,"effect":"read_like","worth":2,"late-worth":0,"group":"all","window":5000,"stream":false},
  {"name":"own-read","deadline":1000,"target":250,"effect":"read_like","worth":1,"late-worth":0,"group":"all","window":5000,"stream":false},
  {"name":"write","deadline":5000,"target":500,"effect":"non_idempotent","worth":6,"late-worth":0.5,"group":"all","window":5000,"stream":false}],
 "family-info":{"positions":true,"tokens":"router","needs-by-class":["recent","own_writes","update"],"oldest-data":[200,0,0],"behind":"none","catch-up-wait":0,"shows-role":"none"},
 "obligations":{"drain-grace":500,"answer-slack":20,"cold-from":0.19,"ramp-time":12000,"tip-multiple":3,"fall":1000},
 "bounds":{"cancel":true,"probing":true,"parallel-tries":false,"try-limit":10,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,"idle-close":30000,"max-open":20000},
 "feedback":{"via":"probe","fields":["x0","x1","utilization"]}}`

const (
	commands  = 40
	writeEach = 10                     // one command in so many is a write
	valueSize = 64 << 10               // bytes of a read's value, the most that the pages allow
	work      = 5 * time.Millisecond   // of a member for a request
	firstWork = 150 * time.Millisecond // of a member for the first command
	segment   = 1460                   // bytes of a TCP segment between client and driver, as on an Ethernet
	patience  = 3 * time.Second        // of the client for each answer, from the one before it
)

func main() { stand.Main(run) }

func run(e *stand.Env) (int, error) {
	value := bytes.Repeat([]byte("x"), valueSize)
	var mu sync.Mutex
	ran := map[string]bool{} // ids that a member has run
	var members []*stand.Member
	for i := range 5 {
		m, err := stand.NewMember(fmt.Sprintf("s-%d", i), i == 0)
		if err != nil {
			return 0, err
		}
		defer m.Close()
		m.Request = func(q *stand.Query) ([]byte, bool) {
			time.Sleep(work)
			if q.ID == "q0" {
				time.Sleep(firstWork - work)
			}
			mu.Lock()
			ran[q.ID] = true
			mu.Unlock()
			e.Record.Add("%s has run %s", m.UID, q.ID)
			if strings.HasPrefix(q.Text, "INSERT") {
				return m.Ready(stand.Row([]byte("\x9f\x03"))), false
			}
			return m.Ready(stand.Row(value)), false
		}
		go m.Serve()
		members = append(members, m)
	}
	agent, err := stand.NewAgent(3, members...)
	if err != nil {
		return 0, err
	}
	defer agent.Close()
	d, err := stand.StartDriver(e.Root, e.Run, e.Dir, settings, stand.Limits{MemoryMB: 192, Sockets: 1024}, agent)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := warm(d.Addr); err != nil {
		return 0, err
	}
	c, err := stand.DialSegment(d.Addr, segment)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	var texts []string
	for n := range commands {
		texts = append(texts, command(n))
	}
	if e.Trouble {
		e.Record.Add("the client sends %d commands at once", commands)
		if err := c.Send(texts...); err != nil {
			return 0, err
		}
	}
	lost, lostRun, got, broken := 0, 0, 0, false
	for n := range commands {
		if !e.Trouble {
			e.Record.Add("the client sends q%d", n)
			c.Send(texts[n])
		}
		if broken {
			lost++ // the answer that had begun when the connection ended is not counted
			mu.Lock()
			if ran[fmt.Sprintf("q%d", n)] {
				lostRun++
			}
			e.Record.Add("q%d: no answer; run by a member: %v; %.6s", n, ran[fmt.Sprintf("q%d", n)], texts[n])
			mu.Unlock()
			continue
		}
		r, err := c.Read(time.Now().Add(patience))
		if err != nil {
			e.Record.Add("q%d: no whole answer: %v", n, err)
			broken = true
			continue
		}
		got++
		e.Record.Add("q%d: %s", n, r.Kind())
	}
	if d.Ended() {
		e.Record.Print("the driver has ended")
	}
	e.Record.Print("%d commands: %d answered, %d without any answer, of which members had run %d", commands, got, lost, lostRun)
	if lost > 0 {
		e.Record.Print("broken: the driver ended the connection of a client that was reading")
		return stand.Broken, nil
	}
	return stand.Held, nil
}

// warm sends single commands until all members have served some.
func warm(addr string) error {
	c, err := stand.Dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	for n, served := 0, 0; served < 100; n++ {
		if n == 300 {
			return fmt.Errorf("the driver serves no reads")
		}
		c.Send(read(fmt.Sprintf("warm%d", n)))
		r, err := c.Read(time.Now().Add(patience))
		if err != nil {
			return err
		}
		if r.Code == "" {
			served++
		} else {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func command(n int) string {
	if n%writeEach == writeEach-1 {
		return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d6%02x', '\x9f03') RETURNING body /* id=q%d,c=write,d=5000,cluster=3 */`, n, n)
	}
	return read(fmt.Sprintf("q%d", n))
}

func read(id string) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=%s,c=article-read,d=1000,cluster=3 */", id)
}
