package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// fingerprint returns what identifies a request that comes again: its method, target, caller
// and body. The id of a request is new each time. The hash is cryptographic, so that
// nobody can make a request that is taken for that of another caller.
func (c *call) fingerprint() uint64 {
	if c.fingerprintOf == 0 {
		h := sha256.New()
		for _, field := range []string{c.r.Method, c.r.Host, c.r.RequestURI, c.workspace.Name} {
			// A hash returns no errors.
			_, _ = io.WriteString(h, field)
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(c.body)
		c.fingerprintOf = binary.BigEndian.Uint64(h.Sum(nil))
	}
	return c.fingerprintOf
}

// fingerprintField returns the fingerprint for a log line, and nothing when the request has
// not been read.
func (c *call) fingerprintField() []any {
	if !c.bodyRead {
		return nil
	}
	return []any{"fingerprint", strconv.FormatUint(c.fingerprint(), 16)}
}
