package front

import (
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Routers that do not read the store for the others get new versions of the configuration as differences from a reader, so that
// they need not call the store. What they can't apply they read as without differences.

// configSource is where the configuration in force comes from.
type configSource string

const (
	configFromStore  configSource = "store"
	configFromRouter configSource = "router"
)

// configUpdate is a version of the configuration that may be put in force.
type configUpdate struct {
	config routing.Config
	// text is the text of the record, and position its place in the store.
	text     []byte
	position logpos.Position
	// next is the position up to which the topic was read: no later record before it has a newer configuration. It is
	// logpos.None when a record before it could not be decoded here, since another router may be able to.
	next   logpos.Position
	source configSource
}

// maxOutgoing bounds the differences that wait to be sent. A reader reads four times a second at most, and sends at least as
// often.
const maxOutgoing = 4

// maxWholeConfigs bounds the whole texts of which a starting router keeps parts.
const maxWholeConfigs = 2

// Results of a difference, as counted.
const (
	differenceSent       = "sent"
	differenceTooLarge   = "too_large"
	differenceNotMade    = "not_made"
	differenceApplied    = "applied"
	differenceLate       = "late"
	differenceEarlierEra = "earlier_era"
	differenceUnusable   = "unusable"
	differenceWholeSent  = "whole_sent"
	differenceWhole      = "whole_applied"
	differenceHeldBack   = "whole_held_back"
)

// differences has the texts of the last configurations, the differences that others have sent and those that are to be sent. All
// methods are safe for concurrent use.
type differences struct {
	scope tally.Scope
	reads tally.Counter
	// wake is signalled when a difference may be applied.
	wake chan struct{}

	mu       sync.Mutex
	texts    configdiff.Texts
	received configdiff.Collector
	// applying is the difference that is being applied, since applyingAt; nil for none.
	applying   *configdiff.Difference
	applyingAt time.Time
	outgoing   []configdiff.Difference
	// wholes are whole texts that a starting router gets.
	wholes configdiff.Collector
	// position is that of the text in force. wholeText is that text as a difference without a base once wholeTried is set, and has no
	// payload when it could not be made.
	position   logpos.Position
	wholeText  configdiff.Difference
	wholeTried bool
	// source is where the configuration in force comes from.
	source configSource
	// knownTo is the position up to which the topic is known from others: where the sender of an applied difference had read to.
	knownTo logpos.Position
}

func newDifferences(scope tally.Scope) *differences {
	return &differences{scope: scope, reads: scope.Counter("config_reads"), wake: make(chan struct{}, 1), knownTo: logpos.None, wholes: configdiff.Collector{Max: maxWholeConfigs}}
}

func (d *differences) count(result string) {
	d.scope.Tagged(map[string]string{"result": result}).Counter("config_differences").Inc(1)
}

// signal makes the tracker's goroutine look for differences that it can apply.
func (d *differences) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// putInForce records the text of a configuration that is put in force. With send it queues the difference to it. The
// differences of others that start from the text can be applied then.
func (d *differences) putInForce(u configUpdate, send bool) {
	d.mu.Lock()
	base, _ := d.texts.Newest()
	d.texts.Add(u.text)
	d.source, d.position, d.wholeText, d.wholeTried = u.source, u.position, configdiff.Difference{}, false
	d.wholes = configdiff.Collector{Max: maxWholeConfigs}
	d.mu.Unlock()
	d.signal()
	if !send || base == nil || u.next == logpos.None {
		return
	}
	difference, err := configdiff.Make(base, u.text)
	if err != nil {
		d.count(makeFailure(err))
		return
	}
	difference.Position, difference.Next = u.position, u.next
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outgoing) < maxOutgoing {
		d.outgoing = append(d.outgoing, difference)
	}
}

// makeFailure returns the result that is counted for an error of configdiff.Make or configdiff.MakeWhole.
func makeFailure(err error) (result string) {
	if errors.Is(err, configdiff.ErrTooLarge) {
		return differenceTooLarge
	}
	return differenceNotMade
}

// takeOutgoing returns the differences that are to be sent.
func (d *differences) takeOutgoing() []configdiff.Difference {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.outgoing
	d.outgoing = nil
	return list
}

// receive handles a part of a difference from another router, or of a whole text while there is none in force. It does not wait for
// the tracker's goroutine, which decodes a configuration for up to some tenths of a second.
func (d *differences) receive(p configdiff.Part) {
	d.mu.Lock()
	collector := &d.received
	if p.Base == configdiff.NoBase {
		collector = &d.wholes
	}
	text, _ := d.texts.Newest()
	complete := (text == nil || collector == &d.received) && collector.Add(time.Now(), p)
	d.mu.Unlock()
	if complete {
		d.signal()
	}
}

// expects reports whether a difference has arrived that leads to the version at a position or to a later one and is about to be
// applied. The store need not be read for it meanwhile.
func (d *differences) expects(now time.Time, position logpos.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.texts.Has
	if a := d.applying; a != nil && now.Sub(d.applyingAt) < configdiff.ApplyTime {
		if !a.Position.Before(position) {
			return true
		}
		known = func(h configdiff.Hash) bool { return h == a.Text || d.texts.Has(h) }
	}
	for _, r := range d.received.Reachable(now, known) {
		if !r.Position.Before(position) {
			return true
		}
	}
	return false
}

// next returns a difference that can be applied and the text from which it starts, and ends the one before.
func (d *differences) next() (difference configdiff.Difference, base []byte, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applying = nil
	difference, found = d.received.Take(d.texts.Has)
	if found {
		d.applying, d.applyingAt = &difference, time.Now()
	}
	return difference, d.texts.Find(difference.Base), found
}

// nextWhole returns a whole text that another router has sent.
func (d *differences) nextWhole() (configdiff.Difference, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholes.Take(func(base configdiff.Hash) bool { return base == configdiff.NoBase })
}

// whole returns the text in force as a difference without a base. found is false for one that the store may have lost, since its
// era is before era, and for one that could not be made, which is counted. The text is compressed once for each version, and not
// under the lock: parts of differences arrive meanwhile.
func (d *differences) whole(era int64) (whole configdiff.Difference, found bool) {
	text, position, whole, tried := d.wholeInForce()
	if text == nil || position.Era < era {
		return configdiff.Difference{}, false
	}
	if !tried {
		var err error
		if whole, err = configdiff.MakeWhole(text); err != nil {
			d.count(makeFailure(err))
			whole = configdiff.Difference{}
		}
		whole.Position, whole.Next = position, logpos.Position{Era: position.Era, Offset: position.Offset + 1}
		d.keepWhole(text, whole)
	}
	if whole.Payload == nil {
		return configdiff.Difference{}, false
	}
	d.count(differenceWholeSent)
	return whole, true
}

// wholeInForce returns the text in force with its position, and its compressed form if that was tried.
func (d *differences) wholeInForce() (text []byte, position logpos.Position, whole configdiff.Difference, tried bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ = d.texts.Newest()
	return text, d.position, d.wholeText, d.wholeTried
}

// keepWhole keeps the compressed form of a text, which has no payload when it is too large, while the text is in force.
func (d *differences) keepWhole(text []byte, whole configdiff.Difference) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if newest, _ := d.texts.Newest(); len(newest) > 0 && &newest[0] == &text[0] {
		d.wholeText, d.wholeTried = whole, true
	}
}

// recordKnown records the position up to which the sender of an applied difference had read the topic.
func (d *differences) recordKnown(next logpos.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knownTo = logpos.Max(d.knownTo, next)
}

// knownPosition returns knownTo; logpos.None before the first difference.
func (d *differences) knownPosition() logpos.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knownTo
}

// status returns where the configuration in force comes from and the hash of its text.
func (d *differences) status() (source configSource, hash configdiff.Hash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, hash = d.texts.Newest()
	return d.source, hash
}

// applyDifferences puts the versions in force that other routers have sent as differences. It runs on the goroutine of run.
func (t *tracker) applyDifferences() {
	for {
		whole, found := t.differences.nextWhole()
		if !found {
			break
		}
		t.differences.count(t.applyWhole(whole))
	}
	for {
		difference, base, found := t.differences.next()
		if !found {
			return
		}
		t.differences.count(t.applyDifference(difference, base))
	}
}

// applyDifference applies a difference and returns its result.
func (t *tracker) applyDifference(d configdiff.Difference, base []byte) (result string) {
	if t.progress.isApplied(digest.TopicConfig, d.Position) {
		return differenceLate
	}
	if d.Position.Era < t.eras.Current() {
		// The store may have lost the version. What it has in the present era is read.
		return differenceEarlierEra
	}
	text, config, err := t.decodeDifference(d, base)
	if err != nil {
		return differenceUnusable
	}
	if old := t.state.Table(); old == nil || config.Version <= old.Version() {
		return differenceLate
	}
	t.activateConfig(configUpdate{config: config, text: text, position: d.Position, next: d.Next, source: configFromRouter})
	t.differences.recordKnown(d.Next)
	return differenceApplied
}

// decodeDifference returns the text to which a difference leads, and its configuration. It logs an error.
func (t *tracker) decodeDifference(d configdiff.Difference, base []byte) (text []byte, config routing.Config, err error) {
	text, err = d.Apply(base)
	if err == nil {
		config, err = t.platform.DecodeConfig(text)
	}
	if err != nil {
		t.events.Emit(event.ConfigDifferenceUnusable, "era", d.Position.Era, "offset", d.Position.Offset, "bytes", len(d.Payload), "error", err.Error())
	}
	return text, config, err
}

// applyWhole puts the configuration in force that another router has sent to this one, which is starting, unless the own read
// was faster or has brought a newer one that is held back. It may be held back as one that was read.
func (t *tracker) applyWhole(d configdiff.Difference) (result string) {
	if t.state.Table() != nil {
		return differenceLate
	}
	if d.Position.Era < t.eras.Current() {
		return differenceEarlierEra
	}
	text, config, err := t.decodeDifference(d, nil)
	if err != nil {
		return differenceUnusable
	}
	if t.held != nil && t.held.config.Version >= config.Version {
		return differenceLate
	}
	t.activateConfig(configUpdate{config: config, text: text, position: d.Position, next: d.Next, source: configFromRouter})
	if t.state.Table() == nil {
		return differenceHeldBack
	}
	return differenceWhole
}

// configKnownTo returns the position up to which this router has everything in the configuration's topic from other routers:
// the configurations as differences and the evacuations in digests. Its own reads need not begin before it. It is logpos.None
// for a reader, which reads all itself.
func (t *tracker) configKnownTo() logpos.Position {
	known := t.differences.knownPosition()
	asOf := t.evacuations.asOf()
	if t.exchange.Reading() || asOf.Era != known.Era || asOf.Before(known) {
		return logpos.None
	}
	return known
}
