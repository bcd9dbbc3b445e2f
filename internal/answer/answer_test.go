package answer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed
)

// Guards against a request id that gives access to another workspace's answer.
func TestRequestID(t *testing.T) {
	key := []byte("key")
	id := NewRequestID(key, "shearing", "assistant-llm")
	if pool, err := CheckRequestID(key, "shearing", id); err != nil || pool != "assistant-llm" {
		t.Fatalf("own id: got pool %q, %v; want assistant-llm", pool, err)
	}
	if NewRequestID(key, "shearing", "assistant-llm") == id {
		t.Error("two ids are equal")
	}
	parts := strings.Split(id, ".")
	other := strings.Split(NewRequestID(key, "shearing", "gang-dispatch"), ".")
	cases := []struct {
		name, workspace, id string
		key                 []byte
		want                error
	}{
		{"other workspace", "domains", id, key, ErrForeignID},
		{"other key", "shearing", id, []byte("k2"), ErrForeignID},
		{"other pool", "shearing", parts[0] + "." + other[1] + "." + parts[2], key, ErrForeignID},
		{"other random part", "shearing", other[0] + "." + parts[1] + "." + parts[2], key, ErrForeignID},
		{"short tag", "shearing", id[:len(id)-2], key, ErrBadID},
		{"no tag", "shearing", parts[0] + "." + parts[1] + ".", key, ErrBadID},
		{"empty", "shearing", "", key, ErrBadID},
		{"long", "shearing", strings.Repeat("x", 1<<20), key, ErrBadID},
	}
	for _, c := range cases {
		if _, err := CheckRequestID(c.key, c.workspace, c.id); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against streams that exceed the limits, and against truncated streams
// that are taken for complete ones.
func TestSSEReaderLimits(t *testing.T) {
	limits := SSELimits{MaxLineBytes: 20, MaxEventBytes: 50}
	cases := []struct {
		name, in string
		data     []string
		end      error
	}{
		{"whole", "data: a\n\ndata: [DONE]\n\n", []string{"a", "[DONE]"}, io.EOF},
		{"CRLF, comment, lines", ": c\r\nevent: x\r\ndata:a\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n", []string{"a\nb", "[DONE]"}, io.EOF},
		{"nothing after done", "data: [DONE]\n\ndata: x\n\n", []string{"[DONE]"}, io.EOF},
		{"end without done", "data: a\n\n", []string{"a"}, ErrTruncated},
		{"end inside an event", "data: a\n", nil, ErrTruncated},
		{"end inside a line", "data: [DONE]", nil, ErrTruncated},
		{"line at the limit", "data: " + strings.Repeat("x", 14) + "\n\n", []string{strings.Repeat("x", 14)}, ErrTruncated},
		{"line above the limit", "data: " + strings.Repeat("x", 15) + "\n\n", nil, ErrLineTooLong},
		{"line far above the limit", "data: " + strings.Repeat("x", 1<<20), nil, ErrLineTooLong},
		{"event above the limit", strings.Repeat("data: 0123456789\n", 3), nil, ErrEventTooLarge},
		{"endless comments", strings.Repeat(": 0123456789\n", 5), nil, ErrEventTooLarge},
		{"not UTF-8", "data: a\n\ndata: \xff\n\n", []string{"a"}, ErrInvalidUTF8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewSSEReader(strings.NewReader(c.in), limits)
			var got []string
			e, err := r.Next()
			for ; err == nil; e, err = r.Next() {
				got = append(got, string(e.Data))
				if e.Done != (string(e.Data) == "[DONE]") {
					t.Errorf("event %q: done %v", e.Data, e.Done)
				}
			}
			if strings.Join(got, "|") != strings.Join(c.data, "|") || !errors.Is(err, c.end) {
				t.Errorf("got %q, %v; want %q, %v", got, err, c.data, c.end)
			}
			if _, again := r.Next(); !errors.Is(again, c.end) {
				t.Errorf("the error does not repeat: %v", again)
			}
		})
	}
}

// Guards against input for which the reader exceeds a limit or returns invalid
// UTF-8, and against events that change when they are passed on.
func FuzzSSEReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, in []byte) {
		limits := SSELimits{MaxLineBytes: 6000, MaxEventBytes: 9000}
		r := NewSSEReader(bytes.NewReader(in), limits)
		var chunk Chunk
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if !utf8.Valid(e.Data) || len(e.Data) > limits.MaxEventBytes {
				t.Fatalf("event %q is not valid UTF-8 or exceeds the limit", e.Data)
			}
			if chunk.Parse(e.Data) == nil && chunk.Characters != Characters(chunk.Text) {
				t.Fatalf("chunk %q has %d characters", chunk.Text, chunk.Characters)
			}
			if bytes.HasSuffix(e.Data, []byte("\r")) || bytes.Contains(e.Data, []byte("\r\n")) {
				continue // A carriage return before a line end belongs to the line end.
			}
			again := NewSSEReader(bytes.NewReader(AppendEvent(nil, e.ID, e.Data)), SSELimits{MaxEventBytes: 1 << 20})
			if copied, err := again.Next(); err != nil || !bytes.Equal(copied.Data, e.Data) {
				t.Fatalf("event %q reads back as %q, %v", e.Data, copied.Data, err)
			}
		}
	})
}

// Guards against JSON that the router accepts and another program rejects, or
// the reverse.
func FuzzCheckJSON(f *testing.F) {
	f.Fuzz(func(t *testing.T, in []byte) {
		err := checkJSON(in)
		if errors.Is(err, ErrTooDeep) {
			return
		}
		if (err == nil) != json.Valid(in) {
			t.Fatalf("%q: %v, encoding/json accepts it: %v", in, err, json.Valid(in))
		}
		var c Chunk
		_ = c.Parse(in) // Must not panic.
	})
}

// Guards against text that differs from what encoding/json decodes, with any
// escapes and unpaired surrogates.
func TestChunkMatchesEncodingJSON(t *testing.T) {
	parts := []string{`\ud83d`, `\udc11`, `\u0041`, `\n`, `\"`, `\\`, `\/`, `\b\f\r\t`, "a", "đ", "🐑", " ", "{", "]"}
	rapid.Check(t, func(t *rapid.T) {
		raw := strings.Join(rapid.SliceOf(rapid.SampledFrom(parts)).Draw(t, "parts"), "")
		var want string
		if err := json.Unmarshal([]byte(`"`+raw+`"`), &want); err != nil {
			t.Fatal(err)
		}
		data := `{"x":[{"content":"no"},1e3,null],"choices":[{"index":0,"x":{"delta":{"content":"no"}},"delta":{"role":"assistant","content":"` +
			raw + `"},"finish_reason":"stop"},{"delta":{"content":"second"}}],"usage":{"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":5}}}`
		var c Chunk
		if err := c.Parse([]byte(data)); err != nil {
			t.Fatal(err)
		}
		if string(c.Text) != want || c.Characters != len([]rune(want)) {
			t.Fatalf("got %q, want %q", c.Text, want)
		}
		if c.FinishReason != FinishStop || !c.HasUsage || c.Usage.PromptTokens != 7 || c.Usage.PromptTokensDetails.CachedTokens != 5 {
			t.Fatalf("got %+v, want finish reason stop, 7 prompt tokens and 5 cached tokens", c)
		}
	})
}

// Guards against request fields that are missing in the body for the engine.
func TestChatRequestKeepsUnknownFields(t *testing.T) {
	in := `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],
		"temperature":0.10000000000000001,"x":{"y":[1]},"stream_options":{"z":1}}`
	r, err := ParseChatRequest([]byte(in))
	if err != nil {
		t.Fatal(err)
	}
	if r.Messages[0].Text() != "ab" {
		t.Errorf("text %q, want ab", r.Messages[0].Text())
	}
	r.Stream, r.MaxTokens = true, 9
	out, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"temperature":0.10000000000000001`, `"x":{"y":[1]}`, `"include_usage":true`, `"z":1`, `"max_tokens":9`, `"stream":true`} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%s is missing in %s", want, out)
		}
	}
	for _, bad := range []string{"", "[]", "null", "{", `{"model":1}`, `{"max_tokens":"x"}`, "{\"a\":\"\xff\"}", strings.Repeat(`{"a":`, 100) + "1" + strings.Repeat("}", 100)} {
		if _, err := ParseChatRequest([]byte(bad)); !errors.Is(err, ErrBadJSON) && !errors.Is(err, ErrTooDeep) {
			t.Errorf("%q: got %v, want ErrBadJSON or ErrTooDeep", bad, err)
		}
	}
}

// Guards against late, repeated, crossed or missing frames in an answer, for any
// order of delivery from several attempts.
func TestSequencerDeliversOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const text = "abcdefghij"
		s := NewSequencer("a0")
		got, dropped, current := "", 0, 0
		ids := []string{"a0", "a1", "a2", "a3", "x"}
		starts := []int{0, 0, 0, 0, 0}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			if current < 3 && rapid.IntRange(0, 9).Draw(t, "switch") == 0 {
				current++
				starts[current] = len(got)
				if err := s.Retry(ids[current]); (err != nil) != (got != "") {
					t.Fatalf("retry after %q: %v", got, err)
				} else if err != nil {
					s.Resume(ids[current])
				}
			}
			from := rapid.IntRange(0, len(ids)-1).Draw(t, "from")
			seq := rapid.IntRange(0, len(text)-1).Draw(t, "seq")
			if rapid.Bool().Draw(t, "next") {
				from, seq = current, min(len(got)-starts[current], len(text)-1-starts[current])
			}
			at := starts[from] + seq
			if at < 0 || at >= len(text) {
				continue
			}
			wantAccepted := from == current && at == len(got)
			status := s.Accept(ids[from], uint64(seq), uint64(at), 1, at == len(text)-1)
			if (status == Accepted) != wantAccepted {
				t.Fatalf("frame %d of %s at %d after %q of %s: status %d", seq, ids[from], at, got, ids[current], status)
			}
			if status != Accepted {
				dropped++
				continue
			}
			got += text[at : at+1]
		}
		if got != text[:len(got)] || s.Complete() != (got == text) || s.Offset() != uint64(len(got)) {
			t.Fatalf("delivered %q, complete %v", got, s.Complete())
		}
		d := s.Drops()
		if d.Late+d.Duplicate+d.Crossed+d.Gap != uint64(dropped) {
			t.Fatalf("%d drops, counted %+v", dropped, d)
		}
	})
}

// Guards against a dropped frame that is counted under the wrong reason.
func TestSequencerFrameStatus(t *testing.T) {
	s := NewSequencer("a")
	if err := s.Retry("b"); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		attempt     string
		seq, offset uint64
		terminal    bool
		want        FrameStatus
	}{
		{"a", 0, 0, false, Late},
		{"c", 0, 0, false, Crossed},
		{"b", 1, 0, false, Gap},
		{"b", 0, 1, false, Gap},
		{"b", 0, 0, false, Accepted},
		{"b", 0, 0, false, Duplicate},
		{"b", 1, 3, true, Accepted},
		{"b", 1, 3, true, Duplicate},
		{"b", 2, 6, false, Late},
	}
	for i, c := range steps {
		if got := s.Accept(c.attempt, c.seq, c.offset, 3, c.terminal); got != c.want {
			t.Errorf("step %d: status %d, want %d", i, got, c.want)
		}
	}
	if d := s.Drops(); d != (Drops{Late: 2, Duplicate: 2, Crossed: 1, Gap: 2}) || !s.Complete() {
		t.Errorf("drops %+v, complete %v; want 2 late, 2 duplicate, 1 crossed, 2 in a gap, and complete", d, s.Complete())
	}
}

// repeatingStream repeats one chunk without end.
type repeatingStream struct{ frame []byte }

func (s repeatingStream) Read(p []byte) (int, error) {
	n := 0
	for n+len(s.frame) <= len(p) {
		n += copy(p[n:], s.frame)
	}
	return n, nil
}

// relay does the work of a router for each token: read, parse, check, write.
func relay(r *SSEReader, c *Chunk, s *Sequencer, w *SSEWriter, seq uint64) error {
	e, err := r.Next()
	if err != nil {
		return err
	}
	if err := c.Parse(e.Data); err != nil {
		return err
	}
	s.Accept("a", seq, s.Offset(), c.Characters, false)
	return w.WriteEvent(e.ID, e.Data)
}

func newRelay() (*SSEReader, *Chunk, *Sequencer, *SSEWriter) {
	frame := AppendEvent(nil, []byte("12345"), []byte(`{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"đàn cừu "},"finish_reason":null}]}`))
	return NewSSEReader(repeatingStream{frame}, SSELimits{}), &Chunk{}, NewSequencer("a"), NewSSEWriter(io.Discard)
}

// BenchmarkRelayToken measures the work of a router for each relayed token.
func BenchmarkRelayToken(b *testing.B) {
	r, c, s, w := newRelay()
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		if err := relay(r, c, s, w, uint64(i)); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against an allocation for each relayed token.
func TestRelayDoesNotAllocate(t *testing.T) {
	r, c, s, w := newRelay()
	seq := uint64(0)
	allocs := testing.AllocsPerRun(1000, func() {
		if err := relay(r, c, s, w, seq); err != nil {
			t.Fatal(err)
		}
		seq++
	})
	if allocs != 0 {
		t.Errorf("%v allocations for each token, want none", allocs)
	}
}
