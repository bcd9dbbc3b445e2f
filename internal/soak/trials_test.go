package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Trials are faults of servers that each run plays while nothing else is disturbed: what
// they show needs a router in touch, or several servers that misbehave at once, which
// random faults seldom give.
const (
	kindTrialFailing = "server fails with large answers"
	kindTrialSilent  = "server silent beside others"
	kindTrialOdd     = "server gives odd answers"
	kindTrialNoID    = "server sends late refusals without an id"
)

const (
	// Callers that press send a request as soon as the one before is answered. Within
	// failingTime each repeat costs more of the retry budget than its request adds.
	failingTime    = 1 * time.Second
	pressingNumber = 8
	// quietTime is longer than routers wait for a server before they turn to another one:
	// three times the objective of the routes, or a second on streams.
	quietTime = 1300 * time.Millisecond
	oddTime   = 700 * time.Millisecond
	noIDTime  = 400 * time.Millisecond
	// One request in faultyShare gets an answer that ejects its server, so that servers are
	// seldom ejected before the end of the trial.
	faultyShare = 5
)

// playTrials plays the trials one after the other.
func (f *fleet) playTrials() {
	plain, engines := f.servers[:plainServers], f.servers[plainServers:]
	for f.version%shortTimeouts == shortTimeouts-1 {
		// A request with a short timeout has less time than its caller waits, which would
		// hide a deadline that is passed on as it is.
		f.publish()
	}
	f.repeatable.Store(true)
	pressing := f.press()
	f.try(kindTrialFailing, subjectNone, plain, failingTime, func(s *server) { s.SetFaults(failing(inTurn())) }, withoutFaults)
	pressing.Wait()
	time.Sleep(2 * faultMargin)
	f.try(kindTrialSilent, subjectServer, slices.Concat(plain[1:], engines[:len(engines)/2]), quietTime, func(s *server) { s.proxy.setMode(silent) }, func(s *server) {
		s.proxy.setMode(reset)
		s.proxy.setMode(pass)
	})
	f.repeatable.Store(false)
	odd := &oddAnswers{begun: map[string]platformtest.Fault{}, draw: inTurn()}
	unframed := engines[:len(engines)/2]
	setFraming(unframed, platformtest.Unframed)
	f.try(kindTrialOdd, subjectServer, f.servers, oddTime, func(s *server) { s.SetFaults(odd.choose) }, withoutFaults)
	setFraming(unframed, platformtest.Framed)
	f.try(kindTrialNoID, subjectServer, f.servers, noIDTime, func(s *server) {
		s.SetHabits(platformtest.Habits{Second: platformtest.SecondAnswer{
			Timing: platformtest.SecondWithNext, Status: http.StatusServiceUnavailable, NoID: true, NotRun: true,
		}})
		s.SetFaults(twice(inTurn()))
	}, func(s *server) {
		withoutFaults(s)
		s.SetHabits(platformtest.Habits{})
	})
}

// press sends safe requests without pauses for failingTime, as callers do that do not wait
// after a failure.
func (f *fleet) press() *sync.WaitGroup {
	var all sync.WaitGroup
	end := time.Now().Add(failingTime)
	for i := range pressingNumber {
		c := newCaller(f, fmt.Sprintf("p%d", i), rand.New(rand.NewPCG(*seedFlag, uint64(callersOfSoak+i)+2)))
		all.Go(func() {
			defer c.close()
			for time.Now().Before(end) {
				c.send(f.routers[i%len(f.routers)], "safe", steadyKey, answerTimeout)
			}
		})
	}
	return &all
}

// try lets servers misbehave at the same time and records the fault of each.
func (f *fleet) try(kind string, disrupt subject, servers []*server, length time.Duration, begin, end func(*server)) {
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() {
			f.recordFault(faultStarted{Kind: kind, Target: s.ID, Disrupt: disrupt}, func() {
				begin(s)
				time.Sleep(length)
				end(s)
			})
		})
	}
	all.Wait()
}

func withoutFaults(s *server) { s.SetFaults(nil) }

// setFraming sets how servers mark the ends of their answers.
func setFraming(servers []*server, framing platformtest.Framing) {
	for _, s := range servers {
		s.SetFraming(framing)
	}
}

// inTurn returns a function that returns the numbers from 0 on, one a call.
func inTurn() func() int {
	var mu sync.Mutex
	n := 0
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		n++
		return n - 1
	}
}

// failing returns the faults of a server that fails each request that may be repeated, and
// a few of the others: their failures would eject it.
func failing(turn func() int) func(*http.Request) platformtest.Fault {
	return func(r *http.Request) platformtest.Fault {
		if strings.HasPrefix(r.URL.Path, "/unsafe/") && turn()%faultyShare > 0 {
			return platformtest.None
		}
		return platformtest.FailLarge
	}
}

// twice returns the faults of a server that answers some requests twice.
func twice(turn func() int) func(*http.Request) platformtest.Fault {
	return func(*http.Request) platformtest.Fault {
		if turn()%faultyShare > 0 {
			return platformtest.None
		}
		return platformtest.AnswerTwice
	}
}

// oddAnswers chooses the faults of all servers. A request that a router sends on to another
// engine after one has broken off is continued there in an odd way; of those that a caller takes
// up, with another id, some begin again at their first event.
type oddAnswers struct {
	draw func() int

	mu    sync.Mutex
	begun map[string]platformtest.Fault
}

var (
	firstOdd = []platformtest.Fault{platformtest.Cut, platformtest.EndInEvent, platformtest.CutInLineEnd, platformtest.None,
		platformtest.CutBetween, platformtest.UndefinedStatus, platformtest.CutInLineEnd, platformtest.Switching, platformtest.Busy, platformtest.CutBetween}
	laterOdd = []platformtest.Fault{platformtest.StartAgain, platformtest.OtherSuccess}
	// takenUpOdd are the answers to streams that a caller takes up.
	takenUpOdd = []platformtest.Fault{platformtest.None, platformtest.StartAgain, platformtest.None}
)

func (o *oddAnswers) choose(r *http.Request) platformtest.Fault {
	id, n := r.Header.Get(platformtest.HeaderRequestID), o.draw()
	o.mu.Lock()
	defer o.mu.Unlock()
	first, again := o.begun[id]
	switch {
	case again && slices.Contains([]platformtest.Fault{platformtest.Cut, platformtest.CutBetween}, first):
		return laterOdd[n%len(laterOdd)]
	case again:
		return platformtest.None
	case r.Header.Get(platformtest.HeaderLastEvent) != "":
		return takenUpOdd[n%len(takenUpOdd)]
	}
	o.begun[id] = firstOdd[n%len(firstOdd)]
	return o.begun[id]
}

// slowTime lets most callers of a router be inside a stream.
const slowTime = 3 * longDelay

// killedInAnswers is a fault that each schedule has: a router is killed while its callers
// are inside answers that end with their connection.
var killedInAnswers = faultKind{"router killed inside answers", func(f *fleet, selector int, duration time.Duration) {
	r := f.routers[selector%len(f.routers)]
	f.setEngineDelay(longDelay)
	setFraming(f.servers[plainServers:], platformtest.Unframed)
	time.Sleep(slowTime)
	f.signal(r, syscall.SIGKILL)
	r.wait()
	setFraming(f.servers[plainServers:], platformtest.Framed)
	f.setEngineDelay(answerDelay)
	time.Sleep(duration)
	f.launch(r)
	f.awaitReady(r)
}}
