package overload

import "time"

// answerWeight is the weight of one answer in the moving averages: a few dozen
// answers outweigh a slow one, and the averages follow a change within seconds.
const answerWeight = 1.0 / 32

// responseTimes holds moving averages of a pool's response times, without the
// wait for a slot.
type responseTimes struct {
	// firstByte is the time to the first byte, slotTime the time in a slot, both in
	// seconds.
	firstByte float64
	slotTime  float64
	// loadPerSlot is the load per slot at the arrival of all requests, refused ones
	// included. Admitted requests arrive at a lower load; the average over them
	// alone would overestimate the time in a slot.
	loadPerSlot float64
}

func (t *responseTimes) hasSamples() bool { return t.slotTime > 0 }

// firstByteWithoutWait returns the time to the first byte of a request that does
// not wait.
func (t *responseTimes) firstByteWithoutWait() time.Duration {
	return time.Duration(t.firstByte * float64(time.Second))
}

// recordLoad records the load at the arrival of a request.
func (t *responseTimes) recordLoad(load Load) {
	if t.loadPerSlot == 0 {
		t.loadPerSlot = 1
	}
	t.loadPerSlot += answerWeight * (load.perSlot() - t.loadPerSlot)
}

// wait estimates how long a request that arrives at a load waits for a slot.
func (t *responseTimes) wait(load Load) time.Duration {
	wait := (load.perSlot() - 1) * t.slotTime
	return time.Duration(wait * float64(time.Second))
}

// recordAnswer records the times of an answer, and returns its time to the first byte without the wait, in
// seconds. At a load of r per slot, a request spends 1/r of its total time in a slot and waits for the rest.
func (t *responseTimes) recordAnswer(firstByte, total time.Duration) float64 {
	inSlot := total.Seconds() / t.loadPerSlot
	withoutWait := max(firstByte.Seconds()-(t.loadPerSlot-1)*inSlot, 0)
	if !t.hasSamples() {
		t.firstByte, t.slotTime = withoutWait, inSlot
		return withoutWait
	}
	t.firstByte += answerWeight * (withoutWait - t.firstByte)
	t.slotTime += answerWeight * (inSlot - t.slotTime)
	return withoutWait
}
