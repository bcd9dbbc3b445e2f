package answer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Format of request ids; sizes are in bytes.
const (
	randomBytes   = 16
	tagBytes      = 16
	maxIDLength   = 512
	idLabel       = "bluebellwell request id v1"
	idSeparator   = "."
	numIDSections = 3
)

// Errors of CheckRequestID.
var (
	// ErrBadID means that the text does not have the form of a request id.
	ErrBadID = errors.New("malformed request id")
	// ErrForeignID means that the id belongs to another workspace or was not
	// created with this key.
	ErrForeignID = errors.New("request id of another workspace")
)

// NewAttemptID returns a random 128-bit id as 32 hex digits.
func NewAttemptID() string {
	var b [randomBytes]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewRequestID returns a random 128-bit request id that names the pool and is
// bound to the workspace by an HMAC under key. The workspace cannot be read
// from it. All its characters are allowed in a URL path.
func NewRequestID(key []byte, workspace, pool string) string {
	return RequestIDOf(key, NewAttemptID(), workspace, pool)
}

// RequestIDOf returns the request id with a given random part.
func RequestIDOf(key []byte, random, workspace, pool string) string {
	return strings.Join([]string{
		random,
		base64.RawURLEncoding.EncodeToString([]byte(pool)),
		hex.EncodeToString(requestTag(key, random, workspace, pool)),
	}, idSeparator)
}

// RandomPart returns the random part of a request id, which is unique by itself.
func RandomPart(requestID string) string {
	random, _, _ := strings.Cut(requestID, idSeparator)
	return random
}

// CheckRequestID returns the pool of an id that NewRequestID created with the
// same key for the workspace. Otherwise it returns ErrBadID or ErrForeignID.
func CheckRequestID(key []byte, workspace, id string) (pool string, err error) {
	sections := strings.Split(id, idSeparator)
	if len(id) > maxIDLength || len(sections) != numIDSections || len(sections[0]) != 2*randomBytes {
		return "", ErrBadID
	}
	name, err := base64.RawURLEncoding.Strict().DecodeString(sections[1])
	if err != nil {
		return "", ErrBadID
	}
	tag, err := hex.DecodeString(sections[2])
	if err != nil || len(tag) != tagBytes {
		return "", ErrBadID
	}
	if !hmac.Equal(tag, requestTag(key, sections[0], workspace, string(name))) {
		return "", ErrForeignID
	}
	return string(name), nil
}

// requestTag returns a truncated HMAC over the parts. Each part is preceded by
// its length, so that different lists of parts never give the same input.
func requestTag(key []byte, parts ...string) []byte {
	mac := hmac.New(sha256.New, key)
	for _, p := range append([]string{idLabel}, parts...) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		mac.Write(size[:])
		mac.Write([]byte(p))
	}
	return mac.Sum(nil)[:tagBytes]
}
