package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of frame.
const (
	fieldOpen   = 1
	fieldResult = 2
	fieldData   = 3
	fieldEnd    = 4
	fieldStops  = 5
)

// result is what became of a connection that a carrier was asked to open.
type result uint64

const (
	// opened: the carrier has a connection to the server.
	opened result = 1
	// refused: the server accepts no connections from the carrier either.
	refused result = 2
	// declined: the carrier can't reach the server, does not know it, or takes no more connections.
	declined result = 3
)

// end is how the server ended its side of the connection.
type end uint64

const (
	notEnded end = 0
	// closed: in order.
	closed end = 1
	// reset: by a reset or another error.
	reset end = 2
)

// frame is a message of a tunnel. One of its fields is set.
type frame struct {
	// open is the address of the server, in the first frame to a carrier.
	open   string
	result result
	data   []byte
	end    end
	// stops is set by a carrier that stops: the connection lasts for the exchange in progress.
	stops bool
}

const (
	// dataBytes is the most data in a frame.
	dataBytes = 8 << 10
	// maxFrameBytes bounds a frame, with the tag and the length of its field.
	maxFrameBytes = dataBytes + 16
)

var errFrame = errors.New("tunnel: malformed frame")

// append encodes the frame with its length before it.
func (f *frame) append(b []byte) []byte {
	body := make([]byte, 0, len(f.open)+len(f.data)+2*binary.MaxVarintLen64)
	if f.open != "" {
		body = protowire.AppendTag(body, fieldOpen, protowire.BytesType)
		body = protowire.AppendString(body, f.open)
	}
	if f.result != 0 {
		body = protowire.AppendTag(body, fieldResult, protowire.VarintType)
		body = protowire.AppendVarint(body, uint64(f.result))
	}
	if len(f.data) > 0 {
		body = protowire.AppendTag(body, fieldData, protowire.BytesType)
		body = protowire.AppendBytes(body, f.data)
	}
	if f.end != notEnded {
		body = protowire.AppendTag(body, fieldEnd, protowire.VarintType)
		body = protowire.AppendVarint(body, uint64(f.end))
	}
	if f.stops {
		body = protowire.AppendTag(body, fieldStops, protowire.VarintType)
		body = protowire.AppendVarint(body, 1)
	}
	return append(protowire.AppendVarint(b, uint64(len(body))), body...)
}

// readFrame reads a frame into buffer, of maxFrameBytes. The data of the frame is valid until the
// next call. Unknown fields are ignored.
func readFrame(r *bufio.Reader, buffer []byte) (frame, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if n > uint64(len(buffer)) {
		return frame{}, errFrame
	}
	if _, err := io.ReadFull(r, buffer[:n]); err != nil {
		return frame{}, err
	}
	return decodeFrame(buffer[:n])
}

func decodeFrame(b []byte) (frame, error) {
	var f frame
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return frame{}, errFrame
		}
		b = b[n:]
		size := protowire.ConsumeFieldValue(field, kind, b)
		if size < 0 {
			return frame{}, errFrame
		}
		f.set(field, kind, b[:size])
		b = b[size:]
	}
	return f, nil
}

// set sets a field from its encoded value, unless its type is another one.
func (f *frame) set(field protowire.Number, kind protowire.Type, value []byte) {
	switch kind {
	case protowire.BytesType:
		data, _ := protowire.ConsumeBytes(value)
		switch field {
		case fieldOpen:
			f.open = string(data)
		case fieldData:
			f.data = data
		}
	case protowire.VarintType:
		v, _ := protowire.ConsumeVarint(value)
		switch field {
		case fieldResult:
			f.result = result(v)
		case fieldEnd:
			f.end = end(v)
		case fieldStops:
			f.stops = v != 0
		}
	}
}
