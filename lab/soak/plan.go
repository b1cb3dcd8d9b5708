// Package soak tests the shutdown of a driver process: it sends SIGTERM and SIGHUP in series while clients send requests
// and members have trouble, and judges the observed traffic by the rules of the shared platform. Its input is the built
// program and seeds, from which all plans are drawn; its output is the broken rules of each seed. The command
// "lab soak" and cmd/mutants call it; members and discovery are stand-ins on loopback.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Signals is a series of signals sent to the driver.
type Signals uint8

// The series of signals. Each includes SIGTERM; a reload is SIGHUP.
const (
	SignalTerm             Signals = iota
	SignalHupHupTerm               // two reloads, then SIGTERM
	SignalTermTerm                 // SIGTERM twice
	SignalTermHup                  // a reload after SIGTERM
	SignalTruncatedHupTerm         // a reload while the configuration file is half written
	SignalSilentHup                // a reload while discovery does not answer
	SignalEarlyTerm                // SIGTERM within the first second after the start
	SignalDuringRestart            // SIGTERM while another driver restarts
	numSignals
)

var signalNames = [numSignals]string{"TERM", "HUP HUP TERM", "TERM TERM", "TERM HUP", "HUP on half a file, TERM",
	"HUP while the list is silent, TERM", "TERM in the first second", "TERM while another driver restarts"}

func (s Signals) String() string { return signalNames[s] }

// MemberTrouble is the trouble of one member, which begins just before the first SIGTERM.
type MemberTrouble uint8

// The troubles.
const (
	MemberHealthy MemberTrouble = iota
	MemberDrains
	MemberHangs
	MemberMoves      // it restarts at a new address
	MemberClosesIdle // it closes connections without a pending request
	numTroubles
)

var troubleNames = [numTroubles]string{"members are well", "a member drains", "a member hangs", "a member moves", "a member closes idle connections"}

func (m MemberTrouble) String() string { return troubleNames[m] }

// Plan holds the values drawn for one seed.
type Plan struct {
	Seed            uint64
	Signals         Signals
	Trouble         MemberTrouble
	Member          int  // index of the member that has the trouble; 0 is the primary
	Crowd           bool // idle clients hold as many of the driver's descriptors as they can get
	ReadDeadline    time.Duration
	WriteDeadline   time.Duration
	Clients         [clientKinds]int
	HangFor         time.Duration // with MemberHangs, the time after which the member goes on; 0 for never
	Load            time.Duration // time from ready to the first signal
	AcceptAfterTerm time.Duration // time after SIGTERM during which clients open new connections
}

const (
	members        = 4
	maxDescriptors = 256                    // of a driver
	memoryMB       = 192                    // memory limit of a driver in MiB
	maxKillDelay   = 3 * time.Second        // longest deadline for which SIGKILL is delayed
	killMargin     = 700 * time.Millisecond // time from the deadline to SIGKILL
)

// killAfter returns the time from SIGTERM after which the platform may kill the driver.
func (p *Plan) killAfter() time.Duration {
	return min(max(p.ReadDeadline, p.WriteDeadline), maxKillDelay) + killMargin
}

// Draw returns the plan of a seed.
func Draw(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	p := &Plan{Seed: seed, Signals: Signals(rng.IntN(int(numSignals))), Trouble: MemberTrouble(rng.IntN(int(numTroubles))),
		Member: rng.IntN(members), Crowd: rng.IntN(4) == 0,
		ReadDeadline:    time.Duration(400+rng.IntN(800)) * time.Millisecond,
		WriteDeadline:   time.Duration(500+rng.IntN(4500)) * time.Millisecond,
		Load:            time.Duration(500+rng.IntN(700)) * time.Millisecond,
		AcceptAfterTerm: time.Duration(200+rng.IntN(200)) * time.Millisecond}
	for kind := range clientBursts {
		p.Clients[kind] = 2 + rng.IntN(5)
	}
	if p.Signals == SignalEarlyTerm {
		p.Load = time.Duration(rng.IntN(900)) * time.Millisecond
	}
	p.Clients[clientBursts] = 1 + rng.IntN(2)
	if rng.IntN(2) == 0 {
		p.HangFor = time.Duration(300+rng.IntN(700)) * time.Millisecond
	}
	return p
}

// String describes the plan in one line.
func (p *Plan) String() string {
	parts := []string{p.Signals.String(), p.Trouble.String()}
	if p.Trouble != MemberHealthy {
		parts[1] += fmt.Sprintf(" (%d)", p.Member)
	}
	if p.Trouble == MemberHangs && p.HangFor > 0 {
		parts[1] += fmt.Sprintf(" for %v", p.HangFor)
	}
	if p.Crowd {
		parts = append(parts, "crowd")
	}
	parts = append(parts, fmt.Sprintf("deadlines %v and %v", p.ReadDeadline, p.WriteDeadline))
	return strings.Join(parts, ", ")
}
