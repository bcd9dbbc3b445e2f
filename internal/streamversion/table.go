// Package streamversion remembers which software version of a server began each stream. What
// two versions write does not fit together, so a stream may go on only at the version that
// began it, also when its caller takes it up at another router.
//
// Streams and versions are hashes. A Table does no I/O, takes the time as an argument and is
// not safe for concurrent use.
package streamversion

import (
	"net/netip"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

const (
	// KeepTime is how long a stream is remembered after its first event. It is longer than
	// streams last, and a caller takes one up at once or not at all.
	KeepTime = 2 * time.Minute
	// maxStreams bounds the streams that are remembered.
	maxStreams = 16384
	// sweepInterval is the time between two searches for streams to forget.
	sweepInterval = 5 * time.Second
)

// Stream identifies a stream by the ID of the request that brought its first event.
type Stream uint64

// AnyStream is no stream. Who is asked for it says whether there has been one version only.
const AnyStream Stream = 0

// StreamOf returns the stream of a request's ID.
func StreamOf(requestID string) Stream { return Stream(placement.Hash(requestID)) }

// StreamOfPart returns what stands for the streams whose prompt ends with a part, which belongs to one
// request or session only.
func StreamOfPart(partHash uint64) Stream { return Stream(placement.Mix(partHash, 1)) }

// Version is the hash of the version of a server's software. Zero is no version.
type Version uint64

// VersionOf returns the hash of a version.
func VersionOf(text string) Version { return Version(max(placement.Hash(text), 1)) }

// Record states which version began a stream.
type Record struct {
	Stream  Stream
	Version Version
}

// Source is the router that has sent records.
type Source struct {
	Router netip.Addr
	// AsOf is the time of which the router has read the servers that the store had; zero for one that does not read the store.
	AsOf time.Time
}

type entry struct {
	version Version
	at      time.Time
	// own is set when this router relayed the first event.
	own bool
}

// Table holds the versions of streams.
type Table struct {
	entries map[Stream]entry
	sweptAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Stream]entry)} }

// Record remembers the version of a stream; own is set when this router relays it. The first
// version that is known of a stream stays. When there is no room the stream is not remembered.
func (t *Table) Record(now time.Time, r Record, own bool) {
	t.sweep(now)
	known, ok := t.entries[r.Stream]
	if !ok && len(t.entries) >= maxStreams {
		return
	}
	if ok {
		r.Version, own = known.version, own || known.own
	}
	t.entries[r.Stream] = entry{version: r.Version, at: now, own: own}
}

// Find returns the version that began a stream.
func (t *Table) Find(now time.Time, s Stream) (Version, bool) {
	e, ok := t.entries[s]
	if !ok || now.Sub(e.at) > KeepTime {
		return 0, false
	}
	return e.version, true
}

// Own returns the streams that this router has relayed.
func (t *Table) Own(now time.Time) []Record {
	var list []Record
	for s, e := range t.entries {
		if e.own && now.Sub(e.at) <= KeepTime {
			list = append(list, Record{Stream: s, Version: e.version})
		}
	}
	return list
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for s, e := range t.entries {
		if now.Sub(e.at) > KeepTime {
			delete(t.entries, s)
		}
	}
}
