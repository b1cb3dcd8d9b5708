package world

import (
	"time"

	"umberladder/balance"
)

// The rules as they are judged here, by what reached nodes and clients.
const (
	RuleAnswer = "one final answer"
	RuleEffect = "no second effect"
	RuleDrain  = "drains kept"
	RuleCold   = "cold nodes spared"
	RuleStale  = "no stale read"
)

// Rules are the names of the five.
func Rules() []string { return []string{RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleStale} }

// chance counts an occasion on which a rule could have been broken.
func (w *World) chance(rule string) { w.result.Tried[rule]++ }

// breaks takes down that a request broke a rule.
func (w *World) breaks(q *request, rule, format string, args ...any) {
	q.broke = rule
	w.broken(rule+": "+format, args...)
}

// heard notes since when a driver has been told that nodes drain or are gone.
func (h *host) heard(list []balance.Life) {
	for i, n := range h.w.order {
		if list[i] == balance.LifeReady {
			delete(h.leaving, n)
		} else if _, known := h.leaving[n]; !known {
			h.leaving[n] = h.w.now
			h.w.chance(RuleDrain)
		}
	}
}

// lives are the lives of all nodes as the list has them now.
func (w *World) lives() []balance.Life {
	all := make([]balance.Life, len(w.order))
	for i, n := range w.order {
		all[i] = n.life
	}
	return all
}

// sends judges a request on its way from a driver to a node.
func (h *host) sends(n *node, q *request) {
	since, leaves := h.leaving[n]
	if !leaves {
		return
	}
	if late := h.w.now - since - h.w.cfg.Engine.Router.DrainGrace; late > 0 {
		h.w.breaks(q, RuleDrain, "driver %d sent request %d to %s %v after the grace", h.number, q.id, n.name, late)
	}
}

// arrives judges what reaches a node that was started not long ago: over the fall time no more than the tip multiple of
// what it can do by then.
func (n *node) arrives(q *request) {
	w, r := n.slice.w, &n.slice.w.cfg.Engine.Router
	since := w.now - n.rose
	if n.rose == 0 || r.RampTime == 0 || r.ColdOverloadWindow == 0 || since >= r.RampTime {
		n.came = n.came[:0]
		return
	}
	w.chance(RuleCold)
	n.came = append(n.came, w.now)
	for len(n.came) > 0 && w.now-n.came[0] >= r.ColdOverloadWindow {
		n.came = n.came[1:]
	}
	speed := r.ColdFrom + (1-r.ColdFrom)*float64(since)/float64(r.RampTime)
	can := float64(w.cfg.Cores) / w.cfg.Work.Seconds() * r.ColdOverloadWindow.Seconds() * speed
	if !n.tipped && float64(len(n.came)) > r.ColdOverloadMultiple*can {
		n.tipped = true
		w.breaks(q, RuleCold, "%s got %d requests in %v, %v after its start, and could do %.0f", n.name, len(n.came), r.ColdOverloadWindow, since, can)
	}
}

// Plant is a fault put in on purpose, to see that a rule's judge finds it.
type Plant uint8

// The plants, one for each rule.
const (
	NoPlant      Plant = iota
	PlantSilent        // an answer in a hundred never comes
	PlantTwice         // an unsafe write in ten is sent a second time
	PlantDrained       // what is meant for a slice's other nodes goes to one that drains
	PlantCold          // everything for a slice goes to the node that was started last
	PlantOld           // nodes answer reads from data as of five seconds before, and say otherwise
	plants       int   = iota
)

var plantNames = [plants]string{"none", "silent", "twice", "drained", "cold", "old"}

// String is a plant's word on the command line.
func (p Plant) String() string { return plantNames[p] }

// PlantNamed is the plant of a word.
func PlantNamed(word string) (Plant, bool) {
	for i, name := range plantNames {
		if name == word {
			return Plant(i), true
		}
	}
	return NoPlant, false
}

// PlantNames are the words of all plants.
func PlantNames() []string { return plantNames[:] }

// Breaks is the rule that a plant breaks.
func (p Plant) Breaks() string {
	return [plants]string{"", RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleStale}[p]
}

const plantedAge = 5 * time.Second // of what PlantOld serves

// misled is the node that a request is sent to under a plant, in place of another.
func (h *host) misled(n *node, q *request, write bool) *node {
	if write {
		return n
	}
	for _, other := range n.slice.nodes {
		switch _, leaves := h.leaving[other]; {
		case h.w.cfg.Plant == PlantDrained && leaves && !other.down,
			h.w.cfg.Plant == PlantCold && other.rose > 0 && !other.down && h.w.now-other.rose < h.w.cfg.Engine.Router.ColdOverloadWindow*2:
			return other
		}
	}
	return n
}
