// Package cachehint turns the cache events of engines into hints for a pool's
// prefix index. Tracker and Budget do no I/O; a Reader reads the events through
// its Sources on a goroutine of its own.
package cachehint

import (
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// opEvict is the operation of an event for an evicted prefix; all other events
// are additions.
const opEvict = "evict"

// Update is the result of applying one page of events.
type Update struct {
	Hints []admission.CacheEvent
	// Lost is the number of events that the engine did not deliver before the
	// end of the page.
	Lost int
}

// Tracker follows the events of one engine. It is not safe for concurrent use.
type Tracker struct {
	bootID string
	// lastSeq is the sequence number of the last event received.
	lastSeq uint64
}

// LastSeq returns the sequence number after which the next page starts.
func (t *Tracker) LastSeq() uint64 {
	return t.lastSeq
}

// Apply processes the page that follows LastSeq. The first page and the first page
// of a new boot start the sequence and count no lost events, because the index
// has no earlier entries for that cache. A page of a new boot that was requested
// with a sequence number of the old one gives no hints; the next page starts at 0.
func (t *Tracker) Apply(engine string, page engineclient.CacheEvents) Update {
	if page.BootID != t.bootID {
		first := t.bootID == ""
		*t = Tracker{bootID: page.BootID}
		if !first {
			return Update{}
		}
	}
	var u Update
	for _, e := range page.Events {
		if t.lastSeq > 0 {
			u.Lost += int(e.Seq - t.lastSeq - 1)
		}
		t.lastSeq = e.Seq
		if key, ok := chatKey(e.PrefixKey); ok {
			u.Hints = append(u.Hints, admission.CacheEvent{
				Engine: engine, BootID: page.BootID, Key: key, Tokens: cachedTokens(e), Evicted: e.Op == opEvict,
			})
		}
	}
	return u
}

// cachedTokens returns the cached tokens of a chat after an event.
func cachedTokens(e engineclient.CacheEvent) int {
	if e.Op == opEvict {
		return 0
	}
	return e.Tokens
}

// chatKey returns the index key of a prefix key of the form workspace/chat. Names
// of workspaces contain no slash.
func chatKey(prefixKey string) (uint64, bool) {
	workspace, chat, ok := strings.Cut(prefixKey, "/")
	if !ok || chat == "" {
		return 0, false
	}
	return placement.ChatKey(workspace, chat), true
}
