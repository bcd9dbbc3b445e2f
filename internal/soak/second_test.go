package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a second answer of a server that is taken for the answer to the next
// request, or is joined with it: variants differ in when it comes, its status and id, and
// how much of it. The variants are drawn for each server.
func TestSecondAnswersBelongToNoRequest(t *testing.T) {
	f := startFleet(t, 1, *recordsFlag)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range callersOfSoak {
		c := newCaller(f, fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(*seedFlag, uint64(i))))
		callers.Go(func() { c.sendUntil(ctx) })
	}
	random := rand.New(rand.NewPCG(*seedFlag, 1))
	for end := time.Now().Add(time.Duration(*secondsFlag) * time.Second / 2); time.Now().Before(end); time.Sleep(secondPeriod) {
		for _, s := range f.servers {
			s.SetHabits(platformtest.Habits{Second: platformtest.VariantOfSecond(random.IntN(platformtest.VariantsOfSecond))})
			s.SetDefaultFault(platformtest.AnswerTwice)
		}
	}
	cancel()
	callers.Wait()
	f.records.add(callersStopped{})
	f.checkRecords()
}

// secondPeriod is long enough for some requests on each connection.
const secondPeriod = 100 * time.Millisecond
