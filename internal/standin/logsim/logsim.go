// Package logsim is a stand-in for the platform's log service. It keeps streams
// in memory and has switches for the faults of the real service.
package logsim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// Options set the limits of a log. Zero values mean no limit.
type Options struct {
	// Clock is the log's clock; nil means the real clock.
	Clock clockwork.Clock
	// AppendsPerSecond limits the appends of all streams together.
	AppendsPerSecond float64
	// AppendBurst is the number of appends accepted at once; it defaults to
	// AppendsPerSecond.
	AppendBurst int
	// Retention is the age after which records can't be read any more.
	Retention time.Duration
}

// Log implements logstream.Log in process. It is safe for concurrent use.
type Log struct {
	clock     clockwork.Clock
	limiter   *rate.Limiter
	retention time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	delayed []delayedAppend
	calls   Calls
}

// Calls counts the calls that reached the log.
type Calls struct {
	Appends int
	Reads   int
}

type faults struct {
	down        bool
	readsFail   bool
	loseAnswers bool
	delay       bool
	slow        time.Duration
}

type stream struct {
	// records holds every record since the start, including those below the floor.
	records []logstream.Record
	floor   uint64
	// recordsAdded is closed and replaced when records are added.
	recordsAdded chan struct{}
}

type delayedAppend struct {
	stream string
	data   [][]byte
}

var _ logstream.Log = (*Log)(nil)

// errLostAnswer marks an append that was or will be applied without an answer.
var errLostAnswer = eris.Wrap(logstream.ErrUnavailable, "the answer to the append was lost")

// New returns an empty log.
func New(o Options) *Log {
	l := &Log{clock: o.Clock, retention: o.Retention, streams: map[string]*stream{}}
	if l.clock == nil {
		l.clock = clockwork.NewRealClock()
	}
	if o.AppendsPerSecond > 0 {
		burst := o.AppendBurst
		if burst == 0 {
			burst = max(1, int(o.AppendsPerSecond))
		}
		l.limiter = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), burst)
	}
	return l
}

// Append implements logstream.Log.
func (l *Log) Append(ctx context.Context, name string, data [][]byte) (uint64, error) {
	if err := l.waitSlow(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return 0, eris.Wrap(logstream.ErrUnavailable, "the log is down")
	}
	l.calls.Appends++
	if err := checkAppend(data); err != nil {
		return 0, err
	}
	if l.limiter != nil && !l.limiter.AllowN(l.clock.Now(), 1) {
		return 0, logstream.ErrRateLimited
	}
	if l.faults.delay {
		l.delayed = append(l.delayed, delayedAppend{stream: name, data: copyRecords(data)})
		return 0, errLostAnswer
	}
	first := l.apply(name, copyRecords(data))
	if l.faults.loseAnswers {
		return 0, errLostAnswer
	}
	return first, nil
}

// Read implements logstream.Log.
func (l *Log) Read(ctx context.Context, name string, offset uint64, maxRecords int, wait time.Duration) (logstream.Page, error) {
	if err := l.waitSlow(ctx); err != nil {
		return logstream.Page{}, err
	}
	if maxRecords < 1 || wait < 0 {
		return logstream.Page{}, eris.Wrap(logstream.ErrRefused, "max must be at least 1 and wait at least 0")
	}
	l.mu.Lock()
	l.calls.Reads++
	l.mu.Unlock()
	var timeout <-chan time.Time
	if wait > 0 {
		timer := l.clock.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.Chan()
	}
	for {
		page, recordsAdded, err := l.page(name, offset, maxRecords)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-recordsAdded:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return logstream.Page{}, eris.Wrapf(logstream.ErrUnavailable, "read abandoned: %v", ctx.Err())
		}
	}
}

// Records returns all records ever added to a stream, including those below the
// floor.
func (l *Log) Records(name string) []logstream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return append([]logstream.Record(nil), s.records...)
}

// Calls returns the numbers of calls that reached the log.
func (l *Log) Calls() Calls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// SetDown makes every call fail without effect.
func (l *Log) SetDown(on bool) {
	l.setFault(func(f *faults) { f.down = on })
}

// SetReadsFail makes reads fail; appends keep working.
func (l *Log) SetReadsFail(on bool) {
	l.setFault(func(f *faults) { f.readsFail = on })
}

// SetLoseAnswers makes appends take effect while their callers see a failure.
func (l *Log) SetLoseAnswers(on bool) {
	l.setFault(func(f *faults) { f.loseAnswers = on })
}

// SetDelayAppends makes appends fail at once and take effect when ApplyDelayed is
// called.
func (l *Log) SetDelayAppends(on bool) {
	l.setFault(func(f *faults) { f.delay = on })
}

// SetSlow delays every call by d on the log's clock before it is handled.
func (l *Log) SetSlow(d time.Duration) {
	l.setFault(func(f *faults) { f.slow = d })
}

// ClearFaults ends all faults and applies the delayed appends. It does not restore
// links that were cut.
func (l *Log) ClearFaults() {
	l.setFault(func(f *faults) { *f = faults{} })
	l.ApplyDelayed(-1)
}

// SetFloor makes the records of a stream below an offset unreadable. The floor
// never decreases and never passes the head.
func (l *Log) SetFloor(name string, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.raiseFloor(floor)
}

// DelayedAppends returns the number of appends that wait for ApplyDelayed.
func (l *Log) DelayedAppends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.delayed)
}

// ApplyDelayed applies the n oldest delayed appends, or all for a negative n.
func (l *Log) ApplyDelayed(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 0 || n > len(l.delayed) {
		n = len(l.delayed)
	}
	for _, d := range l.delayed[:n] {
		l.apply(d.stream, d.data)
	}
	l.delayed = l.delayed[n:]
}

func (l *Log) setFault(change func(*faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// waitSlow waits for the delay that SetSlow has set.
func (l *Log) waitSlow(ctx context.Context) error {
	l.mu.Lock()
	slow := l.faults.slow
	l.mu.Unlock()
	if slow <= 0 {
		return nil
	}
	select {
	case <-l.clock.After(slow):
		return nil
	case <-ctx.Done():
		return eris.Wrapf(logstream.ErrUnavailable, "call abandoned: %v", ctx.Err())
	}
}

func (l *Log) page(name string, offset uint64, maxRecords int) (logstream.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down || l.faults.readsFail {
		return logstream.Page{}, nil, eris.Wrap(logstream.ErrUnavailable, "the log is down")
	}
	s := l.stream(name)
	l.applyRetention(s)
	page := logstream.Page{Floor: s.floor, Head: s.head()}
	if offset < s.floor {
		return page, nil, logstream.ErrBelowFloor
	}
	size := 0
	for offset < page.Head && len(page.Records) < maxRecords && size < logstream.PageDataBytes {
		page.Records = append(page.Records, s.records[offset])
		size += len(s.records[offset].Data)
		offset++
	}
	return page, s.recordsAdded, nil
}

// apply adds records; the caller holds the lock.
func (l *Log) apply(name string, data [][]byte) uint64 {
	s := l.stream(name)
	first := s.head()
	now := l.clock.Now()
	for _, d := range data {
		s.records = append(s.records, logstream.Record{Offset: s.head(), Time: now, Data: d})
	}
	close(s.recordsAdded)
	s.recordsAdded = make(chan struct{})
	return first
}

// applyRetention raises the floor to the oldest record within the retention time;
// the caller holds the lock.
func (l *Log) applyRetention(s *stream) {
	if l.retention <= 0 {
		return
	}
	oldest := l.clock.Now().Add(-l.retention)
	for s.floor < s.head() && s.records[s.floor].Time.Before(oldest) {
		s.floor++
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{recordsAdded: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) head() uint64 {
	return uint64(len(s.records))
}

func (s *stream) raiseFloor(floor uint64) {
	s.floor = max(s.floor, min(floor, s.head()))
}

func checkAppend(data [][]byte) error {
	if len(data) == 0 || len(data) > logstream.MaxAppendRecords {
		return eris.Wrapf(logstream.ErrRefused, "%d records in one append", len(data))
	}
	for _, d := range data {
		if len(d) > logstream.MaxRecordBytes {
			return eris.Wrapf(logstream.ErrRefused, "record of %d bytes", len(d))
		}
	}
	return nil
}

func copyRecords(data [][]byte) [][]byte {
	out := make([][]byte, len(data))
	for i, d := range data {
		out[i] = append([]byte(nil), d...)
	}
	return out
}
