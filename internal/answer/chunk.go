package answer

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// Chunk is the part of one streamed chat-completions chunk that routing needs.
// Only the first choice is read. Its buffers are reused by Parse.
type Chunk struct {
	// Text is the text delta, valid until the next Parse.
	Text []byte
	// Characters is the length of Text in code points.
	Characters int
	// FinishReason is empty until the last chunk of the choice.
	FinishReason string
	// HasUsage tells whether Usage was present.
	HasUsage bool
	Usage    Usage
	// HasError is set when the engine reports an error inside the stream.
	HasError bool

	key []byte
	str []byte
}

// Parse reads one chunk without allocating for each call. The JSON must be
// valid and within the depth limit.
func (c *Chunk) Parse(data []byte) error {
	if err := checkJSON(data); err != nil {
		return err
	}
	c.Text, c.Characters, c.FinishReason = c.Text[:0], 0, ""
	c.HasUsage, c.HasError, c.Usage = false, false, Usage{}
	s := scanner{data: data}
	if !s.object() {
		return ErrBadJSON
	}
	for s.member(&c.key) {
		switch string(c.key) {
		case "choices":
			c.choices(&s)
		case "usage":
			c.usage(&s)
		case "error":
			c.HasError = s.peek() != 'n'
			s.skip()
		default:
			s.skip()
		}
	}
	c.Characters = utf8.RuneCount(c.Text)
	return nil
}

func (c *Chunk) choices(s *scanner) {
	if s.peek() != '[' {
		s.skip()
		return
	}
	s.pos++
	for first := true; s.element(); first = false {
		if !first || !s.object() {
			s.skip()
			continue
		}
		c.choice(s)
	}
}

func (c *Chunk) choice(s *scanner) {
	for s.member(&c.key) {
		switch {
		case string(c.key) == "delta" && s.object():
			c.delta(s)
		case string(c.key) == "finish_reason" && s.peek() == '"':
			c.str = s.text(c.str[:0])
			c.FinishReason = finishReason(c.str)
		default:
			s.skip()
		}
	}
}

func (c *Chunk) delta(s *scanner) {
	for s.member(&c.key) {
		if string(c.key) == "content" && s.peek() == '"' {
			c.Text = s.text(c.Text[:0])
			continue
		}
		s.skip()
	}
}

func (c *Chunk) usage(s *scanner) {
	if !s.object() {
		s.skip()
		return
	}
	c.HasUsage = true
	for s.member(&c.key) {
		switch {
		case string(c.key) == "prompt_tokens":
			c.Usage.PromptTokens = s.integer()
		case string(c.key) == "completion_tokens":
			c.Usage.CompletionTokens = s.integer()
		case string(c.key) == "total_tokens":
			c.Usage.TotalTokens = s.integer()
		case string(c.key) == "prompt_tokens_details" && s.object():
			c.details(s)
		default:
			s.skip()
		}
	}
}

func (c *Chunk) details(s *scanner) {
	for s.member(&c.key) {
		if string(c.key) == "cached_tokens" {
			c.Usage.PromptTokensDetails.CachedTokens = s.integer()
			continue
		}
		s.skip()
	}
}

// finishReason avoids an allocation for the usual reasons.
func finishReason(b []byte) string {
	switch string(b) {
	case FinishStop:
		return FinishStop
	case FinishLength:
		return FinishLength
	}
	return string(b)
}

// scanner walks JSON that is known to be valid.
type scanner struct {
	data []byte
	pos  int
}

// peek skips white space and separators and returns the next byte, or 0.
func (s *scanner) peek() byte {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n', ',', ':':
			s.pos++
		default:
			return s.data[s.pos]
		}
	}
	return 0
}

// object enters an object and reports whether there is one.
func (s *scanner) object() bool {
	if s.peek() != '{' {
		return false
	}
	s.pos++
	return true
}

// member reads the next member's name into key, or leaves the object.
func (s *scanner) member(key *[]byte) bool {
	if c := s.peek(); c != '"' {
		s.pos++
		return false
	}
	*key = s.text((*key)[:0])
	return true
}

// element reports whether the array has another element, or leaves the array.
func (s *scanner) element() bool {
	if c := s.peek(); c == ']' || c == 0 {
		s.pos++
		return false
	}
	return true
}

// skip passes over one value.
func (s *scanner) skip() {
	depth := 0
	for {
		switch s.peek() {
		case 0:
			return
		case '"':
			s.skipString()
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		default:
			s.skipLiteral()
		}
		if depth <= 0 {
			return
		}
	}
}

func (s *scanner) skipString() {
	for s.pos++; s.data[s.pos] != '"'; s.pos++ {
		if s.data[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos++
}

func (s *scanner) skipLiteral() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n', ',', ':', '}', ']':
			return
		}
		s.pos++
	}
}

// integer reads a number; a value that is no integer counts as 0.
func (s *scanner) integer() int {
	s.peek()
	start := s.pos
	s.skip()
	n := 0
	for _, c := range s.data[start:s.pos] {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0
		}
		n = n*10 + int(c-'0')
	}
	return n
}

// text appends the string at the current position, without its escapes.
func (s *scanner) text(dst []byte) []byte {
	s.pos++
	for s.data[s.pos] != '"' {
		c := s.data[s.pos]
		s.pos++
		if c != '\\' {
			dst = append(dst, c)
			continue
		}
		dst = s.escape(dst)
	}
	s.pos++
	return dst
}

func (s *scanner) escape(dst []byte) []byte {
	c := s.data[s.pos]
	s.pos++
	switch c {
	case 'n':
		return append(dst, '\n')
	case 't':
		return append(dst, '\t')
	case 'r':
		return append(dst, '\r')
	case 'b':
		return append(dst, '\b')
	case 'f':
		return append(dst, '\f')
	case 'u':
		return utf8.AppendRune(dst, s.unicode())
	}
	return append(dst, c)
}

// unicode reads four hex digits and, for a surrogate, the second half.
func (s *scanner) unicode() rune {
	r := s.hex()
	if !utf16.IsSurrogate(r) {
		return r
	}
	if s.data[s.pos] != '\\' || s.data[s.pos+1] != 'u' {
		return utf8.RuneError
	}
	s.pos += 2
	low := s.hex()
	full := utf16.DecodeRune(r, low)
	if full == utf8.RuneError {
		// The second escape stands for itself.
		s.pos -= 6
	}
	return full
}

func (s *scanner) hex() rune {
	v, err := strconv.ParseUint(string(s.data[s.pos:s.pos+4]), 16, 32)
	s.pos += 4
	if err != nil {
		return utf8.RuneError
	}
	return rune(v)
}
