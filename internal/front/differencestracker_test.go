package front

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// difference returns a difference between configurations whose first letter is their version.
func difference(t *testing.T, base, text string, position logpos.Position) configdiff.Difference {
	t.Helper()
	d, err := configdiff.Make([]byte(base), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d.Position, d.Next = position, logpos.Position{Era: position.Era, Offset: position.Offset + 1}
	return d
}

// receive handles the parts of a difference as one that another router has sent.
func (tr trackerRouter) receive(d configdiff.Difference) {
	for _, p := range d.Split() {
		tr.differences.receive(p)
	}
}

// Guards against a router that goes back to an older version, puts a wrong one in force, or misses one, when differences are
// late, doubled, reordered, lead from another text, name a wrong result, do not decode, or are of an earlier era; and against a
// reported position of a version that is not in force.
func TestReceivedDifferences(t *testing.T) {
	const long = "-0123456789012345678901234567890123456789"
	wrongText := difference(t, "3"+long, "5"+long, at(9))
	wrongText.Text[0]++
	damaged := difference(t, "3"+long, "5"+long, at(9))
	damaged.Payload = slices.Clone(damaged.Payload)
	damaged.Payload[0]++
	noConfig := difference(t, "3"+long, "x"+long, at(9))
	for _, c := range []struct {
		name string
		list []configdiff.Difference
		// version and offset are those in force and reported afterwards.
		version, offset int64
		unusable        int
	}{
		{"one", []configdiff.Difference{difference(t, "3"+long, "4"+long, at(9))}, 4, 9, 0},
		{"two in order", []configdiff.Difference{difference(t, "3"+long, "4"+long, at(9)), difference(t, "4"+long, "5"+long, at(10))}, 5, 10, 0},
		{"two reordered", []configdiff.Difference{difference(t, "4"+long, "5"+long, at(10)), difference(t, "3"+long, "4"+long, at(9))}, 5, 10, 0},
		{"doubled", []configdiff.Difference{difference(t, "3"+long, "4"+long, at(9)), difference(t, "3"+long, "4"+long, at(9))}, 4, 9, 0},
		{"readers with other versions between", []configdiff.Difference{difference(t, "3"+long, "4"+long, at(9)), difference(t, "3"+long, "6"+long, at(11))}, 6, 11, 0},
		{"late", []configdiff.Difference{difference(t, "3"+long, "6"+long, at(11)), difference(t, "3"+long, "4"+long, at(9))}, 6, 11, 0},
		{"position that was read", []configdiff.Difference{difference(t, "3"+long, "4"+long, at(4))}, 3, 5, 0},
		{"lower version", []configdiff.Difference{difference(t, "3"+long, "2"+long, at(9))}, 3, 5, 0},
		{"same version", []configdiff.Difference{difference(t, "3"+long, "3"+long+"+", at(9))}, 3, 5, 0},
		{"another text", []configdiff.Difference{difference(t, "3", "4"+long, at(9))}, 3, 5, 0},
		{"later era", []configdiff.Difference{difference(t, "3"+long, "4"+long, logpos.Position{Era: 1, Offset: 2})}, 4, 2, 0},
		{"wrong hash of the result", []configdiff.Difference{wrongText}, 3, 5, 1},
		{"damaged", []configdiff.Difference{damaged}, 3, 5, 1},
		{"no configuration", []configdiff.Difference{noConfig}, 3, 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTrackerRouter(t)
			tr.config("config", "3"+long, 5)
			for _, d := range c.list {
				tr.receive(d)
			}
			tr.applyDifferences()
			last := tr.progress.report(time.Now(), 0).Topics[digest.TopicConfig].LastChange
			if tr.version() != c.version || last.Offset != c.offset {
				t.Errorf("version %d is in force and %s reported; want %d and offset %d", tr.version(), last, c.version, c.offset)
			}
			if got := strings.Count(tr.log.String(), "cannot be applied"); got != c.unusable {
				t.Errorf("%d differences are logged as unusable, want %d", got, c.unusable)
			}
			if tr.differences.expects(time.Now(), at(9)) {
				t.Error("the store is not read for a difference that was handled")
			}
		})
	}
}

// Guards against a difference of an era that the store has left, which this router has seen with the servers' topic only.
func TestDifferenceOfAnEraBeforeTheStoresIsNotApplied(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.config("config", "3", 5)
	enterEra(t, tr, 1)
	tr.receive(difference(t, "3", "4", at(9)))
	if tr.applyDifferences(); tr.version() != 3 {
		t.Errorf("version %d is in force, want 3", tr.version())
	}
}

// Guards against a router that starts and puts a difference in force before it has a configuration of its own, or while that is
// held back.
func TestStartingRouterAppliesNoDifference(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.receive(difference(t, "3", "4", at(9)))
	if tr.applyDifferences(); tr.version() != 0 {
		t.Errorf("version %d is in force before the first one", tr.version())
	}
	tr.firstStart = false
	tr.startedAt = time.Now().Add(time.Hour)
	tr.config("config", "3", 5)
	if tr.applyDifferences(); tr.version() != 0 {
		t.Errorf("version %d is in force while the first one is held back", tr.version())
	}
	tr.startedAt = time.Now().Add(-firstDigestWait)
	tr.releaseHeld()
	if tr.applyDifferences(); tr.version() != 4 {
		t.Errorf("version %d is in force after the first one, want 4 of the difference that arrived before", tr.version())
	}
}

// Guards against a router that reads the store for a version whose difference it has, and against one that does not read for a
// later version or for a difference that it can't apply.
func TestStoreIsNotReadForExpectedVersions(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.config("config", "3", 5)
	now := time.Now()
	tr.receive(difference(t, "4", "5", at(10)))
	if tr.differences.expects(now, at(10)) {
		t.Error("a difference from a text that this router lacks is expected")
	}
	tr.receive(difference(t, "3", "4", at(9)))
	for offset, want := range map[int64]bool{9: true, 10: true, 11: false} {
		if got := tr.differences.expects(now, at(offset)); got != want {
			t.Errorf("version at %d is expected: %v, want %v", offset, got, want)
		}
	}
	if tr.differences.expects(now.Add(2*configdiff.ApplyTime), at(9)) {
		t.Error("a difference that is not applied is expected for good")
	}
}

// Guards against a router that reads records again which it has from others, and against one that skips an evacuation that it does
// not know.
func TestOwnReadsBeginAfterWhatOthersHaveTold(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.platform.EvacuatedDataCentre = func(string) (string, bool) { return "", false }
	tr.applyConfig(feed.Batch{Full: true, Records: []feed.Record{{Key: "config", Value: []byte("3"), Offset: 5}}, Next: at(6)})
	if got := tr.configKnownTo(); got != logpos.None {
		t.Errorf("told up to %s without a difference", got)
	}
	tr.receive(difference(t, "3", "4", at(9)))
	tr.applyDifferences()
	if got := tr.configKnownTo(); got != logpos.None {
		t.Errorf("told up to %s without the evacuations up to there", got)
	}
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(10)}, true)
	if got := tr.configKnownTo(); got != at(10) {
		t.Errorf("told up to %s, want 10", got)
	}
}

// Guards against a difference that makes others skip a record which this router can't decode, and against differences of
// versions that this router has not read itself.
func TestDifferencesAreMadeOfWhatWasRead(t *testing.T) {
	tr := newTrackerRouter(t)
	update := func(text string, next logpos.Position) configUpdate {
		return configUpdate{text: []byte(text), position: at(9), next: next, source: configFromStore}
	}
	tr.differences.putInForce(update("3", at(10)), true)
	if got := tr.differences.takeOutgoing(); len(got) != 0 {
		t.Errorf("%d differences to the first version", len(got))
	}
	tr.differences.putInForce(update("4", logpos.None), true)
	if got := tr.differences.takeOutgoing(); len(got) != 0 {
		t.Error("a difference although a record could not be decoded")
	}
	tr.differences.putInForce(update("5", at(10)), false)
	if got := tr.differences.takeOutgoing(); len(got) != 0 {
		t.Error("a difference of a router that does not read for the others")
	}
	tr.differences.putInForce(update("6", at(10)), true)
	got := tr.differences.takeOutgoing()
	if len(got) != 1 || got[0].Base != configdiff.HashOf([]byte("5")) || got[0].Position != at(9) || got[0].Next != at(10) {
		t.Errorf("differences %v, want one from the text in force", got)
	}
	if len(tr.differences.takeOutgoing()) != 0 {
		t.Error("a difference is sent twice")
	}
	for _, c := range []struct {
		records []feed.Record
		next    logpos.Position
	}{
		{[]feed.Record{{Key: "config", Value: []byte("7"), Offset: 20}, {Key: "config", Value: []byte("6"), Offset: 21}}, at(22)},
		{[]feed.Record{{Key: "config", Value: []byte("8"), Offset: 22}, {Key: "config", Value: []byte("x"), Offset: 23}}, logpos.None},
	} {
		tr := newTrackerRouter(t)
		tr.firstStart = false
		tr.startedAt = time.Now().Add(time.Hour)
		tr.applyConfig(feed.Batch{Records: c.records, Next: at(c.records[1].Offset + 1)})
		if tr.held == nil || tr.held.next != c.next || tr.held.position != at(c.records[0].Offset) {
			t.Errorf("%+v of %v, want the first with next %s", tr.held, c.records, c.next)
		}
	}
}

// enterEra makes the store answer the follower of the servers in an era.
func enterEra(t *testing.T, tr trackerRouter, era int64) {
	t.Helper()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	f := feed.New(eraSource(era), feed.Options{
		Timing: func() feed.Timing { return feed.Timing{Timeout: time.Second} }, PeerPosition: func() logpos.Position { return logpos.None },
		Eras: &tr.eras, EraReported: func(int64) time.Time { return time.Time{} },
	}, tr.newObserver(ended, digest.TopicServers, nil))
	f.Step(t.Context())
	if tr.eras.Current() != era {
		t.Fatalf("era %d, want %d", tr.eras.Current(), era)
	}
}

// eraSource is an empty topic of a store in an era.
type eraSource int64

func (s eraSource) Newest(context.Context) (feed.Page, error) { return feed.Page{Era: int64(s)}, nil }

func (s eraSource) Read(context.Context, int64, time.Duration) (feed.Page, error) {
	return feed.Page{Era: int64(s)}, nil
}

// Guards against failures of the compressor that are counted as configurations that are too large.
func TestFailureToMakeADifferenceIsCountedByItsCause(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{configdiff.ErrTooLarge, differenceTooLarge},
		{fmt.Errorf("difference: %w", configdiff.ErrTooLarge), differenceTooLarge},
		{configdiff.ErrEmpty, differenceNotMade},
		{errors.New("cannot compress a configuration"), differenceNotMade},
	} {
		if got := makeFailure(c.err); got != c.want {
			t.Errorf("%v is counted as %q, want %q", c.err, got, c.want)
		}
	}
}

// Guards against a starting router that takes a whole configuration which is older than what it has read or holds back, that the
// store may have lost, or that is wrong; and against a held configuration that is replaced by an older one.
func TestStartingRouterTakesAWholeConfiguration(t *testing.T) {
	whole := func(text string, position logpos.Position) configdiff.Difference {
		d, err := configdiff.MakeWhole([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		d.Position, d.Next = position, logpos.Position{Era: position.Era, Offset: position.Offset + 1}
		return d
	}
	wrong := whole("4", at(9))
	wrong.Text[0]++
	for _, c := range []struct {
		name    string
		prepare func(tr trackerRouter)
		d       configdiff.Difference
		want    int64
	}{
		{"nothing read", func(trackerRouter) {}, whole("4", at(9)), 4},
		{"read already", func(tr trackerRouter) { tr.config("config", "3", 5) }, whole("4", at(9)), 3},
		{"earlier era", func(tr trackerRouter) { enterEra(t, tr, 1) }, whole("4", at(9)), 0},
		{"wrong hash", func(trackerRouter) {}, wrong, 0},
		{"unreadable", func(trackerRouter) {}, whole("x", at(9)), 0},
	} {
		tr := newTrackerRouter(t)
		c.prepare(tr)
		tr.receive(c.d)
		if tr.applyDifferences(); tr.version() != c.want {
			t.Errorf("%s: version %d is in force, want %d", c.name, tr.version(), c.want)
		}
	}
	tr := newTrackerRouter(t)
	tr.firstStart = false
	tr.startedAt = time.Now().Add(time.Hour)
	for _, c := range []struct {
		text string
		want int64
	}{{"4", 4}, {"3", 4}, {"5", 5}} {
		tr.receive(whole(c.text, at(9)))
		if tr.applyDifferences(); tr.version() != 0 || tr.held == nil || tr.held.config.Version != c.want {
			t.Errorf("held back: %+v after %s, want version %d", tr.held, c.text, c.want)
		}
	}
}

// Guards against a router that gives a starting one a version that the store may have lost, and against one that gives another
// text than that in force.
func TestWholeConfigurationIsThatInForce(t *testing.T) {
	tr := newTrackerRouter(t)
	if _, found := tr.differences.whole(0); found {
		t.Error("a configuration before the first one")
	}
	for offset, text := range map[int64]string{5: "3", 6: "4"} {
		tr.differences.putInForce(configUpdate{text: []byte(text), position: at(offset), next: at(offset + 1)}, false)
		d, found := tr.differences.whole(0)
		if got, err := d.Apply(nil); !found || err != nil || string(got) != text || d.Position != at(offset) {
			t.Errorf("configuration %q at %s, error %v; want %s at %d", got, d.Position, err, text, offset)
		}
	}
	if _, found := tr.differences.whole(1); found {
		t.Error("a configuration of an era that is over")
	}
}
