package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"umberladder/lab/world"
)

// Import converts a day file of the users' benchmark to the text of an experiment file: its zones, drivers, slices,
// classes, load and troubles. Comments in the text name what has no equivalent. The benchmark uses another model,
// so its figures are not expected from the experiment. The error is that of reading the file.
func Import(path string) (string, error) {
	d, err := readDay(path)
	if err != nil {
		return "", err
	}
	i := &importer{dayFile: d}
	i.writeFleet()
	i.writeClasses()
	for n := range d.Troubles {
		i.convertTrouble(&d.Troubles[n])
	}
	return i.b.String(), nil
}

type importer struct {
	*dayFile
	b      strings.Builder
	places map[int]world.Place // of each server, by number
}

func (i *importer) printf(format string, args ...any) { fmt.Fprintf(&i.b, format+"\n", args...) }

// micros converts microseconds to a duration, rounded for printing.
func micros(v float64) time.Duration {
	return time.Duration(v * float64(time.Microsecond)).Round(100 * time.Microsecond)
}

// writeFleet writes the numbers of drivers, slices and nodes, the load and the network.
func (i *importer) writeFleet() {
	i.places = map[int]world.Place{}
	cells, members := map[int]int{}, map[int]int{}
	for n, s := range i.Servers {
		if _, ok := cells[s.Cell]; !ok {
			cells[s.Cell] = len(cells)
		}
		place := world.Anywhere
		place.Slice, place.Member = cells[s.Cell], members[s.Cell]
		i.places[n] = place
		members[s.Cell]++
	}
	maxMembers, cores, work := 0, 4, 0.0
	for _, n := range members {
		maxMembers = max(maxMembers, n)
	}
	if len(i.Tiers) > 0 && len(i.Tiers[0].Kinds) > 0 {
		cores = max(1, i.Tiers[0].Kinds[0].Cores)
	}
	for _, c := range i.Classes {
		work += c.Share * c.Work
	}
	work = max(work, 100)
	i.printf("# A %s day of %s, from the bench's file.", i.Kind, i.Site)
	i.printf("experiment %q", i.Site+", "+i.Kind)
	i.printf("repeats 3\ndrivers %d\nslices %d\nmembers %d\ncores %d", len(i.Balancers), len(cells), maxMembers, cores)
	if len(cells)*maxMembers != len(i.Servers) {
		i.printf("# The day's slices differ in size; it has %d nodes, this experiment %d.", len(i.Servers), len(cells)*maxMembers)
	}
	i.printf("halls %s\nwork %v\nrate %.0f\nfor %v", strings.Join(i.Zones, " "), micros(work), i.Traffic.Load*float64(cores*len(i.Servers))/(work/1e6), micros(i.Length))
	if i.Net.Same > 0 {
		i.printf("way %v\ncross %v\njitter %.2f", micros(i.Net.Same), micros(max(i.Net.Same, i.Net.Cross)), i.Net.Jitter)
	}
	if i.Fam.Ship > 0 {
		i.printf("ship %v", micros(i.Fam.Ship))
	}
	i.printf("elect %v\nnotice %v", micros(max(1e5, i.Fam.Detect+i.Fam.Elect)), micros(max(0, i.Discovery.Notice)))
	if slices.ContainsFunc(i.Traffic.Shape, func(p [2]float64) bool { return p[1] != 1 }) {
		i.printf("# The day's load shape is left out.")
	}
}

func (i *importer) writeClasses() {
	words := [...]string{"any", "bounded", "session", "fresh", "write"}
	sum := 0.0
	for _, c := range i.Classes {
		sum += c.Share
	}
	for n, c := range i.Classes {
		need := words[min(max(i.Fam.Read[n], 0), len(words)-1)]
		if need == "bounded" {
			need += " " + micros(max(i.Fam.Bound[n], 1e3)).String()
		}
		effect := c.Effect
		if need == "write" && effect == "safe" {
			effect = "unsafe"
		}
		i.printf("class %s {\n    share %.6g%%\n    need %s\n    effect %s\n    target %v\n    deadline %v\n    worth %g\n    late-worth %g%%", c.Name, 100*c.Share/sum, need, effect,
			micros(c.Aim), micros(max(c.Deadline, c.Aim)), c.Worth, 100*min(max(c.LateWorth, 0), 1))
		if effect == "keyed" {
			i.printf("    window %v", micros(max(c.Window, 1e3)))
		}
		i.printf("}")
	}
}

// writeTrouble writes a trouble, unless it begins after the end of the day.
func (i *importer) writeTrouble(kind world.TroubleKind, at, duration, size float64, place world.Place) {
	if at >= i.Length {
		return
	}
	i.printf("trouble %s {\n    at %v\n    for %v", kind, micros(max(0, at)), micros(max(duration, 1e3)))
	if kind.HasSize() {
		i.printf("    size %.4g", min(max(size, 0.001), 1000))
	}
	if place.Slice >= 0 {
		i.printf("    slice %d", place.Slice)
	}
	if place.Member >= 0 {
		i.printf("    member %d", place.Member)
	}
	if place.Driver >= 0 {
		i.printf("    driver %d", place.Driver)
	}
	if place.All {
		i.printf("    all on")
	}
	if place.Zone != "" {
		i.printf("    hall %s", place.Zone)
	}
	i.printf("}")
}

// writeForServers writes a trouble for every server that it affects.
func (i *importer) writeForServers(t *dayTrouble, kind world.TroubleKind, at, duration, size float64) {
	for _, n := range t.On {
		if place, ok := i.places[n]; ok {
			i.writeTrouble(kind, at, duration, size, place)
		}
	}
}

// maxPauses limits the pauses that are written for one trouble.
const maxPauses = 20

// convertTrouble writes the experiment's equivalent of a trouble.
func (i *importer) convertTrouble(t *dayTrouble) {
	all, driver := world.Anywhere, func(n int) world.Place { p := world.Anywhere; p.Driver = n % len(i.Balancers); return p }
	all.All = true
	switch t.Kind {
	case "crash":
		i.writeForServers(t, world.TroubleCrash, t.At, t.Len, 0)
	case "hang":
		i.writeForServers(t, world.TroubleStall, t.At, t.Len, 0)
	case "ageing":
		const steps = 4
		for s := range steps {
			i.writeForServers(t, world.TroubleSlow, t.At+t.Len*float64(s)/steps, t.Len*float64(steps-s)/steps, math.Pow(max(1, t.Size), 1.0/steps))
		}
		i.writeForServers(t, world.TroubleCrash, t.At+t.Len, max(3e5, t.Extra*1e6), 0)
	case "pauses":
		interval := max(2e5, t.Extra*1e6, t.Len/maxPauses)
		for at := t.At; at < t.At+t.Len; at += interval {
			i.writeForServers(t, world.TroubleStall, at, t.Size*1e3, 0)
		}
	case "neighbour":
		i.writeForServers(t, world.TroubleSlow, t.At, t.Len, 1/max(0.05, 1-t.Size/2))
	case "replica_lag":
		i.writeForServers(t, world.TroubleLag, t.At, t.Len, 20*t.Size)
	case "handshake_slow":
		i.writeForServers(t, world.TroubleSlowConnect, t.At, t.Len, 100)
	case "idle_reap":
		i.writeForServers(t, world.TroubleIdleDrop, t.At, t.Len, max(100, t.Size*1e3))
	case "bad_requests":
		i.writeTrouble(world.TroubleErrors, t.At, t.Len, min(t.Size, 1), world.Anywhere)
	case "hot_caller":
		i.writeTrouble(world.TroubleHotDriver, t.At, t.Len, min(t.Size, 1), world.Anywhere)
	case "conn_squeeze":
		i.writeForServers(t, world.TroubleConnLimit, t.At, t.Len, float64(max(4, len(i.Balancers)/2)))
	case "shared_slow":
		i.writeTrouble(world.TroubleSlow, t.At, t.Len, t.Size, all)
	case "slow_link":
		i.writeLink(t)
	case "burst":
		i.writeTrouble(world.TroubleLoad, t.At, t.Len, t.Size, world.Anywhere)
	case "discovery_down":
		i.writeTrouble(world.TroubleListsHeld, t.At, t.Len, 0, world.Anywhere)
	case "wrong_list":
		i.writeForServers(t, world.TroubleUnlist, t.At, t.Len, 0)
	case "balancer_crash":
		for _, n := range t.On {
			i.writeTrouble(world.TroubleRestart, t.At, t.Len, 0, driver(n))
		}
	case "balancer_roll", "preempt":
		i.writeSteps(t, driver)
	default:
		i.printf("# %s at %v for %v has no equivalent here.", t.Kind, micros(t.At), micros(t.Len))
	}
}

func (i *importer) writeLink(t *dayTrouble) {
	minTarget := i.Classes[0].Aim
	for _, c := range i.Classes {
		minTarget = min(minTarget, c.Aim)
	}
	place := world.Anywhere
	place.Zone = i.Zones[min(max(t.Which, 0), len(i.Zones)-1)]
	i.writeTrouble(world.TroubleDelay, t.At, t.Len, t.Size*minTarget/max(1, i.Net.Cross, i.Net.Same), place)
	if t.Extra > 0 {
		i.writeTrouble(world.TroubleLoss, t.At, t.Len, min(t.Extra, 1), place)
	}
}

// writeSteps writes the troubles of a rolling restart of drivers or of nodes that are replaced after a notice.
func (i *importer) writeSteps(t *dayTrouble, driver func(int) world.Place) {
	for _, step := range t.Steps {
		for _, n := range step.Stop {
			if t.Kind == "balancer_roll" {
				i.writeTrouble(world.TroubleRestart, step.At, max(1e5, t.Extra*1e6), 0, driver(n))
			} else if place, ok := i.places[n]; ok {
				i.writeTrouble(world.TroubleDrain, step.At, max(1e6, t.Size*1e6), 0, place)
			}
		}
	}
}
