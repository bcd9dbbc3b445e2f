package httpsend

import (
	"errors"
	"regexp"

	"golang.org/x/net/http/httpguts"
)

// errMalformedHead is returned by a read of an answer whose head has a malformed status line or field name.
var errMalformedHead = errors.New("httpsend: the answer has a malformed head")

// statusLine matches the start of a status line (RFC 9112, section 4) with a status that is defined (RFC 9110, section 15).
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]([ \r]|$)`)

// headState is the part of an answer's head that the next byte belongs to.
type headState int

const (
	// inStatusLine is the state at the start of an exchange.
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	// inContinuation is a line that begins with a blank and continues the value before it (RFC 9112, section 5.2).
	inContinuation
	// inBody is the state after the head of the final answer.
	inBody
)

// statusPrefix is the length of the part of a status line that ends after the status.
const statusPrefix = len("HTTP/1.1 200 ")

// headScanner finds malformed lines in the heads of an answer. net/http takes any three digits for a status. It keeps a name with a
// blank in it as it is, so that a length, an encoding or a signature would be missed, and joins a line that begins with a blank to
// the line before, where a damaged name is lost.
type headScanner struct {
	state headState
	// status is the start of the status line, of statusLength bytes.
	status       [statusPrefix]byte
	statusLength int
	// begun is set in a continuation after its first byte that is no blank, and token while all since then may be a name.
	begun, token bool
}

// reset prepares for the next exchange.
func (s *headScanner) reset() { *s = headScanner{} }

// scan examines the next bytes of an answer.
func (s *headScanner) scan(b []byte) error {
	for _, c := range b {
		if s.state == inBody {
			return nil
		}
		if err := s.next(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(c byte) error {
	if c == '\n' {
		return s.endLine()
	}
	switch s.state {
	case inStatusLine:
		s.addToStatus(c)
	case atLineStart:
		return s.beginLine(c)
	case inName:
		return s.addToName(c)
	case inContinuation:
		return s.addToContinuation(c)
	}
	return nil
}

// endLine ends a line. net/http rejects a field without a colon.
func (s *headScanner) endLine() error {
	switch {
	case s.state == inStatusLine && !statusLine.Match(s.status[:s.statusLength]):
		return errMalformedHead
	case s.state != atLineStart:
		s.state = atLineStart
	case s.isInterim():
		s.reset()
	default:
		s.state = inBody
	}
	return nil
}

func (s *headScanner) addToStatus(c byte) {
	if s.statusLength < statusPrefix {
		s.status[s.statusLength] = c
		s.statusLength++
	}
}

// isInterim reports whether another head follows the one that has ended. None follows 101.
func (s *headScanner) isInterim() bool {
	status := string(s.status[len("HTTP/1.1 "):len("HTTP/1.1 200")])
	return status[0] == '1' && status != "101"
}

func (s *headScanner) beginLine(c byte) error {
	switch c {
	case '\r':
		// The line that ends the head, or one that net/http rejects.
		return nil
	case ' ', '\t':
		s.state, s.begun, s.token = inContinuation, false, true
		return nil
	}
	s.state = inName
	return s.addToName(c)
}

func (s *headScanner) addToName(c byte) error {
	switch {
	case c == ':':
		s.state = inValue
	case c == '\r':
		// A line without a colon.
	case !httpguts.IsTokenRune(rune(c)):
		return errMalformedHead
	}
	return nil
}

// addToContinuation rejects a continuation that is itself a field: its name has lost its first byte.
func (s *headScanner) addToContinuation(c byte) error {
	switch {
	case !s.begun && (c == ' ' || c == '\t'):
	case c == ':' && s.begun && s.token:
		return errMalformedHead
	default:
		s.token = s.token && httpguts.IsTokenRune(rune(c))
		s.begun = true
	}
	return nil
}
