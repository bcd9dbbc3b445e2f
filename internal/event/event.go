// Package event defines the numbered log events. docs/events.md lists them; a
// test compares the two.
package event

import "github.com/hashicorp/go-hclog"

// Event is a log event with a stable number.
type Event struct {
	ID    int
	Level hclog.Level
	// Text is the fixed message; values go into key-value pairs.
	Text string
}

var registry = map[int]Event{}

// register adds an event to the catalogue. It panics at start-up if the number is
// used twice, because that is a programming error.
func register(id int, level hclog.Level, text string) Event {
	if _, dup := registry[id]; dup {
		panic("event number used twice")
	}
	e := Event{ID: id, Level: level, Text: text}
	registry[id] = e
	return e
}

// All returns the registered events by number.
func All() map[int]Event {
	return registry
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	log hclog.Logger
}

// NewLogger returns a logger on top of log.
func NewLogger(log hclog.Logger) *Logger {
	return &Logger{log: log}
}

// Nop returns a logger that discards events.
func Nop() *Logger {
	return NewLogger(hclog.NewNullLogger())
}

// Emit writes an event with key-value pairs.
func (l *Logger) Emit(e Event, kv ...any) {
	l.log.Log(e.Level, e.Text, append([]any{"event", e.ID}, kv...)...)
}
