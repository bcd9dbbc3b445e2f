package streamversion

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against a stream whose version changes when it goes on, and against one that is
// forgotten too soon or never.
func TestFirstVersionOfAStreamStays(t *testing.T) {
	table := NewTable()
	table.Record(start, Record{1, 10}, true)
	table.Record(start.Add(time.Minute), Record{1, 20}, false)
	if v, ok := table.Find(start.Add(time.Minute+KeepTime), 1); !ok || v != 10 {
		t.Errorf("version %v, known: %v; want the first one", v, ok)
	}
	if _, ok := table.Find(start.Add(time.Minute+KeepTime+1), 1); ok {
		t.Error("a stream is known for longer than it is kept")
	}
	table.Record(start.Add(time.Hour), Record{2, 10}, true)
	if n := len(table.entries); n != 1 {
		t.Errorf("%d streams are remembered, want one", n)
	}
}

// Guards against streams of other routers that are told again by each router that has heard of them.
func TestOwnStreamsAreThoseThatThisRouterRelayed(t *testing.T) {
	table := NewTable()
	table.Record(start, Record{1, 10}, true)
	table.Record(start, Record{2, 10}, false)
	table.Record(start, Record{1, 10}, false)
	if own := table.Own(start); len(own) != 1 || own[0] != (Record{1, 10}) {
		t.Errorf("own streams %v, want the first", own)
	}
}

// Guards against memory that grows with the streams of a burst.
func TestStreamsAreBounded(t *testing.T) {
	table := NewTable()
	for s := range Stream(maxStreams + 10) {
		table.Record(start, Record{s, 10}, true)
	}
	if n := len(table.entries); n != maxStreams {
		t.Errorf("%d streams, want %d", n, maxStreams)
	}
}

// Guards against a server without a version that counts as any version.
func TestEveryVersionHasAHash(t *testing.T) {
	if VersionOf("") == 0 || VersionOf("") == VersionOf("v1") || VersionOf("v1") == VersionOf("v1.1") {
		t.Error("versions without a hash of their own")
	}
}
