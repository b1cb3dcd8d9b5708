package balance

import "time"

// startListedWithin is the time after its start within which a server is listed, unless the list was out of reach.
const startListedWithin = time.Second

// processStart is when a server's process last started. Lists tell it as a time of a wall clock, which may have been stepped
// since the router's clock was set.
type processStart struct {
	listed time.Duration // as listed last
	at     time.Duration // on the router's clock; 0 if long ago
}

// update applies the start in a list received now. since is when the lists before were known to be complete, 0 if that is
// unknown: a start that was not listed by then is at most startListedWithin older.
func (p *processStart) update(listed, since, now time.Duration) {
	if listed == p.listed {
		return
	}
	p.listed = listed
	at := min(listed, now)
	if since > 0 && listed > 0 {
		p.at = max(at, since-startListedWithin)
		return
	}
	p.at = max(p.at, at) // an outdated list may be delivered again
}
