package feed

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// lateSource answers after a time on the clock of its test.
type lateSource struct {
	now     *time.Time
	delay   time.Duration
	records []Record
}

func (s *lateSource) Newest(context.Context) (Page, error) { return s.answer() }

func (s *lateSource) Read(context.Context, int64, time.Duration) (Page, error) { return s.answer() }

func (s *lateSource) answer() (Page, error) {
	*s.now = s.now.Add(s.delay)
	return Page{Next: 6, Records: s.records}, nil
}

// asOfRecorder keeps the time that the last call was said to show.
type asOfRecorder struct {
	recorder
	asOf time.Time
}

func (r *asOfRecorder) CallEnded(asOf time.Time, _ bool) { r.asOf = asOf }

// Guards against an answer that is dated by its arrival: the store gave it before a partition, and it was on the way for as long
// as that lasted. A router took it as a sign that no server had come meanwhile.
func TestAnswerShowsWhatTheStoreHadWhenItAnswered(t *testing.T) {
	t.Parallel()
	const wait = time.Second
	record := []Record{{Key: "k", Offset: 5}}
	for name, c := range map[string]struct {
		delay   time.Duration
		records []Record
		list    bool
		want    time.Duration
	}{
		"nothing came in the whole wait":     {delay: wait + 10*time.Millisecond, want: wait},
		"the same, on the way for long":      {delay: wait + 4*time.Second, want: wait},
		"nothing, before the wait's end":     {delay: wait / 2, want: 0},
		"a record":                           {delay: wait / 2, records: record, want: 0},
		"a record after the wait":            {delay: 4 * time.Second, records: record, want: 0},
		"the list":                           {delay: 10 * time.Millisecond, records: record, list: true, want: 0},
		"an empty list, on the way for long": {delay: 4 * time.Second, list: true, want: 0},
	} {
		now := time.Now()
		begun := now
		r := &asOfRecorder{}
		f := overdueFollower(&lateSource{&now, c.delay, c.records}, r, Timing{Wait: wait, Timeout: time.Minute})
		f.now = func() time.Time { return now }
		f.position, f.answeredAt = position{next: logpos.Position{Offset: 5}, complete: !c.list}, now
		f.Step(t.Context())
		if got := r.asOf.Sub(begun); got != c.want {
			t.Errorf("%s: as of %v after the begin of the call, want %v", name, got, c.want)
		}
	}
}
