package enginesim

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/bluebellwell/bluebellwell/internal/answer"
)

var corruptFrame = []byte("id: 0\ndata: {\"choices\": \xff\xfe\n\n")

// frameWriter encodes the tokens of one stream as events. The id of an event is the
// character offset of its text.
type frameWriter struct {
	e *Engine
	a *attempt
	// sent is the number of tokens sent or skipped.
	sent       int
	charOffset int
	byteOffset int
	frameCount int
	cutAfter   int
	faults     Faults
	buf        []byte
	id         []byte
	chunk      []byte
}

// newFrameWriter returns a writer that starts at a character offset, which may lie
// inside a token.
func (e *Engine) newFrameWriter(a *attempt, charOffset int) *frameWriter {
	f := &frameWriter{e: e, a: a, charOffset: charOffset, byteOffset: answer.CharacterIndex(a.generated.text, charOffset)}
	for f.sent < a.tokens && a.generated.byteEnds[f.sent] <= f.byteOffset {
		f.sent++
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f.faults = e.faults
	if e.faults.CutAfterFrames > 0 && (e.faults.MaxCuts == 0 || e.remainingCuts > 0) {
		f.cutAfter = e.faults.CutAfterFrames
		e.remainingCuts--
	}
	return f
}

// appendFrames sets buf to all new frames. It returns errCut when the stream must
// be cut after buf.
func (f *frameWriter) appendFrames(p progress) error {
	f.buf = f.buf[:0]
	for f.sent < p.generatedTokens {
		end := f.a.generated.byteEnds[f.sent]
		text := f.a.generated.text[f.byteOffset:end]
		if err := f.addFrame(f.textChunk(text)); err != nil {
			return err
		}
		f.charOffset += utf8.RuneCount(text)
		f.byteOffset = end
		f.sent++
	}
	if !p.hasEnded() {
		return nil
	}
	if p.state != stateFinished {
		return f.addFrame([]byte(`{"error":{"code":"` + p.state + `"}}`))
	}
	return f.addFinalFrames()
}

func (f *frameWriter) addFinalFrames() error {
	last := `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"` + f.a.finishReason() + `"}]}`
	if err := f.addFrame([]byte(last)); err != nil {
		return err
	}
	usage, _ := json.Marshal(f.a.usage())
	if err := f.addFrame([]byte(`{"object":"chat.completion.chunk","choices":[],"usage":` + string(usage) + `}`)); err != nil {
		return err
	}
	f.buf = answer.AppendDone(f.buf)
	return nil
}

// textChunk builds a chunk; the words need no JSON escapes.
func (f *frameWriter) textChunk(text []byte) []byte {
	f.chunk = append(f.chunk[:0], `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
	f.chunk = append(f.chunk, text...)
	f.chunk = append(f.chunk, `"},"finish_reason":null}]}`...)
	return f.chunk
}

// addFrame appends one frame, changed as the fault switches require.
func (f *frameWriter) addFrame(data []byte) error {
	if f.cutAfter > 0 && f.frameCount >= f.cutAfter {
		return errCut
	}
	f.frameCount++
	if f.faults.CorruptEvery > 0 && f.frameCount%f.faults.CorruptEvery == 0 {
		f.buf = append(f.buf, corruptFrame...)
		return nil
	}
	f.id = strconv.AppendInt(f.id[:0], int64(f.charOffset), 10)
	f.buf = answer.AppendEvent(f.buf, f.id, data)
	if f.faults.DuplicateFrames {
		f.buf = answer.AppendEvent(f.buf, f.id, data)
	}
	return nil
}
