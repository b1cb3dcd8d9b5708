package driver

import (
	"time"

	"umberladder/balance"
)

// NodeState is what an engine knows of a node, for operators.
type NodeState struct {
	Name, Slice, Address, Zone string
	Life                       balance.Life
	LastAnswer                 time.Duration // last answer, on the engine's clock; 0 for none
	Facts                      Facts         // reported then
	FailingSince               time.Duration // since when it can't be reached, on the engine's clock; 0 if it can
	Failure                    string        // the last error that kept it from being reached
}

// Nodes returns all listed nodes, in order of first appearance.
func (e *Engine) Nodes() []NodeState {
	var all []NodeState
	for _, n := range e.nodesInOrder() {
		if n.entry.Life == balance.LifeRemoved {
			continue
		}
		all = append(all, NodeState{Name: n.entry.Name, Slice: n.slice.name, Address: n.entry.Address, Zone: n.entry.Zone,
			Life: n.entry.Life, LastAnswer: n.lastAnswer, Facts: n.facts, FailingSince: n.failingSince, Failure: n.failure})
	}
	return all
}

// reached records that a node answered.
func (e *Engine) reached(n *node) { n.lastAnswer, n.failingSince, n.failure = e.now, 0, "" }

// unreached records why a node could not be reached. It stays listed, and nothing waits for it.
func (e *Engine) unreached(n *node, failure string) {
	if n.failure = failure; n.failingSince == 0 {
		n.failingSince = e.now
	}
}
