package balance

import (
	"strconv"
	"strings"
	"time"
)

// primaryLog begins the text with which a router logs that it follows another primary.
const primaryLog = "primary is now "

// LoggedPrimary is the server that such a text names, false for other texts. Routers know servers by number alone.
func LoggedPrimary(text string) (ServerID, bool) {
	number, ok := strings.CutPrefix(text, primaryLog)
	id, err := strconv.ParseUint(number, 16, 64)
	return ServerID(id), ok && err == nil
}

// View is what a router believes of one server, for operators and tests. It decides nothing.
type View struct {
	Server   ServerID
	Life     Life
	Primary  bool
	Polled   bool          // it answered a poll since it last failed
	Silent   bool          // it keeps requests without answering any
	Fails    int           // polls in a row that failed
	Out      int           // requests that are with it
	Limit    float64       // of those
	Warmth   float64       // least share of its capacity that it has by now
	Credit   float64       // sends it may have while cold
	Behind   time.Duration // age of the position it was last told to have
	Position time.Duration // 0 if none was told
}

// Views appends what the router believes of the servers it knows, by group and ID.
func (r *Router) Views(list []View) []View {
	for _, g := range r.order {
		for _, s := range g.members {
			list = append(list, View{Server: s.id, Life: s.life, Primary: g.primary == s, Polled: s.polled, Silent: r.silent(s),
				Fails: s.fails, Out: len(s.out), Limit: s.limit, Warmth: r.warmth(s), Credit: s.credit,
				Behind: r.now - s.position, Position: s.position})
		}
	}
	return list
}

// Paces are the shares of first attempts that may go: of a group's primary's own work, of reads, of reads at the primary.
func (r *Router) Paces(group int) [3]float64 {
	var p [3]float64
	if g := r.groups[group]; g != nil {
		for i := range p {
			p[i] = g.pools[i].pace
		}
	}
	return p
}

// Budget is what is left for attempts after the first.
func (r *Router) Budget() float64 { return r.budget }
