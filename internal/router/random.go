package router

import (
	"math/rand/v2"
)

// randomFloat is safe for concurrent use.
func randomFloat() float64 {
	return rand.Float64()
}
