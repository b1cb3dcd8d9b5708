package balance

import "time"

// clockTolerance is by how much a report's position may be off the time of the report where the clocks agree: positions
// are rounded, and reports take time.
const clockTolerance = 20 * time.Millisecond

// positionClock relates the positions of a group's servers, which are times of their wall clocks, to the router's clock. The
// wall clocks may be stepped, so that positions run ahead of the router's clock and say nothing of the age of data by
// themselves. A primary's position is its present, which tells by how much.
type positionClock struct {
	ahead time.Duration // of the router's clock, never negative: a clock that is behind only makes data look older
}

// present returns the position that a primary has at a time of the router's clock, at the latest.
func (c *positionClock) present(now time.Duration) time.Duration { return now + c.ahead }

// observe learns from a primary's position in a report that it made between sentAt and now. Reports that agree with what
// is known change nothing. Otherwise the earlier time counts, so that no data seems newer than it is.
func (c *positionClock) observe(position, sentAt, now time.Duration) {
	if position > c.present(now)+clockTolerance || position < c.present(sentAt)-clockTolerance {
		c.ahead = max(0, position-sentAt)
	}
}

// plausible reports whether a position that a server reported at a time can be compared with the present. It can't if it
// is ahead of the present: then the clock was stepped, and the primary has not reported since.
func (c *positionClock) plausible(position, at time.Duration) bool {
	return position <= c.present(at)+clockTolerance
}
