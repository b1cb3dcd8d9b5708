package explore

import (
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/schedule"
)

// hasher folds the whole state of an engine, private fields included, into a number. States that behave the same get the
// same number: times are relative to now, and these fields are excluded:
//
//   - the random source: its draws show in the rest of the state;
//   - the functions of timers, of which only the times count: a function follows from the attempt, connection or poll that
//     set the timer, and those are in the state;
//   - buffers, indexes kept for speed, counters for the next identifier, and the history of changes kept for operators.
type hasher struct {
	digest  *xxhash.Digest
	now     time.Duration
	visited map[uintptr]int
	word    [8]byte
}

// ignoredFields are the names of the struct fields that the hash excludes: see hasher.
var ignoredFields = map[string]bool{"rng": true, "cmds": true, "events": true, "actions": true, "cfg": true, "due": true, "sweeping": true, "heap": true, "place": true, "seq": true, "token": true,
	"history": true, "records": true, "router.cfg": true, "reportedAfter": true, "passedByAll": true, "polls": false, "timer": true, "life": true, "sweepSlot": true, "sweeps": true, "all": true,
	"timeLimits": true, "stoppedTimers": true}

// minTimestamp separates durations from times of the engine's clock, which starts at startTime: a time.Duration above it is
// a time.
const minTimestamp = 500 * time.Hour

var (
	durationType = reflect.TypeFor[time.Duration]()
	timerType    = reflect.TypeFor[*schedule.Timer]()
)

// hashState returns the hash of a state with its times relative to now.
func hashState(state any, now time.Duration) uint64 {
	h := &hasher{digest: xxhash.New(), now: now, visited: map[uintptr]int{}}
	h.writeValue(reflect.ValueOf(state))
	return h.digest.Sum64()
}

func (h *hasher) writeNumber(v uint64) {
	binary.LittleEndian.PutUint64(h.word[:], v)
	h.digest.Write(h.word[:])
}

func (h *hasher) writeValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		n := uint64(0)
		if v.Bool() {
			n = 1
		}
		h.writeNumber(n)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n := v.Int()
		if v.Type() == durationType && time.Duration(n) > minTimestamp && n != math.MaxInt64 {
			n -= int64(h.now)
		}
		h.writeNumber(uint64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		h.writeNumber(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.writeNumber(math.Float64bits(v.Float()))
	case reflect.String:
		h.writeNumber(uint64(v.Len()))
		h.digest.WriteString(v.String())
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		h.writeNumber(0)
	case reflect.Pointer, reflect.Interface:
		h.writePointer(v)
	case reflect.Struct:
		h.writeStruct(v)
	case reflect.Slice, reflect.Array:
		h.writeNumber(uint64(v.Len()))
		for i := range v.Len() {
			h.writeValue(v.Index(i))
		}
	case reflect.Map:
		h.writeMap(v)
	}
}

// writePointer hashes the value that a pointer refers to. A pointer met again is hashed as its number in order of first
// visit, which ends cycles.
func (h *hasher) writePointer(v reflect.Value) {
	if v.IsNil() {
		h.writeNumber(0)
		return
	}
	if v.Kind() == reflect.Interface {
		h.writeValue(v.Elem())
		return
	}
	if n, known := h.visited[v.Pointer()]; known {
		h.writeNumber(uint64(n))
		return
	}
	h.visited[v.Pointer()] = len(h.visited) + 1
	h.writeValue(v.Elem())
}

func (h *hasher) writeStruct(v reflect.Value) {
	if strings.HasPrefix(v.Type().Name(), "Queue[") {
		h.writeTimes(v.FieldByName("heap"))
		return
	}
	t := v.Type()
	for i := range v.NumField() {
		if !ignoredFields[t.Field(i).Name] {
			h.writeValue(v.Field(i))
		}
	}
}

// writeTimes hashes the times of a schedule.Queue that are not past, in ascending order.
func (h *hasher) writeTimes(heap reflect.Value) {
	var all []int64
	for i := range heap.Len() {
		if isStopped(heap.Index(i).FieldByName("value")) {
			continue
		}
		if at := heap.Index(i).FieldByName("at").Int() - int64(h.now); at >= 0 {
			all = append(all, at)
		}
	}
	slices.Sort(all)
	for _, at := range all {
		h.writeNumber(uint64(at))
	}
}

// isStopped reports whether an item of a queue is a schedule.Timer that was stopped.
func isStopped(item reflect.Value) bool {
	return item.Type() == timerType && item.Elem().FieldByName("due").IsNil()
}

// writeMap hashes the entries of a map in the order of their keys.
func (h *hasher) writeMap(v reflect.Value) {
	h.writeNumber(uint64(v.Len()))
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return compare(a, b) })
	for _, k := range keys {
		if k.Kind() != reflect.Pointer {
			h.writeValue(k)
		}
		h.writeValue(v.MapIndex(k))
	}
}

// compare orders map keys. Keys of other kinds than those below, such as pointers, are equal.
func compare(a, b reflect.Value) int {
	switch a.Kind() {
	case reflect.String:
		return strings.Compare(a.String(), b.String())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return int(min(max(a.Int()-b.Int(), -1), 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		switch x, y := a.Uint(), b.Uint(); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	case reflect.Struct:
		for i := range a.NumField() {
			if c := compare(a.Field(i), b.Field(i)); c != 0 {
				return c
			}
		}
	}
	return 0
}
