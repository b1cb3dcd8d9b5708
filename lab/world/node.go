package world

import (
	"fmt"
	"sort"
	"time"

	"umberladder/balance"
	"umberladder/driver"
	"umberladder/pgwire"
	"umberladder/position"
)

// slice is a primary with its replicas and their log.
type slice struct {
	w          *World
	name       string
	nodes      []*node
	primary    *node
	timeline   uint32
	lsn        uint64
	commits    []commit // of the current timeline's log, by rising LSN
	byKey      map[string][]commit
	lost       []commit      // commits lost by promotions
	promotedAt time.Duration // time of the last promotion; 0 for none
}

// commit is a log record. at is the time of the commit or, in node.applied, of the replay.
type commit struct {
	lsn        uint64
	at         time.Duration
	key, value string
}

// value returns the value of a key at a log position, "" if it had none.
func (s *slice) value(key string, lsn uint64) string {
	all := s.byKey[key]
	i := sort.Search(len(all), func(i int) bool { return all[i].lsn > lsn })
	if i == 0 {
		return ""
	}
	return all[i-1].value
}

// node simulates one database node: cores, a queue of requests for them, and a log that a replica replays on one thread.
type node struct {
	slice          *slice
	name           string
	down           bool
	epoch          int // increased by each crash: work of an earlier epoch has no effect
	busyCores      int
	queue          []func() // executions waiting for a core
	drawWork       func() time.Duration
	links          map[*link]bool
	timeline       uint32
	applied        []commit // on a replica, the log records in order, each with the time when it has been replayed
	replayFreeAt   time.Duration
	replayTime     time.Duration // time to replay one record
	zone           string
	life           balance.Life
	slowdown       float64         // factor on execution times
	stalledUntil   time.Duration   // until then it processes nothing
	startedAt      time.Duration   // last start during the run; 0 for none
	coldArrivals   []time.Duration // arrivals within the last ColdOverloadWindow while it is cold
	coldBroken     bool            // it has broken RuleCold since its start
	replaySlowdown float64         // factor on replayTime
	cap            int             // most connections it accepts; 0 for no limit
	connectTime    time.Duration   // time it needs to accept a connection
	idleLimit      time.Duration   // connections idle for longer are dropped without an error; 0 for never
	connectFreeAt  time.Duration   // until then it is busy accepting earlier connections
}

// connectDelay returns how long the node takes to accept a connection opened now, after those opened before it.
func (n *node) connectDelay() time.Duration {
	w := n.slice.w
	n.connectFreeAt = max(n.connectFreeAt, w.now) + n.connectTime
	return n.connectFreeAt - w.now
}

func (w *World) build() {
	for s := range w.cfg.Slices {
		sl := &slice{w: w, name: fmt.Sprintf("s%d", s), timeline: 1, lsn: 64, byKey: map[string][]commit{}}
		for m := range w.cfg.Members {
			n := &node{slice: sl, name: fmt.Sprintf("db%d-%d", s, m), links: map[*link]bool{}, timeline: 1, zone: w.zone(m), slowdown: 1, replaySlowdown: 1, cap: w.cfg.MaxConnections, connectTime: w.cfg.ConnectTime,
				applied: []commit{{lsn: 64, at: start}}}
			if n.replayTime = w.cfg.ReplayTime; m < len(w.cfg.ReplayFactors) {
				n.replayTime = time.Duration(float64(n.replayTime) * w.cfg.ReplayFactors[m])
			}
			if n.drawWork = lognormal(w.cfg.Work, w.cfg.WorkSigma, w.stream("work "+n.name)); w.cfg.TailIndex > 1 {
				n.drawWork = pareto(w.cfg.Work, w.cfg.TailIndex, w.stream("work "+n.name))
			}
			sl.nodes, w.allNodes = append(sl.nodes, n), append(w.allNodes, n)
			w.nodes[n.name] = n
		}
		sl.primary = sl.nodes[0]
		w.slices = append(w.slices, sl)
	}
}

// position returns the node's current log position.
func (n *node) position() position.Position {
	if n == n.slice.primary {
		return position.Position{Timeline: n.timeline, LSN: n.slice.lsn}
	}
	i := sort.Search(len(n.applied), func(i int) bool { return n.applied[i].at > n.slice.w.now })
	if i == 0 {
		return position.Position{Timeline: n.timeline, LSN: 64}
	}
	return position.Position{Timeline: n.timeline, LSN: n.applied[i-1].lsn}
}

func (n *node) facts() driver.Facts {
	f := driver.Facts{Known: true, Replica: n != n.slice.primary, Position: n.position(), Clock: n.slice.w.now.Microseconds()}
	if !f.Replica {
		f.Position.Transactions = position.AllTransactions // the model makes a commit visible as it is logged
	}
	if f.Replica && n.slice.lsn > f.Position.LSN {
		f.Received = n.slice.lsn // an upper bound: the model does not track received records
	}
	return f
}

func (n *node) poll(l *link) {
	if n.down || l.closed {
		return
	}
	if w := n.slice.w; n.stalledUntil > w.now {
		w.schedule(n.stalledUntil, func() { n.poll(l) })
		return
	}
	l.reply(driver.Result{Facts: n.facts()})
}

// serve executes a request when a core is free and replies.
func (n *node) serve(l *link, q *request, write bool, g driver.Guard) {
	if n.down || l.closed && !write {
		return
	}
	if w := n.slice.w; n.stalledUntil > w.now {
		w.schedule(n.stalledUntil, func() { n.serve(l, q, write, g) })
		return
	}
	epoch := n.epoch
	if w := n.slice.w; write && (n.timeline < g.Timeline || g.Until > 0 && w.now.Microseconds() > g.Until) {
		w.result.GuardedWrites++
		l.reply(driver.Result{GuardFailed: true, InFactsQuery: true, Facts: n.facts(), Err: &pgwire.Error{Severity: "ERROR", Code: "22012", Message: "division by zero"}})
		return
	}
	n.checkCold(q)
	at := n.slice.w.beginAttempt(q, n)
	run := func() {
		r := driver.Result{Started: true, Done: true, Facts: n.facts()} // before a read
		w := n.slice.w
		work, began := time.Duration(float64(n.drawWork())*n.workFactor()*w.cfg.Burst.factor(w.now-start, w.cfg.Burst.Work)), n.slice.timeline
		read := func() {
			if n.epoch == epoch && !write {
				r.Payload = n.slice.value(q.key, n.visibleLSN())
			}
		}
		if q.lateRead { // a function that reads the table at the end of its execution
			n.slice.w.schedule(n.slice.w.now+work, read)
		} else {
			read()
		}
		n.slice.w.schedule(n.slice.w.now+work, func() {
			if n.epoch == epoch {
				q.promotedDuring = began != n.slice.timeline
				n.finish(l, q, write, r, at)
			}
		})
	}
	if n.busyCores < n.slice.w.cfg.Cores {
		n.busyCores++
		run()
		return
	}
	n.queue = append(n.queue, run)
}

// visibleLSN returns the log position up to which reads see data: the node's position, except under PlantStaleRead.
func (n *node) visibleLSN() uint64 {
	lsn, s := n.position().LSN, n.slice
	if s.w.cfg.Plant != PlantStaleRead {
		return lsn
	}
	i := sort.Search(len(s.commits), func(i int) bool { return s.commits[i].at > s.w.now-plantedStaleness })
	if i == 0 {
		return 0
	}
	return min(lsn, s.commits[i-1].lsn)
}

func (n *node) finish(l *link, q *request, write bool, r driver.Result, at *attempt) {
	if len(n.queue) > 0 {
		next := n.queue[0]
		n.queue = n.queue[1:]
		next()
	} else {
		n.busyCores--
	}
	switch r.After = n.facts(); {
	case write && n != n.slice.primary:
		r.Done, r.Err = false, &pgwire.Error{Severity: "ERROR", Code: "25006", Message: "read-only"}
	case q.faulty:
		r.Done, r.Err = false, &pgwire.Error{Severity: "ERROR", Code: "22012", Message: "division by zero"}
	case write:
		n.slice.commit(q)
		r.Facts = n.facts()
	}
	at.finish(n.slice.w.now, &r)
	l.reply(r)
}

// commit appends a record to the log and determines when each replica will have replayed it.
func (s *slice) commit(q *request) {
	w := s.w
	s.lsn += 64
	c := commit{s.lsn, w.now, q.key, q.name()}
	s.commits = append(s.commits, c)
	s.byKey[q.key] = append(s.byKey[q.key], c)
	if q.ran {
		w.breakRule(q, RuleEffect, "request %d ran twice", q.id)
	}
	q.ran = true
	for _, n := range s.nodes {
		if n == s.primary || n.down {
			continue
		}
		n.replayFreeAt = max(n.replayFreeAt, w.now+w.cfg.ReplicationDelay) + time.Duration(float64(n.replayTime)*n.replaySlowdown)
		n.applied = append(n.applied, commit{lsn: s.lsn, at: n.replayFreeAt})
		if len(n.applied) > 4096 {
			n.applied = append(n.applied[:0:0], n.applied[len(n.applied)-2048:]...)
		}
	}
}

// lacksCommitBefore reports whether a commit made before a time is missing at a log position.
func (s *slice) lacksCommitBefore(at position.Position, before time.Duration) bool {
	i := sort.Search(len(s.commits), func(i int) bool { return s.commits[i].lsn > at.LSN })
	return i < len(s.commits) && s.commits[i].at < before
}

// scheduleCrashes schedules crashes of primaries, the promotions that follow, and the restarts of the crashed nodes as
// replicas that have caught up.
func (w *World) scheduleCrashes() {
	rng := w.stream("crashes")
	for range w.cfg.Crashes {
		s := w.slices[rng.IntN(len(w.slices))]
		w.schedule(start+time.Duration((0.1+0.6*rng.Float64())*float64(w.cfg.Length)), func() {
			old := s.primary
			if old.down {
				return
			}
			old.stop()
			w.schedule(w.now+w.cfg.ElectionTime, s.promote)
			w.schedule(w.now+w.cfg.ElectionTime+w.cfg.Downtime, func() {
				old.down, old.timeline = false, s.timeline
				old.applied, old.replayFreeAt = []commit{{lsn: s.lsn, at: w.now}}, w.now
			})
		})
	}
}

func (n *node) stop() {
	n.down, n.busyCores, n.queue = true, 0, nil
	n.epoch++
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	sort.Slice(links, func(i, j int) bool {
		return links[i].host.number < links[j].host.number || links[i].host == links[j].host && links[i].id < links[j].id
	})
	for _, l := range links {
		l.disconnect()
	}
	n.links = map[*link]bool{}
}

// promote makes the running replica with the highest log position the primary. Commits that it lacks are lost.
func (s *slice) promote() {
	var best *node
	for _, n := range s.nodes {
		if !n.down && n != s.primary && (best == nil || n.position().LSN > best.position().LSN) {
			best = n
		}
	}
	if best == nil {
		return
	}
	at := best.position().LSN
	s.timeline++
	s.primary, s.lsn = best, at
	for len(s.commits) > 0 && s.commits[len(s.commits)-1].lsn > at {
		c := s.commits[len(s.commits)-1]
		s.commits, s.byKey[c.key] = s.commits[:len(s.commits)-1], s.byKey[c.key][:len(s.byKey[c.key])-1]
		s.lost = append(s.lost, c)
	}
	for _, n := range s.nodes {
		n.timeline = s.timeline
		for len(n.applied) > 0 && n.applied[len(n.applied)-1].lsn > at {
			n.applied = n.applied[:len(n.applied)-1]
		}
		if len(n.applied) == 0 {
			n.applied = []commit{{lsn: 64, at: start}}
		}
	}
	s.promotedAt = s.w.now
	s.w.result.Promotions++
}
