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
	// HasUsage is set when the chunk contains a usage.
	HasUsage bool
	Usage    Usage
	// HasError is set when the engine reports an error inside the stream.
	HasError bool

	keyBuf    []byte
	reasonBuf []byte
}

// Parse reads one chunk. It reuses the buffers of c, so that a call does not
// allocate. The JSON must be valid and within the depth limit.
func (c *Chunk) Parse(data []byte) error {
	if err := checkJSON(data); err != nil {
		return err
	}
	c.Text, c.Characters, c.FinishReason = c.Text[:0], 0, ""
	c.HasUsage, c.HasError, c.Usage = false, false, Usage{}
	s := scanner{data: data}
	if !s.enterObject() {
		return ErrBadJSON
	}
	for s.nextMember(&c.keyBuf) {
		switch string(c.keyBuf) {
		case "choices":
			c.parseChoices(&s)
		case "usage":
			c.parseUsage(&s)
		case "error":
			c.HasError = s.peek() != 'n'
			s.skipValue()
		default:
			s.skipValue()
		}
	}
	c.Characters = utf8.RuneCount(c.Text)
	return nil
}

func (c *Chunk) parseChoices(s *scanner) {
	if s.peek() != '[' {
		s.skipValue()
		return
	}
	s.pos++
	for first := true; s.nextElement(); first = false {
		if !first || !s.enterObject() {
			s.skipValue()
			continue
		}
		c.parseChoice(s)
	}
}

func (c *Chunk) parseChoice(s *scanner) {
	for s.nextMember(&c.keyBuf) {
		switch {
		case string(c.keyBuf) == "delta" && s.enterObject():
			c.parseDelta(s)
		case string(c.keyBuf) == "finish_reason" && s.peek() == '"':
			c.reasonBuf = s.appendString(c.reasonBuf[:0])
			c.FinishReason = finishReason(c.reasonBuf)
		default:
			s.skipValue()
		}
	}
}

func (c *Chunk) parseDelta(s *scanner) {
	for s.nextMember(&c.keyBuf) {
		if string(c.keyBuf) == "content" && s.peek() == '"' {
			c.Text = s.appendString(c.Text[:0])
			continue
		}
		s.skipValue()
	}
}

func (c *Chunk) parseUsage(s *scanner) {
	if !s.enterObject() {
		s.skipValue()
		return
	}
	c.HasUsage = true
	for s.nextMember(&c.keyBuf) {
		switch {
		case string(c.keyBuf) == "prompt_tokens":
			c.Usage.PromptTokens = s.integer()
		case string(c.keyBuf) == "completion_tokens":
			c.Usage.CompletionTokens = s.integer()
		case string(c.keyBuf) == "total_tokens":
			c.Usage.TotalTokens = s.integer()
		case string(c.keyBuf) == "prompt_tokens_details" && s.enterObject():
			c.parsePromptTokensDetails(s)
		default:
			s.skipValue()
		}
	}
}

func (c *Chunk) parsePromptTokensDetails(s *scanner) {
	for s.nextMember(&c.keyBuf) {
		if string(c.keyBuf) == "cached_tokens" {
			c.Usage.PromptTokensDetails.CachedTokens = s.integer()
			continue
		}
		s.skipValue()
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

// scanner reads JSON that checkJSON has accepted.
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

// enterObject enters an object and reports whether there is one.
func (s *scanner) enterObject() bool {
	if s.peek() != '{' {
		return false
	}
	s.pos++
	return true
}

// nextMember reads the next member's name into key, or leaves the object.
func (s *scanner) nextMember(key *[]byte) bool {
	if c := s.peek(); c != '"' {
		s.pos++
		return false
	}
	*key = s.appendString((*key)[:0])
	return true
}

// nextElement reports whether the array has another element, or leaves the array.
func (s *scanner) nextElement() bool {
	if c := s.peek(); c == ']' || c == 0 {
		s.pos++
		return false
	}
	return true
}

// skipValue skips one value.
func (s *scanner) skipValue() {
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

// integer reads a number. It returns 0 for a value that is negative, not an
// integer or above about 10^13.
func (s *scanner) integer() int {
	s.peek()
	start := s.pos
	s.skipValue()
	n := 0
	for _, c := range s.data[start:s.pos] {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0
		}
		n = n*10 + int(c-'0')
	}
	return n
}

// appendString appends the string at the current position, with its escapes
// decoded.
func (s *scanner) appendString(dst []byte) []byte {
	s.pos++
	for s.data[s.pos] != '"' {
		c := s.data[s.pos]
		s.pos++
		if c != '\\' {
			dst = append(dst, c)
			continue
		}
		dst = s.appendEscape(dst)
	}
	s.pos++
	return dst
}

func (s *scanner) appendEscape(dst []byte) []byte {
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
		return utf8.AppendRune(dst, s.codePoint())
	}
	return append(dst, c)
}

// codePoint reads the digits of a \u escape and, for a surrogate, the second
// escape of the pair.
func (s *scanner) codePoint() rune {
	r := s.hexDigits()
	if !utf16.IsSurrogate(r) {
		return r
	}
	if s.data[s.pos] != '\\' || s.data[s.pos+1] != 'u' {
		return utf8.RuneError
	}
	s.pos += 2
	low := s.hexDigits()
	full := utf16.DecodeRune(r, low)
	if full == utf8.RuneError {
		// Not a pair: the second escape is decoded on its own.
		s.pos -= 6
	}
	return full
}

func (s *scanner) hexDigits() rune {
	v, err := strconv.ParseUint(string(s.data[s.pos:s.pos+4]), 16, 32)
	s.pos += 4
	if err != nil {
		return utf8.RuneError
	}
	return rune(v)
}
