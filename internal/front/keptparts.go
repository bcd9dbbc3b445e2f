package front

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
)

const (
	// partsKey is the key of the quarantined parts.
	partsKey = "quarantined-parts"
	// partsInterval is how often a router checks whether the parts must be written, and
	// partsRefresh how often they are written without a change, so that their age is known.
	partsInterval = 500 * time.Millisecond
	partsRefresh  = 10 * time.Minute
	// partsTimeout bounds one call. A failed one is repeated after minPartsWait, which
	// doubles up to maxPartsWait.
	partsTimeout = time.Second
	minPartsWait = 200 * time.Millisecond
	maxPartsWait = 5 * time.Second
)

// keptParts is the value of partsKey.
type keptParts struct {
	// WrittenAt is the time of day in Unix milliseconds. Only minutes matter.
	WrittenAt int64      `json:"written_at_ms"`
	Parts     []keptPart `json:"parts"`
}

// keptPart is a quarantined part; its times were true at WrittenAt.
type keptPart struct {
	Part        uint64 `json:"part,string"`
	Request     bool   `json:"request,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	IdleMS      int64  `json:"idle_ms"`
	NextTrialMS int64  `json:"next_trial_ms"`
	Trials      int    `json:"trials"`
}

// partKeeper keeps the quarantined parts in the store. One goroutine owns it.
type partKeeper struct {
	*Front
	// stored identifies what the store has, as far as this router knows.
	stored    string
	writtenAt time.Time
}

// keepParts reads the quarantined parts once, since all routers may have restarted, and
// writes them when they change. Requests do not wait for it.
func (f *Front) keepParts(ctx context.Context) error {
	k := &partKeeper{Front: f, stored: f.partsIdentity(nil)}
	if !f.settings.FirstStart && !k.retry(ctx, k.read) {
		return nil
	}
	tick := time.NewTicker(partsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if k.due() && !k.retry(ctx, k.write) {
			return nil
		}
	}
}

// retry calls f until it succeeds, and returns false when ctx ends before. The first failure in
// a row is logged.
func (k *partKeeper) retry(ctx context.Context, f func(context.Context) error) bool {
	for wait := minPartsWait; ; wait = min(2*wait, maxPartsWait) {
		call, cancel := context.WithTimeout(ctx, partsTimeout)
		err := f(call)
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if wait == minPartsWait {
			k.events.Emit(event.PartsNotKept, "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
}

// due reports whether this router must write the parts: the first reader of the store does. The store answers it.
func (k *partKeeper) due() bool {
	entries := k.state.PartEntries()
	changed := k.partsIdentity(entries) != k.stored
	old := len(entries) > 0 && time.Since(k.writtenAt) >= partsRefresh
	return (changed || old) && k.exchange.IsFirstReader()
}

// partsIdentity identifies parts by what a change of must be written. In a new era the store may
// have lost them.
func (f *Front) partsIdentity(entries []quarantine.Entry) string {
	if len(entries) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "era %d", f.tracker.eras.Current())
	for _, e := range entries {
		fmt.Fprintf(&b, ",%x:%d", e.Part, e.Trials)
	}
	return b.String()
}

func (k *partKeeper) read(ctx context.Context) error {
	value, _, err := k.platform.Memory.Read(ctx, partsKey)
	if err != nil || value == nil {
		return err
	}
	var kept keptParts
	if err := json.Unmarshal(value, &kept); err != nil {
		// Another attempt would read the same.
		k.events.Emit(event.PartsNotKept, "error", err.Error())
		return nil
	}
	entries := kept.entries(time.Now())
	k.state.ApplyPartReport(quarantine.Report{Entries: entries})
	k.stored, k.writtenAt = k.partsIdentity(entries), time.Now()
	k.events.Emit(event.PartsRead, "parts", len(entries))
	return nil
}

// entries returns the parts as they are now.
func (k *keptParts) entries(now time.Time) []quarantine.Entry {
	elapsed := max(now.Sub(time.UnixMilli(k.WrittenAt)), 0)
	entries := make([]quarantine.Entry, 0, len(k.Parts))
	for _, p := range k.Parts {
		entries = append(entries, quarantine.Entry{
			Part: p.Part, Request: p.Request, Trials: max(p.Trials, 0),
			Age: milliseconds(p.AgeMS) + elapsed, Idle: milliseconds(p.IdleMS) + elapsed, NextTrial: max(milliseconds(p.NextTrialMS)-elapsed, 0),
		})
	}
	return entries
}

// milliseconds returns a duration that is neither negative nor longer than a day, against
// damaged records.
func milliseconds(n int64) time.Duration {
	const longest = 24 * time.Hour
	return time.Duration(min(max(n, 0), longest.Milliseconds())) * time.Millisecond
}

func (k *partKeeper) write(ctx context.Context) error {
	entries := k.state.PartEntries()
	kept := keptParts{WrittenAt: time.Now().UnixMilli(), Parts: []keptPart{}}
	for _, e := range entries {
		kept.Parts = append(kept.Parts, keptPart{
			Part: e.Part, Request: e.Request, Trials: e.Trials, AgeMS: e.Age.Milliseconds(), IdleMS: e.Idle.Milliseconds(), NextTrialMS: e.NextTrial.Milliseconds(),
		})
	}
	value, err := json.Marshal(kept)
	if err != nil {
		return eris.Wrap(err, "cannot encode the quarantined parts")
	}
	if err := k.platform.Memory.Write(ctx, partsKey, value); err != nil {
		return err
	}
	k.stored, k.writtenAt = k.partsIdentity(entries), time.Now()
	k.events.Emit(event.PartsWritten, "parts", len(entries))
	return nil
}
