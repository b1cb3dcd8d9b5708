// Package server is the shell around the engine of package driver: it serves clients over gRPC and speaks the
// PostgreSQL protocol to db nodes. One loop owns the engine; every connection has a goroutine that opens
// it and reads; contexts bound how long each lives. docs/architecture.md shows how a request flows.
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

// maxRequest is the longest request message taken from a client, in bytes.
const maxRequest = 4 << 20

// maxHeaders is the most metadata taken with a call, in bytes: bags of tokens are the longest of it.
const maxHeaders = 64 << 10

// Server is one driver. Make it with New, then Run it once.
type Server struct {
	settings      *settings.Settings
	log           *zap.Logger
	loop          *loop
	grpc          *grpc.Server
	streams       *streams
	health        *health.Server
	listener      net.Listener
	metrics       *metrics
	wall          time.Time // what the engine's clockStart was on the wall
	kill          context.CancelFunc
	killed        context.Context
	keys          atomic.Pointer[token.Keyring] // nil: tokens are not signed
	follow        *follower                     // nil where nodes stand in the settings
	savedTopology []byte                        // as it was written last

	mu    sync.Mutex
	nodes []settings.Node
}

// New makes a driver and opens its listener, so that Addr is known before Run. The seed feeds the module's
// randomness; two drivers should not share one.
func New(s *settings.Settings, log *zap.Logger, seed uint64) (*Server, error) {
	password, err := readPassword(s.PasswordFile)
	if err != nil {
		return nil, err
	}
	cfg := engineConfig(s)
	if cfg.DriverSessions {
		if cfg.Sessions, cfg.SessionsWhole, err = takeSessions(s.StateDir, time.Now()); err != nil {
			log.Warn(err.Error())
		}
	}
	if cfg.Topology, err = takeTopology(s.StateDir); err != nil {
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
	follow, nodes, err := newFollower(s, log, seed)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.ListenGRPC)
	if err != nil {
		return nil, fmt.Errorf("listen grpc: %w", err)
	}
	srv := &Server{settings: s, log: log, listener: listener, metrics: newMetrics(), wall: time.Now(), nodes: nodes, follow: follow}
	srv.keys.Store(keys)
	srv.killed, srv.kill = context.WithCancel(context.Background())
	front, err := newFront(s, seed, func() time.Duration { return clockStart + time.Since(srv.wall) })
	if err != nil {
		listener.Close()
		return nil, err
	}
	srv.metrics.registry.MustRegister(gateMetrics{front})
	srv.loop = &loop{front: front, engine: engine, inbox: inbox.New[driver.Event](), log: log, metrics: srv.metrics, start: srv.wall,
		login: login{user: s.User, password: password, database: s.Database, maxMessage: s.MaxMessage, history: s.TokenHistory, buffers: &pgwire.Buffers{}},
		conns: map[driver.ConnID]*conn{}, cancels: s.DialTimeout, stopped: make(chan struct{}), looks: make(chan func(*driver.Engine)), list: srv.list}
	srv.loop.whole, srv.loop.streamed = newRooms(s.Within(s.AnswerBytes))
	if follow != nil {
		follow.nodes = srv.nodeStates
	}
	srv.register()
	return srv, nil
}

func engineConfig(s *settings.Settings) driver.Config {
	return driver.Config{Router: s.Router(), Halls: s.Halls, DriverSessions: s.RouterTokens, SessionBytes: s.SessionBytes, MaxOpen: s.MaxOpen,
		PoolSize: s.PoolSize, IdleClose: s.IdleClose, Linger: s.Linger, PollTimeout: s.PollTimeout,
		ClockAge: s.ClockAge, AnswerMargin: s.AnswerMargin, StartWithin: s.StartWithin, CancelWork: s.CancelWork, Tokenless: tokenless(s)}
}

func tokenless(s *settings.Settings) []driver.Tokenless {
	all := make([]driver.Tokenless, len(s.Classes))
	for i, c := range s.Classes {
		all[i] = driver.Tokenless(c.Tokenless)
	}
	return all
}

func loadKeys(s *settings.Settings) (*token.Keyring, error) {
	if s.TokenKeys == "" {
		return nil, nil
	}
	return token.LoadKeys(s.TokenKeys)
}

// ReloadKeys reads the token keys again. On an error the old ones stay.
func (s *Server) ReloadKeys() error {
	keys, err := loadKeys(s.settings)
	if err == nil {
		s.keys.Store(keys)
	}
	return err
}

// readPassword reads a file that nobody else may read.
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
		grpc.MaxRecvMsgSize(maxRequest), grpc.MaxHeaderListSize(maxHeaders), grpc.MaxConcurrentStreams(uint32(s.settings.MaxStreams)),
		experimental.BufferPool(mem.NewTieredBufferPool(1<<8, 1<<12, 1<<14, 1<<15, 1<<16, 1<<17, 1<<18, 1<<19, 1<<20)), // gRPC's own goes from 32 KiB to 1 MiB
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 15 * time.Minute, Time: time.Minute,
			Timeout: 10 * time.Second}),
	)...)
	pb.RegisterDriverServer(s.grpc, &service{loop: s.loop, settings: s.settings, metrics: s.metrics, keys: &s.keys})
	s.health = health.NewServer()
	healthpb.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
}

// Addr is where clients are served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetNodes replaces the list of db nodes. Who lacks in it is gone.
func (s *Server) SetNodes(nodes []settings.Node) {
	s.mu.Lock()
	s.nodes = nodes
	s.mu.Unlock()
	s.loop.inbox.Put(driver.Event{Kind: driver.EventList, List: balance.ListFull, Nodes: s.list()})
}

func (s *Server) list() []driver.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := make([]driver.Node, len(s.nodes))
	for i, n := range s.nodes {
		nodes[i] = driver.Node{Name: n.Name, Address: n.Address, Slice: n.Slice, Hall: n.Hall, Life: n.Life, Instance: n.Instance}
		if !n.Started.IsZero() {
			nodes[i].Started = max(1, clockStart+n.Started.Sub(s.wall))
		}
	}
	return nodes
}

// nodeStates is what the engine knows of the nodes that are not gone. Its times become ages.
func (s *Server) nodeStates(ctx context.Context) (all []driver.NodeState, now time.Duration) {
	s.loop.look(ctx, func(e *driver.Engine) { all = e.Nodes() }) // an error leaves none
	return all, s.loop.now()
}

// Run serves until ctx ends. Then it takes nothing new, answers what it holds within the settings' time, and
// returns once every goroutine and connection of its own is gone. It may be called once.
func (s *Server) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	conns, all := errgroup.Group{}, errgroup.Group{}
	s.loop.work = &conns
	s.loop.inbox.Put(driver.Event{Kind: driver.EventList, List: balance.ListCached, Nodes: s.list()})
	all.Go(func() error { return s.loop.run(life) })
	all.Go(func() error {
		if err := s.grpc.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			s.kill()
			return fmt.Errorf("serving gRPC: %w", err)
		}
		return nil
	})
	all.Go(func() error { s.loop.front.watchMemory(life, s.settings.Memory); return nil })
	if s.follow != nil {
		all.Go(func() error { return s.follow.run(life, s.SetNodes) })
	}
	stop, err := s.control(life, &all)
	if err != nil {
		s.log.Error("the control socket is not served: " + err.Error())
	}
	all.Go(func() error { s.keepTopology(life); return nil })
	web := s.serveMetrics(&all)
	s.log.Info("driver serves", zap.String("grpc", s.Addr()), zap.Int("nodes", len(s.list())))
	select {
	case <-ctx.Done():
		s.drain()
	case <-s.killed.Done():
		s.grpc.Stop()
	}
	if web != nil {
		web.Close()
	}
	end()
	stop()
	err = all.Wait()
	conns.Wait()
	s.saveTopology(s.loop.engine.Topology())
	if ctx.Err() != nil && s.killed.Err() == nil && s.settings.RouterTokens {
		if e := keepSessions(s.settings.StateDir, s.loop.engine.Sessions(), time.Now()); e != nil {
			s.log.Error(e.Error())
		}
	}
	s.log.Info("driver stopped")
	return err
}

// drain answers what is held and lets clients go.
func (s *Server) drain() {
	s.log.Info("driver is stopping", zap.Duration("within", s.settings.StopWithin))
	s.health.Shutdown()
	s.loop.inbox.Put(driver.Event{Kind: driver.EventStop, Until: s.loop.now() + s.settings.StopWithin})
	select {
	case <-s.loop.stopped:
	case <-s.killed.Done():
	}
	graceful := make(chan struct{})
	go func() {
		s.grpc.GracefulStop() // the answers given must still reach their clients
		close(graceful)
	}()
	select {
	case <-graceful:
	case <-s.killed.Done():
		s.grpc.Stop()
		<-graceful
	case <-time.After(s.settings.StopWithin):
		s.grpc.Stop()
		<-graceful
	}
}

// Kill ends the driver at once, as if its process had died: nothing is answered.
func (s *Server) Kill() { s.kill() }

func (s *Server) serveMetrics(all *errgroup.Group) *http.Server {
	if s.settings.ListenMetrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	web := &http.Server{Addr: s.settings.ListenMetrics, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	all.Go(func() error {
		if err := web.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("metrics are not served: " + err.Error())
		}
		return nil
	})
	return web
}
