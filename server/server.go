// Package server runs the engine of package driver on sockets. A Server accepts requests of clients over gRPC, takes the
// node list from the settings or the inventory files, sends statements to database nodes over PostgreSQL's protocol, and
// serves operators on a control socket. Command umberladder and the laboratory make one with New and call Run, in which
// one goroutine owns the engine and each node connection has a reader; docs/architecture.md follows a request through it.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/reflection"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/internal/inbox"
	"umberladder/pgwire"
	pb "umberladder/proto/umberladder/v1"
	"umberladder/settings"
	"umberladder/token"
)

const listFull = balance.ListFull

// maxRequestBytes is the maximum size of a request message.
const maxRequestBytes = 4 << 20

// maxMetadataBytes is the maximum size of a call's metadata. Sets of tokens are the largest part of it.
const maxMetadataBytes = 64 << 10

// Limits on what gRPC holds for a connection. With fixed windows, what a client sends and no handler reads does not grow
// with the client's rate; a handler that reads a longer message is sent all of it.
const (
	streamWindow      = 64 << 10        // bytes of a call that its handler has not read
	connWindow        = 1 << 20         // bytes in flight of all calls of a connection
	connBuffer        = 8 << 10         // buffers for reading and writing, in bytes
	connectionTimeout = 5 * time.Second // for the first settings of a new connection
)

// Server is one driver process's gRPC server, engine and node connections. Make it with New and call Run once.
type Server struct {
	settings      *settings.Settings
	log           *zap.Logger
	loop          *loop
	grpc          *grpc.Server
	streams       *streams
	health        *health.Server
	listener      net.Listener
	metrics       *metrics
	startedAt     time.Time // wall-clock time that corresponds to clockStart
	kill          context.CancelFunc
	killed        context.Context
	keys          atomic.Pointer[token.Keyring] // nil if tokens are not signed
	follower      *inventoryFollower            // nil if the settings list the nodes
	savedTopology []byte                        // as last written

	mu    sync.Mutex
	nodes []settings.Node
}

// New makes a driver and opens its gRPC listener, so that Addr is valid before Run. The seed initializes random
// decisions; each driver needs its own. It fails if the password or keys can't be read, there is no usable inventory,
// or the address can't be listened on. Damaged state files are only logged.
func New(s *settings.Settings, log *zap.Logger, seed uint64) (*Server, error) {
	password, err := readPassword(s.PasswordFile)
	if err != nil {
		return nil, err
	}
	cfg := engineConfig(s)
	if cfg.DriverSessions {
		if cfg.Sessions, cfg.SessionsComplete, err = loadSessions(s.StateDir, time.Now()); err != nil {
			log.Warn(err.Error())
		}
	}
	if cfg.Topology, err = loadTopology(s.StateDir); err != nil {
		log.Warn(err.Error())
	}
	engine, err := driver.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	keys, err := loadKeys(s)
	if err != nil {
		return nil, err
	}
	follower, nodes, err := newInventoryFollower(s, log, seed)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.ListenGRPC)
	if err != nil {
		return nil, fmt.Errorf("listen grpc: %w", err)
	}
	srv := &Server{settings: s, log: log, listener: listener, metrics: newMetrics(), startedAt: time.Now(), nodes: nodes, follower: follower}
	srv.keys.Store(keys)
	srv.killed, srv.kill = context.WithCancel(context.Background())
	gate, err := newFrontEnd(s, seed, func() time.Duration { return clockStart + time.Since(srv.startedAt) })
	if err != nil {
		listener.Close()
		return nil, err
	}
	srv.metrics.registry.MustRegister(gateMetrics{gate})
	srv.loop = &loop{frontEnd: gate, engine: engine, inbox: inbox.New[driver.Event](), log: log, metrics: srv.metrics, start: srv.startedAt,
		login: login{user: s.User, password: password, database: s.Database, maxMessage: s.MaxMessage, history: s.TokenHistory, buffers: &pgwire.Buffers{}},
		conns: map[driver.ConnID]*conn{}, cancelTimeout: s.DialTimeout, stopped: make(chan struct{}), engineCalls: make(chan func(*driver.Engine)), listNodes: srv.nodeList}
	srv.loop.unstreamed, srv.loop.streamed = splitAnswerMemory(s.CapToMemory(s.AnswerBytes))
	if follower != nil {
		follower.nodeStates = srv.nodeStates
	}
	srv.register()
	return srv, nil
}

func engineConfig(s *settings.Settings) driver.Config {
	return driver.Config{Router: s.Router(), Zones: s.Zones, DriverSessions: s.DriverSessions, SessionBytes: s.SessionBytes, MaxOpen: s.MaxOpen,
		PoolSize: s.PoolSize, IdleClose: s.IdleClose, Linger: s.Linger, PollTimeout: s.PollTimeout,
		ClockAge: s.ClockAge, AnswerMargin: s.AnswerMargin, StartWithin: s.StartWithin, CancelWork: s.CancelWork, MissingToken: missingTokenPolicies(s)}
}

func missingTokenPolicies(s *settings.Settings) []driver.MissingTokenPolicy {
	all := make([]driver.MissingTokenPolicy, len(s.Classes))
	for i, c := range s.Classes {
		all[i] = driver.MissingTokenPolicy(c.MissingToken)
	}
	return all
}

func loadKeys(s *settings.Settings) (*token.Keyring, error) {
	if s.TokenKeys == "" {
		return nil, nil
	}
	return token.LoadKeys(s.TokenKeys)
}

// ReloadKeys reads the token key file again. After an error the old keys stay in use.
func (s *Server) ReloadKeys() error {
	keys, err := loadKeys(s.settings)
	if err == nil {
		s.keys.Store(keys)
	}
	return err
}

// readPassword returns the file's content without its line end, or an error if group or others have access to it.
func readPassword(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	st, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("pool password-file: %w", err)
	}
	if st.Mode().Perm()&0o077 != 0 {
		return "", fmt.Errorf("pool password-file: %s may be read by others (mode %04o); make it 0600", path, st.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("pool password-file: %w", err)
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

func (s *Server) register() {
	s.streams = newStreams(s.settings)
	s.metrics.registry.MustRegister(streamMetrics{s.streams})
	s.grpc = grpc.NewServer(append(s.streams.options(),
		grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxHeaderListSize(maxMetadataBytes), grpc.MaxConcurrentStreams(uint32(s.settings.MaxStreams)),
		grpc.StaticStreamWindowSize(streamWindow), grpc.StaticConnWindowSize(connWindow), grpc.ConnectionTimeout(connectionTimeout),
		grpc.ReadBufferSize(connBuffer), grpc.WriteBufferSize(connBuffer),
		// gRPC's default buffer pool has no size between 32 KiB and 1 MiB.
		experimental.BufferPool(mem.NewTieredBufferPool(1<<8, 1<<12, 1<<14, 1<<15, 1<<16, 1<<17, 1<<18, 1<<19, 1<<20)),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 15 * time.Minute, Time: time.Minute,
			Timeout: 10 * time.Second}),
	)...)
	pb.RegisterDriverServer(s.grpc, &service{loop: s.loop, settings: s.settings, metrics: s.metrics, keys: &s.keys})
	s.health = health.NewServer()
	healthpb.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
}

// Addr returns the address of the gRPC listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetNodes replaces the list of database nodes. Nodes that it omits are removed.
func (s *Server) SetNodes(nodes []settings.Node) {
	s.mu.Lock()
	s.nodes = nodes
	s.mu.Unlock()
	s.loop.inbox.Put(driver.Event{Kind: driver.EventNodeList, List: balance.ListFull, Nodes: s.nodeList()})
}

func (s *Server) nodeList() []driver.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := make([]driver.Node, len(s.nodes))
	for i, n := range s.nodes {
		nodes[i] = driver.Node{Name: n.Name, Address: n.Address, Slice: n.Slice, Zone: n.Zone, Life: n.Life, Instance: n.Instance}
		if !n.Started.IsZero() {
			nodes[i].Started = max(1, clockStart+n.Started.Sub(s.startedAt))
		}
	}
	return nodes
}

// nodeStates returns the engine's nodes that are not removed, and the engine time to which their times relate. It
// returns no nodes if ctx ends first.
func (s *Server) nodeStates(ctx context.Context) (all []driver.NodeState, now time.Duration) {
	s.loop.withEngine(ctx, func(e *driver.Engine) { all = e.Nodes() })
	return all, s.loop.now()
}

// Run serves until ctx ends, then refuses new requests, answers pending ones within the settings' stop time, and
// returns when all its goroutines have ended and its connections are closed. It returns an error if the gRPC server or
// the server on the control socket fails; a failure of the gRPC server also ends Run at once. A control socket or metrics
// endpoint that can't be opened is only logged. Run may be called once.
func (s *Server) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conns, tasks := errgroup.Group{}, errgroup.Group{}
	s.loop.work = &conns
	s.loop.inbox.Put(driver.Event{Kind: driver.EventNodeList, List: balance.ListCached, Nodes: s.nodeList()})
	tasks.Go(func() error { return s.loop.run(runCtx) })
	tasks.Go(func() error {
		if err := s.grpc.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			s.kill()
			return fmt.Errorf("serving gRPC: %w", err)
		}
		return nil
	})
	tasks.Go(func() error { s.loop.frontEnd.watchMemory(runCtx, s.settings.Memory); return nil })
	tasks.Go(func() error { s.streams.incoming.watch(runCtx, s.loop.frontEnd.memoryShort); return nil })
	if s.follower != nil {
		tasks.Go(func() error { return s.follower.run(runCtx, s.SetNodes) })
	}
	stop, err := s.control(runCtx, &tasks)
	if err != nil {
		s.log.Error("control socket not available: " + err.Error())
	}
	tasks.Go(func() error { s.saveTopologyChanges(runCtx); return nil })
	httpServer := s.serveMetrics(&tasks)
	s.log.Info("driver started", zap.String("grpc", s.Addr()), zap.Int("nodes", len(s.nodeList())))
	select {
	case <-ctx.Done():
		s.drain()
	case <-s.killed.Done():
		s.grpc.Stop()
	}
	if httpServer != nil {
		httpServer.Close()
	}
	cancel()
	stop()
	err = tasks.Wait()
	conns.Wait()
	s.saveTopology(s.loop.engine.Topology())
	if ctx.Err() != nil && s.killed.Err() == nil && s.settings.DriverSessions {
		if e := saveSessions(s.settings.StateDir, s.loop.engine.Sessions(), time.Now()); e != nil {
			s.log.Error(e.Error())
		}
	}
	s.log.Info("driver stopped")
	return err
}

// drain waits for the answers to pending requests, then closes the connections of clients.
func (s *Server) drain() {
	s.log.Info("driver is stopping", zap.Duration("within", s.settings.StopTimeout))
	s.health.Shutdown()
	s.loop.inbox.Put(driver.Event{Kind: driver.EventStop, Until: s.loop.now() + s.settings.StopTimeout})
	select {
	case <-s.loop.stopped:
	case <-s.killed.Done():
	}
	graceful := make(chan struct{})
	go func() {
		s.grpc.GracefulStop() // answers already given must still reach clients
		close(graceful)
	}()
	select {
	case <-graceful:
	case <-s.killed.Done():
		s.grpc.Stop()
		<-graceful
	case <-time.After(s.settings.StopTimeout):
		s.grpc.Stop()
		<-graceful
	}
}

// Kill stops the driver at once, as if its process had died: pending requests get no answer.
func (s *Server) Kill() { s.kill() }

func (s *Server) serveMetrics(tasks *errgroup.Group) *http.Server {
	if s.settings.ListenMetrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	httpServer := &http.Server{Addr: s.settings.ListenMetrics, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	tasks.Go(func() error {
		if err := httpServer.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("metrics endpoint not available: " + err.Error())
		}
		return nil
	})
	return httpServer
}
