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

// Options say what is played.
type Options struct {
	Program string // the built program
	Seed    uint64
	Keep    string // folder for configurations, logs and traces; "" keeps none
}

// Result is one seed's judgement.
type Result struct {
	Plan     *Plan
	Rules    []*lab.Rule
	Requests int
	Slack    time.Duration // within which times of different goroutines are compared
}

// Broken is how many times a rule was broken.
func (r *Result) Broken() (n int) {
	for _, rule := range r.Rules {
		n += len(rule.Broken)
	}
	return n
}

// run is a seed under way.
type run struct {
	plan    *Plan
	rng     *rand.Rand
	book    *book
	stalls  *atomic.Int64
	members []*catalog.Member
	agents  []*catalog.Agent // the drivers follow the first, and after a reload the second
	drivers []*process       // the first is told to end; a second restarts beside it

	clients sync.WaitGroup
	readers sync.WaitGroup
	dialing context.Context // ends when no new connections come any more
	refuse  context.CancelFunc

	base     int         // descriptors of the first driver beyond its connections, at rest
	excess   int         // descriptors beyond those before the first signal
	measured bool        // excess was
	readies  []readiness // of each start
	termed   time.Time   // when the first driver was told to end
	reloaded bool        // it got a new configuration, or discovery was silent: news counts later
	struckAt time.Time   // when the member's trouble began
	killed   bool        // SIGKILL found the first driver running
}

// readiness is how long a start took.
type readiness struct {
	driver  string
	took    time.Duration
	within  time.Duration
	failure error
}

const (
	firstReady   = 30 * time.Second
	restartReady = 10 * time.Second
	reloadTold   = 4 * time.Second // after SIGHUP, until news counts as told
	crowdBefore  = 200 * time.Millisecond
)

// Run plays a seed and judges it. An error says that it could not be played.
func Run(ctx context.Context, o Options) (*Result, error) {
	plan := Draw(o.Seed)
	dir, clean, err := folder(o)
	if err != nil {
		return nil, err
	}
	defer clean()
	ctx, end := context.WithCancel(ctx)
	defer end()
	r := &run{plan: plan, rng: rand.New(rand.NewPCG(o.Seed, 0x72756e)), book: &book{}, stalls: lab.MeasureStalls(ctx)}
	r.dialing, r.refuse = context.WithCancel(ctx)
	defer r.refuse()
	defer r.close()
	if err := r.setUp(o.Program, dir); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	result, err := r.judge()
	if err == nil && o.Keep != "" {
		err = r.writeTrace(filepath.Join(dir, "trace.txt"))
	}
	return result, err
}

// folder is where a run keeps its files.
func folder(o Options) (dir string, clean func(), err error) {
	if o.Keep == "" {
		dir, err = os.MkdirTemp("", "umberladder-soak")
		return dir, func() { os.RemoveAll(dir) }, err
	}
	dir = filepath.Join(o.Keep, fmt.Sprintf("seed-%d", o.Seed))
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
	if r.plan.Signals == SignalBeside {
		names = append(names, "n1")
	}
	for _, name := range names {
		p, err := newProcess(program, dir, catalog.DriverConfig{Name: name, Discovery: r.agents[0].Address(), Sockets: sockets, MemoryMB: memoryMB,
			Known: r.agents[0].Known(), ReadDeadline: r.plan.ReadDeadline, WriteDeadline: r.plan.WriteDeadline})
		if err != nil {
			return err
		}
		r.drivers = append(r.drivers, p)
	}
	return nil
}

// serviceTime has a member take 1 to 20 ms for a request.
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

// play runs drivers and clients through the plan, until the first driver has ended.
func (r *run) play(ctx context.Context) error {
	alive, end := context.WithCancel(ctx)
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
	r.base = r.beyondConnections(first)
	r.startClients(alive)
	r.sleep(ctx, r.plan.Load-crowdBefore)
	if r.plan.Crowd {
		r.clients.Go(func() { r.crowd(alive, first) })
	}
	r.sleep(ctx, crowdBefore)
	if !early && !r.plan.Crowd {
		r.measure(first)
	}
	if err := r.strike(ctx); err != nil {
		return err
	}
	r.afterTerm(ctx, alive)
	return nil
}

func (r *run) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// awaitReady waits for a driver and notes how long its start took.
func (r *run) awaitReady(p *process, within time.Duration) {
	took, err := p.ready(within)
	r.readies = append(r.readies, readiness{p.config.Name, took, within, err})
}

func (r *run) startClients(ctx context.Context) {
	for kind, count := range r.plan.Clients {
		for i := range count {
			r.startClient(ctx, clientKind(kind), fmt.Sprintf("k%dc%d", kind, i), r.drivers[i%len(r.drivers)])
		}
	}
}

func (r *run) startClient(ctx context.Context, kind clientKind, name string, p *process) {
	c := &client{run: r, kind: kind, driver: p, name: name, rng: rand.New(rand.NewPCG(r.plan.Seed, r.rng.Uint64()))}
	r.clients.Go(func() { c.live(ctx) })
}

// strike gives the signals, and the member its trouble with them.
func (r *run) strike(ctx context.Context) error {
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
		if r.termed.IsZero() {
			r.termed = time.Now()
		}
		return p.signal(syscall.SIGTERM)
	}
	var steps []func() error
	switch r.plan.Signals {
	case SignalHupHupTerm:
		steps = []func() error{func() error { return reload(1) }, wait, func() error { return reload(0) }, wait, r.trouble, term}
	case SignalTermTerm:
		steps = []func() error{r.trouble, term, wait, term}
	case SignalTermHup:
		steps = []func() error{r.trouble, term, wait, func() error { return reload(1) }}
	case SignalHalfHupTerm:
		half := func() error {
			r.reloaded = true
			p.config.Discovery = r.agents[1].Address()
			return errors.Join(p.writeHalfConfig(), p.signal(syscall.SIGHUP))
		}
		steps = []func() error{half, wait, p.writeConfig, wait, r.trouble, term}
	case SignalSilentHup:
		r.agents[1].Silence(true)
		steps = []func() error{func() error { return reload(1) }, wait, r.trouble, term, wait, func() error { r.agents[1].Silence(false); return nil }}
	case SignalBeside:
		steps = []func() error{func() error { return r.restartSecond(ctx) }, wait, r.trouble, term}
	default:
		steps = []func() error{r.trouble, term}
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// restartSecond has the second driver end and start anew, beside what goes on.
func (r *run) restartSecond(ctx context.Context) error {
	p := r.drivers[1]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	r.clients.Go(func() {
		over := p.over
		select {
		case <-over:
		case <-time.After(r.plan.killAfter()):
			p.kill()
		}
		if ctx.Err() != nil {
			return
		}
		if err := p.start(); err != nil {
			r.readies = append(r.readies, readiness{driver: p.config.Name, failure: err})
			return
		}
		r.awaitReady(p, restartReady)
	})
	return nil
}

// trouble strikes the member that the plan names.
func (r *run) trouble() error {
	r.struckAt = time.Now()
	m := r.members[r.plan.Member]
	switch r.plan.Trouble {
	case MemberDrains:
		for _, a := range r.agents {
			a.Set(m, catalog.StateDraining, time.Time{})
		}
	case MemberHangs:
		m.Hang(true)
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

// afterTerm lets new clients come for a while, and waits until the first driver ended or is killed.
func (r *run) afterTerm(ctx, alive context.Context) {
	p := r.drivers[0]
	const every = 40 * time.Millisecond
	closing := time.After(time.Until(r.termed.Add(r.plan.NewFor)))
	kill := time.After(time.Until(r.termed.Add(r.plan.killAfter())))
	arrivals := time.NewTicker(every)
	defer arrivals.Stop()
	for number := 0; ; number++ {
		select {
		case <-arrivals.C:
			if r.dialing.Err() == nil {
				r.startClient(alive, clientKind(number%int(clientKinds)), fmt.Sprintf("late%d", number), p)
			}
		case <-closing:
			r.refuse()
		case <-p.over:
			return
		case <-kill:
			r.killed = p.kill()
			return
		case <-ctx.Done():
			return
		}
	}
}

// beyondConnections is how many descriptors a driver has beyond its connections to clients and members, the least of
// several looks, as connections come and go.
func (r *run) beyondConnections(p *process) int {
	least := sockets
	for range 10 {
		time.Sleep(10 * time.Millisecond)
		files, ok := osprocess.OpenFiles(p.cmd.Process.Pid)
		if !ok {
			continue
		}
		connections := 0
		r.book.note(func() { connections = r.book.open })
		for _, m := range r.members {
			connections += m.Open()
		}
		least = min(least, files-connections)
	}
	return least
}

// measure notes by how much the descriptors beyond connections have grown under load.
func (r *run) measure(p *process) {
	r.measured = len(r.drivers) == 1
	r.excess = r.beyondConnections(p) - r.base
}
