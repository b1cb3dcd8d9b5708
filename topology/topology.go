// Package topology decides which node is the primary of a slice. The claims that nodes make about their role and
// timeline, and an operator's fences, go in; a verdict for the slice and the status of each node come out. The
// driver's engine calls it for each report of a node; the package does no I/O and reads no clock.
//
// A claim is one report of a node and the time, on the driver's clock, at which the report was requested. Claims are
// ordered by timeline and by that time, never by arrival, so that a late answer cannot undo a promotion: any order and
// repetition of the same claims ends in the same term, and the term never decreases. PostgreSQL's timelines serve as
// the terms of a consensus protocol, but there is no vote: whoever promotes a replica starts a new one. The primary of
// a lower term is therefore superseded, and of two nodes that claim the same term one is accepted only if most of the
// slice follows it. docs/topology.md compares the alternatives.
package topology

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Role is the role that a node reports.
type Role uint8

// Roles.
const (
	Replica Role = iota
	Primary
)

// String returns the word shown to operators.
func (r Role) String() string { return [...]string{"replica", "primary"}[r] }

// Channel is the source of a claim.
type Channel uint8

// Channels.
const (
	Poll     Channel = iota // reply to a poll
	Answer                  // facts that came with the answer to a request
	Refusal                 // the node refused a write, as a replica does
	Restored                // state that an earlier process of this driver saved
)

// String returns the word shown to operators.
func (c Channel) String() string {
	return [...]string{"poll", "answer", "refusal", "earlier life"}[c]
}

// Claim is what a node reported about itself. Times are on the driver's clock.
type Claim struct {
	Node     string
	Role     Role
	Timeline uint32
	LSN      uint64        // byte position in the log; 0 if not reported
	System   uint64        // system identifier of the cluster; 0 if never reported
	Upstream string        // node that a replica follows; "" if none or not reported
	Sent     time.Duration // time at which the report was requested
	Received time.Duration // time at which the report was received
	Channel  Channel
}

// Status is the relation of a node to its slice.
type Status uint8

// Statuses.
const (
	Unreported Status = iota // no claim was received yet
	Follower                 // a replica of the slice
	Incumbent                // the primary of the slice
	Superseded               // claims to be primary of a lower term
	Rival                    // claims to be primary of the current term, as does another node
	Foreign                  // belongs to another cluster
	Fenced                   // claims to be primary, and an operator has fenced it
)

// String returns the word shown to operators.
func (s Status) String() string {
	return [...]string{"not heard", "replica", "primary", "superseded", "rival", "of another cluster", "fenced"}[s]
}

// Routable reports whether requests may be sent to a node of this status.
func (s Status) Routable() bool { return s != Superseded && s != Foreign && s != Rival && s != Fenced }

// member is the state kept for a node: only the claims that the verdict depends on.
type member struct {
	name   string
	latest Claim // the claim with the highest Sent
	first  Claim // the earliest by Sent among its claims to be primary of the highest term that it claimed
	last   Claim // the latest by Sent among the same claims
	claims bool  // its latest claim has the role of primary
	fenced bool
}

// Slice holds the claims about one slice and derives its verdict from them. It is not safe for concurrent use.
type Slice struct {
	Name      string
	members   map[string]*member
	terms     map[uint64]uint32        // highest timeline ever reported, by cluster; 0 stands for an unreported one
	since     map[uint64]time.Duration // earliest Sent of the claims, by cluster
	ends      map[uint32]end           // highest log position reported by a primary, by timeline
	verdict   Verdict
	contested bool // more than one node claims the current term
	history   []Record
	records   uint64
}

// end is the highest log position that a primary reported on a timeline.
type end struct {
	lsn  uint64
	node string
}

// Verdict is the conclusion from all claims.
type Verdict struct {
	System   uint64   // system identifier of the slice's cluster; 0 until a node reports one
	Term     uint32   // current timeline of the cluster
	Primary  string   // "" while no node is accepted as primary
	Evidence string   // why Primary was accepted or no node was, in words for operators
	Rivals   []string // the nodes that claim the current term, if more than one
}

// Record is an entry of the history: a change of the verdict, an action of an operator or a loss.
type Record struct {
	Number uint64
	At     time.Duration // time at which its cause was received
	Text   string
	Claim  Claim
}

// maxRecords is the number of records kept per slice; older ones are dropped.
const maxRecords = 200

// NewSlice returns a Slice without claims.
func NewSlice(name string) *Slice {
	return &Slice{Name: name, members: map[string]*member{}, terms: map[uint64]uint32{}, since: map[uint64]time.Duration{}, ends: map[uint32]end{}}
}

// Verdict returns the conclusion from the claims so far.
func (s *Slice) Verdict() Verdict { return s.verdict }

// History returns a copy of the newest records, at most 200, oldest first.
func (s *Slice) History() []Record { return slices.Clone(s.history) }

// Observe adds a claim and reports whether the verdict changed. A claim without a timeline is ignored.
func (s *Slice) Observe(c Claim) bool {
	if c.Timeline == 0 {
		return false // the node is not on a timeline yet
	}
	if c.Timeline > s.terms[c.System] {
		s.terms[c.System] = c.Timeline
	}
	if at, known := s.since[c.System]; !known || c.Sent < at {
		s.since[c.System] = c.Sent
	}
	m := s.member(c.Node)
	if m.latest.repeats(&c) && !s.contested && m.latest.Timeline <= s.verdict.Term {
		m.add(c) // a repeated claim changes the verdict only while several nodes claim the term
		s.recordEnd(&c)
		return false
	}
	m.add(c)
	s.recordEnd(&c)
	return s.update(c)
}

// repeats reports whether a later claim differs at most in its log position.
func (c *Claim) repeats(o *Claim) bool {
	return o.Sent >= c.Sent && o.Role == c.Role && o.Timeline == c.Timeline && o.System == c.System && o.Upstream == c.Upstream
}

// recordEnd raises the highest log position of a timeline. Equal positions are attributed to the node with the lower
// name, so that the result does not depend on the order of claims.
func (s *Slice) recordEnd(c *Claim) {
	if e := s.ends[c.Timeline]; c.Role == Primary && (c.LSN > e.lsn || c.LSN == e.lsn && c.Node < e.node) {
		s.ends[c.Timeline] = end{c.LSN, c.Node}
	}
}

func (s *Slice) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name}
		s.members[name] = m
	}
	return m
}

// compareClaims orders the claims of one node by Sent. The other fields break ties, so that the order is total.
func compareClaims(a, b *Claim) int {
	return cmp.Or(cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.Timeline, b.Timeline), cmp.Compare(a.Role, b.Role), cmp.Compare(a.LSN, b.LSN), cmp.Compare(a.System, b.System),
		cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Received, b.Received), cmp.Compare(a.Channel, b.Channel))
}

// add merges a claim into the claims that are kept. The result does not depend on the order of calls.
func (m *member) add(c Claim) {
	if c.Role == Primary {
		switch {
		case c.Timeline > m.first.Timeline:
			m.first, m.last = c, c
		case c.Timeline == m.first.Timeline:
			if compareClaims(&c, &m.first) < 0 {
				m.first = c
			}
			if compareClaims(&c, &m.last) > 0 {
				m.last = c
			}
		}
	}
	if compareClaims(&c, &m.latest) > 0 {
		m.latest = c
	}
	m.claims = m.latest.Role == Primary
}

// update derives the verdict again and records a change.
func (s *Slice) update(c Claim) bool {
	was := s.verdict
	s.verdict = s.derive()
	now := s.verdict
	if now.same(&was) {
		return false
	}
	switch {
	case now.System != was.System && was.System != 0:
		s.record(c, "the slice now belongs to another cluster")
	case now.Term > was.Term && now.Primary == "":
		s.record(c, "a newer term was reported, its primary has not reported yet")
	case len(now.Rivals) > 0 && now.Primary == "":
		s.record(c, "more than one node claims this term and none is followed by most of the slice: writes are refused")
	case now.Primary != "" && now.Primary != was.Primary:
		s.record(c, now.Primary+" is primary: "+now.Evidence)
	case now.Primary == "" && was.Primary != "":
		s.record(c, was.Primary+" is no longer primary")
	default:
		s.record(c, "the evidence changed: "+now.Evidence)
	}
	return true
}

func (v *Verdict) same(w *Verdict) bool {
	return v.System == w.System && v.Term == w.Term && v.Primary == w.Primary && slices.Equal(v.Rivals, w.Rivals)
}

func (s *Slice) record(c Claim, what string) {
	s.records++
	s.history = append(s.history, Record{s.records, c.Received, what, c})
	if len(s.history) > maxRecords {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxRecords)
	}
}

// derive computes the verdict from the claims that are kept.
func (s *Slice) derive() Verdict {
	v := Verdict{System: s.system()}
	v.Term = max(s.terms[v.System], s.terms[0])
	var claimants []*member
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		if m := s.members[name]; m.claims && !m.fenced && m.latest.Timeline == v.Term && !m.foreign(v.System) {
			claimants = append(claimants, m)
		}
	}
	s.contested = len(claimants) > 1
	claimants = liveClaimants(claimants)
	switch len(claimants) {
	case 0:
		v.Evidence = "no node claims term " + decimal(v.Term)
	case 1:
		v.Primary, v.Evidence = claimants[0].name, "it is the only node that claims term "+decimal(v.Term)
	default:
		for _, m := range claimants {
			v.Rivals = append(v.Rivals, m.name)
		}
		v.Primary, v.Evidence = s.mostFollowed(v, claimants)
	}
	return v
}

// silence is how long a claimant may go without a claim, while another one goes on claiming the same term, before it
// counts as removed.
const silence = 10 * time.Second

// liveClaimants drops each claimant that made no claim for longer than silence while another went on claiming the
// term. A primary that was moved to another address without a promotion leaves its old name behind with the same term.
func liveClaimants(claimants []*member) []*member {
	return slices.DeleteFunc(slices.Clone(claimants), func(m *member) bool {
		return slices.ContainsFunc(claimants, func(o *member) bool { return o != m && o.last.Sent-m.last.Sent > silence })
	})
}

// mostFollowed returns the claimant that more than half of the slice's other nodes follow, or "". Without such a
// majority a write might go to the wrong side of a split.
func (s *Slice) mostFollowed(v Verdict, claimants []*member) (primary, why string) {
	votes, voters := map[string]int{}, 0
	for _, m := range s.members {
		if m.claims || m.foreign(v.System) {
			continue
		}
		voters++
		if m.latest.Timeline == v.Term && m.latest.Upstream != "" {
			votes[m.latest.Upstream]++
		}
	}
	for _, m := range claimants {
		if 2*votes[m.name] > voters {
			return m.name, "most of the slice follows it, although another node claims the term too"
		}
	}
	return "", "several nodes claim term " + decimal(v.Term) + " and none is followed by most of the slice"
}

// system returns the cluster that most nodes belong to, so that a few nodes of another cluster can't take over the
// slice. Ties go to the cluster reported first, then to the lower identifier. Until a node reports one it is the
// cluster of the restored state.
func (s *Slice) system() uint64 {
	counts := map[uint64]int{}
	for _, m := range s.members {
		if m.latest.System != 0 {
			counts[m.latest.System]++
		}
	}
	best := uint64(0)
	for id, since := range s.since {
		if id == 0 {
			continue
		}
		if best == 0 || cmp.Or(cmp.Compare(counts[best], counts[id]), cmp.Compare(since, s.since[best]), cmp.Compare(id, best)) < 0 {
			best = id
		}
	}
	return best
}

func (m *member) foreign(system uint64) bool {
	return m.latest.System != 0 && system != 0 && m.latest.System != system
}

// Status returns the relation of a node to the slice by its latest claim, Unreported for an unknown node.
func (s *Slice) Status(node string) Status {
	m := s.members[node]
	switch {
	case m == nil || m.latest.Timeline == 0:
		return Unreported
	case m.foreign(s.verdict.System):
		return Foreign
	case !m.claims:
		return Follower
	case m.fenced:
		return Fenced
	case s.verdict.Primary == node:
		return Incumbent
	case m.latest.Timeline < s.verdict.Term:
		return Superseded
	}
	return Rival
}

// Fence keeps a node from being accepted as primary, whatever it claims, or, with on false, lifts the fence.
func (s *Slice) Fence(node string, on bool, now time.Duration) {
	m := s.member(node)
	if m.fenced == on {
		return
	}
	m.fenced = on
	c := Claim{Node: node, Received: now, Sent: now}
	s.record(c, map[bool]string{true: "an operator fenced " + node, false: "an operator lifted the fence of " + node}[on])
	s.update(c)
}

// Forget drops all claims, fences and terms, those of the restored state too, after a slice was restored from a backup
// by hand. The history stays.
func (s *Slice) Forget(now time.Duration) {
	c := Claim{Received: now, Sent: now}
	s.members, s.terms, s.since, s.ends = map[string]*member{}, map[uint64]uint32{}, map[uint64]time.Duration{}, map[uint32]end{}
	s.record(c, "an operator cleared all claims, terms and fences of the slice")
	s.update(c)
}

// Remove drops the claims and the fence of a node that was removed from the inventory. The terms that it reported stay.
func (s *Slice) Remove(node string, now time.Duration) {
	if s.members[node] != nil {
		delete(s.members, node)
		s.update(Claim{Node: node, Received: now, Sent: now})
	}
}

// Loss is a range of the log of an older timeline that is not part of the timeline that followed, since the primary of
// the older one reported positions beyond the fork. Positions are in bytes.
type Loss struct {
	Timeline uint32
	From, To uint64 // excluding From, including To
	Node     string // the primary that reported To
}

// RecordLoss records a loss in the history.
func (s *Slice) RecordLoss(l Loss, now time.Duration) {
	s.record(Claim{Node: l.Node, Role: Primary, Timeline: l.Timeline, LSN: l.To, Received: now, Sent: now}, fmt.Sprintf("commits of timeline %d beyond %X/%X, up to %X/%X, were reported by %s and are not part of the timeline that followed",
		l.Timeline, l.From>>32, uint32(l.From), l.To>>32, uint32(l.To), l.Node))
}

// LossBeyond returns the part of a timeline beyond a fork, a byte position, and whether a primary reported any such
// position.
func (s *Slice) LossBeyond(timeline uint32, fork uint64) (Loss, bool) {
	e := s.ends[timeline]
	return Loss{timeline, fork, e.lsn, e.node}, e.lsn > fork
}

// Entry describes a known node, for operators.
type Entry struct {
	Node   string
	Status Status
	Claim  Claim
	Fenced bool
}

// Entries returns all known nodes, sorted by name.
func (s *Slice) Entries() (all []Entry) {
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		all = append(all, Entry{name, s.Status(name), m.latest, m.fenced})
	}
	return all
}
