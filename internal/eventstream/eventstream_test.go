package eventstream

import (
	"strings"
	"testing"
)

// Guards against an event that is taken to be complete before its blank line, or
// open after it, for each line end that the format allows.
func TestEventsEndWithABlankLine(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		complete     int
		id           string
	}{
		{"line feeds", "id: 1\ndata: x\n\nid: 2\nda", len("id: 1\ndata: x\n\n"), "1"},
		{"carriage returns and line feeds", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n", len("id: 1\r\ndata: x\r\n\r\n"), "1"},
		{"half of the last line end", "id: 1\r\n\r\nid: 2\r\n\r", len("id: 1\r\n\r\n"), "1"},
		{"line feed that does not come", "id: 1\r\n\rid: 2", len("id: 1\r\n\r"), "1"},
		{"carriage return instead of the line feed", "id: 1\r\n\r\rid", len("id: 1\r\n\r\r"), "1"},
		{"carriage returns", "id: 1\rdata: x\r\rid: 2\r", len("id: 1\rdata: x\r\r"), "1"},
		{"mixed line ends", "id:1\r\ndata: x\n\rdata", len("id:1\r\ndata: x\n\r"), "1"},
		{"one line end only", "id: 1\ndata: x\n", 0, ""},
		{"carriage return and line feed are one line end", "data: x\r\n", 0, ""},
		{"comment between events", "data: x\n\n: ping\n", len("data: x\n\n: ping\n"), ""},
		{"comment inside an event", "data: x\n: ping\n", 0, ""},
		{"unfinished comment", "data: x\n\n: pi", len("data: x\n\n"), ""},
		{"event without an ID keeps the last one", "id: 1\n\ndata: x\n\n", len("id: 1\n\ndata: x\n\n"), "1"},
		{"ID without a value", "id: 1\n\nid\n\n", len("id: 1\n\nid\n\n"), ""},
		{"ID with a NUL character", "id: 1\n\nid: \x00\n\n", len("id: 1\n\nid: \x00\n\n"), "1"},
		{"field whose name begins like ID", "id: 1\n\nidx: 2\n\n", len("id: 1\n\nidx: 2\n\n"), "1"},
		{"only blank lines", "\n\r\n\n", len("\n\r\n\n"), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Scanner
			s.Scan([]byte(c.stream))
			if s.Open() != len(c.stream)-c.complete || s.LastEventID() != c.id {
				t.Errorf("%d bytes are open and the last ID is %q; want %d and %q", s.Open(), s.LastEventID(), len(c.stream)-c.complete, c.id)
			}
		})
	}
}

// Guards against a line that is read into memory whole.
func TestLongLineIsNotKept(t *testing.T) {
	var s Scanner
	s.Scan([]byte(strings.Repeat("x", 1<<20)))
	if cap(s.line) > 2*maxFieldBytes {
		t.Errorf("%d bytes are kept of a line, want at most %d", cap(s.line), 2*maxFieldBytes)
	}
}

// Guards against an unfinished event whose start is joined with the first event of
// the server that continues the stream.
func TestRestartForgetsTheOpenEvent(t *testing.T) {
	var s Scanner
	s.Scan([]byte("id: 1\n\nid: 2\ndata: x\r"))
	s.Restart()
	if s.Open() != 0 || s.LastEventID() != "1" {
		t.Fatalf("%d bytes are open and the last ID is %q; want 0 and 1", s.Open(), s.LastEventID())
	}
	if s.FirstEventID() != "" {
		t.Errorf("first ID %q after a restart, want none", s.FirstEventID())
	}
	if s.Scan([]byte("\nid: 2\n\nid: 3\n\n")); s.Open() != 0 || s.FirstEventID() != "2" || s.LastEventID() != "3" {
		t.Errorf("%d bytes are open, first ID %q, last ID %q; want none, 2 and 3", s.Open(), s.FirstEventID(), s.LastEventID())
	}
}

// Guards against a stream that is continued where an event would come twice or be
// left out.
func TestResumableOnlyAfterAnEventWithID(t *testing.T) {
	for stream, want := range map[string]bool{
		"":                            false,
		"id: 1\n":                     false,
		"data: x\n\n":                 false,
		"id: 1\n\n":                   true,
		"id: 1\n\ndata: x\n":          true,
		"id: 1\n\ndata: x\n\n":        false,
		"id: 1\n\n: c\n\n":            true,
		"data: x\n\nid: 2\n\ndata: y": true,
	} {
		var s Scanner
		s.Scan([]byte(stream))
		if got := s.Resumable(); got != want {
			t.Errorf("%q is resumable: %v, want %v", stream, got, want)
		}
		if s.Restart(); s.Resumable() != want {
			t.Errorf("%q after a restart is resumable: %v, want %v", stream, s.Resumable(), want)
		}
	}
}
