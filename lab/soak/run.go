package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"umberladder/lab"
	osprocess "umberladder/lab/process"
	"umberladder/standin/catalog"
)

// Options are the inputs of Run.
type Options struct {
	Program string // path of the built program
	Seed    uint64
	KeepDir string // folder for configurations, logs and traces; "" keeps none
}

// Result holds the judged rules of one seed.
type Result struct {
	Plan     *Plan
	Rules    []*lab.Rule
	Requests int
	Slack    time.Duration // tolerance for comparing times taken by different goroutines
}

// Broken returns the number of violations of all rules.
func (r *Result) Broken() (n int) {
	for _, rule := range r.Rules {
		n += len(rule.Broken)
	}
	return n
}

// run is the state of one seed's run.
type run struct {
	plan    *Plan
	rng     *rand.Rand
	log     *requestLog
	stalls  *atomic.Int64
	members []*catalog.Member
	agents  []*catalog.Agent // discovery agents; the drivers use the first, and after a reload the second
	drivers []*driverProcess // the first receives the signals; a second one restarts meanwhile

	clients     sync.WaitGroup
	readers     sync.WaitGroup
	dialCtx     context.Context // ends when clients open no more connections
	stopDialing context.CancelFunc

	baseDescriptors   int           // descriptors of the first driver besides its connections, without load
	excessDescriptors int           // descriptors above baseDescriptors before the first signal
	excessMeasured    bool          // excessDescriptors is set
	starts            []startResult // one per driver start
	termAt            time.Time     // when SIGTERM was first sent to the first driver
	reloaded          bool          // the first driver got SIGHUP, so that a drain may reach it later
	troubleAt         time.Time     // when the member's trouble began
	killed            bool          // the first driver was still running at SIGKILL
}

// startResult is the duration of a driver's start until it was ready, its limit, and its error.
type startResult struct {
	driver  string
	took    time.Duration
	within  time.Duration
	failure error
}

const (
	firstReady   = 30 * time.Second       // time limit for a start
	restartReady = 10 * time.Second       // time limit for the restart of the second driver
	reloadDelay  = 4 * time.Second        // added to the time until a driver that got SIGHUP must know of a drain
	crowdLead    = 200 * time.Millisecond // time from the first crowd connections to the first signal
)

// Run runs the plan of a seed, which takes seconds, and judges it. It returns an error if the run could not be completed
// or ctx ended; broken rules are no error but part of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	plan := Draw(o.Seed)
	dir, clean, err := runDir(o)
	if err != nil {
		return nil, err
	}
	defer clean()
	ctx, end := context.WithCancel(ctx)
	defer end()
	r := &run{plan: plan, rng: rand.New(rand.NewPCG(o.Seed, 0x72756e)), log: &requestLog{}, stalls: lab.MeasureStalls(ctx)}
	r.dialCtx, r.stopDialing = context.WithCancel(ctx)
	defer r.stopDialing()
	defer r.close()
	if err := r.setUp(o.Program, dir); err != nil {
		return nil, err
	}
	if err := r.runPlan(ctx); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	result, err := r.judge()
	if err == nil && o.KeepDir != "" {
		err = r.writeTrace(filepath.Join(dir, "trace.txt"))
	}
	return result, err
}

// runDir creates the directory for a run's files. clean removes it unless it is to be kept.
func runDir(o Options) (dir string, clean func(), err error) {
	if o.KeepDir == "" {
		dir, err = os.MkdirTemp("", "umberladder-soak")
		return dir, func() { os.RemoveAll(dir) }, err
	}
	dir = filepath.Join(o.KeepDir, fmt.Sprintf("seed-%d", o.Seed))
	return dir, func() {}, errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o755))
}

// setUp starts members and agents and prepares the drivers.
func (r *run) setUp(program, dir string) error {
	for i := range members {
		m, err := catalog.NewMember(fmt.Sprintf("s-%d", i), i == 0)
		if err != nil {
			return err
		}
		m.SetScript(serviceTime(m, r.rng.Uint64()))
		r.members = append(r.members, m)
	}
	for range 2 {
		a, err := catalog.NewAgent(r.members...)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	names := []string{"n0"}
	if r.plan.Signals == SignalDuringRestart {
		names = append(names, "n1")
	}
	for _, name := range names {
		p, err := newProcess(program, dir, catalog.DriverConfig{Name: name, Discovery: r.agents[0].Address(), Sockets: maxDescriptors, MemoryMB: memoryMB,
			Known: r.agents[0].Known(), ReadDeadline: r.plan.ReadDeadline, WriteDeadline: r.plan.WriteDeadline})
		if err != nil {
			return err
		}
		r.drivers = append(r.drivers, p)
	}
	return nil
}

// serviceTime returns a script with which a member takes 1 to 20 ms per request.
func serviceTime(m *catalog.Member, seed uint64) catalog.Script {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x776f726b))
	return func(_ int, id string, c net.Conn) bool {
		mu.Lock()
		work := time.Duration(1+rng.IntN(20)) * time.Millisecond
		mu.Unlock()
		time.Sleep(work)
		c.Write(m.Answer(id))
		return true
	}
}

func (r *run) close() {
	for _, p := range r.drivers {
		if p.cmd != nil {
			p.kill()
		}
	}
	for _, a := range r.agents {
		a.Close()
	}
	for _, m := range r.members {
		m.Close()
	}
}

// runPlan runs drivers and clients according to the plan until the first driver has ended.
func (r *run) runPlan(ctx context.Context) error {
	clientCtx, end := context.WithCancel(ctx)
	defer func() {
		end()
		r.clients.Wait()
		r.readers.Wait()
	}()
	early := r.plan.Signals == SignalEarlyTerm
	for _, p := range r.drivers {
		if err := p.start(); err != nil {
			return err
		}
		if !early {
			r.awaitReady(p, firstReady)
		}
	}
	first := r.drivers[0]
	r.baseDescriptors = r.otherDescriptors(first)
	r.startClients(clientCtx)
	r.sleep(ctx, r.plan.Load-crowdLead)
	if r.plan.Crowd {
		r.clients.Go(func() { r.crowd(clientCtx, first) })
	}
	r.sleep(ctx, crowdLead)
	if !early && !r.plan.Crowd {
		r.measureExcess(first)
	}
	if err := r.sendSignals(ctx); err != nil {
		return err
	}
	r.afterTerm(ctx, clientCtx)
	return nil
}

func (r *run) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// awaitReady waits until a driver is ready and records the duration of its start.
func (r *run) awaitReady(p *driverProcess, within time.Duration) {
	took, err := p.ready(within)
	r.starts = append(r.starts, startResult{p.config.Name, took, within, err})
}

func (r *run) startClients(ctx context.Context) {
	for kind, count := range r.plan.Clients {
		for i := range count {
			r.startClient(ctx, clientKind(kind), fmt.Sprintf("k%dc%d", kind, i), r.drivers[i%len(r.drivers)])
		}
	}
}

func (r *run) startClient(ctx context.Context, kind clientKind, name string, p *driverProcess) {
	c := &client{run: r, kind: kind, driver: p, name: name, rng: rand.New(rand.NewPCG(r.plan.Seed, r.rng.Uint64()))}
	r.clients.Go(func() { c.loop(ctx) })
}

// sendSignals sends the signals to the first driver and starts the member's trouble just before the first SIGTERM.
func (r *run) sendSignals(ctx context.Context) error {
	p := r.drivers[0]
	reload := func(to int) error {
		r.reloaded = true
		p.config.Discovery = r.agents[to].Address()
		return errors.Join(p.writeConfig(), p.signal(syscall.SIGHUP))
	}
	wait := func() error {
		r.sleep(ctx, time.Duration(10+r.rng.IntN(140))*time.Millisecond)
		return nil
	}
	term := func() error {
		if r.termAt.IsZero() {
			r.termAt = time.Now()
		}
		return p.signal(syscall.SIGTERM)
	}
	var steps []func() error
	switch r.plan.Signals {
	case SignalHupHupTerm:
		steps = []func() error{func() error { return reload(1) }, wait, func() error { return reload(0) }, wait, r.startTrouble, term}
	case SignalTermTerm:
		steps = []func() error{r.startTrouble, term, wait, term}
	case SignalTermHup:
		steps = []func() error{r.startTrouble, term, wait, func() error { return reload(1) }}
	case SignalTruncatedHupTerm:
		half := func() error {
			r.reloaded = true
			p.config.Discovery = r.agents[1].Address()
			return errors.Join(p.writeTruncatedConfig(), p.signal(syscall.SIGHUP))
		}
		steps = []func() error{half, wait, p.writeConfig, wait, r.startTrouble, term}
	case SignalSilentHup:
		r.agents[1].Silence(true)
		steps = []func() error{func() error { return reload(1) }, wait, r.startTrouble, term, wait, func() error { r.agents[1].Silence(false); return nil }}
	case SignalDuringRestart:
		steps = []func() error{func() error { return r.restartSecond(ctx) }, wait, r.startTrouble, term}
	default:
		steps = []func() error{r.startTrouble, term}
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// restartSecond ends the second driver and starts it again in the background.
func (r *run) restartSecond(ctx context.Context) error {
	p := r.drivers[1]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	r.clients.Go(func() {
		exited := p.exited
		select {
		case <-exited:
		case <-time.After(r.plan.killAfter()):
			p.kill()
		}
		if ctx.Err() != nil {
			return
		}
		if err := p.start(); err != nil {
			r.starts = append(r.starts, startResult{driver: p.config.Name, failure: err})
			return
		}
		r.awaitReady(p, restartReady)
	})
	return nil
}

// startTrouble starts the trouble of the planned member.
func (r *run) startTrouble() error {
	r.troubleAt = time.Now()
	m := r.members[r.plan.Member]
	switch r.plan.Trouble {
	case MemberDrains:
		for _, a := range r.agents {
			a.Set(m, catalog.StateDraining, time.Time{})
		}
	case MemberHangs:
		m.Hang(true)
		if r.plan.HangFor > 0 {
			time.AfterFunc(r.plan.HangFor, func() { m.Hang(false) })
		}
	case MemberMoves:
		if err := m.Restart(); err != nil {
			return err
		}
		for _, a := range r.agents {
			a.Set(m, catalog.StateReady, time.Now())
		}
	case MemberClosesIdle:
		m.CloseIdle()
	}
	return nil
}

// afterTerm starts new clients until the plan's limit, and waits until the first driver has ended or is killed.
func (r *run) afterTerm(ctx, clientCtx context.Context) {
	p := r.drivers[0]
	const every = 40 * time.Millisecond
	closing := time.After(time.Until(r.termAt.Add(r.plan.AcceptAfterTerm)))
	kill := time.After(time.Until(r.termAt.Add(r.plan.killAfter())))
	arrivals := time.NewTicker(every)
	defer arrivals.Stop()
	for number := 0; ; number++ {
		select {
		case <-arrivals.C:
			if r.dialCtx.Err() == nil {
				r.startClient(clientCtx, clientKind(number%int(clientKinds)), fmt.Sprintf("late%d", number), p)
			}
		case <-closing:
			r.stopDialing()
		case <-p.exited:
			return
		case <-kill:
			r.killed = p.kill()
			return
		case <-ctx.Done():
			return
		}
	}
}

// otherDescriptors returns the number of a driver's descriptors that are not connections to clients or members. It is
// the minimum of ten samples, as connections open and close meanwhile.
func (r *run) otherDescriptors(p *driverProcess) int {
	least := maxDescriptors
	for range 10 {
		time.Sleep(10 * time.Millisecond)
		files, ok := osprocess.OpenFiles(p.cmd.Process.Pid)
		if !ok {
			continue
		}
		connections := 0
		r.log.update(func() { connections = r.log.openConns })
		for _, m := range r.members {
			connections += m.OpenConns()
		}
		least = min(least, files-connections)
	}
	return least
}

// measureExcess records the growth of otherDescriptors under load. It is judged only with a single driver, as the
// members' connections are not counted by driver.
func (r *run) measureExcess(p *driverProcess) {
	r.excessMeasured = len(r.drivers) == 1
	r.excessDescriptors = r.otherDescriptors(p) - r.baseDescriptors
}
