// Package eventstream finds the ends of events in a text/event-stream
// (https://html.spec.whatwg.org/multipage/server-sent-events.html). It scans
// bytes as they arrive and does no I/O.
package eventstream

import "bytes"

// maxFieldBytes bounds the lines from which an event ID is read.
const maxFieldBytes = 1 << 10

// Scanner tracks the events of one stream. The zero value is ready for the start of
// a stream. It is not safe for concurrent use.
type Scanner struct {
	// lastEventID is the ID of the last complete event that has one.
	lastEventID string
	// firstEventID is the ID of the first complete event that has one since the start or
	// the last Restart.
	firstEventID string
	// eventsWithID is the number of complete events that have one since then.
	eventsWithID int
	// endedWithoutID is set when an event without an ID has ended since.
	endedWithoutID bool
	// eventID and hasEventID hold the ID of the event that has not ended.
	eventID    string
	hasEventID bool
	// hasFields is set when the event that has not ended has a field.
	hasFields bool
	// line is the start of the line that has not ended, of which it has one byte more than
	// maxFieldBytes at most.
	line []byte
	// afterCR is set when the last byte was a carriage return, which ends a line by
	// itself or together with a line feed; pairs is set when the last line ended with
	// both.
	afterCR bool
	pairs   bool
	// halfEnded is set after the carriage return of an event's blank line, while the
	// line feed is still expected because the line before ended with both.
	halfEnded bool
	// open is the number of bytes after the last complete event.
	open int
	// events is the number of complete events since the start or the last Restart.
	events int
}

// Scan reads the next bytes of the stream. The bytes up to the last Open ones then belong
// to complete events, of which the last may have ended with an earlier read: a carriage
// return ends an event's blank line only if no line feed follows. A comment outside an
// event counts as complete.
func (s *Scanner) Scan(data []byte) {
	for read := 0; read < len(data); {
		rest := data[read:]
		n := bytes.IndexAny(rest, "\r\n")
		if n < 0 {
			n = len(rest)
		}
		if s.halfEnded && rest[0] != '\n' {
			s.endEvent()
			s.open = 0
		}
		if n > 0 {
			s.readText(rest[:n])
			read += n
			continue
		}
		read++
		s.open++
		if s.readLineEnd(rest[0]) {
			s.open = 0
		}
	}
}

// readText reads a part of a line.
func (s *Scanner) readText(text []byte) {
	s.afterCR = false
	s.open += len(text)
	room := maxFieldBytes + 1 - len(s.line)
	s.line = append(s.line, text[:min(room, len(text))]...)
}

// readLineEnd reads a carriage return or a line feed and reports whether the stream
// is now between two events.
func (s *Scanner) readLineEnd(b byte) bool {
	afterCR, pairs := s.afterCR, s.pairs
	s.afterCR = b == '\r'
	s.pairs = b == '\n' && afterCR
	switch {
	case s.halfEnded:
		s.endEvent()
		return true
	case s.pairs:
		// The line has ended with the carriage return.
		return !s.hasFields
	case s.afterCR && pairs && s.hasFields && len(s.line) == 0:
		s.halfEnded = true
		return false
	}
	return s.endLine()
}

// endLine reads a whole line and reports whether the stream is now between two
// events.
func (s *Scanner) endLine() bool {
	line := s.line
	s.line = s.line[:0]
	switch {
	case len(line) == 0:
		s.endEvent()
	case line[0] != ':':
		s.hasFields = true
		s.readField(line)
	}
	return !s.hasFields
}

func (s *Scanner) endEvent() {
	if s.hasEventID {
		s.eventsWithID++
		s.lastEventID = s.eventID
		if s.firstEventID == "" {
			s.firstEventID = s.eventID
		}
	}
	if s.hasFields {
		s.endedWithoutID = !s.hasEventID
		s.events++
	}
	s.eventID, s.hasEventID, s.hasFields, s.halfEnded = "", false, false, false
}

// readField keeps the value of an ID field. An ID with a NUL character is ignored, and so
// is one that is too long to be kept whole.
func (s *Scanner) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" || bytes.IndexByte(value, 0) >= 0 || len(line) > maxFieldBytes {
		return
	}
	s.eventID, s.hasEventID = string(bytes.TrimPrefix(value, []byte(" "))), true
}

// LastEventID returns the ID of the last complete event that has one; empty when
// there is none.
func (s *Scanner) LastEventID() string { return s.lastEventID }

// FirstEventID returns the ID of the first complete event that has one since the start
// or the last Restart; empty when there is none.
func (s *Scanner) FirstEventID() string { return s.firstEventID }

// EventsWithID returns the number of complete events that have an ID since the start or the last Restart.
func (s *Scanner) EventsWithID() int { return s.eventsWithID }

// Resumable reports whether a stream that continues after the last event ID repeats
// and omits no complete event.
func (s *Scanner) Resumable() bool { return s.lastEventID != "" && !s.endedWithoutID }

// Open returns the number of bytes after the last complete event. A stream that ends
// with open bytes has been broken off.
func (s *Scanner) Open() int { return s.open }

// Events returns the number of complete events since the start or the last Restart.
func (s *Scanner) Events() int { return s.events }

// Restart forgets the bytes after the last complete event, before another server
// continues the stream.
func (s *Scanner) Restart() {
	*s = Scanner{lastEventID: s.lastEventID, endedWithoutID: s.endedWithoutID, line: s.line[:0]}
}
