package forward

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// askInterval is the time between two questions for the version of a stream, since
	// datagrams are lost, and maxAsked the number of questions. Routers answer within a few
	// milliseconds.
	askInterval = 40 * time.Millisecond
	maxAsked    = 3
)

// FleetStreams is how a router learns from the others which version began a stream. Its methods
// are safe for concurrent use and do not wait for an answer.
type FleetStreams interface {
	TellStreams(list []streamversion.Record)
	// AskForStream asks some routers for the version of a stream. It returns how many would be asked if all routers were heard
	// that there have been lately, and whether more than half of these are heard.
	AskForStream(s streamversion.Stream) (routers int, hearsMost bool)
	// HasOthers reports whether this router has heard others lately.
	HasOthers() bool
	// ReadsStore reports whether this router reads the store itself, with success.
	ReadsStore() bool
	// HasReadSince reports whether it reads the store, and has read the newest servers there after a time.
	HasReadSince(t time.Time) bool
}

// noFleet is a router without others.
type noFleet struct{}

func (noFleet) TellStreams([]streamversion.Record)            {}
func (noFleet) AskForStream(streamversion.Stream) (int, bool) { return 0, false }
func (noFleet) HasOthers() bool                               { return false }
func (noFleet) ReadsStore() bool                              { return false }
func (noFleet) HasReadSince(time.Time) bool                   { return false }

// streamVersions is what a router knows of the versions that began streams. It is safe for
// concurrent use.
type streamVersions struct {
	fleet FleetStreams
	// knownSince is since when this router has known all versions; zero for ever.
	knownSince time.Time

	mu    sync.Mutex
	table *streamversion.Table
	// untold are the streams that this router relays and has not told the others of, maxUntold at most.
	untold []streamversion.Record
	// answered is closed and replaced when another router has told of streams.
	answered chan struct{}
	// questions are those that wait for an answer.
	questions map[streamversion.Stream]*question
}

// question is a question for the version of a stream. The mutex of streamVersions guards it.
type question struct {
	// stream is the one that is asked for, and prompt what stands for it by the last part of its prompt; 0 for none.
	stream, prompt streamversion.Stream
	// waiting is the number of requests that wait for the answer.
	waiting int
	// routers and hearsMost are what AskForStream has returned last.
	routers   int
	hearsMost bool
	// sentAt is when the question was last sent.
	sentAt time.Time
	// agreed are the routers that have answered since then that they have known one version only, and asOf is the latest
	// time of which one of them has read the servers.
	agreed map[netip.Addr]bool
	asOf   time.Time
}

// recordOneVersion records that a router has known one version only.
func (q *question) recordOneVersion(from streamversion.Source) {
	q.agreed[from.Router] = true
	if from.AsOf.After(q.asOf) {
		q.asOf = from.AsOf
	}
}

// showsOneVersion reports whether the answers show that there was one version only at a time. Routers that are cut off
// together, or stood still, know nothing of servers that have come since, and agree on that. So one that reads the store must
// have read it later, or most of the routers agree.
func (q *question) showsOneVersion(since time.Time) bool {
	if q.asOf.After(since) {
		return true
	}
	const self = 1
	return q.hearsMost && len(q.agreed) > 0 && 2*(len(q.agreed)+self) > q.routers+self
}

func newStreamVersions() *streamVersions {
	return &streamVersions{
		fleet: noFleet{}, knownSince: time.Now(), table: streamversion.NewTable(), answered: make(chan struct{}),
		questions: make(map[streamversion.Stream]*question),
	}
}

// SetFleetStreams sets how the router learns of streams from the others. Call it before requests
// are served.
func (st *State) SetFleetStreams(f FleetStreams) { st.streams.fleet = f }

// RecordStreams records what another router says of streams.
func (st *State) RecordStreams(list []streamversion.Record, from streamversion.Source) {
	v := st.streams
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range list {
		if r.Version == 0 {
			// The other router has known one version only, and what has come since its own start
			// this one has seen itself.
			v.knownSince = time.Time{}
			if q := v.questions[r.Stream]; q != nil {
				q.recordOneVersion(from)
			}
			continue
		}
		v.table.Record(time.Now(), r, false)
	}
	close(v.answered)
	v.answered = make(chan struct{})
}

// StreamRecord returns what this router knows of a stream. The version is zero when none is known
// and this router has known servers of one version only for as long as streams are kept.
func (st *State) StreamRecord(s streamversion.Stream) (streamversion.Record, bool) {
	now := time.Now()
	if version, ok := st.streams.find(now, s); ok {
		return streamversion.Record{Stream: s, Version: version}, true
	}
	return streamversion.Record{Stream: s}, st.streams.settled(now) && !st.severalVersions(now)
}

// settled reports whether the router has known all versions for as long as streams are kept: because
// it has run for so long, or has learned from one that has.
func (v *streamVersions) settled(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knowsAll(now)
}

// knowsAll is settled for a caller that holds mu.
func (v *streamVersions) knowsAll(now time.Time) bool {
	return now.Sub(v.knownSince) > streamversion.KeepTime
}

// SetFirstStart records that no router has run before this one. Call it before requests are served.
func (st *State) SetFirstStart() { st.streams.knownSince = time.Time{} }

// Settle asks the other routers whether they have known one version only, unless this router knows that
// itself. Call it again until it returns true: the first that says so ends the time in which streams
// may have been begun by a version that is gone.
func (st *State) Settle() (settled bool) {
	if st.streams.settled(time.Now()) {
		return true
	}
	st.streams.fleet.AskForStream(streamversion.AnyStream)
	return false
}

// VersionsUncertain reports whether, as far as this router knows, servers of several versions may have begun streams
// that go on.
func (st *State) VersionsUncertain() bool {
	now := time.Now()
	return st.severalVersions(now) || !st.streams.settled(now)
}

func (st *State) severalVersions(now time.Time) bool {
	several := false
	st.eachPool(func(p *pool) { several = several || p.versions.mixed(now) })
	return several
}

func (v *streamVersions) find(now time.Time, s streamversion.Stream) (streamversion.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Find(now, s)
}

// maxUntold bounds the streams of which the others are told together.
const maxUntold = 4096

// record remembers that this router relays a stream, and tells the others at once when tell is set, soon otherwise.
func (v *streamVersions) record(now time.Time, r streamversion.Record, tell bool) {
	v.mu.Lock()
	v.table.Record(now, r, true)
	if !tell && len(v.untold) < maxUntold {
		v.untold = append(v.untold, r)
	}
	v.mu.Unlock()
	if tell {
		v.fleet.TellStreams([]streamversion.Record{r})
	}
}

// TakeNewStreams returns the streams of which the others are to be told, once.
func (st *State) TakeNewStreams() []streamversion.Record {
	v := st.streams
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.untold
	v.untold = nil
	return list
}

// tellOwn tells the others of the streams that this router relays: a second version is there.
func (v *streamVersions) tellOwn() {
	v.mu.Lock()
	list := v.table.Own(time.Now())
	v.untold = nil
	v.mu.Unlock()
	v.fleet.TellStreams(list)
}

// ask asks the other routers for the version that began a stream, which one of them may know, or that of the engines which have
// its prompt cached. It waits for an answer for a short time, but when this router knows of one version only not longer than
// until the others show that there was no other one at a time.
func (v *streamVersions) ask(ctx context.Context, q *question, since time.Time, several bool) (version streamversion.Version, known bool) {
	for range maxAsked {
		var ended bool
		if version, known, ended = v.askOnce(ctx, q, since, several); ended {
			break
		}
	}
	return version, known
}

// begin returns the question for a stream.
func (v *streamVersions) begin(s, prompt streamversion.Stream) *question {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.questions[s]
	if q == nil {
		q = &question{stream: s, prompt: prompt, agreed: make(map[netip.Addr]bool)}
		v.questions[s] = q
	}
	q.waiting++
	return q
}

// end forgets a question for which no other request waits.
func (v *streamVersions) end(q *question) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if q.waiting--; q.waiting == 0 {
		delete(v.questions, q.stream)
	}
}

// sendAfter sends a question again unless that was done within a time.
func (v *streamVersions) sendAfter(q *question, pause time.Duration) {
	v.mu.Lock()
	due := time.Since(q.sentAt) >= pause
	if due {
		q.sentAt = time.Now()
	}
	v.mu.Unlock()
	if due {
		v.send(q)
	}
}

// send sends a question to the other routers. Those that agreed before may know more by now.
func (v *streamVersions) send(q *question) {
	v.mu.Lock()
	clear(q.agreed)
	v.mu.Unlock()
	routers, hearsMost := v.fleet.AskForStream(q.stream)
	if q.prompt != 0 {
		v.fleet.AskForStream(q.prompt)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	q.routers, q.hearsMost = routers, hearsMost
}

// evidence is what is known of a stream that a question asks for.
type evidence struct {
	version streamversion.Version
	known   bool
	// oneVersion is set when the answers show that there was one version only, and agreed when any says so.
	oneVersion, agreed bool
	// answered is closed when another router tells of streams.
	answered <-chan struct{}
}

// evidenceFor returns what is known of a stream now; since is the time at which there must have been one version only.
func (v *streamVersions) evidenceFor(q *question, since time.Time) evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := evidence{oneVersion: q.showsOneVersion(since), agreed: len(q.agreed) > 0, answered: v.answered}
	e.version, e.known = v.findEither(time.Now(), q.stream, q.prompt)
	return e
}

// findEither returns the version of a stream, else that of the engines that have its prompt cached. The
// caller holds v.mu.
func (v *streamVersions) findEither(now time.Time, s, prompt streamversion.Stream) (streamversion.Version, bool) {
	if version, known := v.table.Find(now, s); known || prompt == 0 {
		return version, known
	}
	return v.table.Find(now, prompt)
}

// askOnce asks once; ended is set when it is no use to ask again.
func (v *streamVersions) askOnce(ctx context.Context, q *question, since time.Time, several bool) (version streamversion.Version, known, ended bool) {
	v.send(q)
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	for {
		e := v.evidenceFor(q, since)
		if e.known || !several && e.oneVersion {
			return e.version, e.known, true
		}
		select {
		case <-e.answered:
		case <-timer.C:
			return 0, false, false
		case <-ctx.Done():
			return 0, false, true
		}
	}
}

// mayBeOutdated reports whether only others can tell that this router knows all versions: it has not run for long, or
// it may have missed that servers of another version came.
func (v *streamVersions) mayBeOutdated() bool { return !v.settled(time.Now()) || v.fleet.HasOthers() }

// mayBeTakenUp reports whether callers may continue the streams of the route.
func (c *call) mayBeTakenUp() bool { return c.route.Kind == routing.Stream && c.route.Resumable }

// streamID returns the stream that the request begins or takes up.
func (c *call) streamID() streamversion.Stream {
	if c.headers.Resumes != "" {
		return streamversion.StreamOf(c.headers.Resumes)
	}
	return streamversion.StreamOf(c.headers.ID)
}

// promptStream returns what stands for the stream by the last part of its prompt; 0 without a prompt.
func (c *call) promptStream() streamversion.Stream {
	n := len(c.headers.Prompt)
	if n == 0 {
		return 0
	}
	return streamversion.StreamOfPart(prefixHash(c.headers.Model, c.headers.Prompt[n-1].ID))
}

// maxPromptsTold bounds the prompts that a router tells the others of, after it has asked the engines.
const maxPromptsTold = 8192

// PromptVersions collects which version's engines have each part of a prompt cached. It is not safe for
// concurrent use.
type PromptVersions struct {
	versions map[streamversion.Stream]streamversion.Version
}

// Add records the parts that an engine has cached. The smallest come first: the last part of a prompt,
// which tells who began a stream, is small.
func (p *PromptVersions) Add(s *registry.Server, parts []CachedPart) {
	if p.versions == nil {
		p.versions = make(map[streamversion.Stream]streamversion.Version)
	}
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b CachedPart) int { return cmp.Compare(a.Part.Tokens, b.Part.Tokens) })
	version := streamversion.VersionOf(s.Version)
	for _, part := range parts {
		stream := streamversion.StreamOfPart(prefixHash(part.Model, part.Part.ID))
		known, ok := p.versions[stream]
		switch {
		case !ok && len(p.versions) < maxPromptsTold:
			p.versions[stream] = version
		case ok && known != version:
			// Engines of several versions have it, so it tells nothing.
			p.versions[stream] = 0
		}
	}
}

// TellPromptVersions remembers which version's engines have prompts cached, and tells the routers that hold
// the streams: after the end of all routers nobody else knows which version began a stream. Call it again
// when more routers are known.
func (st *State) TellPromptVersions(p *PromptVersions) {
	var list []streamversion.Record
	for stream, version := range p.versions {
		if version != 0 {
			list = append(list, streamversion.Record{Stream: stream, Version: version})
		}
	}
	st.streams.recordAll(list)
	st.streams.fleet.TellStreams(list)
}

// recordAll remembers what this router has learned of streams that it does not relay.
func (v *streamVersions) recordAll(list []streamversion.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range list {
		v.table.Record(time.Now(), r, false)
	}
}

// recordVersion remembers which version has written the first event that the caller gets. Only
// that version may go on.
func (c *call) recordVersion() {
	if !c.mayBeTakenUp() {
		return
	}
	c.version = streamversion.VersionOf(c.attempts.choice.Server.Version)
	now := time.Now()
	record := streamversion.Record{Stream: c.streamID(), Version: c.version}
	_, several := c.pool.onlyVersion(now)
	c.handler.state.streams.record(now, record, several)
}

// requiredVersion returns the version of the request's stream while servers of another one may be there, and 0 when all servers
// have it or the request may go to any.
func (c *call) requiredVersion() streamversion.Version {
	if only, several := c.pool.onlyVersion(time.Now()); !several && only == c.version {
		return 0
	}
	return c.version
}

// versionChange is what the lists of servers tell of the versions of a pool.
type versionChange struct {
	// several is set while there are servers of several versions. Until is the time until which
	// streams may go on that a version has begun which has gone.
	several bool
	until   time.Time
	// only is the version of all servers while there is one.
	only streamversion.Version
}

// onlyVersion returns the version of all servers, 0 before there were any, and whether servers of several versions may have
// begun streams that go on.
func (p *pool) onlyVersion(now time.Time) (only streamversion.Version, several bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.only, p.versions.mixed(now)
}

// mixed reports whether servers of several versions may have begun streams that go on.
func (v *versionChange) mixed(now time.Time) bool { return v.several || now.Before(v.until) }

// update takes a new list of servers over and reports whether a second version has come.
func (v *versionChange) update(now time.Time, list []*registry.Server) (begun bool) {
	several := false
	for _, s := range list {
		several = several || s.Version != list[0].Version
	}
	if v.several && !several {
		v.until = now.Add(streamversion.KeepTime)
	}
	begun = several && !v.several
	v.several = several
	if len(list) > 0 {
		v.only = streamversion.VersionOf(list[0].Version)
	}
	return begun
}
