package record

import (
	"fmt"
	"slices"
	"time"
)

// Arrival is a recorded request that is replayed as load.
type Arrival struct {
	At      time.Duration // since the start of the run
	Class   string
	Slice   string
	Session string
}

// Arrivals returns the requests of one run in the order of their times, clients' further tries included. An empty arm means
// the arm of the first row. It is an error if the run has no request.
func (r *Recording) Arrivals(arm string, repeat int) ([]Arrival, error) {
	var all []Arrival
	err := r.Each(func(row *Row) error {
		if arm == "" {
			arm = row.Arm
		}
		if row.Kind == KindRequest && row.Arm == arm && int(row.Repeat) == repeat {
			all = append(all, Arrival{time.Duration(row.Sent), row.Class, row.Slice, row.Session})
		}
		return nil
	})
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("recording: %s has no request of arm %q, repeat %d", r.dir, arm, repeat)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all, err
}
