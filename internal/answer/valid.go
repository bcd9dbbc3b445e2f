package answer

// checkJSON validates one JSON text and limits its depth. Unlike json.Valid it
// uses no pool, so that it never allocates.
func checkJSON(data []byte) error {
	v := validator{data: data}
	v.skipSpace()
	if err := v.value(0); err != nil {
		return err
	}
	v.skipSpace()
	if v.pos != len(data) {
		return ErrBadJSON
	}
	return nil
}

type validator struct {
	data []byte
	pos  int
}

// next returns the byte at the position, or at the end 0, which is never valid.
func (v *validator) next() byte {
	if v.pos == len(v.data) {
		return 0
	}
	return v.data[v.pos]
}

func (v *validator) skipSpace() {
	for {
		switch v.next() {
		case ' ', '\t', '\r', '\n':
			v.pos++
		default:
			return
		}
	}
}

// consume skips the next byte if it is c, and reports whether it is.
func (v *validator) consume(c byte) bool {
	if v.next() != c {
		return false
	}
	v.pos++
	return true
}

func (v *validator) value(depth int) error {
	switch c := v.next(); c {
	case '{', '[':
		if depth == maxJSONDepth {
			return ErrTooDeep
		}
		v.pos++
		return v.container(depth+1, c == '{')
	case '"':
		return errIfInvalid(v.stringLiteral())
	case 't':
		return errIfInvalid(v.literal("true"))
	case 'f':
		return errIfInvalid(v.literal("false"))
	case 'n':
		return errIfInvalid(v.literal("null"))
	}
	return errIfInvalid(v.number())
}

func errIfInvalid(ok bool) error {
	if !ok {
		return ErrBadJSON
	}
	return nil
}

// container reads the rest of an object or array after its first byte.
func (v *validator) container(depth int, object bool) error {
	end := byte(']')
	if object {
		end = '}'
	}
	v.skipSpace()
	if v.consume(end) {
		return nil
	}
	for {
		v.skipSpace()
		if object && !v.memberName() {
			return ErrBadJSON
		}
		if err := v.value(depth); err != nil {
			return err
		}
		v.skipSpace()
		if v.consume(end) {
			return nil
		}
		if !v.consume(',') {
			return ErrBadJSON
		}
	}
}

// memberName reads a member's name, the colon and the white space after it.
func (v *validator) memberName() bool {
	if !v.stringLiteral() {
		return false
	}
	v.skipSpace()
	if !v.consume(':') {
		return false
	}
	v.skipSpace()
	return true
}

func (v *validator) literal(text string) bool {
	if len(v.data)-v.pos < len(text) || string(v.data[v.pos:v.pos+len(text)]) != text {
		return false
	}
	v.pos += len(text)
	return true
}

func (v *validator) stringLiteral() bool {
	if !v.consume('"') {
		return false
	}
	for v.pos < len(v.data) {
		c := v.data[v.pos]
		v.pos++
		switch {
		case c == '"':
			return true
		case c < ' ':
			return false
		case c == '\\' && !v.escape():
			return false
		}
	}
	return false
}

func (v *validator) escape() bool {
	c := v.next()
	v.pos = min(v.pos+1, len(v.data))
	switch c {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		return v.fourHexDigits()
	}
	return false
}

func (v *validator) fourHexDigits() bool {
	for range 4 {
		c := v.next()
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
		v.pos++
	}
	return true
}

func (v *validator) number() bool {
	v.consume('-')
	if !v.consume('0') && !v.digits() {
		return false
	}
	if v.consume('.') && !v.digits() {
		return false
	}
	if !v.consume('e') && !v.consume('E') {
		return true
	}
	if !v.consume('+') {
		v.consume('-')
	}
	return v.digits()
}

// digits reads one digit or more and reports whether there was one.
func (v *validator) digits() bool {
	start := v.pos
	for c := v.next(); c >= '0' && c <= '9'; c = v.next() {
		v.pos++
	}
	return v.pos > start
}
