package standin

import "time"

// defaultSystemID is the system identifier of the cluster that groups simulate.
const defaultSystemID = 7_000_000_000_000_000_001

// SwitchCluster makes the node the primary of another cluster, with an empty log on the given timeline, as a machine that
// was reused at the same address. Its connections are closed and it no longer follows the group.
func (n *Node) SwitchCluster(system uint64, timeline uint32) {
	n.mu.Lock()
	for _, s := range n.conns {
		s.nc.Close() // another process serves the address from here on
	}
	n.mu.Unlock()
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	n.systemID, n.actsAsPrimary = system, true
	n.branch = newBranch(timeline)
	n.applied, n.visible, n.hidden, n.active = 0, 0, nil, nil
}

// PromoteOnSameTimeline makes a replica act as a second primary on the current timeline, as one started without
// standby.signal. Its writes go to a branch of its own.
func (g *Group) PromoteOnSameTimeline(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.applied = max(n.applied, n.visible)
	own := n.branch.fork(n.applied)
	own.timeline = n.branch.timeline
	n.branch, n.actsAsPrimary = own, true
	n.applied = len(own.records)
	n.visible = n.applied
}

// Rejoin makes a diverged node follow the current primary again, as after pg_rewind. It discards the node's records that
// the primary does not have.
func (g *Group) Rejoin(n *Node) {
	if n.systemIdentifier() != defaultSystemID {
		n.mu.Lock()
		for _, s := range n.conns {
			s.nc.Close()
		}
		n.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n.actsAsPrimary, n.systemID = g.primary == n, 0
	n.follow(g.branch)
	g.changed.Broadcast()
}

func (n *Node) systemIdentifier() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	if n.systemID != 0 {
		return n.systemID
	}
	return defaultSystemID
}

// upstream returns the address of the primary from which the node receives its log, or "" if it receives no log.
func (n *Node) upstream() string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	p := n.group.primary
	if n.actsAsPrimary || p == nil || !p.running || p.hung || n.branch != p.branch {
		return ""
	}
	return p.addr
}

// ShiftClock shifts the node's clock by a duration, which may be negative; shifts add up.
func (n *Node) ShiftClock(by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clockOffset += by
}

// clock returns the time by the node's clock.
func (n *Node) clock() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.clockOffset)
}
