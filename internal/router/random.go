package router

import (
	"math/rand/v2"
)

// randomFloat returns a random number in [0, 1). It is safe for concurrent use.
func randomFloat() float64 {
	return rand.Float64()
}
