package standin

import "time"

// clusterID is the identifier of a group's cluster unless a node is of another.
const clusterID = 7_000_000_000_000_000_001

// Strange makes the node one of another cluster, with a timeline of its own, as a machine that was taken for something
// else and kept its address. It stops following, and takes itself for the primary.
func (n *Node) Strange(system uint64, timeline uint32) {
	n.mu.Lock()
	for _, s := range n.conns {
		s.nc.Close() // another process answers from now on
	}
	n.mu.Unlock()
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	n.cluster, n.believes = system, true
	n.branch = newBranch(timeline)
	n.applied, n.shown, n.hidden, n.active = 0, 0, nil, nil
}

// Usurp makes a replica take itself for the primary of the present timeline, as one that was started without its standby
// signal. What it writes is on a branch of its own.
func (g *Group) Usurp(n *Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.applied = max(n.applied, n.shown)
	own := n.branch.fork(n.applied)
	own.timeline = n.branch.timeline
	n.branch, n.believes = own, true
	n.applied = len(own.records)
	n.shown = n.applied
}

// Rejoin makes a node that went its own way a replica of the present primary again, as after pg_rewind.
func (g *Group) Rejoin(n *Node) {
	if n.system() != clusterID {
		n.mu.Lock()
		for _, s := range n.conns {
			s.nc.Close()
		}
		n.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n.believes, n.cluster = g.primary == n, 0
	n.follow(g.branch)
	g.moved.Broadcast()
}

func (n *Node) system() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	if n.cluster != 0 {
		return n.cluster
	}
	return clusterID
}

// upstream is the address of whom the node receives its log from, "" for nobody.
func (n *Node) upstream() string {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	p := n.group.primary
	if n.believes || p == nil || !p.running || p.hung || n.branch != p.branch {
		return ""
	}
	return p.addr
}

// Jump moves the node's own clock by so much.
func (n *Node) Jump(by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jumped += by
}

// clock is the node's own.
func (n *Node) clock() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.jumped)
}
