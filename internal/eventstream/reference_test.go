package eventstream

import (
	"fmt"
	"strings"
	"testing"
)

// referenceLine is a line of a stream with its end.
type referenceLine struct {
	text string
	// end is the line end: CR, LF or both.
	end string
	// next is the offset after the line end.
	next int
}

// referenceLines returns the whole lines of a stream.
func referenceLines(stream string) []referenceLine {
	var lines []referenceLine
	for start := 0; ; {
		n := strings.IndexAny(stream[start:], "\r\n")
		if n < 0 {
			return lines
		}
		text, end := stream[start:start+n], stream[start+n:start+n+1]
		if strings.HasPrefix(stream[start+n:], "\r\n") {
			end = "\r\n"
		}
		start += n + len(end)
		lines = append(lines, referenceLine{text: text, end: end, next: start})
	}
}

// referenceEvent is a complete event that has fields.
type referenceEvent struct {
	id    string
	hasID bool
}

// reference returns the complete events of a stream and the offset after the last of them,
// or after the comments and blank lines that follow it.
func reference(stream string) (events []referenceEvent, complete int) {
	var event referenceEvent
	inEvent, lastEnd := false, ""
	for _, l := range referenceLines(stream) {
		switch {
		case l.text == "" && inEvent && l.end == "\r" && lastEnd == "\r\n" && l.next == len(stream):
			// The rest of the line end is still expected.
			return events, complete
		case l.text == "" && inEvent:
			events = append(events, event)
			event, inEvent = referenceEvent{}, false
		case l.text != "" && l.text[0] != ':':
			inEvent = true
			event.read(l.text)
		}
		if !inEvent {
			complete = l.next
		}
		lastEnd = l.end
	}
	return events, complete
}

// read reads a field. IDs with a NUL character, and those that are too long to be kept,
// are none.
func (e *referenceEvent) read(line string) {
	name, value, _ := strings.Cut(line, ":")
	if name != "id" || strings.ContainsRune(value, 0) || len(line) > maxFieldBytes {
		return
	}
	e.id, e.hasID = strings.TrimPrefix(value, " "), true
}

// checkScanner returns how a scanner that has read a stream differs from the reference.
func checkScanner(s *Scanner, stream string) string {
	events, complete := reference(stream)
	first, last, resumable := "", "", false
	for _, e := range events {
		if e.hasID {
			last = e.id
		}
		if first == "" {
			first = e.id
		}
		resumable = e.hasID && e.id != ""
	}
	if s.Open() != len(stream)-complete || s.FirstEventID() != first || s.LastEventID() != last || s.Resumable() != resumable {
		return fmt.Sprintf("%q: %d open, IDs %.40q to %.40q, resumable %v; want %d, %.40q to %.40q, %v",
			stream, s.Open(), s.FirstEventID(), s.LastEventID(), s.Resumable(), len(stream)-complete, first, last, resumable)
	}
	return ""
}

// longStream is the number of bytes up to which the scanner is checked after each read.
const longStream = 256

// Guards against a result that depends on how the stream is split into reads, and against
// one that differs, after any of them, from that of a reader which has the stream up to
// there at once. The sizes of the reads repeat until the stream ends.
func FuzzScannerAgainstReference(f *testing.F) {
	long := "id: " + strings.Repeat("7", 2*maxFieldBytes) + "\n\nid: 8\n\n"
	for _, stream := range []string{
		"id: 1\r\ndata: x\r\n\r\n: c\nid: 2\rdata\r\rda",
		"\n\r\n\rid\n\n:",
		"id: 1\r\n\r\nid: 2\r\n\r",
		"id: 1\r\n\r\nid: 2\r\n\rid: 3\r\n\r\n",
		"id: 1\r\n: c\r\n\r\n\r\r\n",
		"id: 1\ndata: x\n\ndata: y\n\nid: 2\nda",
		"id: \x00\n\nid\n\nidx: 1\n\n",
		long, long[:len(long)-8],
	} {
		f.Add([]byte(stream), []byte{1})
		f.Add([]byte(stream), []byte{3, 0, 1, 7})
	}
	f.Fuzz(func(t *testing.T, stream, sizes []byte) {
		var s Scanner
		for read, i := 0, 0; read < len(stream) && i < 2*len(stream); i++ {
			n := 1
			if len(sizes) > 0 {
				n = int(sizes[i%len(sizes)])
			}
			n = min(n, len(stream)-read)
			s.Scan(stream[read : read+n])
			read += n
			if read > longStream && read < len(stream) {
				// The reference reads the stream from its start.
				continue
			}
			if problem := checkScanner(&s, string(stream[:read])); problem != "" {
				t.Fatalf("in reads of %d: %s", sizes, problem)
			}
		}
	})
}
