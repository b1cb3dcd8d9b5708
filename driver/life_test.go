package driver

import (
	"os"
	"strings"
	"testing"

	"umberladder/token"
)

// TestTransitionsAreDocumented: docs/life.md has the same transitions as the code.
func TestTransitionsAreDocumented(t *testing.T) {
	text, err := os.ReadFile("../docs/life.md")
	if err != nil {
		t.Fatal(err)
	}
	documented, of := map[Transition]bool{}, ""
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, " | ")
		switch first := strings.TrimPrefix(cells[0], "| "); {
		case len(cells) != 3:
			of = ""
		case first == "connection" || first == "attempt":
			of = first
		case of != "" && first != "---":
			documented[Transition{of, first, cells[1]}] = true
		}
	}
	for _, m := range LegalTransitions() {
		if !documented[m] {
			t.Errorf("%v is not in docs/life.md", m)
		}
		delete(documented, m)
	}
	for m := range documented {
		t.Errorf("docs/life.md has %v, which is no legal transition", m)
	}
}

// TestIllegalTransitionIsLogged: it is logged and kept, and the engine keeps running.
func TestIllegalTransitionIsLogged(t *testing.T) {
	r := newHarness(t, testConfig(), fleetFacts())
	c := r.e.byKey[nodeKey{"p", "p:1", "news", 0}].prober
	r.e.setConnState(c, dialing)
	r.e.setConnState(c, idle)
	id := r.request(classWrite, token.Token{})
	if r.reply(r.sent(id)); r.answer(id).Status != Served {
		t.Error("the engine does not continue")
	}
	if all := r.e.IllegalTransitions(); len(all) != 1 || !strings.Contains(all[0], "goes from idle to dialing") {
		t.Errorf("%q", all)
	}
	if r.e.TransitionCounts()[Transition{"connection", "dialing", "idle"}] == 0 {
		t.Error("legal transitions are not counted")
	}
}
