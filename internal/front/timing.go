package front

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/feed"
)

const (
	// configWait is how long a read waits at the store for a new record. A store that does not answer this router is
	// noticed only when the wait is over. What follows then, until all routers know a change, takes 0.8 s, and a change
	// must be in force within 2 s.
	configWait = 800 * time.Millisecond
	// configPause is the time between two reads. It bounds their rate while the
	// configuration changes often.
	configPause = 250 * time.Millisecond
	// callOverdue is how long after its wait a call of a reader may have no answer until another router takes over.
	callOverdue = 250 * time.Millisecond
	// answerMaxAge is how old the last answer of the store may be when a router says that it reads for the others: a
	// wait or a pause between polls, and the time of a call with a large answer.
	answerMaxAge = 1500 * time.Millisecond
	// serversPause is the time between two reads of the servers' topic while
	// heartbeats are records: a wait at the store would end at once.
	serversPause = 900 * time.Millisecond
	// nonReaderPause is the time between two reads of a router that receives
	// changes from the readers, in case all of them miss one.
	nonReaderPause = 30 * time.Second
	// callTimeout bounds a call to the store beyond its wait. nonReaderTimeout does
	// so for routers that are not readers: their calls return many records and are
	// not urgent.
	callTimeout      = time.Second
	nonReaderTimeout = 4 * time.Second
	// nonReaderBackoff is the longest wait of such a router after a failed call: the
	// store may turn it away while it serves the readers.
	nonReaderBackoff = time.Second
	// configSettle is how long such a router waits after reading a change of the
	// configuration before it reads the next one. It is well below the time in which a change
	// must be in force.
	configSettle = 500 * time.Millisecond
	// minOutage is the shortest outage of the store after which entries of live
	// servers may have expired. It is below three of their heartbeats, which are
	// 1.2 s apart.
	minOutage = 2 * time.Second
)

// timing returns full for a router that is not ready or that reads the store for
// all, and a slow timing for the others, which receive the changes. When the whole system starts for
// the first time all wait for the same records, and those that are not readers receive them too.
func (t *tracker) timing(full feed.Timing) func() feed.Timing {
	return func() feed.Timing {
		if t.exchange.IsReader() || !t.ready() && !t.firstStart {
			return full
		}
		return nonReaderTiming
	}
}

// nonReaderTiming is the timing of a router that receives changes from the readers.
var nonReaderTiming = feed.Timing{Pause: nonReaderPause, Timeout: nonReaderTimeout, MaxBackoff: nonReaderBackoff}

// configTiming returns the timing for the configuration.
func (t *tracker) configTiming() func() feed.Timing {
	timing := t.timing(feed.Timing{Wait: configWait, Pause: configPause, Timeout: callTimeout, Overdue: callOverdue})
	return func() feed.Timing { return forConfig(timing()) }
}

// forConfig adapts a timing to the configuration. Its calls return little and are
// short for all routers: one that hangs while the store is silent delays the
// configuration when the outage has ended.
func forConfig(timing feed.Timing) feed.Timing {
	timing.Timeout = callTimeout
	if timing.Wait == 0 {
		timing.Settle = configSettle
	}
	return timing
}

// serversTiming returns a timing that waits at the store for changes of servers, or
// one that polls while heartbeats are records, since these end every wait.
func (t *tracker) serversTiming() func() feed.Timing {
	waiting := t.timing(feed.Timing{Wait: configWait, Pause: configPause, Timeout: callTimeout, Overdue: callOverdue})
	polling := t.timing(feed.Timing{Pause: serversPause, Timeout: callTimeout, Overdue: callOverdue})
	return func() feed.Timing {
		if t.heartbeatRecords.Load() {
			return polling()
		}
		return waiting()
	}
}
