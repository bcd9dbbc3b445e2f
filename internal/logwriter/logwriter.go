// Package logwriter writes log lines without blocking the goroutine that logs.
// Lines are kept in a bounded queue; when it is full, further lines are counted
// and dropped.
package logwriter

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the capacity of the queue in lines.
const queueLines = 512

// Writer is an io.Writer for whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// New returns a writer to out. Its goroutine runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped.
func (w *Writer) DroppedLines() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Write must not be
// called afterwards.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// There is no other place to report a failed write to the log output.
		_, _ = w.out.Write(line)
	}
}
