package catalog

import (
	"encoding/json"
	"fmt"
	"time"
)

// DriverConfig holds the values of a driver's configuration file on the shared platform that differ between runs.
type DriverConfig struct {
	Name      string
	Listen    string          // host:port
	Discovery string          // host:port
	Sockets   int             // file descriptors
	MemoryMB  int             // limit in MiB
	Cores     float64         // 0 for one
	Known     json.RawMessage // member list that the driver last received, in discovery's format
	// Deadlines of the classes "article" and "own", and of "write".
	ReadDeadline, WriteDeadline time.Duration
}

// DrainGrace is the time after a driver is notified of a member's drain or removal in which the member may still get new
// requests.
const DrainGrace = 500 * time.Millisecond

// settingsFormat takes the deadlines of the classes article, own and write and the drain grace, all in milliseconds.
const settingsFormat = `{"areas":["a"],"round":5,"n-instances":2,"discovery":"push",
 "classes":[{"name":"article","deadline":%d,"target":400,"effect":"read_like","worth":2,"late-worth":0},
  {"name":"own","deadline":%d,"target":250,"effect":"read_like","worth":1,"late-worth":0},
  {"name":"write","deadline":%d,"target":500,"effect":"non_idempotent","worth":6,"late-worth":0.5}],
 "family-info":{"positions":true,"tokens":"router","needs-by-class":["loose","own_writes","update"],"oldest-data":[200,0,0],"behind":"none"},
 "obligations":{"drain-grace":%d,"answer-slack":20,"cold-from":0.2,"ramp-time":12000,"tip-multiple":3,"fall":1000},
 "bounds":{"cancel":true,"probing":true,"try-limit":10,"retry-after":true,"max-retry-after":1000,"dial-timeout":250,"idle-close":30000,"max-open":20000},
 "feedback":{"via":"probe","fields":["x0","x1","utilization"]}}`

// Text returns the text of the configuration file.
func (c *DriverConfig) Text() string {
	settings := fmt.Sprintf(settingsFormat, c.ReadDeadline.Milliseconds(), c.ReadDeadline.Milliseconds(), c.WriteDeadline.Milliseconds(),
		DrainGrace.Milliseconds())
	cores := c.Cores
	if cores == 0 {
		cores = 1
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":%v,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, c.Name, c.Listen, c.Discovery, cores, c.MemoryMB, c.Sockets, c.Known, settings)
}
