// Package simwire decodes the simulator's binary frames into events of package balance, and encodes its actions
// into frames. It also parses the start settings. It makes no decisions of its own.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"umberladder/balance"
)

// Record codes of a batch from the simulator.
const (
	codeOutcome    = 1000
	codeStop       = 1010
	codePeer       = 1020
	codeInstance   = 1030
	codePollResult = 1040
	codeTimer      = 1050
	codeList       = 1060
	codeStart      = 1070
	codeRequest    = 1080
	codeListEvent  = 1090
	codeAborted    = 1100
	codeOpened     = 1110
)

// Record codes of a reply to the simulator.
const (
	codeTry        = 1000
	codeReject     = 1010
	codeFail       = 1020
	codeWithdraw   = 1030
	codeSetTimer   = 1040
	codePoll       = 1050
	codeLog        = 1080
	codeFault      = 1090
	codeDisconnect = 1060
	codeSubscribe  = 1100
	codeSelect     = 1120
)

const (
	frameHeader  = 16      // bytes
	recordHeader = 6       // bytes
	entrySize    = 27      // bytes of a list entry
	maxLists     = 16      // list numbers are below it
	maxFrame     = 1 << 30 // bytes of a frame's body
)

// Start is the seed and configuration with which an instance starts.
type Start struct {
	Seed   uint64
	Config balance.Config
}

// Input is one record for one instance: a start if Start is set, a stop if Stop is, else an event.
type Input struct {
	Instance uint32
	Start    *Start
	Stop     bool
	Event    balance.Event
}

// Decoder reads batches. It keeps each instance's report layout and the numbered lists from one batch to the next.
type Decoder struct {
	r      io.Reader
	buf    []byte
	lists  [maxLists][]balance.Entry
	fields map[uint32][]string // names of a report's values, by instance
	inputs []Input
	record int // number of the current record in its batch
}

// NewDecoder returns a Decoder that reads from r. It reads in small pieces, so r should be buffered.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, fields: map[uint32][]string{}}
}

// Next returns the clock and the inputs of the next batch, valid until the next call. It blocks until a batch is
// complete. The error is io.EOF at the end of input between batches; after any other error,
// which names the faulty record, the Decoder must not be used.
func (d *Decoder) Next() (time.Duration, []Input, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("frame header truncated: %v", err)
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
	if err := d.readBody(size); err != nil {
		return 0, nil, fmt.Errorf("frame of %d bytes truncated: %v", size, err)
	}
	err := d.records(count)
	return now, d.inputs, err
}

// readBody reads a body piece by piece, so that a wrong size allocates no memory for data that never arrives.
func (d *Decoder) readBody(size int) error {
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
	at, instance, selected := 0, uint32(0), false
	for d.record = 0; d.record < count; d.record++ {
		if len(d.buf)-at < recordHeader {
			return fmt.Errorf("record %d at offset %d: header truncated", d.record, at+frameHeader)
		}
		code := binary.LittleEndian.Uint16(d.buf[at:])
		size := int(binary.LittleEndian.Uint32(d.buf[at+2:]))
		if size > len(d.buf)-at-recordHeader {
			return fmt.Errorf("record %d (code %d) at offset %d: %d bytes stated, %d left",
				d.record, code, at+frameHeader, size, len(d.buf)-at-recordHeader)
		}
		c := &cursor{b: d.buf[at+recordHeader : at+recordHeader+size]}
		err := d.decode(code, c, &instance, &selected)
		if err == nil {
			err = c.err
		}
		if err == nil && knownCode(code) && len(c.b) > 0 {
			err = fmt.Errorf("%d bytes after the last field", len(c.b))
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

func knownCode(code uint16) bool {
	return code >= codeOutcome && code <= codeOpened && code%10 == 0 && code != codePeer
}

func (d *Decoder) decode(code uint16, c *cursor, instance *uint32, selected *bool) error {
	if !knownCode(code) {
		return nil
	}
	switch code {
	case codeInstance:
		*instance, *selected = c.u32(), true
		return nil
	case codeList:
		return d.inventory(c)
	}
	if !*selected {
		return errors.New("no instance selected before it")
	}
	in := Input{Instance: *instance}
	var err error
	switch code {
	case codeStart:
		in.Start, err = d.start(*instance, c)
	case codeStop:
		in.Stop = true
	default:
		err = d.event(code, c, &in)
	}
	d.inputs = append(d.inputs, in)
	return err
}

func (d *Decoder) start(instance uint32, c *cursor) (*Start, error) {
	seed := c.u64()
	text := c.bytes(int(c.u32()))
	if c.err != nil {
		return nil, c.err
	}
	cfg, fields, err := ParseSettings(string(text))
	d.fields[instance] = fields
	return &Start{Seed: seed, Config: cfg}, err
}

func (d *Decoder) event(code uint16, c *cursor, in *Input) error {
	e := &in.Event
	switch code {
	case codeListEvent:
		return d.endpoints(c, e)
	case codeRequest:
		d.request(c, e)
	case codeOutcome:
		d.outcome(c, in)
	case codePollResult:
		e.Kind = balance.EventPoll
		e.Server, e.Age = c.server(), c.time()
		e.Outcome = c.outcome()
		e.Report = c.report(d.fields[in.Instance])
	case codeTimer:
		e.Kind, e.Token = balance.EventTimer, c.u64()
	case codeAborted:
		e.Kind, e.Request = balance.EventAborted, balance.RequestID(c.u64())
	case codeOpened:
		e.Kind, e.Request = balance.EventStreaming, balance.RequestID(c.u64())
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
	packed := c.u32() // the role in the lower 2 bits, the position in ms above
	switch packed & 3 {
	case 1:
		e.Role = balance.RolePrimary
	case 2:
		e.Role = balance.RoleReplica
	}
	e.Position = time.Duration(packed>>2) * time.Millisecond
	e.Report = c.report(d.fields[in.Instance])
}

func (d *Decoder) endpoints(c *cursor, e *balance.Event) error {
	e.Kind = balance.EventList
	c.u64()
	kind, number := c.u8(), c.u8()
	if kind > 3 {
		return fmt.Errorf("unknown list kind %d, want 0 to 3", kind)
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
		return fmt.Errorf("%d list entries stated in %d bytes", n, len(c.b))
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
			e.Life = balance.LifeRemoved
		default:
			return fmt.Errorf("entry %d: unknown lifecycle %d, want 0, 1 or 3", i, life)
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

// cursor reads the fields of a record in order and keeps the first error. After an error fields read as zero.
type cursor struct {
	b   []byte
	err error
}

var errTruncated = errors.New("fields truncated")

func (c *cursor) bytes(n int) []byte {
	if n < 0 || n > len(c.b) {
		if c.err == nil {
			c.err = errTruncated
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
		c.err = fmt.Errorf("unknown completion code %d", rc)
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

// Millis converts milliseconds to a duration, rounded to microseconds, the resolution of the simulator. It returns
// false for NaN and for magnitudes above 9e12.
func Millis(ms float64) (time.Duration, bool) {
	if math.IsNaN(ms) || math.Abs(ms) > 9e12 {
		return 0, false
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, true
}

// floorSeconds and floorMillis convert a 32-bit float that was rounded to nearest, and round down: the result is never
// above the original value. Negative values, NaN and values above 9e9 give 0.
func floorSeconds(s float32) time.Duration { return floorFloat(s, float64(time.Second)) }
func floorMillis(ms float32) time.Duration { return floorFloat(ms, float64(time.Millisecond)) }

func floorFloat(v float32, unit float64) time.Duration {
	f := float64(math.Nextafter32(v, float32(math.Inf(-1))))
	if v <= 0 || math.IsNaN(f) || f > 9e9 {
		return 0
	}
	return time.Duration(f * unit)
}

// Encoder builds a reply to one batch. The zero value is ready for Begin.
type Encoder struct{ buf []byte }

// Begin starts a new, empty reply and invalidates the last one.
func (e *Encoder) Begin() { e.buf = append(e.buf[:0], 0, 0, 0, 0) }

// Finish completes the reply and returns it. It is valid until the next Begin.
func (e *Encoder) Finish() []byte {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4))
	return e.buf
}

// SelectInstance selects the instance of the actions and faults that follow.
func (e *Encoder) SelectInstance(instance uint32) {
	e.head(codeSelect, 4)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, instance)
}

// Fault writes that the selected instance's router panicked, with text cut at 65535 bytes.
func (e *Encoder) Fault(text string) { e.text(codeFault, text) }

// Action writes one action of the selected instance. A log text is cut at 65535 bytes.
func (e *Encoder) Action(a *balance.Action) {
	switch a.Kind {
	case balance.ActionSend:
		e.head(codeTry, 22)
		e.u64(uint64(a.Request))
		e.server(a.Server)
		e.ms(a.After)
	case balance.ActionWithdraw:
		e.head(codeWithdraw, 9)
		e.u64(uint64(a.Request))
		e.buf = append(e.buf, byte(a.Attempt))
	case balance.ActionReject:
		e.head(codeReject, 16)
		e.u64(uint64(a.Request))
		e.ms(a.After)
	case balance.ActionFail:
		e.head(codeFail, 8)
		e.u64(uint64(a.Request))
	case balance.ActionPoll:
		e.head(codePoll, 6)
		e.server(a.Server)
	case balance.ActionDisconnect:
		e.head(codeDisconnect, 6)
		e.server(a.Server)
	case balance.ActionTimer:
		e.head(codeSetTimer, 16)
		e.u64(a.Token)
		e.ms(a.After)
	case balance.ActionSubscribe:
		e.head(codeSubscribe, 1)
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
