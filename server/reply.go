package server

import (
	"bytes"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"

	"umberladder/pgwire"
	pb "umberladder/proto/umberladder/v1"
)

// reply collects an answer that is not streamed.
type reply struct {
	cols       []pgwire.Column
	rows       []*pb.Row
	commandTag string
	sqlError   *pgwire.Error // error of the statement itself
	size       int           // estimated bytes of all rows; see rowSize
	maxBytes   int           // maximum of size
	memory     *answerMemory
	reserved   int64 // bytes reserved in memory
	tooBig     bool
	noMemory   bool // memory for all answers is exhausted
}

func (r *reply) columns(c []pgwire.Column) { r.cols = c }
func (r *reply) tag(text string)           { r.commandTag = text }

func (r *reply) row(values [][]byte) {
	r.size += int(rowSize(values))
	r.tooBig = r.tooBig || r.size > r.maxBytes
	if r.noMemory = r.noMemory || !r.tooBig && !r.grow(); r.tooBig || r.noMemory {
		r.rows = nil
		r.releaseMemory()
		r.memory = nil
		return
	}
	r.rows = append(r.rows, rowOf(r.cols, values))
}

func rowOf(cols []pgwire.Column, values [][]byte) *pb.Row {
	row := &pb.Row{Values: make([]*pb.Value, len(values))}
	for i, v := range values {
		row.Values[i] = valueOf(cols[i].Type, v)
	}
	return row
}

// valueOf converts PostgreSQL's text format to a typed value. Types without a case here stay text.
func valueOf(oid uint32, v []byte) *pb.Value {
	if v == nil {
		return &pb.Value{}
	}
	switch oid {
	case pgwire.OIDBool:
		return &pb.Value{Kind: &pb.Value_BoolValue{BoolValue: len(v) == 1 && v[0] == 't'}}
	case pgwire.OIDInt2, pgwire.OIDInt4, pgwire.OIDInt8:
		if n, err := strconv.ParseInt(string(v), 10, 64); err == nil {
			return &pb.Value{Kind: &pb.Value_IntValue{IntValue: n}}
		}
	case pgwire.OIDFloat4, pgwire.OIDFloat8:
		if f, err := strconv.ParseFloat(string(v), 64); err == nil {
			return &pb.Value{Kind: &pb.Value_DoubleValue{DoubleValue: f}}
		}
	case pgwire.OIDBytea:
		if digits, ok := bytes.CutPrefix(v, []byte(`\x`)); ok {
			raw := make([]byte, hex.DecodedLen(len(digits)))
			if _, err := hex.Decode(raw, digits); err == nil {
				return &pb.Value{Kind: &pb.Value_BytesValue{BytesValue: raw}}
			}
		}
	}
	return &pb.Value{Kind: &pb.Value_TextValue{TextValue: string(v)}}
}

// parameter converts a typed value to its type OID and PostgreSQL's text format. Text has OID 0, so that the node
// infers the type. ok is false for text that the protocol can't carry.
func parameter(v *pb.Value) (oid uint32, text []byte, ok bool) {
	switch k := v.GetKind().(type) {
	case *pb.Value_BoolValue:
		return pgwire.OIDBool, strconv.AppendBool(nil, k.BoolValue), true
	case *pb.Value_IntValue:
		return pgwire.OIDInt8, strconv.AppendInt(nil, k.IntValue, 10), true
	case *pb.Value_DoubleValue:
		return pgwire.OIDFloat8, strconv.AppendFloat(nil, k.DoubleValue, 'g', -1, 64), true
	case *pb.Value_TextValue:
		return 0, []byte(k.TextValue), encodable(k.TextValue)
	case *pb.Value_BytesValue:
		return pgwire.OIDBytea, append([]byte(`\x`), hex.EncodeToString(k.BytesValue)...), true
	}
	return 0, nil, true
}

var typeNames = pgtype.NewMap()

func columnsOf(cols []pgwire.Column) []*pb.Column {
	out := make([]*pb.Column, len(cols))
	for i, c := range cols {
		out[i] = &pb.Column{Name: c.Name, TypeOid: c.Type}
		if t, ok := typeNames.TypeForOID(c.Type); ok {
			out[i].TypeName = t.Name
		}
	}
	return out
}
