package router

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against ends of attempts that nobody hears of because the router closes after their message was queued and before it was
// written: the new owner counts the attempts for 10 s more, and then queries the engines.
func TestEndsWhoseMessageMayNotBeWrittenAreReportedAtTheClose(t *testing.T) {
	clock := clockwork.NewFakeClock()
	flushed := make(chan int, 10)
	e := &endedAttempts{ids: map[string][][]byte{}, clock: clock, flush: func(_ string, ids [][]byte) { flushed <- len(ids) }}
	send := func(id byte) {
		e.add("p", []byte{id})
		clock.Advance(endedBatchDelay)
		if n := <-flushed; n != 1 {
			t.Fatalf("%d attempts in a message, want 1", n)
		}
	}
	send(1)
	clock.Advance(endedResendTime + time.Millisecond)
	send(2)
	e.add("p", []byte{3})
	if all := e.takeAll()["p"]; len(all) != 2 || all[0][0] != 3 || all[1][0] != 2 {
		t.Errorf("%v at the close, want the attempts 3 and 2", all)
	}
	if all := e.takeAll(); len(all) != 0 {
		t.Errorf("%v at a second close, want none", all)
	}
}
