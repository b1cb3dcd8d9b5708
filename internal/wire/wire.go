// Package wire translates the simulator's binary frames to the events and actions of package balance.
// It decides nothing: what the wire says is what the module hears, and the other way round.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"umberladder/balance"
)

// Record codes of events.
const (
	codeOutcome   = 1000
	codeStop      = 1010
	codePeer      = 1020
	codeAbout     = 1030
	codeProbed    = 1040
	codeTimer     = 1050
	codeInventory = 1060
	codeInit      = 1070
	codeRequest   = 1080
	codeEndpoints = 1090
	codeGone      = 1100
	codeFirst     = 1110
)

// Record codes of actions.
const (
	codeSend   = 1000
	codeRefuse = 1010
	codeFail   = 1020
	codeCancel = 1030
	codeArm    = 1040
	codeProbe  = 1050
	codeLog    = 1080
	codeFault  = 1090
	codeClose  = 1060
	codeWatch  = 1100
	codeAs     = 1120
)

const (
	frameHeader  = 16
	recordHeader = 6
	entrySize    = 27
	maxLists     = 16
	maxFrame     = 1 << 30
)

// Start opens an instance.
type Start struct {
	Seed   uint64
	Config balance.Config
}

// Input is one record for one instance: a start, a stop, or an event.
type Input struct {
	Instance uint32
	Start    *Start
	Stop     bool
	Event    balance.Event
}

// Decoder reads batches. Report layouts and list numbers are kept between them.
type Decoder struct {
	r      io.Reader
	buf    []byte
	lists  [maxLists][]balance.Entry
	fields map[uint32][]string
	inputs []Input
	record int
}

// NewDecoder returns a decoder of r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, fields: map[uint32][]string{}}
}

// Next returns the clock and the records of the next batch, valid until the next call. The error is
// io.EOF at a clean end of input.
func (d *Decoder) Next() (time.Duration, []Input, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("frame header is cut short: %v", err)
	}
	size := int(binary.LittleEndian.Uint32(head[:]))
	count := int(binary.LittleEndian.Uint32(head[4:]))
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[8:]))
	if size > maxFrame {
		return 0, nil, fmt.Errorf("frame header: size %d out of range", size)
	}
	now, ok := Millis(clock)
	if !ok {
		return 0, nil, fmt.Errorf("frame header: clock %v is not a time", clock)
	}
	if err := d.fill(size); err != nil {
		return 0, nil, fmt.Errorf("frame of %d bytes is cut short: %v", size, err)
	}
	err := d.records(count)
	return now, d.inputs, err
}

// fill reads a body piece by piece, so that a false size cannot claim memory that never arrives.
func (d *Decoder) fill(size int) error {
	const piece = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n, from := min(piece, size-len(d.buf)), len(d.buf)
		if cap(d.buf) < from+n {
			d.buf = append(make([]byte, 0, max(2*cap(d.buf), from+n)), d.buf...)
		}
		d.buf = d.buf[:from+n]
		if _, err := io.ReadFull(d.r, d.buf[from:]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) records(count int) error {
	clear(d.inputs)
	d.inputs = d.inputs[:0]
	at, who, named := 0, uint32(0), false
	for d.record = 0; d.record < count; d.record++ {
		if len(d.buf)-at < recordHeader {
			return fmt.Errorf("record %d at offset %d: header is cut short", d.record, at+frameHeader)
		}
		code := binary.LittleEndian.Uint16(d.buf[at:])
		size := int(binary.LittleEndian.Uint32(d.buf[at+2:]))
		if size > len(d.buf)-at-recordHeader {
			return fmt.Errorf("record %d (code %d) at offset %d: %d bytes stated, %d left",
				d.record, code, at+frameHeader, size, len(d.buf)-at-recordHeader)
		}
		c := &cursor{b: d.buf[at+recordHeader : at+recordHeader+size]}
		err := d.decode(code, c, &who, &named)
		if err == nil {
			err = c.err
		}
		if err == nil && known(code) && len(c.b) > 0 {
			err = fmt.Errorf("%d bytes too many", len(c.b))
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d) at offset %d: %w", d.record, code, at+frameHeader, err)
		}
		at += recordHeader + size
	}
	if at != len(d.buf) {
		return fmt.Errorf("frame: %d bytes after the last of %d records", len(d.buf)-at, count)
	}
	return nil
}

func known(code uint16) bool {
	return code >= codeOutcome && code <= codeFirst && code%10 == 0 && code != codePeer
}

func (d *Decoder) decode(code uint16, c *cursor, who *uint32, named *bool) error {
	if !known(code) {
		return nil
	}
	switch code {
	case codeAbout:
		*who, *named = c.u32(), true
		return nil
	case codeInventory:
		return d.inventory(c)
	}
	if !*named {
		return errors.New("no instance named before it")
	}
	in := Input{Instance: *who}
	var err error
	switch code {
	case codeInit:
		in.Start, err = d.start(*who, c)
	case codeStop:
		in.Stop = true
	default:
		err = d.event(code, c, &in)
	}
	d.inputs = append(d.inputs, in)
	return err
}

func (d *Decoder) start(who uint32, c *cursor) (*Start, error) {
	seed := c.u64()
	text := c.bytes(int(c.u32()))
	if c.err != nil {
		return nil, c.err
	}
	cfg, fields, err := ParseSettings(string(text))
	d.fields[who] = fields
	return &Start{Seed: seed, Config: cfg}, err
}

func (d *Decoder) event(code uint16, c *cursor, in *Input) error {
	e := &in.Event
	switch code {
	case codeEndpoints:
		return d.endpoints(c, e)
	case codeRequest:
		d.request(c, e)
	case codeOutcome:
		d.outcome(c, in)
	case codeProbed:
		e.Kind = balance.EventPoll
		e.Server, e.Age = c.server(), c.time()
		e.Outcome = c.outcome()
		e.Report = c.report(d.fields[in.Instance])
	case codeTimer:
		e.Kind, e.Token = balance.EventTimer, c.u64()
	case codeGone:
		e.Kind, e.Request = balance.EventAborted, balance.RequestID(c.u64())
	case codeFirst:
		e.Kind, e.Request = balance.EventOpened, balance.RequestID(c.u64())
		e.Attempt, e.Server, e.Age = int(c.u8()), c.server(), c.time()
	}
	return c.err
}

func (d *Decoder) request(c *cursor, e *balance.Event) {
	e.Kind, e.Request, e.Class = balance.EventRequest, balance.RequestID(c.u64()), int(c.u8())
	c.u32()
	e.Key = c.u64()
	e.Deadline = c.time()
	c.f64()
	e.Group = int(c.f32())
	e.SinceWrite = floorMillis(c.f32())
	c.u8()
}

func (d *Decoder) outcome(c *cursor, in *Input) {
	e := &in.Event
	e.Kind, e.Request = balance.EventOutcome, balance.RequestID(c.u64())
	e.Attempt, e.Server = int(c.u8()), c.server()
	e.Outcome, e.Age = c.outcome(), c.time()
	e.Settled = c.u8() != 0
	note := c.u32()
	switch note & 3 {
	case 1:
		e.Role = balance.RolePrimary
	case 2:
		e.Role = balance.RoleReplica
	}
	e.Position = time.Duration(note>>2) * time.Millisecond
	e.Report = c.report(d.fields[in.Instance])
}

func (d *Decoder) endpoints(c *cursor, e *balance.Event) error {
	e.Kind = balance.EventList
	c.u64()
	kind, number := c.u8(), c.u8()
	if kind > 3 {
		return fmt.Errorf("list kind %d is none", kind)
	}
	e.List = balance.ListKind(kind)
	if e.List == balance.ListFailed {
		return c.err
	}
	if int(number) >= maxLists {
		return fmt.Errorf("list number %d out of range", number)
	}
	e.Entries = d.lists[number]
	return c.err
}

func (d *Decoder) inventory(c *cursor) error {
	number, n := c.u8(), int(c.u32())
	if int(number) >= maxLists {
		return fmt.Errorf("list number %d out of range", number)
	}
	if n > len(c.b)/entrySize {
		return fmt.Errorf("%d entries stated in %d bytes", n, len(c.b))
	}
	list := make([]balance.Entry, n)
	for i := range list {
		e := &list[i]
		c.u8()
		e.Started = c.time()
		switch life := c.u8(); life {
		case 3:
			e.Life = balance.LifeReady
		case 0:
			e.Life = balance.LifeDraining
		case 1:
			e.Life = balance.LifeGone
		default:
			return fmt.Errorf("entry %d: lifecycle %d is none", i, life)
		}
		e.Group = int(c.u16())
		e.Primary = c.f32() == 1
		e.Server = c.server()
		c.f32()
		e.Zone = int(c.u8())
	}
	d.lists[number] = list
	return c.err
}

// cursor takes fields off the front of a record and remembers the first thing wrong.
type cursor struct {
	b   []byte
	err error
}

var errShort = errors.New("fields are cut short")

func (c *cursor) bytes(n int) []byte {
	if n < 0 || n > len(c.b) {
		if c.err == nil {
			c.err = errShort
		}
		c.b = nil
		return nil
	}
	b := c.b[:n]
	c.b = c.b[n:]
	return b
}

func (c *cursor) u8() uint8 {
	if b := c.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) time() time.Duration {
	ms := c.f64()
	t, ok := Millis(ms)
	if !ok && c.err == nil {
		c.err = fmt.Errorf("%v is not a time", ms)
	}
	return t
}

func (c *cursor) server() balance.ServerID {
	var wide [8]byte
	copy(wide[:], c.bytes(6))
	return balance.ServerID(binary.LittleEndian.Uint64(wide[:]))
}

func (c *cursor) outcome() balance.Outcome {
	rc := c.u8()
	if rc > uint8(balance.OutcomeMiss) && c.err == nil {
		c.err = fmt.Errorf("completion code %d is none", rc)
	}
	return balance.Outcome(rc)
}

func (c *cursor) report(fields []string) balance.Report {
	var rep balance.Report
	n := int(c.u8())
	rep.Valid = n > 0
	for i := range n {
		v := c.f32()
		if i >= len(fields) {
			continue
		}
		switch fields[i] {
		case "x0":
			rep.HasPosition, rep.Position = true, floorSeconds(v)
		case "x1":
			rep.HasRole, rep.Primary = true, v == 1
		}
	}
	return rep
}

// Millis turns milliseconds into a time in whole microseconds, as the simulator counts; false if they are none.
func Millis(ms float64) (time.Duration, bool) {
	if math.IsNaN(ms) || math.Abs(ms) > 9e12 {
		return 0, false
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, true
}

// floorSeconds and floorMillis undo the nearest-value rounding of a 32-bit float downwards: the true
// value is never below what they return.
func floorSeconds(s float32) time.Duration { return floorFloat(s, float64(time.Second)) }
func floorMillis(ms float32) time.Duration { return floorFloat(ms, float64(time.Millisecond)) }

func floorFloat(v float32, unit float64) time.Duration {
	f := float64(math.Nextafter32(v, float32(math.Inf(-1))))
	if v <= 0 || math.IsNaN(f) || f > 9e9 {
		return 0
	}
	return time.Duration(f * unit)
}

// Encoder builds a reply.
type Encoder struct{ buf []byte }

// Begin starts a new reply.
func (e *Encoder) Begin() { e.buf = append(e.buf[:0], 0, 0, 0, 0) }

// Finish returns the reply, valid until Begin.
func (e *Encoder) Finish() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4))
	return e.buf
}

// As names the instance of the actions that follow.
func (e *Encoder) As(instance uint32) {
	e.head(codeAs, 4)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, instance)
}

// Fault reports that the decision code failed.
func (e *Encoder) Fault(text string) { e.text(codeFault, text) }

// Action writes one action.
func (e *Encoder) Action(a *balance.Action) {
	switch a.Kind {
	case balance.ActionTry:
		e.head(codeSend, 22)
		e.u64(uint64(a.Request))
		e.server(a.Server)
		e.ms(a.After)
	case balance.ActionWithdraw:
		e.head(codeCancel, 9)
		e.u64(uint64(a.Request))
		e.buf = append(e.buf, byte(a.Attempt))
	case balance.ActionReject:
		e.head(codeRefuse, 16)
		e.u64(uint64(a.Request))
		e.ms(a.After)
	case balance.ActionFail:
		e.head(codeFail, 8)
		e.u64(uint64(a.Request))
	case balance.ActionPoll:
		e.head(codeProbe, 6)
		e.server(a.Server)
	case balance.ActionDisconnect:
		e.head(codeClose, 6)
		e.server(a.Server)
	case balance.ActionTimer:
		e.head(codeArm, 16)
		e.u64(a.Token)
		e.ms(a.After)
	case balance.ActionSubscribe:
		e.head(codeWatch, 1)
		e.buf = append(e.buf, 1)
	case balance.ActionLog:
		e.text(codeLog, a.Text)
	}
}

func (e *Encoder) head(code uint16, size uint32) {
	e.buf = binary.LittleEndian.AppendUint16(e.buf, code)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, size)
}

func (e *Encoder) u64(v uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }

func (e *Encoder) ms(t time.Duration) {
	e.u64(math.Float64bits(float64(t.Microseconds()) / 1000))
}

func (e *Encoder) server(id balance.ServerID) {
	var wide [8]byte
	binary.LittleEndian.PutUint64(wide[:], uint64(id))
	e.buf = append(e.buf, wide[:6]...)
}

func (e *Encoder) text(code uint16, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	e.head(code, uint32(2+len(text)))
	e.buf = binary.LittleEndian.AppendUint16(e.buf, uint16(len(text)))
	e.buf = append(e.buf, text...)
}
