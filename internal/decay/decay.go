// Package decay counts events with weights that decay exponentially. It takes the time as an argument.
package decay

import (
	"math"
	"time"
)

// Count is a count that decays exponentially. The zero value is 0. It is not safe for concurrent use.
type Count struct {
	value float64
	at    time.Time
}

// At decays the count to a time and returns it. An earlier time than the last one leaves it as it is.
func (c *Count) At(now time.Time, halfLife time.Duration) float64 {
	if !c.at.IsZero() && now.After(c.at) {
		c.value *= math.Exp2(-now.Sub(c.at).Seconds() / halfLife.Seconds())
	}
	c.at = now
	return c.value
}

// Add decays the count to a time and adds a weight.
func (c *Count) Add(now time.Time, halfLife time.Duration, weight float64) {
	c.At(now, halfLife)
	c.value += weight
}

// Value returns the count as of the last call of At or Add.
func (c *Count) Value() float64 { return c.value }
