package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"umberladder/balance"
)

// frame wraps records in a frame with a clock of 1,000 ms; count is its record count.
func frame(count int, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, uint32(count))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(1000))
	return append(out, body...)
}

func record(code uint16, fields ...byte) []byte {
	out := binary.LittleEndian.AppendUint16(nil, code)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(fields)))
	return append(out, fields...)
}

func selectInstance(instance byte) []byte { return record(codeInstance, instance, 0, 0, 0) }

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func decode(t testing.TB, b []byte) ([]Input, error) {
	t.Helper()
	_, in, err := NewDecoder(bytes.NewReader(b)).Next()
	return in, err
}

func TestDecodesRequest(t *testing.T) {
	req := unhex(t, "3804 2e000000 c4913a5d521f0000 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840"+
		"00003041 0040ce43 01")
	in, err := decode(t, frame(2, selectInstance(3), req))
	if err != nil || len(in) != 1 {
		t.Fatalf("got %v, %v", in, err)
	}
	e := in[0].Event
	if in[0].Instance != 3 || e.Kind != balance.EventRequest || e.Request != 0x1f525d3a91c4 || e.Group != 11 ||
		e.Key != 0x91f03b7c55d20a64 || e.Deadline != 8652250*time.Microsecond {
		t.Errorf("got instance %d, %+v", in[0].Instance, e)
	}
	if e.SinceWrite > 412500*time.Microsecond || e.SinceWrite < 412490*time.Microsecond {
		t.Errorf("since write %v, want just under 412.5 ms", e.SinceWrite)
	}
}

func TestDecodesOutcome(t *testing.T) {
	ans := unhex(t, "e803 1e000000 c4913a5d521f0000 00 0a124a07 2b23 01 0000000000803240 01 8e630000 00")
	in, err := decode(t, frame(2, selectInstance(0), ans))
	if err != nil {
		t.Fatal(err)
	}
	e := in[0].Event
	if e.Outcome != balance.OutcomeOK || !e.Settled || e.Role != balance.RoleReplica ||
		e.Position != 6371*time.Millisecond || e.Age != 18500*time.Microsecond {
		t.Errorf("got %+v", e)
	}
}

func TestReusedListNumberIsResolvedInOrder(t *testing.T) {
	entry := func(id byte) []byte {
		b := make([]byte, entrySize)
		b[9], b[16] = 3, id
		return b
	}
	inventory := func(id byte) []byte { return record(codeList, append([]byte{5, 1, 0, 0, 0}, entry(id)...)...) }
	endpoints := record(codeListEvent, 0, 0, 0, 0, 0, 0, 0, 0, 1, 5)
	in, err := decode(t, frame(5, selectInstance(0), inventory(1), endpoints, inventory(2), endpoints))
	if err != nil || len(in) != 2 {
		t.Fatalf("got %v, %v", in, err)
	}
	if in[0].Event.Entries[0].Server != 1 || in[1].Event.Entries[0].Server != 2 {
		t.Errorf("lists mixed up: %+v", in)
	}
}

func TestUnknownRecordIsSkipped(t *testing.T) {
	in, err := decode(t, frame(3, record(4711, 1, 2, 3), selectInstance(1), record(codeTimer, 7, 0, 0, 0, 0, 0, 0, 0)))
	if err != nil || len(in) != 1 || in[0].Event.Token != 7 {
		t.Errorf("got %v, %v", in, err)
	}
}

func TestMalformedInputIsReported(t *testing.T) {
	timer := record(codeTimer, 1, 0, 0, 0, 0, 0, 0, 0)
	cases := map[string]struct {
		in   []byte
		want string
	}{
		"short header":   {[]byte{1, 2}, "header truncated"},
		"short frame":    {frame(1, selectInstance(1))[:20], "truncated"},
		"short fields":   {frame(2, selectInstance(1), record(codeTimer, 1)), "record 1 (code 1050) at offset 26"},
		"long fields":    {frame(2, selectInstance(1), record(codeStop, 1)), "1 bytes after the last field"},
		"false size":     {frame(1, []byte{0x1a, 4, 99, 0, 0, 0}), "99 bytes stated"},
		"no instance":    {frame(1, timer), "no instance"},
		"missing record": {frame(3, selectInstance(1), timer), "header truncated"},
		"extra bytes":    {frame(1, selectInstance(1), timer), "after the last"},
		"bad status": {frame(2, selectInstance(1), record(codePollResult, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9, 0)),
			"completion code 9"},
	}
	for name, c := range cases {
		if _, err := decode(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
	if _, err := decode(t, nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: got %v", err)
	}
}

const settingsText = `classes.count=2
classes.0.name=r
classes.0.effect=read_like
classes.0.target=400.0
classes.0.deadline=1000.0
classes.1.name=w
classes.1.effect=idempotency_key
classes.1.group=zone
classes.1.window=1200.5
classes.1.target=200.0
classes.1.deadline=2000.0
family-info.needs-by-class=recent,update
family-info.oldest-data=200.0,0.0
family-info.behind=hold
feedback.fields=x0,x1
some.new.key=whatever
bounds.probing=true`

func TestSettings(t *testing.T) {
	cfg, fields, err := ParseSettings(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	r, w := cfg.Classes[0], cfg.Classes[1]
	if r.Need != balance.NeedBounded || r.Bound != 200*time.Millisecond || w.Scope != balance.ScopeZone ||
		w.Window != 1200500*time.Microsecond || cfg.LagPolicy != balance.LagWait || !cfg.Probing || len(fields) != 2 {
		t.Errorf("got %+v, %v", cfg, fields)
	}
	for _, change := range [][2]string{{"read_like", "odd"}, {"1000.0", "soon"}, {"recent,update", "recent"},
		{"probing=true", "probing=maybe"}, {"some.new.key=", "some.new.key "}, {"count=2", "count=9e99"}} {
		if _, _, err := ParseSettings(strings.Replace(settingsText, change[0], change[1], 1)); err == nil {
			t.Errorf("%v: no error", change)
		}
	}
}

func TestPositionsAreNeverRoundedUp(t *testing.T) {
	if got := floorSeconds(13.45732307434082); got > 13457323074*time.Nanosecond {
		t.Errorf("position %v rounded up", got)
	}
}

func TestEncodesTry(t *testing.T) {
	var e Encoder
	e.Begin()
	e.SelectInstance(3)
	e.Action(&balance.Action{Kind: balance.ActionSend, Request: 0x1f525d3a91c4, Server: 0x232b074a120a, After: 80 * time.Millisecond})
	want := unhex(t, "26000000 6004 04000000 03000000 e803 16000000 c4913a5d521f0000 0a124a07 2b23 0000000000005440")
	if got := e.Finish(); !bytes.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(frame(0))
	f.Add(frame(2, selectInstance(3), record(codeTimer, 1, 0, 0, 0, 0, 0, 0, 0)))
	f.Add(frame(2, selectInstance(1), record(codePollResult, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 0, 0, 128, 63)))
	f.Add(frame(2, selectInstance(1), record(codeStart, append([]byte{0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0}, "a=b"...)...)))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := NewDecoder(bytes.NewReader(b))
		for {
			if _, _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

func TestEncodesDisconnect(t *testing.T) {
	var enc Encoder
	enc.Begin()
	enc.Action(&balance.Action{Kind: balance.ActionDisconnect, Server: 0x2354f211900a})
	want := []byte{12, 0, 0, 0, 0x24, 0x04, 6, 0, 0, 0, 0x0a, 0x90, 0x11, 0xf2, 0x54, 0x23}
	if got := enc.Finish(); !bytes.Equal(got, want) {
		t.Errorf("got % x, want % x", got, want)
	}
}
