package overload

import "time"

// answerWeight is the weight of one answer in the averages: some dozens of
// answers outweigh a slow one, and seconds of work follow a change.
const answerWeight = 1.0 / 32

// responseTimes are the averages of a pool's answers, without the wait for a slot.
type responseTimes struct {
	// firstByte is the time to the first byte, whole the time in a slot, in seconds.
	firstByte float64
	total     float64
	// perSlot is the load for each slot as all requests find it. Those that are
	// admitted find less, so their own loads would make the time in a slot seem
	// longer than it is.
	perSlot float64
}

func (t *responseTimes) hasSamples() bool { return t.total > 0 }

// firstByteAlone is the time to the first byte of a request that does not wait.
func (t *responseTimes) firstByteAlone() time.Duration {
	return time.Duration(t.firstByte * float64(time.Second))
}

// recordLoad notes the load that a request finds.
func (t *responseTimes) recordLoad(load Load) {
	if t.perSlot == 0 {
		t.perSlot = 1
	}
	t.perSlot += answerWeight * (load.perSlot() - t.perSlot)
}

// expected is the time to the first byte of a request that arrives at a load:
// the wait until those before it have ended, and the first byte's own time.
func (t *responseTimes) expected(load Load) time.Duration {
	wait := (load.perSlot() - 1) * t.total
	return time.Duration((wait + t.firstByte) * float64(time.Second))
}

// recordAnswer takes an answer. Where requests find r others for each slot, each has
// spent one part in r of its time in a slot, and waited in the rest.
func (t *responseTimes) recordAnswer(firstByte, total time.Duration) {
	inSlot := total.Seconds() / t.perSlot
	alone := max(firstByte.Seconds()-(t.perSlot-1)*inSlot, 0)
	if !t.hasSamples() {
		t.firstByte, t.total = alone, inSlot
		return
	}
	t.firstByte += answerWeight * (alone - t.firstByte)
	t.total += answerWeight * (inSlot - t.total)
}
