package intent

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

const (
	idBytes     = 16
	digestBytes = 16
	uidBytes    = 12
)

// ID identifies a key of a workspace. It is a truncated SHA-256 hash, so that no
// caller can choose a key that collides with a key of another workspace, and so
// that the log does not contain the keys themselves.
type ID [idBytes]byte

// KeyID returns the ID of a key of a workspace.
func KeyID(workspace, key string) ID {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write(length[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	return ID(h.Sum(nil)[:idBytes])
}

// StreamOf returns the number of a key's intent stream, from 0 to streams-1.
func StreamOf(workspace, key string, streams int) int {
	id := KeyID(workspace, key)
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(streams))
}

// StreamName returns the name of an intent stream in the log.
func StreamName(stream int) string {
	return fmt.Sprintf("intent-%02d", stream)
}

// NewUID returns a random uid for one submission of a request.
func NewUID() string {
	var b [uidBytes]byte
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(b[:])
	return base64.RawURLEncoding.EncodeToString(b[:])
}
