package pgwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// encode returns the encoding of a pgproto3 message.
func encode(t interface{ Fatal(...any) }, m interface {
	Encode([]byte) ([]byte, error)
}) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func drawText(t *rapid.T, name string) string {
	return rapid.StringMatching(`[ -~äþ]{0,20}`).Draw(t, name)
}

func drawValues(t *rapid.T) [][]byte {
	values := [][]byte{}
	for range rapid.IntRange(0, 5).Draw(t, "values") {
		if rapid.Bool().Draw(t, "null") {
			values = append(values, nil)
		} else {
			values = append(values, rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "value"))
		}
	}
	return values
}

// TestFrontendMatchesPgproto3: each message of a frontend is encoded byte for byte as by pgproto3, and Bind and Parse
// messages are decoded to the same values.
func TestFrontendMatchesPgproto3(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name, sql, values := drawText(t, "name"), drawText(t, "sql"), drawValues(t)
		types := rapid.SliceOfN(rapid.Uint32(), 0, 4).Draw(t, "types")
		rows := rapid.Uint32().Draw(t, "rows")
		kind := rapid.SampledFrom([]byte("SP")).Draw(t, "kind")
		data := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "data")
		for _, c := range []struct {
			ours   []byte
			theirs interface {
				Encode([]byte) ([]byte, error)
			}
		}{
			{AppendParse(nil, name, sql, types), &pgproto3.Parse{Name: name, Query: sql, ParameterOIDs: types}},
			{AppendBind(nil, name, sql, values), &pgproto3.Bind{DestinationPortal: name, PreparedStatement: sql, Parameters: values}},
			{AppendDescribe(nil, kind, name), &pgproto3.Describe{ObjectType: kind, Name: name}},
			{AppendClose(nil, kind, name), &pgproto3.Close{ObjectType: kind, Name: name}},
			{AppendExecute(nil, name, rows), &pgproto3.Execute{Portal: name, MaxRows: rows}},
			{AppendSync(nil), &pgproto3.Sync{}},
			{AppendFlush(nil), &pgproto3.Flush{}},
			{AppendTerminate(nil), &pgproto3.Terminate{}},
			{AppendQuery(nil, sql), &pgproto3.Query{String: sql}},
			{AppendPassword(nil, sql), &pgproto3.PasswordMessage{Password: sql}},
			{AppendCopyFail(nil, sql), &pgproto3.CopyFail{Message: sql}},
			{AppendCancel(nil, rows, 7), &pgproto3.CancelRequest{ProcessID: rows, SecretKey: []byte{0, 0, 0, 7}}},
			{AppendSSLRequest(nil), &pgproto3.SSLRequest{}},
			{AppendStartup(nil, map[string]string{"user": "u" + name}), &pgproto3.StartupMessage{ProtocolVersion: ProtocolVersion,
				Parameters: map[string]string{"user": "u" + name}}},
			{AppendSASLInitial(nil, MechanismSCRAM, data), &pgproto3.SASLInitialResponse{AuthMechanism: MechanismSCRAM, Data: data}},
			{AppendSASLResponse(nil, data), &pgproto3.SASLResponse{Data: data}},
		} {
			if theirs := encode(t, c.theirs); !bytes.Equal(c.ours, theirs) {
				t.Fatalf("%T:\nours   %q\ntheirs %q", c.theirs, c.ours, theirs)
			}
		}
		bind, err := ParseBind(AppendBind(nil, name, sql, values)[5:])
		if err != nil || bind.Portal != name || bind.Statement != sql || len(bind.Values) != len(values) {
			t.Fatalf("bind %+v, %v", bind, err)
		}
		for i := range values {
			if !bytes.Equal(bind.Values[i], values[i]) || (bind.Values[i] == nil) != (values[i] == nil) {
				t.Fatalf("value %d: %q decoded as %q", i, values[i], bind.Values[i])
			}
		}
		parse, err := ParseParse(AppendParse(nil, name, sql, types)[5:])
		if err != nil || parse.Name != name || parse.SQL != sql || len(parse.Types) != len(types) {
			t.Fatalf("parse %+v, %v", parse, err)
		}
	})
}

// TestBackendMatchesPgproto3: each message of a backend is encoded byte for byte as by pgproto3, and errors and row
// descriptions are decoded to the same values.
func TestBackendMatchesPgproto3(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name, text, values := drawText(t, "name"), drawText(t, "text"), drawValues(t)
		n := rapid.Uint32().Draw(t, "number")
		fault := &Error{Severity: "ERROR", Code: "25006", Message: "m" + text, Detail: name}
		column := Column{Name: name, Table: n, Attr: 3, Type: 25, Size: -1, Mod: -1}
		for _, c := range []struct {
			ours   []byte
			theirs interface {
				Encode([]byte) ([]byte, error)
			}
		}{
			{AppendAuthOK(nil), &pgproto3.AuthenticationOk{}},
			{AppendAuthCleartext(nil), &pgproto3.AuthenticationCleartextPassword{}},
			{AppendAuthSASL(nil, "A", "B"), &pgproto3.AuthenticationSASL{AuthMechanisms: []string{"A", "B"}}},
			{AppendAuthSASLContinue(nil, []byte(text)), &pgproto3.AuthenticationSASLContinue{Data: []byte(text)}},
			{AppendAuthSASLFinal(nil, []byte(text)), &pgproto3.AuthenticationSASLFinal{Data: []byte(text)}},
			{AppendParameterStatus(nil, name, text), &pgproto3.ParameterStatus{Name: name, Value: text}},
			{AppendBackendKeyData(nil, n, 9), &pgproto3.BackendKeyData{ProcessID: n, SecretKey: []byte{0, 0, 0, 9}}},
			{AppendReadyForQuery(nil, TxOpen), &pgproto3.ReadyForQuery{TxStatus: TxOpen}},
			{AppendRowDescription(nil, []Column{column}), &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
				Name: []byte(name), TableOID: n, TableAttributeNumber: 3, DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}},
			{AppendDataRow(nil, values), &pgproto3.DataRow{Values: values}},
			{AppendCommandComplete(nil, text), &pgproto3.CommandComplete{CommandTag: []byte(text)}},
			{AppendParameterDescription(nil, []uint32{n}), &pgproto3.ParameterDescription{ParameterOIDs: []uint32{n}}},
			{AppendEmpty(nil, MsgParseComplete), &pgproto3.ParseComplete{}},
			{AppendEmpty(nil, MsgNoData), &pgproto3.NoData{}},
		} {
			if theirs := encode(t, c.theirs); !bytes.Equal(c.ours, theirs) {
				t.Fatalf("%T:\nours   %q\ntheirs %q", c.theirs, c.ours, theirs)
			}
		}
		back, err := ParseError(MsgErrorResponse, AppendErrorResponse(nil, fault)[5:])
		if err != nil || !reflect.DeepEqual(back, fault) {
			t.Fatalf("%+v decoded as %+v, %v", fault, back, err)
		}
		columns, err := ParseRowDescription(AppendRowDescription(nil, []Column{column})[5:])
		if err != nil || len(columns) != 1 || columns[0] != column {
			t.Fatalf("%+v decoded as %+v, %v", column, columns, err)
		}
	})
}

// theirs decodes one backend message with pgproto3. ok is false if pgproto3 refuses it.
func theirs(raw []byte) (m pgproto3.BackendMessage, ok bool) {
	m, err := pgproto3.NewFrontend(bytes.NewReader(raw), io.Discard).Receive()
	return m, err == nil
}

// FuzzBackendAgainstPgproto3 gives both parsers the same bytes. Messages that both accept must have the same content.
// There is no known message that this package accepts and pgproto3 refuses; such a DataRow or RowDescription fails.
func FuzzBackendAgainstPgproto3(f *testing.F) {
	f.Add(AppendDataRow(nil, [][]byte{[]byte("a"), nil}))
	f.Add(AppendRowDescription(nil, []Column{{Name: "x", Type: 25}}))
	f.Add(AppendErrorResponse(nil, &Error{Severity: "ERROR", Code: "25006", Message: "m"}))
	f.Add(AppendParameterStatus(nil, "in_hot_standby", "on"))
	f.Add(AppendReadyForQuery(nil, TxIdle))
	f.Add(AppendAuthSASL(nil, MechanismSCRAM))
	f.Fuzz(func(t *testing.T, raw []byte) {
		typ, body, err := NewReader(bytes.NewReader(raw), 1<<16).Next()
		if err != nil {
			return
		}
		other, ok := theirs(raw)
		switch typ {
		case MsgDataRow:
			values, err := ParseDataRow(body, nil)
			if m, is := other.(*pgproto3.DataRow); err == nil && ok && is {
				if len(values) != len(m.Values) {
					t.Fatalf("%d values, pgproto3 has %d", len(values), len(m.Values))
				}
				for i := range values {
					if !bytes.Equal(values[i], m.Values[i]) {
						t.Fatalf("value %d: %q, pgproto3 has %q", i, values[i], m.Values[i])
					}
				}
			} else if err == nil {
				t.Fatalf("accepted, pgproto3 refuses %q", raw)
			}
		case MsgRowDescription:
			columns, err := ParseRowDescription(body)
			if m, is := other.(*pgproto3.RowDescription); err == nil && ok && is {
				for i := range columns {
					if columns[i].Name != string(m.Fields[i].Name) || columns[i].Type != m.Fields[i].DataTypeOID {
						t.Fatalf("column %d: %+v, pgproto3 has %+v", i, columns[i], m.Fields[i])
					}
				}
			} else if err == nil {
				t.Fatalf("accepted, pgproto3 refuses %q", raw)
			}
		case MsgErrorResponse:
			e, err := ParseError(typ, body)
			if m, is := other.(*pgproto3.ErrorResponse); err == nil && ok && is {
				if e.Code != m.Code || e.Message != m.Message {
					t.Fatalf("%+v, pgproto3 has %+v", e, m)
				}
			}
		case MsgParameterStatus:
			name, value, err := ParseParameterStatus(body)
			if m, is := other.(*pgproto3.ParameterStatus); err == nil && ok && is && (m.Name != name || m.Value != value) {
				t.Fatalf("%q %q, pgproto3 has %+v", name, value, m)
			}
		case MsgReadyForQuery:
			ParseReadyForQuery(body)
		case MsgAuthentication:
			ParseAuth(body)
		}
	})
}

// FuzzFrontendParsers: no body makes a parser panic or allocate memory for items that were not sent.
func FuzzFrontendParsers(f *testing.F) {
	f.Add(AppendBind(nil, "", "s", [][]byte{[]byte("1"), nil})[5:])
	f.Add(AppendParse(nil, "s", "select 1", []uint32{25})[5:])
	f.Add(AppendStartup(nil, map[string]string{"user": "u"})[4:])
	f.Fuzz(func(t *testing.T, body []byte) {
		ParseBind(body)
		ParseParse(body)
		ParseExecute(body)
		ParseTarget(MsgDescribe, body)
		ParseString(MsgQuery, body)
		ParseSASLInitial(body)
		if s, err := ParseStartup(body); err == nil && s.Params == nil && s.Cancel == nil && !s.TLS {
			t.Fatal("a startup packet without parameters, cancel request or TLS request was accepted")
		}
	})
}

// TestPartialReads reads a stream of messages one byte at a time, in halves and truncated at each byte. The messages must
// be the same, and a truncation must end in io.EOF or io.ErrUnexpectedEOF.
func TestPartialReads(t *testing.T) {
	var wire []byte
	wire = AppendAuthOK(wire)
	wire = AppendParameterStatus(wire, "in_hot_standby", "off")
	wire = AppendDataRow(wire, [][]byte{bytes.Repeat([]byte("x"), 9000), nil})
	wire = AppendReadyForQuery(wire, TxIdle)
	read := func(src io.Reader) (got []string) {
		r := NewReader(src, 0)
		for {
			typ, body, err := r.Next()
			if err == io.EOF {
				return got
			}
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, string(typ)+string(body))
		}
	}
	want := read(bytes.NewReader(wire))
	if len(want) != 4 {
		t.Fatalf("%d messages", len(want))
	}
	for name, src := range map[string]io.Reader{"bytes": iotest.OneByteReader(bytes.NewReader(wire)),
		"halves": iotest.HalfReader(bytes.NewReader(wire)), "data with EOF": iotest.DataErrReader(bytes.NewReader(wire))} {
		if got := read(src); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: the messages differ from those of a single read", name)
		}
	}
	for length := 1; length < len(wire); length++ {
		r := NewReader(bytes.NewReader(wire[:length]), 0)
		var err error
		for err == nil {
			_, _, err = r.Next()
		}
		if err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("truncated after %d bytes: %v", length, err)
		}
	}
}

// TestLengths: invalid lengths are refused, and a length alone allocates no memory.
func TestLengths(t *testing.T) {
	var e *ProtocolError
	if _, _, err := NewReader(bytes.NewReader([]byte{'D', 0x7f, 0xff, 0xff, 0xff}), 0).Next(); !errors.As(err, &e) {
		t.Errorf("a length of 2 GB: %v", err)
	}
	if _, _, err := NewReader(bytes.NewReader([]byte{'D', 0, 0, 0, 3}), 0).Next(); !errors.As(err, &e) {
		t.Errorf("a length below 4 bytes: %v", err)
	}
	sent := append([]byte{'D', 0, 0xff, 0, 0}, make([]byte, 100)...)
	r := NewReader(bytes.NewReader(sent), 0)
	if _, _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) || len(r.buf) > 1<<14 {
		t.Errorf("a length of 16 MB with 100 bytes sent: %v, %d bytes allocated", err, len(r.buf))
	}
}

func TestSCRAM(t *testing.T) {
	for _, c := range []struct {
		password, stored string
		ok               bool
	}{{"leyndarmál", "leyndarmál", true}, {"rangt", "leyndarmál", false}} {
		v, err := NewVerifier(c.stored)
		if err != nil {
			t.Fatal(err)
		}
		a := NewAuthenticator("u", c.password)
		out, _, err := a.Answer(nil, Auth{Code: AuthSASL, Mechanisms: []string{MechanismSCRAM}})
		if err != nil {
			t.Fatal(err)
		}
		first, err := ParseSASLInitial(out[5:])
		if err != nil {
			t.Fatal(err)
		}
		challenge, _, err := v.Step(first.Data)
		if err != nil {
			t.Fatal(err)
		}
		out, _, err = a.Answer(nil, Auth{Code: AuthSASLContinue, Data: challenge})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := a.Answer(nil, Auth{Code: AuthOK}); err == nil {
			t.Error("AuthOK without the database node's proof was accepted")
		}
		proof, _, err := v.Step(out[5:])
		if (err == nil) != c.ok {
			t.Errorf("password %q for %q: %v", c.password, c.stored, err)
		}
		if c.ok {
			a.Answer(nil, Auth{Code: AuthSASLFinal, Data: proof})
			if _, done, err := a.Answer(nil, Auth{Code: AuthOK}); !done || err != nil {
				t.Errorf("AuthOK after the proof: %v, %v", done, err)
			}
		}
	}
}

func BenchmarkDataRow(b *testing.B) {
	wire := bytes.Repeat(AppendDataRow(nil, [][]byte{[]byte("12345"), []byte("some text of a row"), nil}), 1000)
	b.SetBytes(int64(len(wire)))
	b.ReportAllocs()
	var values [][]byte
	for range b.N {
		r := NewReader(bytes.NewReader(wire), 0)
		for range 1000 {
			_, body, _ := r.Next()
			values, _ = ParseDataRow(body, values)
		}
	}
}
