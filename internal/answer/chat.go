package answer

import (
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// maxJSONDepth bounds the nesting of JSON from callers and engines.
const maxJSONDepth = 64

// Errors of the chat-completions types.
var (
	ErrTooDeep = errors.New("JSON is nested too deeply")
	ErrBadJSON = errors.New("JSON is not valid")
)

// Finish reasons of a choice.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Usage holds the token counts of one answer.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails reports the prompt tokens that were served from the cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Message is one message of a chat. Content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns the text of the message; the text parts of a list are joined.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// ChatRequest is a chat-completions request. Fields that it does not name are
// kept and passed on by Encode.
type ChatRequest struct {
	Model     string
	Stream    bool
	MaxTokens int
	Messages  []Message
	fields    map[string]json.RawMessage
}

// ParseChatRequest decodes a request body.
func ParseChatRequest(body []byte) (*ChatRequest, error) {
	if !utf8.Valid(body) {
		return nil, eris.Wrap(ErrBadJSON, "chat request is not UTF-8")
	}
	if err := checkJSON(body); err != nil {
		return nil, err
	}
	r := &ChatRequest{}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		return nil, eris.Wrap(ErrBadJSON, "chat request is not an object")
	}
	targets := map[string]any{
		"model":      &r.Model,
		"stream":     &r.Stream,
		"max_tokens": &r.MaxTokens,
		"messages":   &r.Messages,
	}
	for name, target := range targets {
		raw, ok := r.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return nil, eris.Wrapf(ErrBadJSON, "field %s of the chat request: %v", name, err)
		}
	}
	return r, nil
}

// Field returns the raw JSON of a field, or nil.
func (r *ChatRequest) Field(name string) json.RawMessage {
	return r.fields[name]
}

// Encode returns the body to pass on: the fields of the parsed body, with the
// current values of Stream, Model and MaxTokens. A streamed request asks for the
// usage, because routing needs the cached token count.
func (r *ChatRequest) Encode() ([]byte, error) {
	out := make(map[string]any, len(r.fields)+2)
	for name, raw := range r.fields {
		out[name] = raw
	}
	out["stream"] = r.Stream
	if r.Model != "" {
		out["model"] = r.Model
	}
	if r.MaxTokens > 0 {
		out["max_tokens"] = r.MaxTokens
	}
	if r.Stream {
		options, err := r.streamOptions()
		if err != nil {
			return nil, err
		}
		out["stream_options"] = options
	}
	return json.Marshal(out)
}

func (r *ChatRequest) streamOptions() (map[string]any, error) {
	options := map[string]any{}
	if raw, ok := r.fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, eris.Wrap(ErrBadJSON, "field stream_options of the chat request")
		}
	}
	if options == nil {
		options = map[string]any{}
	}
	options["include_usage"] = true
	return options, nil
}

// Characters counts the UTF-8 code points of text.
func Characters(text []byte) int {
	return utf8.RuneCount(text)
}

// CharacterIndex returns the byte index of the character at offset n, or
// len(text) when the text is shorter.
func CharacterIndex(text []byte, n int) int {
	i := 0
	for ; n > 0 && i < len(text); n-- {
		_, size := utf8.DecodeRune(text[i:])
		i += size
	}
	return i
}
