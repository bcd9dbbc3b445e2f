package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// MaxMessageBytes bounds an encoded message without its length prefix.
	MaxMessageBytes = 4 << 20
	// MaxFramePayloadBytes bounds the payload of one Frame.
	MaxFramePayloadBytes = 64 << 10

	lengthPrefixBytes = 4
	// readStepBytes bounds the memory reserved ahead of received bytes, so
	// that a false length prefix costs no memory.
	readStepBytes = 64 << 10
	// maxPooledBytes bounds the size of the buffers that are kept for reuse, so
	// that a few large requests do not pin memory.
	maxPooledBytes = 256 << 10
)

// Errors of the codec.
var (
	ErrTooLarge = errors.New("peer message exceeds the size limit")
	ErrDecode   = errors.New("peer message cannot be decoded")
	ErrEmpty    = errors.New("peer message has no body of a known kind")
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, 4<<10)
	return &b
}}

func getBuffer() *[]byte {
	return bufferPool.Get().(*[]byte)
}

func putBuffer(b *[]byte) {
	if cap(*b) > maxPooledBytes {
		return
	}
	*b = (*b)[:0]
	bufferPool.Put(b)
}

// checkLimits returns an error for a message without a body and for a Frame
// whose payload is too large.
func checkLimits(env *peerpb.Envelope) error {
	if env.Body == nil {
		return ErrEmpty
	}
	if f, ok := env.Body.(*peerpb.Envelope_Frame); ok && len(f.Frame.GetPayload()) > MaxFramePayloadBytes {
		return eris.Wrap(ErrTooLarge, "frame payload")
	}
	return nil
}

// writeMessage encodes env with its prefix and passes it to w in one Write. It
// returns the encoded size without the prefix, also when the Write failed; it
// returns 0 when nothing was written.
func writeMessage(w io.Writer, env *peerpb.Envelope) (int, error) {
	if err := checkLimits(env); err != nil {
		return 0, err
	}
	size := proto.Size(env)
	if size > MaxMessageBytes {
		return 0, ErrTooLarge
	}
	buf := getBuffer()
	defer putBuffer(buf)
	*buf = binary.BigEndian.AppendUint32((*buf)[:0], uint32(size))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(*buf, env)
	if err != nil {
		return 0, eris.Wrap(err, "encode peer message")
	}
	*buf = out
	_, err = w.Write(out)
	return size, err
}

// readMessage reads one message of at most limit bytes into env, which it
// resets. A Frame that env already holds is reused. The error is io.EOF only
// when the stream ends between two messages.
func readMessage(r io.Reader, env *peerpb.Envelope, limit int) (int, error) {
	buf := getBuffer()
	defer putBuffer(buf)
	if cap(*buf) < lengthPrefixBytes {
		*buf = make([]byte, 0, lengthPrefixBytes)
	}
	head := (*buf)[:lengthPrefixBytes]
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(head)
	if uint64(size) > uint64(limit) {
		return 0, ErrTooLarge
	}
	if err := readBody(r, buf, int(size)); err != nil {
		return 0, err
	}
	return int(size), decode(*buf, env)
}

// readBody reads size bytes into buf, which it grows as the bytes arrive.
func readBody(r io.Reader, buf *[]byte, size int) error {
	*buf = (*buf)[:0]
	for len(*buf) < size {
		step := min(size-len(*buf), readStepBytes)
		start := len(*buf)
		*buf = grow(*buf, step)
		if _, err := io.ReadFull(r, (*buf)[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func grow(b []byte, n int) []byte {
	if cap(b)-len(b) < n {
		larger := make([]byte, len(b), 2*cap(b)+n)
		copy(larger, b)
		b = larger
	}
	return b[:len(b)+n]
}

// frameTag is the first byte of an encoded Envelope that holds a Frame: field
// 6 with a length.
const frameTag = 6<<3 | 2

// decode replaces the content of env with the message in data. It reuses the
// memory of a Frame, the most frequent message.
func decode(data []byte, env *peerpb.Envelope) error {
	f, reuse := env.Body.(*peerpb.Envelope_Frame)
	reuse = reuse && f.Frame != nil && len(data) > 0 && data[0] == frameTag
	if reuse {
		f.Frame.Reset()
		env.ProtoReflect().SetUnknown(nil)
	} else {
		env.Reset()
	}
	if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(data, env); err != nil {
		env.Reset()
		return eris.Wrap(ErrDecode, err.Error())
	}
	return checkLimits(env)
}
