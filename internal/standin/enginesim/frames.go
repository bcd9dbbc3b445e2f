package enginesim

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/bluebellwell/bluebellwell/internal/answer"
)

var corruptFrame = []byte("id: 0\ndata: {\"choices\": \xff\xfe\n\n")

// frames turns the tokens of one stream into events. The id of an event is the
// character offset of its text.
type frames struct {
	e *Engine
	a *attempt
	// sent is the number of tokens sent or skipped.
	sent   int
	offset int
	byteAt int
	count  int
	cutAt  int
	faults Faults
	buf    []byte
	id     []byte
	chunk  []byte
}

// newFrames starts at a character offset that may lie inside a token.
func (e *Engine) newFrames(a *attempt, offset int) *frames {
	f := &frames{e: e, a: a, offset: offset, byteAt: answer.CharacterIndex(a.gen.text, offset)}
	for f.sent < a.tokens && a.gen.byteEnds[f.sent] <= f.byteAt {
		f.sent++
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f.faults = e.faults
	if e.faults.CutAfterFrames > 0 && (e.faults.CutTimes == 0 || e.cuts > 0) {
		f.cutAt = e.faults.CutAfterFrames
		e.cuts--
	}
	return f
}

// append puts all new frames into buf. It returns errCut when the stream must
// end after buf.
func (f *frames) append(p progress) error {
	f.buf = f.buf[:0]
	for f.sent < p.made {
		end := f.a.gen.byteEnds[f.sent]
		text := f.a.gen.text[f.byteAt:end]
		if err := f.add(f.textChunk(text)); err != nil {
			return err
		}
		f.offset += utf8.RuneCount(text)
		f.byteAt = end
		f.sent++
	}
	if !p.over() {
		return nil
	}
	if p.state != stateFinished {
		return f.add([]byte(`{"error":{"code":"` + p.state + `"}}`))
	}
	return f.finish()
}

func (f *frames) finish() error {
	last := `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"` + f.a.finishReason() + `"}]}`
	if err := f.add([]byte(last)); err != nil {
		return err
	}
	usage, _ := json.Marshal(f.a.usage())
	if err := f.add([]byte(`{"object":"chat.completion.chunk","choices":[],"usage":` + string(usage) + `}`)); err != nil {
		return err
	}
	f.buf = answer.AppendDone(f.buf)
	return nil
}

// textChunk builds a chunk; the words need no JSON escapes.
func (f *frames) textChunk(text []byte) []byte {
	f.chunk = append(f.chunk[:0], `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
	f.chunk = append(f.chunk, text...)
	f.chunk = append(f.chunk, `"},"finish_reason":null}]}`...)
	return f.chunk
}

// add appends one frame under the fault switches.
func (f *frames) add(data []byte) error {
	if f.cutAt > 0 && f.count >= f.cutAt {
		return errCut
	}
	f.count++
	if f.faults.CorruptEvery > 0 && f.count%f.faults.CorruptEvery == 0 {
		f.buf = append(f.buf, corruptFrame...)
		return nil
	}
	f.id = strconv.AppendInt(f.id[:0], int64(f.offset), 10)
	f.buf = answer.AppendEvent(f.buf, f.id, data)
	if f.faults.DuplicateFrames {
		f.buf = answer.AppendEvent(f.buf, f.id, data)
	}
	return nil
}
