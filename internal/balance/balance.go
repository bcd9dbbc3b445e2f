// Package balance is the load balancer of one router. It chooses the server of a
// request from the router's own requests in flight, the load that servers report
// in answers, the reports of other routers, and the outcomes of requests. It does
// no I/O and takes the time as an argument. A Pool is not safe for concurrent use.
//
// Requests with the same prompt prefix go to one server, the prefix's home, so
// that its tokens are processed once. All routers choose the same home, and the
// same servers for requests that spill over, by rendezvous hashing and without
// communication.
package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// newerAfter is how much later than the oldest server a server must have
	// started to count as newer. A newer server does not take over homes, because
	// a prefix that moves has to be processed again.
	newerAfter = 8 * time.Second
	// maxPrefixes bounds the number of prefixes whose holders are recorded.
	maxPrefixes = 16384
	// maxPrefixServers bounds the holders recorded per prefix. Only a prefix with
	// much of the traffic has several.
	maxPrefixServers = 4
	// cacheRetention is how long a prefix is expected to stay in a server's cache.
	cacheRetention = 5 * time.Minute
	// maxPeerReportAge is the age up to which the other routers' reports are used
	// to balance requests to plain servers. With older reports all routers would
	// choose the server that was the least loaded at the time of the reports.
	maxPeerReportAge = 200 * time.Millisecond
	// maxServerReportAge is the age up to which the load that a server reports
	// takes precedence over the sum of the other routers' reports.
	maxServerReportAge = 300 * time.Millisecond
)

// Limits bound the load of a pool's servers.
type Limits struct {
	// CapFactor is the bound of a server's load as a multiple of the pool's mean.
	CapFactor float64
	// CapExtra is the number of requests allowed beyond the multiple.
	CapExtra float64
}

// Job is a request to be placed.
type Job struct {
	// PrefixHash is the hash of the prompt's shared prefix; 0 means none.
	PrefixHash uint64
	// SharedTokens is the number of tokens in the shared prefix.
	SharedTokens int
	// Exclude lists the incarnations that this request was already sent to.
	Exclude []registry.Key
	// DataCentre is preferred among servers with equal load.
	DataCentre string
	// Random breaks ties.
	Random uint64
}

// Reason states why a server was chosen.
type Reason string

// Reasons of a choice.
const (
	ReasonCached      Reason = "held"
	ReasonHome        Reason = "home"
	ReasonSpill       Reason = "spill"
	ReasonLeastLoaded Reason = "least_loaded"
)

// Choice is the server of a request and the data behind the choice.
type Choice struct {
	Server *registry.Server
	// Source is another server that probably has the prefix in its cache; nil means
	// none.
	Source *registry.Server
	Reason Reason
	// Load and Mean are the estimated requests in flight at the server and on
	// average.
	Load float64
	Mean float64
	// ReportAge is the age of the server's last reported load; negative means none.
	ReportAge time.Duration
}

// prefixHolders lists the incarnations that have a prefix in their cache, the most
// recently used first.
type prefixHolders struct {
	servers  [maxPrefixServers]uint64
	lastUsed time.Time
}

// moveToFront moves a server to the front and reports whether it is new.
func (h *prefixHolders) moveToFront(server uint64) bool {
	index := slices.Index(h.servers[:], server)
	isNew := index < 0
	if isNew {
		index = maxPrefixServers - 1
	}
	copy(h.servers[1:index+1], h.servers[:index])
	h.servers[0] = server
	return isNew
}

// Pool is the state of the load balancer for one pool of servers.
type Pool struct {
	limits  Limits
	members []*member
	// byKey and byHash index the members, which are looked up for each chunk of a
	// stream.
	byKey    map[registry.Key]*member
	byHash   map[uint64]*member
	prefixes map[uint64]*prefixHolders
	// peersAge is the average age of the other routers' reports.
	peersAge time.Duration
	// newPlacements lists the placements not yet sent to the other routers.
	newPlacements []Placement
	ranked        []rankedMember
}

// Placement states that a server has a prefix in its cache. Server is the hash of
// the server's incarnation.
type Placement struct {
	PrefixHash uint64
	Server     uint64
}

type rankedMember struct {
	*member
	score uint64
}

// NewPool returns a pool without servers.
func NewPool(limits Limits) *Pool {
	return &Pool{limits: limits, prefixes: make(map[uint64]*prefixHolders)}
}

// SetLimits replaces the limits.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

// SetServers replaces the list of servers. The state of an incarnation that
// remains in the list is kept.
func (p *Pool) SetServers(list []*registry.Server) {
	old := p.byKey
	p.members = make([]*member, 0, len(list))
	p.byKey = make(map[registry.Key]*member, len(list))
	p.byHash = make(map[uint64]*member, len(list))
	for _, s := range list {
		m := old[s.Key()]
		if m == nil {
			m = &member{idHash: placement.Hash(s.ID), hash: s.Key().Hash()}
		}
		m.server = s
		p.members = append(p.members, m)
		p.byKey[s.Key()] = m
		p.byHash[m.hash] = m
	}
	p.markNewer()
}

// markNewer marks the servers that were started after the others. They still get
// requests that spill over, but prefixes keep their homes until most servers are
// newer.
func (p *Pool) markNewer() {
	oldest := int64(0)
	for _, m := range p.members {
		if m.server.Born > 0 && (oldest == 0 || m.server.Born < oldest) {
			oldest = m.server.Born
		}
	}
	newer := 0
	for _, m := range p.members {
		m.newer = m.server.Born > oldest+newerAfter.Milliseconds()
		if m.newer {
			newer++
		}
	}
	if 2*newer <= len(p.members) {
		return
	}
	for _, m := range p.members {
		m.newer = false
	}
}

// Pick chooses a server, or returns false when none can take the request.
func (p *Pool) Pick(now time.Time, job Job) (Choice, bool) {
	usable, mean := p.usable(now, job.Exclude)
	if len(usable) == 0 {
		return Choice{}, false
	}
	if job.PrefixHash == 0 {
		return p.leastLoaded(now, usable, mean, job, ReasonLeastLoaded), true
	}
	return p.pickForPrefix(now, usable, mean, job), true
}

// usable returns the members that can take a request, and the mean load of the
// pool. When all members are ejected the ejections are ignored: trying one is
// better than refusing every request.
func (p *Pool) usable(now time.Time, exclude []registry.Key) ([]*member, float64) {
	available := make([]*member, 0, len(p.members))
	ejected := make([]*member, 0, len(p.members))
	for _, m := range p.members {
		if m.server.Leaving || slices.Contains(exclude, m.server.Key()) {
			continue
		}
		if m.health.ejected(now, m.own) {
			ejected = append(ejected, m)
			continue
		}
		available = append(available, m)
	}
	if len(available) == 0 {
		return ejected, p.mean(now)
	}
	return available, p.mean(now)
}

// Load returns the load of the servers that take new requests. Its Slots are 0
// when one of these servers does not report its own.
func (p *Pool) Load(now time.Time) overload.Load {
	var load overload.Load
	for _, m := range p.members {
		if m.server.Leaving || m.health.ejected(now, m.own) {
			continue
		}
		if m.server.Slots <= 0 {
			return overload.Load{}
		}
		others, ownAtReport := m.latestReport(now)
		load.Own += m.own
		load.Others += float64(others)
		load.OwnAtReport += ownAtReport
		load.Slots += m.server.Slots
	}
	return load
}

// mean returns the lower of the mean loads with and without the servers that are
// leaving. They still finish their requests and would raise the bound of the
// others or, when few remain, hide how uneven the load is.
func (p *Pool) mean(now time.Time) float64 {
	var all, staying float64
	n := 0
	for _, m := range p.members {
		load := m.load(now)
		all += load
		if !m.server.Leaving {
			staying += load
			n++
		}
	}
	return min(all/float64(max(len(p.members), 1)), staying/float64(max(n, 1)))
}

// pickForPrefix tries the recorded holders of the prefix, then its home, then the
// spill servers, and chooses the first whose load is below the bound.
func (p *Pool) pickForPrefix(now time.Time, usable []*member, mean float64, job Job) Choice {
	bound := p.bound(mean, job.SharedTokens)
	holders := p.holders(now, job.PrefixHash)
	if m := leastLoadedHolder(now, holders, usable); m != nil && m.load(now) < bound {
		return p.choose(now, m, nil, mean, ReasonCached)
	}
	order := p.order(usable, job.PrefixHash)
	for i, m := range order {
		if m.load(now) >= bound {
			continue
		}
		reason := ReasonSpill
		if i == 0 {
			reason = ReasonHome
		}
		return p.choose(now, m.member, copySource(now, holders, order[0].member, m.member), mean, reason)
	}
	c := p.leastLoaded(now, usable, mean, job, ReasonLeastLoaded)
	if s := copySource(now, holders, order[0].member, p.byKey[c.Server.Key()]); s != nil {
		c.Source = s.server
	}
	return c
}

// leastLoadedHolder returns the least loaded holder that can take a request.
func leastLoadedHolder(now time.Time, holders, usable []*member) *member {
	var best *member
	for _, m := range holders {
		if slices.Contains(usable, m) && (best == nil || m.load(now) < best.load(now)) {
			best = m
		}
	}
	return best
}

// bound returns the load below which a server takes the request. It is lower for
// small prefixes, which cost little to process again: they spill first and even out
// the load of the homes of large prefixes.
func (p *Pool) bound(mean float64, sharedTokens int) float64 {
	const (
		// minFactor is the factor for prompts without shared tokens.
		minFactor = 1.25
		// largeTokens is the prefix size from which the full factor applies.
		largeTokens = 4000
		// factorMargin, plus marginPerSecond for each second of the age of the
		// other routers' reports, keeps the real load below the factor although
		// the estimate is outdated.
		factorMargin    = 0.1
		marginPerSecond = 0.15
	)
	margin := factorMargin + marginPerSecond*p.peersAge.Seconds()
	maxFactor := max(p.limits.CapFactor-margin, minFactor)
	share := min(float64(sharedTokens)/largeTokens, 1)
	return (minFactor+(maxFactor-minFactor)*share)*mean + p.limits.CapExtra
}

// order ranks the members for a prefix: the home, chosen among servers that aren't
// newer, then the newer servers, which have free capacity, then the others.
func (p *Pool) order(usable []*member, prefixHash uint64) []rankedMember {
	p.ranked = p.ranked[:0]
	for _, m := range usable {
		p.ranked = append(p.ranked, rankedMember{member: m, score: placement.Mix(prefixHash, m.idHash)})
	}
	slices.SortFunc(p.ranked, func(a, b rankedMember) int { return cmp.Compare(b.score, a.score) })
	home := slices.IndexFunc(p.ranked, func(m rankedMember) bool { return !m.newer })
	if home > 0 {
		h := p.ranked[home]
		copy(p.ranked[1:home+1], p.ranked[:home])
		p.ranked[0] = h
	}
	rest := p.ranked[min(1, len(p.ranked)):]
	slices.SortStableFunc(rest, func(a, b rankedMember) int {
		return cmp.Compare(newerRank(a), newerRank(b))
	})
	return p.ranked
}

func newerRank(m rankedMember) int {
	if m.newer {
		return 0
	}
	return 1
}

// holders returns the members recorded as having the prefix in their cache.
func (p *Pool) holders(now time.Time, prefixHash uint64) []*member {
	h := p.prefixes[prefixHash]
	if h == nil || now.Sub(h.lastUsed) > cacheRetention {
		return nil
	}
	var holders []*member
	for _, server := range h.servers {
		if m := p.byHash[server]; m != nil {
			holders = append(holders, m)
		}
	}
	return holders
}

// copySource returns the server to copy the prefix from: a holder that is
// available, else the home, which other routers may have used.
func copySource(now time.Time, holders []*member, home, chosen *member) *member {
	for _, m := range append(holders, home) {
		if m != chosen && !m.health.unavailable(now, m.own) {
			return m
		}
		if m == chosen {
			return nil
		}
	}
	return nil
}

func (p *Pool) leastLoaded(now time.Time, usable []*member, mean float64, job Job, reason Reason) Choice {
	start := int(job.Random % uint64(len(usable)))
	best := usable[start]
	for i := 1; i < len(usable); i++ {
		m := usable[(start+i)%len(usable)]
		if p.lessLoaded(now, m, best, job.DataCentre) {
			best = m
		}
	}
	return p.choose(now, best, nil, mean, reason)
}

// lessLoaded compares by load per slot, then prefers the data centre.
func (p *Pool) lessLoaded(now time.Time, a, b *member, dataCentre string) bool {
	x, y := p.loadPerSlot(now, a), p.loadPerSlot(now, b)
	if x != y {
		return x < y
	}
	return a.server.DataCentre == dataCentre && b.server.DataCentre != dataCentre
}

func (p *Pool) choose(now time.Time, m, source *member, mean float64, reason Reason) Choice {
	c := Choice{Server: m.server, Reason: reason, Load: m.load(now), Mean: mean, ReportAge: -1}
	if source != nil {
		c.Source = source.server
	}
	if !m.serverReportAt.IsZero() {
		c.ReportAge = now.Sub(m.serverReportAt)
	}
	return c
}
