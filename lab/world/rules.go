package world

import (
	"time"

	"umberladder/balance"
)

// Names of the rules. They are judged by the messages between drivers, nodes and clients, not by reports of the drivers.
const (
	RuleAnswer = "one final answer"
	RuleEffect = "no second effect"
	RuleDrain  = "drains kept"
	RuleCold   = "cold nodes spared"
	RuleStale  = "no stale read"
)

// Rules returns the names of all rules.
func Rules() []string { return []string{RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleStale} }

// countChance counts an occasion on which a rule could have been broken.
func (w *World) countChance(rule string) { w.result.Chances[rule]++ }

// breakRule records that a request broke a rule.
func (w *World) breakRule(q *request, rule, format string, args ...any) {
	q.brokenRule = rule
	w.addBroken(rule+": "+format, args...)
}

// recordLeaving records when the driver was notified that nodes drain or were removed. list is in the order of allNodes.
func (h *host) recordLeaving(list []balance.Life) {
	for i, n := range h.w.allNodes {
		if list[i] == balance.LifeReady {
			delete(h.leavingSince, n)
		} else if _, known := h.leavingSince[n]; !known {
			h.leavingSince[n] = h.w.now
			h.w.countChance(RuleDrain)
		}
	}
}

// nodeLives returns the current life of each node, in the order of allNodes.
func (w *World) nodeLives() []balance.Life {
	all := make([]balance.Life, len(w.allNodes))
	for i, n := range w.allNodes {
		all[i] = n.life
	}
	return all
}

// checkDrain judges by RuleDrain a request that the driver sends to a node.
func (h *host) checkDrain(n *node, q *request) {
	since, leaves := h.leavingSince[n]
	if !leaves {
		return
	}
	if late := h.w.now - since - h.w.cfg.Engine.Router.DrainGrace; late > 0 {
		h.w.breakRule(q, RuleDrain, "driver %d sent request %d to %s %v after the grace", h.number, q.id, n.name, late)
	}
}

// checkCold judges by RuleCold a request that reaches a node: during RampTime after its start, a node must receive
// within ColdOverloadWindow at most ColdOverloadMultiple times the requests that it can execute at its current speed.
func (n *node) checkCold(q *request) {
	w, r := n.slice.w, &n.slice.w.cfg.Engine.Router
	since := w.now - n.startedAt
	if n.startedAt == 0 || r.RampTime == 0 || r.ColdOverloadWindow == 0 || since >= r.RampTime {
		n.coldArrivals = n.coldArrivals[:0]
		return
	}
	w.countChance(RuleCold)
	n.coldArrivals = append(n.coldArrivals, w.now)
	for len(n.coldArrivals) > 0 && w.now-n.coldArrivals[0] >= r.ColdOverloadWindow {
		n.coldArrivals = n.coldArrivals[1:]
	}
	speed := r.ColdFrom + (1-r.ColdFrom)*float64(since)/float64(r.RampTime)
	capacity := float64(w.cfg.Cores) / w.cfg.Work.Seconds() * r.ColdOverloadWindow.Seconds() * speed
	if !n.coldBroken && float64(len(n.coldArrivals)) > r.ColdOverloadMultiple*capacity {
		n.coldBroken = true
		w.breakRule(q, RuleCold, "%s got %d requests in %v, %v after its start, and could do %.0f", n.name, len(n.coldArrivals), r.ColdOverloadWindow, since, capacity)
	}
}

// Plant is a fault injected to verify that the judge of a rule detects it.
type Plant uint8

// The planted faults, one for each rule.
const (
	NoPlant             Plant = iota
	PlantSilent               // one answer in a hundred is withheld
	PlantDuplicateWrite       // one unsafe write in ten is sent twice
	PlantDrained              // reads for other nodes of the slice are sent to a draining one
	PlantCold                 // all reads of a slice are sent to a node started within twice ColdOverloadWindow
	PlantStaleRead            // nodes answer reads with data five seconds old and report their current position
	numPlants           int   = iota
)

var plantNames = [numPlants]string{"none", "silent", "twice", "drained", "cold", "old"}

// String returns the name used on the command line.
func (p Plant) String() string { return plantNames[p] }

// ParsePlant returns the planted fault with a name, and whether there is one.
func ParsePlant(word string) (Plant, bool) {
	for i, name := range plantNames {
		if name == word {
			return Plant(i), true
		}
	}
	return NoPlant, false
}

// PlantNames returns the names of all planted faults, "none" first.
func PlantNames() []string { return plantNames[:] }

// Rule returns the name of the rule that the fault breaks, "" for NoPlant.
func (p Plant) Rule() string {
	return [numPlants]string{"", RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleStale}[p]
}

const plantedStaleness = 5 * time.Second // age of the data that PlantStaleRead serves

// plantedTarget returns the node to send a request to: n, unless PlantDrained or PlantCold redirects the request.
func (h *host) plantedTarget(n *node, q *request, write bool) *node {
	if write {
		return n
	}
	for _, other := range n.slice.nodes {
		switch _, leaves := h.leavingSince[other]; {
		case h.w.cfg.Plant == PlantDrained && leaves && !other.down,
			h.w.cfg.Plant == PlantCold && other.startedAt > 0 && !other.down && h.w.now-other.startedAt < h.w.cfg.Engine.Router.ColdOverloadWindow*2:
			return other
		}
	}
	return n
}
