package intent

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Limits of the fields of a record. A record that exceeds them has no effect.
const (
	maxUIDBytes = 64
	// MaxBodyBytes is the largest answer body that an outcome stores.
	MaxBodyBytes = 2 << 10
	// maxHeaderBytes limits the headers that an outcome stores.
	maxHeaderBytes = 1 << 10
	// maxGenerations limits the voids that a caller can make the fold store by
	// repeating a key that never runs.
	maxGenerations = 1000
)

// Limits are the time limits of a fold. All routers must use the same values.
type Limits struct {
	// Window is the maximum age of a key.
	Window time.Duration
	// Margin covers the difference between any two clocks, and backward steps
	// of the log's clock.
	Margin time.Duration
}

// retention is how long an entry is kept after its first record. No later
// record of its key can have an effect.
func (l Limits) retention() time.Duration {
	return l.Window + 2*l.Margin
}

// Entry is the state of one key. The zero value has no generation.
type Entry struct {
	// Generation is the open generation, or the one whose holder ran the key.
	Generation uint32
	// Holder is the uid that won the generation, or empty.
	Holder string
	// Fencing is the offset of the holder's intent plus 1, because 0 means no
	// fencing number in messages and requests.
	Fencing uint64
	Digest  [digestBytes]byte
	// IssuedMillis is the key's issue time in Unix milliseconds.
	IssuedMillis int64
	// StartedMillis is the log time of the holder's intent in Unix milliseconds.
	StartedMillis int64
	// Limit is the time after StartedMillis by which the holder's request has ended.
	Limit time.Duration
	// Outcome is the holder's outcome, or nil.
	Outcome *peerpb.RunOutcome
	// Withdrawn lists the uids that voids have withdrawn. Later intents with these
	// uids have no effect.
	Withdrawn []string
}

// insertion records when the entry of a key was added.
type insertion struct {
	at int64
	id ID
}

// Fold is the state of one intent stream. Two folds have the same state for a
// key if they have read the same records since the key's earliest possible
// record, whatever they read before it. It is not safe for concurrent use.
type Fold struct {
	limits Limits
	next   uint64
	// newest is the highest record time in Unix milliseconds.
	newest  int64
	entries map[ID]*Entry
	// insertions is sorted by time, oldest first.
	insertions []insertion
}

// NewFold returns an empty fold that starts at an offset.
func NewFold(limits Limits, start uint64) *Fold {
	return &Fold{limits: limits, next: start, entries: map[ID]*Entry{}}
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() uint64 { return f.next }

// Newest returns the highest record time seen, or the zero time.
func (f *Fold) Newest() time.Time {
	if f.newest == 0 {
		return time.Time{}
	}
	return time.UnixMilli(f.newest)
}

// Len returns the number of keys.
func (f *Fold) Len() int { return len(f.entries) }

// Lookup returns the entry of a key. The caller must not change its slices.
func (f *Fold) Lookup(id ID) (Entry, bool) {
	e, ok := f.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Apply adds the record at an offset with its log time, and reports whether it
// had an effect. Records below Next are ignored. A record that does not decode
// has no effect.
func (f *Fold) Apply(offset uint64, t time.Time, data []byte) bool {
	if offset < f.next {
		return false
	}
	f.next = offset + 1
	at := t.UnixMilli()
	f.newest = max(f.newest, at)
	f.dropExpired()
	var rec peerpb.IntentRecord
	if proto.Unmarshal(data, &rec) != nil {
		return false
	}
	switch kind := rec.Kind.(type) {
	case *peerpb.IntentRecord_Intent:
		return f.applyIntent(offset, at, kind.Intent)
	case *peerpb.IntentRecord_Void:
		return f.applyVoid(at, kind.Void)
	case *peerpb.IntentRecord_Outcome:
		return f.applyOutcome(kind.Outcome)
	}
	return false
}

func (f *Fold) applyIntent(offset uint64, at int64, r *peerpb.Intent) bool {
	e, ok := f.getOrCreate(at, r.Id, r.Uid, r.IssuedUnixMs)
	if !ok || e.Holder != "" || r.Generation != e.Generation || slices.Contains(e.Withdrawn, r.Uid) {
		return false
	}
	e.Holder = r.Uid
	e.Fencing = offset + 1
	e.StartedMillis = at
	e.Limit = time.Duration(r.LimitMs) * time.Millisecond
	e.Digest = [digestBytes]byte{}
	copy(e.Digest[:], r.Digest)
	return true
}

// applyVoid withdraws the uid even if the void's generation is closed:
// otherwise a late intent of the uid could hold a key that no router runs.
func (f *Fold) applyVoid(at int64, r *peerpb.Void) bool {
	e, ok := f.getOrCreate(at, r.Id, r.Uid, r.IssuedUnixMs)
	if !ok || e.Outcome != nil || slices.Contains(e.Withdrawn, r.Uid) {
		return false
	}
	e.Withdrawn = append(e.Withdrawn, r.Uid)
	free := e.Holder == "" && r.Generation == e.Generation
	if !free && e.Holder != r.Uid {
		return true
	}
	e.Generation++
	e.Holder = ""
	return true
}

func (f *Fold) applyOutcome(r *peerpb.RunOutcome) bool {
	if len(r.Id) != idBytes || r.Uid == "" || len(r.Body) > MaxBodyBytes {
		return false
	}
	e, ok := f.entries[ID(r.Id)]
	if !ok || e.Holder != r.Uid || e.Outcome != nil {
		return false
	}
	e.Outcome = r
	return true
}

// getOrCreate returns the entry that an intent or void applies to, and creates
// it if needed. It makes the checks that both kinds share. The window is
// checked against the record's own time, so that folds that started at
// different offsets agree.
func (f *Fold) getOrCreate(at int64, rawID []byte, uid string, issuedMillis int64) (*Entry, bool) {
	if len(rawID) != idBytes || uid == "" || len(uid) > maxUIDBytes {
		return nil, false
	}
	margin, window := f.limits.Margin.Milliseconds(), f.limits.Window.Milliseconds()
	if at < issuedMillis-margin || at > issuedMillis+window {
		return nil, false
	}
	id := ID(rawID)
	e, ok := f.entries[id]
	if !ok {
		e = &Entry{Generation: 1, IssuedMillis: issuedMillis}
		f.entries[id] = e
		f.insertions = append(f.insertions, insertion{at: f.newest, id: id})
	}
	return e, e.IssuedMillis == issuedMillis
}

// dropExpired removes entries whose keys are too old for any record to have an
// effect.
func (f *Fold) dropExpired() {
	oldest := f.newest - f.limits.retention().Milliseconds()
	n := 0
	for n < len(f.insertions) && f.insertions[n].at < oldest {
		delete(f.entries, f.insertions[n].id)
		n++
	}
	f.insertions = f.insertions[n:]
}
