package decay

import (
	"math"
	"testing"
	"time"
)

// Guards against a count that does not halve in each half-life, or that grows when the clock goes back.
func TestCountHalvesInEachHalfLife(t *testing.T) {
	const halfLife = 2 * time.Second
	start := time.Unix(1000, 0)
	var c Count
	if got := c.At(start, halfLife); got != 0 {
		t.Errorf("count %v before the first event, want 0", got)
	}
	c.Add(start, halfLife, 8)
	for i, step := range []struct {
		after time.Duration
		want  float64
	}{{0, 8}, {2 * time.Second, 4}, {2 * time.Second, 4}, {6 * time.Second, 1}, {5 * time.Second, 1}} {
		got := c.At(start.Add(step.after), halfLife)
		if math.Abs(got-step.want) > 1e-9 || c.Value() != got {
			t.Errorf("step %d: count %v, Value %v, want %v", i, got, c.Value(), step.want)
		}
	}
}
