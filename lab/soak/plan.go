// Package soak runs the built program as a process of its own, before stand-in members and discovery on loopback, and
// judges what passes on the sockets by the rules of the shared platform. Its subject is the end of a driver: SIGTERM
// and SIGHUP in series, crossed by requests, pauses and trouble at members. All that is drawn comes from a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Signals is a series of signals to the driver.
type Signals uint8

// The series. Each ends with the driver told to end.
const (
	SignalTerm        Signals = iota
	SignalHupHupTerm          // two reloads, then the end
	SignalTermTerm            // told to end twice
	SignalTermHup             // a reload after the end was told
	SignalHalfHupTerm         // a reload while the configuration is half written
	SignalSilentHup           // a reload while discovery says nothing
	SignalEarlyTerm           // told to end within the first second of its life
	SignalBeside              // told to end while another driver restarts
	signalSeries
)

var signalNames = [signalSeries]string{"TERM", "HUP HUP TERM", "TERM TERM", "TERM HUP", "HUP on half a file, TERM",
	"HUP while the list is silent, TERM", "TERM in the first second", "TERM while another driver restarts"}

func (s Signals) String() string { return signalNames[s] }

// MemberTrouble is what one member does in the moment of the signal.
type MemberTrouble uint8

// The troubles.
const (
	MemberWell MemberTrouble = iota
	MemberDrains
	MemberHangs
	MemberMoves      // it restarts at a new address
	MemberClosesIdle // it closes the connections on which nothing is out
	memberTroubles
)

var troubleNames = [memberTroubles]string{"members are well", "a member drains", "a member hangs", "a member moves", "a member closes idle connections"}

func (m MemberTrouble) String() string { return troubleNames[m] }

// Plan is what one seed draws.
type Plan struct {
	Seed          uint64
	Signals       Signals
	Trouble       MemberTrouble
	Member        int  // that has the trouble; 0 is the primary
	Crowd         bool // idle clients hold all descriptors that they can get
	ReadDeadline  time.Duration
	WriteDeadline time.Duration
	Clients       [clientKinds]int
	Load          time.Duration // from ready to the first signal
	NewFor        time.Duration // new connections come for so long after SIGTERM
}

const (
	members    = 4
	sockets    = 256
	memoryMB   = 192
	mostKill   = 3 * time.Second // the longest deadline that counts for SIGKILL
	killMargin = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM the platform may kill the driver.
func (p *Plan) killAfter() time.Duration {
	return min(max(p.ReadDeadline, p.WriteDeadline), mostKill) + killMargin
}

// Draw makes the plan of a seed.
func Draw(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	p := &Plan{Seed: seed, Signals: Signals(rng.IntN(int(signalSeries))), Trouble: MemberTrouble(rng.IntN(int(memberTroubles))),
		Member: rng.IntN(members), Crowd: rng.IntN(4) == 0,
		ReadDeadline:  time.Duration(400+rng.IntN(800)) * time.Millisecond,
		WriteDeadline: time.Duration(500+rng.IntN(4500)) * time.Millisecond,
		Load:          time.Duration(500+rng.IntN(700)) * time.Millisecond,
		NewFor:        time.Duration(200+rng.IntN(200)) * time.Millisecond}
	for kind := range p.Clients {
		p.Clients[kind] = 2 + rng.IntN(5)
	}
	if p.Signals == SignalEarlyTerm {
		p.Load = time.Duration(rng.IntN(900)) * time.Millisecond
	}
	return p
}

// String describes the plan in one line.
func (p *Plan) String() string {
	parts := []string{p.Signals.String(), p.Trouble.String()}
	if p.Trouble != MemberWell {
		parts[1] += fmt.Sprintf(" (%d)", p.Member)
	}
	if p.Crowd {
		parts = append(parts, "crowd")
	}
	parts = append(parts, fmt.Sprintf("deadlines %v and %v", p.ReadDeadline, p.WriteDeadline))
	return strings.Join(parts, ", ")
}
