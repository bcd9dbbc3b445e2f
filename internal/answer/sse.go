package answer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"unicode/utf8"
)

// Default limits of one event stream, in bytes.
const (
	DefaultMaxLineBytes  = 64 << 10
	DefaultMaxEventBytes = 256 << 10
)

// readBufferSize is small because every open stream holds one buffer.
const readBufferSize = 4 << 10

// Errors of SSEReader. All of them end the stream.
var (
	ErrLineTooLong   = errors.New("event stream line exceeds the limit")
	ErrEventTooLarge = errors.New("event exceeds the limit")
	ErrInvalidUTF8   = errors.New("event stream is not valid UTF-8")
	ErrTruncated     = errors.New("event stream ended before [DONE]")
)

var doneData = []byte("[DONE]")

// Event is one server-sent event. Its slices are valid until the next call of Next.
type Event struct {
	ID   []byte
	Type []byte
	Data []byte
	// Done is set for the event whose data is [DONE].
	Done bool
}

// SSELimits bounds what a reader accepts, in bytes. A zero field takes its default.
type SSELimits struct {
	MaxLineBytes int
	// MaxEventBytes bounds all lines since the last event, ignored ones included.
	MaxEventBytes int
}

// SSEReader reads server-sent events with LF or CRLF line ends. It is not safe
// for concurrent use.
type SSEReader struct {
	src       *bufio.Reader
	limits    SSELimits
	lineBuf   []byte
	id        []byte
	typ       []byte
	data      []byte
	eventSize int
	hasData   bool
	err       error
}

// NewSSEReader returns a reader of r.
func NewSSEReader(r io.Reader, limits SSELimits) *SSEReader {
	if limits.MaxLineBytes <= 0 {
		limits.MaxLineBytes = DefaultMaxLineBytes
	}
	if limits.MaxEventBytes <= 0 {
		limits.MaxEventBytes = DefaultMaxEventBytes
	}
	return &SSEReader{src: bufio.NewReaderSize(r, readBufferSize), limits: limits}
}

// Next returns the next event that has data. After the [DONE] event it returns
// io.EOF. A stream that ends earlier gives ErrTruncated or the read error; every
// later call returns the same error.
func (r *SSEReader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	r.reset()
	for {
		line, err := r.readLine()
		if err != nil {
			r.err = err
			return Event{}, err
		}
		if len(line) == 0 && r.hasData {
			return r.dispatch(), nil
		}
		if len(line) == 0 {
			r.id, r.typ = r.id[:0], r.typ[:0]
			continue
		}
		r.processField(line)
	}
}

func (r *SSEReader) reset() {
	r.id, r.typ, r.data = r.id[:0], r.typ[:0], r.data[:0]
	r.eventSize, r.hasData = 0, false
}

func (r *SSEReader) dispatch() Event {
	e := Event{ID: r.id, Type: r.typ, Data: r.data}
	if bytes.Equal(r.data, doneData) {
		e.Done = true
		r.err = io.EOF
	}
	return e
}

func (r *SSEReader) processField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.hasData = true
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.typ = append(r.typ[:0], value...)
	}
}

// readLine returns one line without its end, valid until the next call.
func (r *SSEReader) readLine() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if len(line) > r.limits.MaxLineBytes {
		return nil, ErrLineTooLong
	}
	r.eventSize += len(line) + 1
	if r.eventSize > r.limits.MaxEventBytes {
		return nil, ErrEventTooLarge
	}
	if !utf8.Valid(line) {
		return nil, ErrInvalidUTF8
	}
	return line, nil
}

func (r *SSEReader) readLongLine(first []byte) ([]byte, error) {
	r.lineBuf = append(r.lineBuf[:0], first...)
	for {
		// The limit does not include the two bytes of the line end.
		if len(r.lineBuf) > r.limits.MaxLineBytes+2 {
			return nil, ErrLineTooLong
		}
		part, err := r.src.ReadSlice('\n')
		r.lineBuf = append(r.lineBuf, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return r.lineBuf, err
	}
}

// AppendEvent appends an event in wire format to dst. An empty id is omitted.
// The id must not contain a line end; data may.
func AppendEvent(dst, id, data []byte) []byte {
	if len(id) > 0 {
		dst = append(dst, "id: "...)
		dst = append(dst, id...)
		dst = append(dst, '\n')
	}
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
		if !more {
			break
		}
		data = rest
	}
	return append(dst, '\n')
}

// AppendDone appends the event that ends a chat-completions stream.
func AppendDone(dst []byte) []byte {
	return AppendEvent(dst, nil, doneData)
}

// SSEWriter writes events to w through one reused buffer. It is not safe for
// concurrent use.
type SSEWriter struct {
	w   io.Writer
	buf []byte
}

// NewSSEWriter returns a writer on w. The caller flushes w.
func NewSSEWriter(w io.Writer) *SSEWriter {
	return &SSEWriter{w: w}
}

// WriteEvent writes one event.
func (s *SSEWriter) WriteEvent(id, data []byte) error {
	s.buf = AppendEvent(s.buf[:0], id, data)
	_, err := s.w.Write(s.buf)
	return err
}

// WriteDone writes the event that ends the stream.
func (s *SSEWriter) WriteDone() error {
	s.buf = AppendDone(s.buf[:0])
	_, err := s.w.Write(s.buf)
	return err
}
