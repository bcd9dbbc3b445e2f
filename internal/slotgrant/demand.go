package slotgrant

import (
	"math"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// demandHalfLife is the half-life of the numbers of questions from which their rates are derived.
	demandHalfLife = time.Second
	// maxPriority is the highest priority that is told apart.
	maxPriority = routing.MaxPriority
)

// demand counts the questions of each place in the order: by level of their workspace (see excessLevels) and by priority.
type demand struct {
	counts [excessLevels][maxPriority + 1]float64
	at     time.Time
}

func (d *demand) decayTo(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	for i := range d.counts {
		for j := range d.counts[i] {
			d.counts[i][j] *= factor
		}
	}
	d.at = now
}

func (d *demand) add(now time.Time, excess, priority int) {
	d.decayTo(now)
	d.counts[excess][priority]++
}

// perSecond returns the rate of all questions, per second.
func (d *demand) perSecond(now time.Time) float64 { return d.ahead(now, excessLevels, 0) }

// ahead returns the rate, per second, of the questions which come before one of a level and a priority, however late they arrive. At
// a constant rate a count that decays settles at rate * demandHalfLife / ln 2.
func (d *demand) ahead(now time.Time, excess, priority int) float64 {
	d.decayTo(now)
	sum := 0.0
	for i := range d.counts[:min(excess+1, excessLevels)] {
		for j := range d.counts[i] {
			if i < excess || j < priority {
				sum += d.counts[i][j]
			}
		}
	}
	return sum * math.Ln2 / demandHalfLife.Seconds()
}
