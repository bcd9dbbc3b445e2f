package logwriter

import (
	"bytes"
	"testing"
)

// blockingOutput blocks every write until it is released.
type blockingOutput struct {
	release chan struct{}
	output  bytes.Buffer
}

func (b *blockingOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.output.Write(p)
}

// Guards against a slow output that blocks the goroutines that log, and against
// lines that are dropped without being counted.
func TestSlowOutputNeverBlocks(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	w := New(out)
	const lines = 3 * queueLines
	for range lines {
		if _, err := w.Write([]byte("x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.DroppedLines() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := int64(bytes.Count(out.output.Bytes(), []byte("\n")))
	if written+w.DroppedLines() != lines {
		t.Errorf("%d written and %d dropped of %d", written, w.DroppedLines(), lines)
	}
}
