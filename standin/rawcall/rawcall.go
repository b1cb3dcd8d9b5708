// Package rawcall writes the frames of gRPC calls to a connection one by one, for clients that do not keep to the
// protocol: its caller decides how much of a request is sent, and when. It does not read.
package rawcall

import (
	"bytes"
	"encoding/binary"
	"io"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// PrefixBytes is the length of what precedes a request's message in the data of a call.
const PrefixBytes = 5

// Open writes the start of an HTTP/2 connection, and returns the framer for its further frames. It fails if the
// connection does.
func Open(nc io.ReadWriter) (*http2.Framer, error) {
	if _, err := io.WriteString(nc, http2.ClientPreface); err != nil {
		return nil, err
	}
	framer := http2.NewFramer(nc, nc)
	return framer, framer.WriteSettings()
}

// Begin writes the headers of a call to a method, such as "/package.Service/Method", on a stream, and the prefix that
// announces a message of the given length in bytes. It fails if the connection does.
func Begin(framer *http2.Framer, stream uint32, method string, length int) error {
	var block bytes.Buffer
	headers := hpack.NewEncoder(&block)
	for _, field := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: method},
		{Name: ":authority", Value: "driver"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}} {
		if err := headers.WriteField(field); err != nil {
			return err
		}
	}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
		return err
	}
	notCompressed := make([]byte, 1, PrefixBytes)
	return framer.WriteData(stream, false, binary.BigEndian.AppendUint32(notCompressed, uint32(length)))
}
