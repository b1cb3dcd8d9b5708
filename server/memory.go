package server

import (
	"context"
	"math"
	"runtime/debug"
	rt "runtime/metrics"
	"time"
)

// memoryInterval is the time between checks of the process's memory.
const memoryInterval = 50 * time.Millisecond

// Metrics whose sum is the live memory: heap in use at the last collection, and memory outside the garbage
// collector's control. Garbage is left out, because the runtime lets it grow up to its limit before it collects.
var liveMemory = []string{"/gc/heap/live:bytes", "/memory/classes/heap/stacks:bytes", "/memory/classes/metadata/mcache/inuse:bytes",
	"/memory/classes/metadata/mspan/inuse:bytes", "/memory/classes/metadata/other:bytes", "/memory/classes/os-stacks:bytes",
	"/memory/classes/other:bytes", "/memory/classes/profiling/buckets:bytes"}

// watchMemory periodically reports to the gate the share of the memory limit in use. The limit is limitBytes or, if
// that is 0, GOMEMLIMIT.
func (f *frontEnd) watchMemory(ctx context.Context, limitBytes int) {
	limit := float64(limitBytes)
	if limitBytes == 0 {
		limit = float64(debug.SetMemoryLimit(-1))
	}
	if f.gate == nil || limit >= math.MaxInt64 {
		return
	}
	samples := make([]rt.Sample, len(liveMemory))
	for i, name := range liveMemory {
		samples[i].Name = name
	}
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		rt.Read(samples)
		f.mu.Lock()
		f.gate.SetMemoryUse(float64(sum(samples)) / limit)
		f.mu.Unlock()
	}
}

// memoryShort reports whether requests are refused because memory is short.
func (f *frontEnd) memoryShort() bool {
	if f.gate == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.MemoryShort()
}

func sum(samples []rt.Sample) (n uint64) {
	for _, s := range samples {
		if s.Value.Kind() == rt.KindUint64 { // a later Go version may lack one of them
			n += s.Value.Uint64()
		}
	}
	return n
}
