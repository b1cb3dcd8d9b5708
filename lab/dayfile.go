package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"umberladder/balance"
	"umberladder/standin"
)

// dayFile holds the part of a day file of the users' benchmark that the laboratory plays. Times are in
// microseconds.
type dayFile struct {
	Site    string   `json:"site"`
	Kind    string   `json:"kind"`
	Length  float64  `json:"length"`
	Zones   []string `json:"zones"`
	Traffic struct {
		Load  float64      `json:"load"`
		Shape [][2]float64 `json:"shape"`
	} `json:"traffic"`
	Net struct {
		Same   float64 `json:"same"`
		Cross  float64 `json:"cross"`
		Jitter float64 `json:"jitter"`
	} `json:"net"`
	Discovery struct {
		Notice float64 `json:"notice"`
		Add    float64 `json:"add"`
	} `json:"discovery"`
	Allow struct {
		SecondCopies bool `json:"second_copies"`
		MaxAttempts  int  `json:"max_attempts"`
	} `json:"allow"`
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Classes      []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Work      float64 `json:"work"`
		Aim       float64 `json:"aim"`
		Deadline  float64 `json:"deadline"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
		Effect    string  `json:"effect"`
		Window    float64 `json:"window"`
		Stream    bool    `json:"stream"`
	} `json:"classes"`
	Tiers []struct {
		Kinds []struct {
			Cores    int     `json:"cores"`
			ColdFrom float64 `json:"cold_from"`
			Cold     float64 `json:"cold"`
		} `json:"kinds"`
		StatedColdFrom float64 `json:"stated_cold_from"`
	} `json:"tiers"`
	Servers []struct {
		Zone int  `json:"zone"`
		Cell int  `json:"cell"`
		Up   bool `json:"up"`
	} `json:"servers"`
	Balancers []struct {
		Zone int `json:"zone"`
	} `json:"balancers"`
	Troubles []dayTrouble `json:"troubles"`
	Fam      struct {
		Read    []int     `json:"read"`
		Bound   []float64 `json:"bound"`
		Primary []int     `json:"primary"`
		Ship    float64   `json:"ship"`
		Detect  float64   `json:"detect"`
		Elect   float64   `json:"elect"`
		Switch  float64   `json:"switch"`
	} `json:"fam"`
}

// dayTrouble is one trouble of a day.
type dayTrouble struct {
	Kind  string  `json:"kind"`
	At    float64 `json:"at"`
	Len   float64 `json:"len"`
	Size  float64 `json:"size"`
	Extra float64 `json:"extra"` // in seconds if it is a time
	On    []int   `json:"on"`
	Which int     `json:"which"`
	How   string  `json:"how"`
	Steps []struct {
		At    float64 `json:"at"`
		Stop  []int   `json:"stop"`
		Start []int   `json:"start"`
	} `json:"steps"`
}

// readDay reads a day file. Its errors name the fields that are missing or invalid.
func readDay(path string) (*dayFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var d dayFile
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("%s: not a day file: %w", path, err)
	}
	switch n := len(d.Classes); {
	case n == 0 || len(d.Servers) == 0 || len(d.Balancers) == 0 || d.Length <= 0:
		return nil, fmt.Errorf("%s: incomplete day file: length, classes, servers and balancers are required", path)
	case len(d.Fam.Read) != n || len(d.Fam.Bound) != n:
		return nil, fmt.Errorf("%s: fam.read and fam.bound have %d and %d entries, want %d, one for each class; only days with primaries and replicas can be played",
			path, len(d.Fam.Read), len(d.Fam.Bound), n)
	}
	for i, t := range d.Troubles {
		for _, on := range t.On {
			if on < 0 || on >= max(len(d.Servers), len(d.Balancers)) {
				return nil, fmt.Errorf("%s: trouble %d (%s) is on number %d, which is neither a server nor a balancer", path, i, t.Kind, on)
			}
		}
	}
	return &d, nil
}

// Sizes of a replay on one machine.
const (
	replaySeconds = 10.0 // length of the replay, whatever the day's length
	replayNodes   = 12
	replayDrivers = 4
	replayRate    = 400.0 // requests per second that all nodes can serve together
)

// scaledDay describes how a day was scaled down.
type scaledDay struct {
	time    float64 // replayed seconds per second of the day
	cells   []int   // slices that are replayed, by their number in the day
	servers []int   // servers that are replayed, by their number in the day
	nodes   map[int]*standin.Node
}

func (s *scaledDay) span(micros float64) time.Duration {
	return time.Duration(micros * s.time * float64(time.Microsecond))
}

// scale picks whole slices until the next one would exceed replayNodes, those with most troubles first and then by
// number.
func (d *dayFile) scale() *scaledDay {
	s := &scaledDay{time: replaySeconds * 1e6 / d.Length, nodes: map[int]*standin.Node{}}
	strikes, members := map[int]int{}, map[int][]int{}
	for i, srv := range d.Servers {
		members[srv.Cell] = append(members[srv.Cell], i)
	}
	for _, t := range d.Troubles {
		for _, on := range t.On {
			if on < len(d.Servers) {
				strikes[d.Servers[on].Cell]++
			}
		}
	}
	taken := map[int]bool{}
	for len(taken) < len(members) {
		best := -1
		for cell := range members {
			if !taken[cell] && (best < 0 || strikes[cell] > strikes[best] || strikes[cell] == strikes[best] && cell < best) {
				best = cell
			}
		}
		taken[best] = true
		if len(s.servers) > 0 && len(s.servers)+len(members[best]) > replayNodes {
			break
		}
		s.cells = append(s.cells, best)
		s.servers = append(s.servers, members[best]...)
	}
	return s
}

// site returns the day's classes and rules for the drivers' settings. The clients' times are not scaled.
func (d *dayFile) site() Site {
	micros := func(v float64) time.Duration { return time.Duration(v) * time.Microsecond }
	site := Site{Grace: micros(d.DrainGrace), ColdOverloadWindow: micros(d.FallFor), ColdOverloadMultiple: d.FallMultiple, ParallelAttempts: d.Allow.SecondCopies, Margin: 50 * time.Millisecond}
	needs := []balance.Need{balance.NeedAny, balance.NeedBounded, balance.NeedSession, balance.NeedFresh, balance.NeedWrite}
	effects := map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	for i, c := range d.Classes {
		class := Class{Name: c.Name, Need: needs[min(max(d.Fam.Read[i], 0), 4)], Effect: effects[c.Effect], Share: c.Share,
			Target: micros(c.Aim), Deadline: micros(c.Deadline), Bound: micros(d.Fam.Bound[i]), Value: c.Worth, Stream: c.Stream}
		if class.Effect == balance.Keyed {
			class.Window = micros(c.Window)
		}
		site.Classes = append(site.Classes, class)
	}
	return site
}

// node returns the configuration of the stand-ins, slow enough that all together serve replayRate.
func (d *dayFile) node(s *scaledDay) standin.Config {
	cfg := standin.Config{Cores: 2, ShipDelay: time.Duration(d.Fam.Ship) * time.Microsecond, ReplayTime: time.Millisecond, MaxConns: 200,
		ColdFrom: 0.2, RampTime: 3 * time.Second}
	if len(d.Tiers) > 0 && len(d.Tiers[0].Kinds) > 0 {
		k := d.Tiers[0].Kinds[0]
		cfg.ColdFrom, cfg.RampTime = k.ColdFrom, max(time.Second, s.span(k.Cold))
		if stated := d.Tiers[0].StatedColdFrom; stated > 0 {
			cfg.ColdFrom = min(cfg.ColdFrom, stated)
		}
	}
	cfg.Read = time.Duration(float64(cfg.Cores*len(s.servers)) / replayRate * float64(time.Second))
	cfg.Write = cfg.Read
	return cfg
}
