package answer

// checkJSON validates one JSON text and bounds its depth. Unlike json.Valid it
// takes nothing from a pool, so that it never allocates.
func checkJSON(data []byte) error {
	v := validator{data: data}
	v.space()
	if err := v.value(0); err != nil {
		return err
	}
	v.space()
	if v.pos != len(data) {
		return ErrBadJSON
	}
	return nil
}

type validator struct {
	data []byte
	pos  int
}

// next returns the byte at the position, or 0 at the end, which is valid nowhere.
func (v *validator) next() byte {
	if v.pos == len(v.data) {
		return 0
	}
	return v.data[v.pos]
}

func (v *validator) space() {
	for {
		switch v.next() {
		case ' ', '\t', '\r', '\n':
			v.pos++
		default:
			return
		}
	}
}

// take passes over one byte if it is c.
func (v *validator) take(c byte) bool {
	if v.next() != c {
		return false
	}
	v.pos++
	return true
}

func (v *validator) value(depth int) error {
	switch c := v.next(); c {
	case '{', '[':
		if depth == maxDepth {
			return ErrTooDeep
		}
		v.pos++
		return v.list(depth+1, c == '{')
	case '"':
		return require(v.str())
	case 't':
		return require(v.word("true"))
	case 'f':
		return require(v.word("false"))
	case 'n':
		return require(v.word("null"))
	}
	return require(v.number())
}

func require(ok bool) error {
	if !ok {
		return ErrBadJSON
	}
	return nil
}

// list reads the rest of an object or array after its first byte.
func (v *validator) list(depth int, object bool) error {
	end := byte(']')
	if object {
		end = '}'
	}
	v.space()
	if v.take(end) {
		return nil
	}
	for {
		v.space()
		if object && !v.name() {
			return ErrBadJSON
		}
		if err := v.value(depth); err != nil {
			return err
		}
		v.space()
		if v.take(end) {
			return nil
		}
		if !v.take(',') {
			return ErrBadJSON
		}
	}
}

// name reads a member's name with its colon and the space after it.
func (v *validator) name() bool {
	if !v.str() {
		return false
	}
	v.space()
	if !v.take(':') {
		return false
	}
	v.space()
	return true
}

func (v *validator) word(w string) bool {
	if len(v.data)-v.pos < len(w) || string(v.data[v.pos:v.pos+len(w)]) != w {
		return false
	}
	v.pos += len(w)
	return true
}

func (v *validator) str() bool {
	if !v.take('"') {
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
		return v.fourHex()
	}
	return false
}

func (v *validator) fourHex() bool {
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
	v.take('-')
	if !v.take('0') && !v.digits() {
		return false
	}
	if v.take('.') && !v.digits() {
		return false
	}
	if !v.take('e') && !v.take('E') {
		return true
	}
	if !v.take('+') {
		v.take('-')
	}
	return v.digits()
}

// digits reads one digit or more.
func (v *validator) digits() bool {
	start := v.pos
	for c := v.next(); c >= '0' && c <= '9'; c = v.next() {
		v.pos++
	}
	return v.pos > start
}
