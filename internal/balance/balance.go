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
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// maxPeerReportAge is the age up to which the other routers' reports are used
	// to balance requests to plain servers. With older reports all routers would
	// choose the server that was the least loaded at the time of the reports.
	maxPeerReportAge = 200 * time.Millisecond
	// maxServerReportAge is the age up to which the load that a server reports
	// takes precedence over the sum of the other routers' reports.
	maxServerReportAge = 300 * time.Millisecond
	// maxOnlyReportAge is the age up to which the load that a server reports is used
	// without reports of other routers. A server that seems full gets no requests, and
	// so reports no other load.
	maxOnlyReportAge = 2 * time.Second
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
	// Prefixes lists the parts of the prompt that other requests may share, the
	// shortest first. Each covers those before it.
	Prefixes []Prefix
	// PromptTokens is the size of the whole prompt.
	PromptTokens int
	// Objective is the target time to the first byte; 0 means none.
	Objective time.Duration
	// Version is the software version that the server must have; 0 for any.
	Version streamversion.Version
	// RunsOnce is set for a request that may not run again when its server fails.
	RunsOnce bool
	// Granted is the hash of the only incarnation that the request may go to; 0 for any.
	Granted uint64
	// AllowedRegions are the regions to which the request must keep; empty for all.
	AllowedRegions []string
	// Exclude lists the incarnations that this request was already sent to.
	Exclude []registry.Key
	// Unreachable is the number of servers that this request could not reach.
	Unreachable int
	// DataCentre is preferred among servers with equal load.
	DataCentre string
	// Random breaks ties.
	Random uint64
	// Cost is what the request is expected to cost. Run identifies this attempt among those in flight; 0 for one
	// that is counted only.
	Cost cost.Prediction
	Run  uint64
}

// Prefix is the start of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// longest returns the longest shared prefix, the zero value when there is none.
func (j *Job) longest() Prefix {
	if len(j.Prefixes) == 0 {
		return Prefix{}
	}
	return j.Prefixes[len(j.Prefixes)-1]
}

// Reason states why a server was chosen.
type Reason string

// Reasons of a choice.
const (
	ReasonCached      Reason = "held"
	ReasonHome        Reason = "home"
	ReasonSpill       Reason = "spill"
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonLastHeard: the request could not reach several servers, and this one was the last to send data.
	ReasonLastHeard Reason = "last_heard"
	// ReasonGranted: the router that grants the slots of the pool has granted one of this server.
	ReasonGranted Reason = "granted"
	// ReasonLimited: the server names a limit and was not asked for a while.
	ReasonLimited Reason = "limited"
	// ReasonCold: the server is cold and may get another request.
	ReasonCold Reason = "cold"
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
	// ReadTokens is the number of prompt tokens that the server has to read.
	ReadTokens int
	// Wait is how long the server is expected to read other prompts before.
	Wait time.Duration
	// ReadyIn is how long the server is expected to read the prefix for an earlier
	// request; 0 when it has read it or reads it for this one.
	ReadyIn time.Duration
	// Cold is set when the server is cold, and so slower than the others.
	Cold bool
	// Expected is how long the first byte is expected to take; 0 in a pool whose servers do not say how long work
	// takes. Slowdown is how many times the usual time it takes there.
	Expected time.Duration
	Slowdown float64
}

// Pool is the state of the load balancer for one pool of servers.
type Pool struct {
	limits  Limits
	members []*member
	// byKey and byHash index the members, which are looked up for each chunk of a
	// stream.
	byKey   map[registry.Key]*member
	byHash  map[uint64]*member
	avoided avoidedServers
	cached  *cacheIndex
	speed   readingSpeed
	// peersAge is the average age of the other routers' reports.
	peersAge time.Duration
	// newPlacements lists the placements not yet sent to the other routers.
	newPlacements []Placement
	ranked        []rankedMember
	// evacuated are the evacuated data centres.
	evacuated map[string]bool
	// totals are the expected times of the members of a choice.
	totals []time.Duration
	// meanSlowdown is the moving average of the slowdowns that servers report, and slowdownAt the time of the last report.
	meanSlowdown float64
	slowdownAt   time.Time
	// means are the mean costs of requests, memory the number of tokens that fit an engine; 0 for unknown.
	means  means
	memory float64
	// limitShare returns this router's share in the requests to a limited server.
	limitShare func(server uint64) namedlimit.Share
	cold       ColdLimits
	// regions maps data centres to their regions.
	regions map[string]string
	// startsUnknownUntil is until when servers that may have started just before this router count as cold.
	startsUnknownUntil time.Time
}

// Placement states that a server has a prefix in its cache, or is reading it. Server
// is the hash of the server's incarnation.
type Placement struct {
	// PrefixHash is 0 for a prompt without a shared prefix.
	PrefixHash uint64
	Server     uint64
	// Tokens is the size of the prefix.
	Tokens int
	// ReadTokens is the number of prompt tokens that the server has to read.
	ReadTokens int
}

// NewPool returns a pool without servers.
func NewPool(limits Limits) *Pool {
	return &Pool{limits: limits, avoided: avoidedServers{}, cached: newCacheIndex(), limitShare: func(uint64) namedlimit.Share { return namedlimit.Share{Sender: true, Sole: true} }}
}

// SetLimits replaces the limits.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

// Vanished returns the engines that are not among the current servers although they have not said that they leave.
func (p *Pool) Vanished(current map[registry.Key]bool) []*registry.Server {
	var gone []*registry.Server
	for _, m := range p.members {
		if m.server.Engine && !m.outOfService() && !current[m.server.Key()] {
			gone = append(gone, m.server)
		}
	}
	return gone
}

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
			m = &member{idHash: placement.Hash(s.ID), hash: s.Key().Hash(), cold: newColdness(s)}
			p.updateColdEnd(m)
		}
		m.server, m.version, m.region = s, streamversion.VersionOf(s.Version), p.regions[s.DataCentre]
		m.keepLeaving()
		p.setMemberEvacuated(m)
		p.members = append(p.members, m)
		p.byKey[s.Key()] = m
		p.byHash[m.hash] = m
	}
	p.dealSlots()
}

// allHave reports whether all servers have a version; 0 is any.
func (p *Pool) allHave(version streamversion.Version) bool {
	return version == 0 || !slices.ContainsFunc(p.members, func(m *member) bool { return m.version != version })
}

// Pick chooses a server, or returns false when none can take the request.
func (p *Pool) Pick(now time.Time, job Job) (Choice, bool) {
	usable, mean := p.usable(now, &job), p.mean(now)
	if !p.allHave(job.Version) || len(job.AllowedRegions) > 0 {
		// Few servers may have the version or be in the regions: they must not get more than their share.
		bound := p.bound(mean)
		usable = slices.DeleteFunc(usable, func(m *member) bool { return m.load(now) >= bound })
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	if m := p.lastHeard(now, usable, mean, &job); m != nil {
		source, read := p.reuse(now, m, &job)
		return p.choose(now, m, source, mean, ReasonLastHeard, read, &job), true
	}
	if job.Granted != 0 {
		return p.choose(now, usable[0], nil, mean, ReasonGranted, job.PromptTokens, &job), true
	}
	if len(job.Prefixes) == 0 {
		if m := p.unasked(now, usable); m != nil && p.isCold(now, m) {
			return p.choose(now, m, nil, mean, ReasonCold, job.PromptTokens, &job), true
		}
		return p.choose(now, p.leastLoaded(now, p.withMemory(now, usable, &job), mean, &job), nil, mean, ReasonLeastLoaded, job.PromptTokens, &job), true
	}
	return p.pickForPrefix(now, usable, mean, &job), true
}
