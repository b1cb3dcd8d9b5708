package balance

import (
	"strconv"
	"strings"
	"time"
)

// primaryLogPrefix begins the text of the ActionLog for a change of primary; the server's ID follows in hex.
const primaryLogPrefix = "primary is now "

// LoggedPrimary returns the new primary that the text of an ActionLog names, or false for any other text. It lets
// callers log the server's name, which routers do not know.
func LoggedPrimary(text string) (ServerID, bool) {
	number, ok := strings.CutPrefix(text, primaryLogPrefix)
	id, err := strconv.ParseUint(number, 16, 64)
	return ServerID(id), ok && err == nil
}

// View is a router's current state of one server, for operators and tests.
type View struct {
	Server      ServerID
	Life        Life
	Primary     bool          // it counts as the group's primary
	Polled      bool          // it answered a poll since its last failure
	Silent      bool          // it leaves its pending requests unanswered
	FailedPolls int           // consecutive failed polls
	Pending     int           // pending requests of this router
	Limit       float64       // most pending requests, at least 1; the primary's depends on the class too
	Warmth      float64       // least share of its capacity that it has, 0 to 1 (slow start)
	Credit      float64       // requests that may be sent while it is cold
	Lag         time.Duration // age of its highest reported position; meaningless if Position is 0
	Position    time.Duration // highest reported position as a clock time; 0 if none
}

// Views appends the state of each server to list, ordered by first mention of the group and by server ID.
func (r *Router) Views(list []View) []View {
	for _, g := range r.order {
		for _, s := range g.members {
			list = append(list, View{Server: s.id, Life: s.life, Primary: g.primary == s, Polled: s.polled, Silent: r.silent(s),
				FailedPolls: s.failedPolls, Pending: len(s.pending), Limit: s.limit, Warmth: r.warmth(s), Credit: s.coldCredit,
				Lag: r.now - s.position, Position: s.position})
		}
	}
	return list
}

// AdmissionRates returns the shares of first attempts, 0 to 1, that a group currently admits: of requests that only
// the primary serves, of reads, and of reads that fall back to the primary (0 before the first such read). An
// unknown group has zeros.
func (r *Router) AdmissionRates(group int) [3]float64 {
	var p [3]float64
	if g := r.groups[group]; g != nil {
		for i := range p {
			p[i] = g.pools[i].pace
		}
	}
	return p
}

// RetryBudget returns the retry budget: how many further attempts may be sent, from 0 to 20.
func (r *Router) RetryBudget() float64 { return r.retryBudget }
