package router

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// newBootID returns a random number that tells this process from an earlier
// one on the same VM.
func newBootID() uint64 {
	var b [8]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// randomFloat is safe for concurrent use.
func randomFloat() float64 {
	return rand.Float64()
}
