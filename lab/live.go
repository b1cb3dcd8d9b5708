package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"umberladder/balance"
	"umberladder/lab/record"
	"umberladder/lab/world"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/standin"
)

// live is a simulated world played on sockets: the same drivers, nodes, troubles and clients, in real time.
type live struct {
	*day
	cfg          world.Config
	begin        time.Time
	nodes        [][]*standin.Node
	promotionLog *promotionLog
	rogue        *rogue

	// badShare is the share of requests that fail on every node, hotShare that of requests that go to the first driver. Both
	// are in thousandths.
	badShare, hotShare atomic.Int64

	mu               sync.Mutex
	load             float64   // multiple of the usual rate
	listDelayedUntil time.Time // drivers are notified of no change of the list before
	zonePaths        map[string]*zonePath
	idle             [][]*session // by driver
	created          int
	troublesStruck   int
}

// zonePath is the state of the network between a zone and the others.
type zonePath struct {
	extra    time.Duration
	cutUntil time.Time
	lost     float64
}

// Live plays a world on loopback, with stand-ins as the nodes, whole drivers and gRPC clients. Its figures are
// those of this machine and of stand-ins. It draws from the world's seed what the simulation draws, but no two runs
// are the same. The error is that of starting the fleet.
func Live(cfg world.Config) (*world.Result, error) {
	l, err := startLive(cfg)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // as in the simulation, clients start a second after the drivers
	for i := range cfg.Troubles {
		t := cfg.Troubles[i]
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		l.schedule(time.Until(l.begin.Add(t.At)), t.Kind.String(), func(context.Context) { l.play(t, rng) })
	}
	switch {
	case len(cfg.Arrivals) > 0:
		l.clients.Go(l.replayRecorded)
	case cfg.ThinkTime > 0:
		l.closedLoop()
	default:
		for d := range l.fleet.Drivers {
			l.clients.Go(func() { l.openLoop(d) })
		}
	}
	l.clients.Wait()
	return l.result(l.finish()), nil
}

func startLive(cfg world.Config) (*live, error) {
	l := &live{cfg: cfg, promotionLog: &promotionLog{}, load: 1, zonePaths: map[string]*zonePath{}, idle: make([][]*session, cfg.Drivers)}
	for _, zone := range cfg.Engine.Zones {
		l.zonePaths[zone] = &zonePath{}
	}
	spec := Spec{Slices: cfg.Slices, Members: cfg.Members, Drivers: cfg.Drivers, Site: siteOf(&cfg), Zones: cfg.Engine.Zones, Node: nodeOf(&cfg), Seed: cfg.Seed, Log: l.promotionLog.logger()}
	if cfg.Gate == nil {
		spec.ExtraSettings = "admission on off\n"
	}
	var err error
	if l.day, err = startDay("live", spec, 0x6c697665); err != nil {
		return nil, err
	}
	l.begin = time.Now()
	for _, g := range l.fleet.Groups {
		l.nodes = append(l.nodes, g.Nodes())
		for _, n := range g.Nodes() {
			n.SetLink(func(driver string) (time.Duration, float64) { return l.linkTo(driver, n) })
			if cfg.Plant == world.PlantStaleRead {
				n.ServeStale(plantedAge)
			}
		}
	}
	l.rogue = &rogue{live: l}
	return l, nil
}

const plantedAge = 5 * time.Second

// siteOf returns the classes and rules of a world.
func siteOf(cfg *world.Config) Site {
	r := &cfg.Engine.Router
	site := Site{Grace: r.DrainGrace, ColdOverloadWindow: r.ColdOverloadWindow, ColdOverloadMultiple: r.ColdOverloadMultiple, Margin: 50 * time.Millisecond}
	for i, c := range r.Classes {
		site.Classes = append(site.Classes, Class{Name: c.Name, Need: c.Need, Effect: c.Effect, Share: cfg.Shares[i], Target: c.Target, Deadline: c.Deadline, Bound: c.Bound,
			Window: c.Window, Value: c.Value, LateValue: c.LateValue})
	}
	return site
}

func nodeOf(cfg *world.Config) standin.Config {
	r := &cfg.Engine.Router
	return standin.Config{Cores: cfg.Cores, Read: cfg.Work, Write: cfg.Work, LogSigma: cfg.WorkSigma, ParetoShape: cfg.TailIndex, ShipDelay: cfg.ReplicationDelay, ReplayTime: cfg.ReplayTime, MaxConns: cfg.MaxConnections, ConnectTime: cfg.ConnectTime,
		ColdFrom: r.ColdFrom, RampTime: r.RampTime}
}

// linkTo returns the delay and the probability of loss between a driver and a node now.
func (l *live) linkTo(driver string, n *standin.Node) (time.Duration, float64) {
	d := l.fleet.driverNamed(driver)
	if d == nil || d.Zone == n.Zone {
		return l.cfg.LinkDelay, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delay, lost := max(l.cfg.CrossZoneDelay, l.cfg.LinkDelay), 0.0
	for _, zone := range []string{d.Zone, n.Zone} {
		p := l.zonePaths[zone]
		delay += p.extra + max(0, time.Until(p.cutUntil))
		lost += p.lost
	}
	return delay, lost
}

// openLoop sends the requests of one driver's clients, whether or not earlier ones were answered.
func (l *live) openLoop(d int) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1000+uint64(d)))
	driverRate := l.cfg.Rate / float64(l.cfg.Drivers)
	end := l.begin.Add(l.cfg.Length)
	for due := time.Now().Add(time.Duration(rng.Float64() * float64(time.Second))); due.Before(end); {
		time.Sleep(time.Until(due))
		seed, d := rng.Uint64(), d
		if rng.IntN(1000) < int(l.hotShare.Load()) {
			d = 0
		}
		l.clients.Go(func() { l.request(d, rand.New(rand.NewPCG(l.cfg.Seed, seed))) })
		l.mu.Lock()
		rate := driverRate * l.load
		l.mu.Unlock()
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
}

// closedLoop runs sessions that wait for each answer and a random think time before the next request.
func (l *live) closedLoop() {
	end := l.begin.Add(l.cfg.Length)
	for i := range l.cfg.Sessions * l.cfg.Drivers {
		rng := rand.New(rand.NewPCG(l.cfg.Seed, 5000+uint64(i)))
		l.clients.Go(func() {
			for {
				l.mu.Lock()
				pause := rng.ExpFloat64() * float64(l.cfg.ThinkTime) / l.load
				l.mu.Unlock()
				if time.Sleep(time.Duration(pause)); time.Now().After(end) {
					return
				}
				l.request(i/l.cfg.Sessions, rng)
			}
		})
	}
}

// replayRecorded sends the recorded requests at their recorded times.
func (l *live) replayRecorded() {
	classes, at := map[string]int{}, map[string]int{}
	for i, c := range l.fleet.Spec.Site.Classes {
		classes[c.Name] = i
	}
	for i, g := range l.fleet.Groups {
		at[g.Name] = i
		at[fmt.Sprintf("s%d", i)] = i // its name in the simulation
	}
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 7))
	for i, a := range l.cfg.Arrivals {
		class, known := classes[a.Class]
		where, found := at[a.Slice]
		if !known || !found || a.At >= l.cfg.Length {
			continue
		}
		time.Sleep(time.Until(l.begin.Add(a.At)))
		d, seed := i%l.cfg.Drivers, rng.Uint64()
		l.clients.Go(func() {
			s, _ := l.acquireSession(d, rand.New(rand.NewPCG(l.cfg.Seed, seed)))
			l.issue(d, s, class, where)
		})
	}
}

// request sends one request of a session that has none in flight.
func (l *live) request(d int, rng *rand.Rand) {
	s, home := l.acquireSession(d, rng)
	classes := l.fleet.Spec.Site.Classes
	draw, class := rng.Float64(), 0
	for ; class < len(classes)-1 && draw >= classes[class].Share; class++ {
		draw -= classes[class].Share
	}
	slice := rng.IntN(len(l.fleet.Groups))
	if v := l.cfg.SlicesPerSession; v > 0 && v < len(l.fleet.Groups) {
		slice = (home + rng.IntN(v)) % len(l.fleet.Groups)
	}
	l.issue(d, s, class, slice)
}

// issue sends a request and its retries and releases the session.
func (l *live) issue(d int, s *session, class, slice int) {
	c := &l.fleet.Spec.Site.Classes[class]
	until := time.Now().Add(c.Deadline)
	for try := 0; ; try++ {
		left := time.Until(until)
		call := s.tryCall(l.ctx, l.runningDriver(d), l.fleet.Groups[slice].Name, c, 0, left, try)
		if call != nil {
			l.rogue.repeatWrite(call)
		}
		if call == nil || call.Verdict != Refused || try+1 >= l.cfg.MaxTries {
			break
		}
		wait := l.cfg.RetryPause
		if wait == 0 {
			wait = call.RetryDelay
		}
		if wait >= time.Until(until) {
			break
		}
		time.Sleep(wait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[d] = append(l.idle[d], s)
}

// acquireSession returns a session that has no request in flight and the index of the first slice that it uses.
func (l *live) acquireSession(d int, rng *rand.Rand) (*session, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.idle[d]); n > 0 && l.created >= l.cfg.Sessions*l.cfg.Drivers {
		i := rng.IntN(n)
		s := l.idle[d][i]
		l.idle[d][i] = l.idle[d][n-1]
		l.idle[d] = l.idle[d][:n-1]
		return s, s.home
	}
	s := newSession(l.fleet, l.callLog, l.created, 0)
	s.badShare = &l.badShare
	s.home, s.tokenOnlyIfRequired, s.clientName = l.created, true, fmt.Sprintf("s%d", l.created)
	if l.cfg.Plant == world.PlantSilent {
		s.plant = LostAnswers
	}
	l.created++
	return s, s.home
}

// runningDriver returns driver d or, while it does not run, the next one that does.
func (l *live) runningDriver(d int) *Driver {
	for i := range l.fleet.Drivers {
		if next := l.fleet.Drivers[(d+i)%len(l.fleet.Drivers)]; next.runningServer() != nil {
			return next
		}
	}
	return l.fleet.Drivers[d]
}

// result converts the run to the simulation's result.
func (l *live) result(r *Report) *world.Result {
	res := &world.Result{Latencies: map[string]*hdrhistogram.Histogram{}, Causes: map[string]int{}, Chances: map[string]int{}, Troubles: l.troublesStruck}
	for _, rule := range r.Rules {
		res.Chances[rule.Name] = rule.Chances
		for _, b := range rule.Broken {
			res.Broken = append(res.Broken, rule.Name+": "+b)
		}
	}
	for _, leak := range r.Leaks {
		res.Broken = append(res.Broken, "leak: "+leak)
	}
	calls := l.callLog.Calls()
	slices.SortFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	for i := range calls {
		l.addCall(res, &calls[i])
	}
	for _, s := range l.fleet.Trace.Statements() {
		if s.Kind == standin.KindFacts {
			res.Polls++
		} else {
			res.Attempts++
		}
	}
	for _, g := range l.fleet.Groups {
		for _, at := range g.Promotions() {
			res.Promotions++
			res.PromotionDelays = append(res.PromotionDelays, l.promotionLog.delays(g.Name, at)...)
		}
	}
	l.writeRows(calls, r)
	return res
}

// addCall adds a call to the figures.
func (l *live) addCall(res *world.Result, c *Call) {
	class := c.Class
	res.Requests++
	window := func(sums *[]float64, at time.Time, v float64) {
		i := int(at.Sub(l.begin) / world.Window)
		for len(*sums) <= i {
			*sums = append(*sums, 0)
		}
		(*sums)[i] += v
	}
	if c.Try == 0 {
		window(&res.OfferedValue, c.Sent, class.Value)
	} else {
		res.ClientRetries++
	}
	switch c.Verdict {
	case Served:
		res.Served++
		took := c.Answered.Sub(c.Sent)
		value := class.Value * class.LateValue
		if c.Class.Deadline-c.Timeout+took <= c.Class.Target {
			res.InTarget++
			value = class.Value
		}
		window(&res.Value, c.Answered, value)
		h := res.Latencies[c.Class.Name]
		if h == nil {
			h = hdrhistogram.New(1, 60_000_000, 3)
			res.Latencies[c.Class.Name] = h
		}
		h.RecordValue(max(1, took.Microseconds()))
		if c.Class.Need != balance.NeedWrite && c.Served.GetRole() == pb.Role_ROLE_PRIMARY {
			res.AtPrimary++
		}
	case Refused:
		res.Refused++
		res.Causes[c.Class.Name+": "+causeOf(c.Text)]++
	case Failed:
		res.Failed++
		res.Causes[c.Class.Name+": "+causeOf(c.Text)]++
	default:
		res.Orphaned++
	}
}

// causeOf returns the part of a message that is the same for all requests.
func causeOf(text string) string {
	text = strings.TrimPrefix(text, "refused, nothing ran: ")
	head, _, _ := strings.Cut(text, ":")
	return head
}

// promotionLog records when drivers log a new primary of a slice.
type promotionLog struct {
	mu      sync.Mutex
	changes []primaryChange
}

type primaryChange struct {
	at            time.Time
	driver, slice string
}

// hookedLogger returns a logger that passes every entry to observe and writes none.
func hookedLogger(observe func(e zapcore.Entry)) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.InfoLevel)
	return zap.New(core, zap.Hooks(func(e zapcore.Entry) error { observe(e); return nil }))
}

func (n *promotionLog) logger() *zap.Logger {
	return hookedLogger(func(e zapcore.Entry) {
		if rest, ok := strings.CutPrefix(e.Message, "primary of slice "); ok {
			name, _, _ := strings.Cut(rest, " ")
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, primaryChange{e.Time, e.LoggerName, name})
		}
	})
}

// delays returns, for each driver, the time from a promotion to its first log message about the slice's primary.
func (n *promotionLog) delays(slice string, promoted time.Time) (all []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := map[string]bool{}
	for _, s := range n.changes {
		if s.slice == slice && s.at.After(promoted) && !seen[s.driver] {
			seen[s.driver] = true
			all = append(all, s.at.Sub(promoted))
		}
	}
	return all
}

// writeRows passes every call and each of its statements to Config.Record.
func (l *live) writeRows(calls []Call, r *Report) {
	if l.cfg.Record == nil {
		return
	}
	byTag := map[string][]standin.Statement{}
	for _, s := range l.fleet.Trace.Statements() {
		if s.Kind == standin.KindRead || s.Kind == standin.KindWrite {
			byTag[s.Tag] = append(byTag[s.Tag], s)
		}
	}
	for _, s := range l.fleet.Trace.Starts() {
		l.cfg.Record(&record.Row{Kind: record.KindNodeStart, Node: s.Node, Sent: s.At.Sub(l.begin).Nanoseconds(), Ended: record.NoEnd})
	}
	zones := map[string]string{}
	for _, nodes := range l.nodes {
		for _, n := range nodes {
			zones[n.Name] = n.Zone
		}
	}
	for i := range calls {
		c := &calls[i]
		row := l.requestRow(c, r)
		row.Attempt = int32(len(byTag[c.Tag]))
		row.Zone = zones[row.Node]
		l.cfg.Record(&row)
		for k, s := range byTag[c.Tag] {
			attempt := row
			attempt.Kind, attempt.Attempt, attempt.Node, attempt.Zone, attempt.Driver = record.KindAttempt, int32(k+1), s.Node, zones[s.Node], s.Driver
			attempt.Sent, attempt.Ended, attempt.Value, attempt.RequestedValue, attempt.Cause, attempt.Broken = s.Arrived.Sub(l.begin).Nanoseconds(), record.NoEnd, 0, 0, "", ""
			if !s.Ended.IsZero() {
				attempt.Ended = s.Ended.Sub(l.begin).Nanoseconds()
			}
			if attempt.Outcome, attempt.Role = "failed", "primary"; s.Ran {
				attempt.Outcome = "served"
			} else if s.Code != "" {
				attempt.Outcome = "error " + s.Code
			}
			if s.Replica {
				attempt.Role = "replica"
			}
			attempt.Timeline, attempt.LSN = int32(s.Position.Timeline), int64(s.Position.LSN)
			l.cfg.Record(&attempt)
		}
	}
}

// requestRow returns the row of a call.
func (l *live) requestRow(c *Call, r *Report) record.Row {
	row := record.Row{Kind: record.KindRequest, Request: c.Tag, Class: c.Class.Name, Slice: c.Slice, Session: c.Session, Driver: c.Driver, ClientTry: int32(c.Try),
		Sent: c.Sent.Sub(l.begin).Nanoseconds(), Ended: c.Answered.Sub(l.begin).Nanoseconds(), Outcome: c.Verdict.String(), Cause: causeOf(c.Text)}
	if c.Try == 0 {
		row.RequestedValue = c.Class.Value
	}
	for _, t := range l.cfg.Troubles {
		from := l.begin.Add(t.At)
		if kind := t.Kind.String(); c.Answered.After(from) && c.Sent.Before(from.Add(t.For)) && !strings.Contains(row.Trouble, kind) {
			row.Trouble = strings.TrimPrefix(row.Trouble+"+"+kind, "+")
		}
	}
	if c.Verdict == Served {
		row.Cause, row.Node, row.Role = "", c.Served.GetNode(), "replica"
		if c.Served.GetRole() == pb.Role_ROLE_PRIMARY {
			row.Role = "primary"
		}
		row.Value = c.Class.Value
		if c.Class.Deadline-c.Timeout+c.Answered.Sub(c.Sent) > c.Class.Target {
			row.Value *= c.Class.LateValue
		}
	}
	for _, rule := range r.Rules {
		if slices.ContainsFunc(rule.Broken, func(b string) bool { return strings.Contains(b, " "+c.Tag+" ") || strings.Contains(b, " "+c.Tag+":") }) {
			row.Broken = rule.Name
		}
	}
	return row
}
