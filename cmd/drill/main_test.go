package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

func record(code uint16, fields []byte) []byte {
	out := binary.LittleEndian.AppendUint16(nil, code)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(fields)))
	return append(out, fields...)
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(append(out, make([]byte, 8)...), body...)
}

func start(settings string) []byte {
	fields := binary.LittleEndian.AppendUint32(make([]byte, 8), uint32(len(settings)))
	return record(1070, append(fields, settings...))
}

const settings = "classes.count=1\nclasses.0.effect=read_like\nclasses.0.target=100\nclasses.0.deadline=500\n" +
	"family-info.needs-by-class=loose\ndiscovery=ask\nround=5"

func TestServeRestartsInOneBatchAndEndsCleanly(t *testing.T) {
	selectInstance, stop := record(1030, []byte{1, 0, 0, 0}), record(1010, nil)
	in := bytes.Join([][]byte{batch(), batch(selectInstance, start(settings)), batch(selectInstance, stop, start(settings)), batch(selectInstance, stop)}, nil)
	var a, b bytes.Buffer
	if err := serve(bytes.NewReader(in), &a); err != nil {
		t.Fatal(err)
	}
	if err := serve(bytes.NewReader(in), &b); err != nil || !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Errorf("the same events gave other bytes (%v)", err)
	}
	if !bytes.HasPrefix(a.Bytes(), make([]byte, 4)) || bytes.Count(a.Bytes(), []byte{0x4c, 4, 1, 0, 0, 0, 1}) != 2 {
		t.Errorf("want an empty reply and one subscription for each start, got %x", a.Bytes())
	}
}

func TestServeRefusesMalformedInput(t *testing.T) {
	err := serve(bytes.NewReader(batch(record(1030, []byte{1}))), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "record 0") {
		t.Errorf("got %v", err)
	}
	err = serve(bytes.NewReader(batch(record(1030, []byte{1, 0, 0, 0}), start("classes.count=0"))), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "no classes") {
		t.Errorf("unusable settings: got %v", err)
	}
}
