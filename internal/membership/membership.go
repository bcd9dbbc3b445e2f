// Package membership keeps a router's view of the other routers and of the
// engines, from the VM list, heartbeats, probes and traffic. It is pure: time
// comes in as an argument and messages go out as return values.
//
// Every router sends heartbeats to its two successors on a ring that all
// routers order by the same hash. A router is suspected after suspectAfter
// without a heartbeat and a failed probe. News travels along the ring at once
// instead of with the next heartbeat, so that the delay from a death to the
// last router's knowledge is suspectAfter plus one Tick plus one message delay
// for every second router of the ring.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const (
	// HeartbeatInterval is the time between heartbeats without news.
	HeartbeatInterval = 1 * time.Second
	// TickInterval is the longest time between calls of Tick.
	TickInterval = 250 * time.Millisecond

	successors   = 2
	suspectAfter = 3 * time.Second
	// probeAfter leaves a probe, which may run into its timeouts of 1 s, the
	// time to fail before suspectAfter.
	probeAfter = 1750 * time.Millisecond
	// newsSpacing bounds the extra heartbeats when much happens at once.
	newsSpacing = 20 * time.Millisecond
	// newsAge is how long an item is repeated in heartbeats. Later, only one
	// heartbeat in fullEvery carries it, for routers that started since.
	newsAge   = 5 * time.Second
	fullEvery = 8
	// A router whose suspicions get refuted, because only its own path to the
	// peer is broken, waits longer before each repetition.
	minDoubt = 3 * time.Second
	maxDoubt = 60 * time.Second
)

// evidence is the latest sign of life of a router, ordered by boot and time.
type evidence struct {
	boot   uint64
	unixMs int64
}

func (e evidence) compare(o evidence) int {
	return cmp.Or(cmp.Compare(e.boot, o.boot), cmp.Compare(e.unixMs, o.unixMs))
}

// peerState is what is known of one listed router.
type peerState struct {
	vm    vmlist.VM
	known evidence
	// heardAt is the local time of the last heartbeat received from it.
	heardAt time.Time
	// watchedFrom is when this router became one of its successors; zero when
	// it is not.
	watchedFrom time.Time
	probing     bool
	probeFailed bool
	suspected   bool
	stoppedBoot uint64
	doubt       time.Duration
	doubtUntil  time.Time
	// newsAt is when the suspicion, refutation or stop became known.
	newsAt    time.Time
	refutedAt time.Time
	last      *peerpb.Heartbeat
}

func (p *peerState) stopping() bool {
	return p.stoppedBoot != 0 && p.stoppedBoot >= p.known.boot
}

// Probe asks the caller to probe a router and to report with ProbeResult.
type Probe struct {
	Name, PeerAddr string
}

// Target is a router to send heartbeats to.
type Target struct {
	Name, PeerAddr string
}

// Membership is the state of one router. It is not safe for concurrent use.
type Membership struct {
	self     string
	boot     uint64
	list     *vmlist.List
	peers    map[string]*peerState
	engines  map[string]*engineState
	stopping bool
	interval time.Duration
	sentMs   int64
	built    uint64
	newsAt   time.Time
	sentAt   time.Time
	wanted   uint64
}

// New returns the state of the router called self, before its first list.
// boot must grow from one start of a VM to the next, for example a start time
// in nanoseconds.
func New(self string, boot uint64) *Membership {
	return &Membership{
		self:    self,
		boot:    boot,
		list:    &vmlist.List{},
		peers:   map[string]*peerState{},
		engines: map[string]*engineState{},

		interval: HeartbeatInterval,
	}
}

// SetInterval changes the time between heartbeats without news. It must be well
// below the 3 s of silence after which a router is suspected.
func (m *Membership) SetInterval(d time.Duration) {
	m.interval = d
}

// SetList takes a VM list and reports whether it is newer than the one known.
// Older lists are ignored: views of the VM list service may go back.
func (m *Membership) SetList(now time.Time, list *vmlist.List) bool {
	if list.Version <= m.list.Version && m.list.VMs != nil {
		return false
	}
	m.list = list
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		if vm.Role == vmlist.RoleRouter {
			m.listRouter(vm)
		} else {
			m.listEngine(now, vm)
		}
	}
	maps.DeleteFunc(m.peers, func(name string, _ *peerState) bool { return !listed[name] })
	maps.DeleteFunc(m.engines, func(name string, _ *engineState) bool { return !listed[name] })
	m.watch(now, now)
	return true
}

func (m *Membership) listRouter(vm vmlist.VM) {
	if vm.Name == m.self {
		return
	}
	p := m.peers[vm.Name]
	if p == nil || p.vm.PeerAddr != vm.PeerAddr {
		p = &peerState{}
		m.peers[vm.Name] = p
	}
	p.vm = vm
}

// WantedList returns the highest list version heard of. A version above the
// one in use calls for a fetch at once.
func (m *Membership) WantedList() (wanted, have uint64) {
	return max(m.wanted, m.list.Version), m.list.Version
}

// ring returns the routers that take part in the ring, in ring order. keep
// names a router that takes part although it is suspected.
func (m *Membership) ring(keep string) []string {
	names := []string{m.self}
	for name, p := range m.peers {
		if !p.suspected || name == keep {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names
}

// neighbours returns the routers at the next positions after self, or before
// it for step -1.
func (m *Membership) neighbours(step int) []string {
	ring := m.ring("")
	at := slices.Index(ring, m.self)
	var out []string
	for i := 1; i <= successors && i < len(ring); i++ {
		out = append(out, ring[(at+step*i+successors*len(ring))%len(ring)])
	}
	return out
}

// Targets returns the successors that get this router's heartbeats.
func (m *Membership) Targets() []Target {
	var out []Target
	for _, name := range m.neighbours(1) {
		out = append(out, Target{name, m.peers[name].vm.PeerAddr})
	}
	return out
}

// watch updates which routers this one expects heartbeats from. The silence of
// a router that is new among them counts from the time from.
func (m *Membership) watch(now, from time.Time) {
	sources := m.neighbours(-1)
	for name, p := range m.peers {
		if !slices.Contains(sources, name) {
			p.watchedFrom = time.Time{}
			p.probing, p.probeFailed = false, false
		} else if p.watchedFrom.IsZero() {
			p.watchedFrom = from
		}
	}
}

// silence returns how long a watched router has sent nothing.
func (p *peerState) silence(now time.Time) time.Duration {
	if p.watchedFrom.IsZero() {
		return 0
	}
	if p.heardAt.After(p.watchedFrom) {
		return now.Sub(p.heardAt)
	}
	return now.Sub(p.watchedFrom)
}

// Tick applies the suspicion rule and returns the probes to run.
func (m *Membership) Tick(now time.Time) []Probe {
	var probes []Probe
	for _, name := range m.neighbours(-1) {
		p := m.peers[name]
		silent := p.silence(now)
		if silent < probeAfter || now.Before(p.doubtUntil) {
			continue
		}
		if silent >= suspectAfter && p.probeFailed {
			m.suspect(now, p, p.known)
			continue
		}
		if !p.probing && !p.probeFailed {
			p.probing = true
			probes = append(probes, Probe{name, p.vm.PeerAddr})
		}
	}
	m.tickEngines(now)
	return probes
}

// ProbeResult reports the end of a probe. A probe that succeeds is repeated
// while the silence lasts.
func (m *Membership) ProbeResult(now time.Time, name string, ok bool) {
	p := m.peers[name]
	if p == nil || !p.probing {
		return
	}
	p.probing = false
	p.probeFailed = !ok && p.silence(now) >= probeAfter
	if ok {
		// The peer lives and has another view of the ring.
		p.doubtUntil = now.Add(suspectAfter)
	}
}

func (m *Membership) suspect(now time.Time, p *peerState, e evidence) {
	if e.compare(p.known) > 0 {
		p.known = e
	}
	if p.suspected {
		return
	}
	p.suspected = true
	p.newsAt, m.newsAt = now, now
	// The routers that watched the next one may be dead with it, so it is
	// probed at once.
	m.watch(now, now.Add(-suspectAfter))
}

// Refused takes the news that the address of a router refuses connections: its
// process has ended. The router is suspected at once.
func (m *Membership) Refused(now time.Time, name string) {
	if p := m.peers[name]; p != nil {
		m.suspect(now, p, p.known)
	}
}

// revive clears a suspicion that newer evidence disproves.
func (m *Membership) revive(now time.Time, p *peerState) {
	if !p.suspected {
		return
	}
	p.suspected, p.probeFailed, p.probing = false, false, false
	p.watchedFrom = time.Time{}
	m.spreadAlive(now, p)
	p.doubt = min(max(2*p.doubt, minDoubt), maxDoubt)
	p.doubtUntil = now.Add(p.doubt)
	m.watch(now, now)
}

func (m *Membership) spreadAlive(now time.Time, p *peerState) {
	p.newsAt, p.refutedAt, m.newsAt = now, now, now
}

// learn takes newer evidence. A new boot also ends the stop of the old one.
func (m *Membership) learn(now time.Time, p *peerState, e evidence) {
	stopped := p.stopping()
	p.known = e
	if stopped && !p.stopping() {
		m.spreadAlive(now, p)
	}
	m.revive(now, p)
}

// Heartbeat takes a heartbeat that a peer sent to this router.
func (m *Membership) Heartbeat(now time.Time, hb *peerpb.Heartbeat) {
	m.wanted = max(m.wanted, hb.GetVmListVersion())
	for _, n := range hb.GetSuspicions() {
		m.hearSuspicion(now, n)
	}
	for _, n := range hb.GetAlive() {
		m.hearAlive(now, n)
	}
	for _, n := range hb.GetStops() {
		m.hearStop(now, n.GetVm(), n.GetBootId())
	}
	m.hearSender(now, hb)
}

func (m *Membership) hearSender(now time.Time, hb *peerpb.Heartbeat) {
	p := m.peers[hb.GetVm()]
	e := evidence{hb.GetBootId(), hb.GetSentUnixMs()}
	if p == nil || e.compare(p.known) <= 0 {
		return
	}
	if e.boot != p.known.boot {
		p.doubt = 0
	}
	p.heardAt, p.last = now, hb
	p.probing, p.probeFailed = false, false
	m.learn(now, p, e)
	if hb.GetStopping() {
		m.hearStop(now, hb.GetVm(), hb.GetBootId())
	}
}

func (m *Membership) hearSuspicion(now time.Time, n *peerpb.BootNotice) {
	e := evidence{n.GetBootId(), n.GetLastUnixMs()}
	if n.GetVm() == m.self {
		m.refute(now, e)
		return
	}
	p := m.peers[n.GetVm()]
	if p == nil {
		return
	}
	newer := p.known.compare(e) > 0
	fresh := !p.heardAt.IsZero() && now.Sub(p.heardAt) < suspectAfter
	recent := !p.refutedAt.IsZero() && now.Sub(p.refutedAt) < suspectAfter
	if newer && (fresh || recent) {
		if !recent {
			m.spreadAlive(now, p)
		}
		return
	}
	m.suspect(now, p, e)
}

// refute answers a suspicion of this router with a later heartbeat.
func (m *Membership) refute(now time.Time, e evidence) {
	own := evidence{m.boot, m.sentMs}
	if e.compare(own) >= 0 || m.newsAt.Before(now.Add(-newsAge)) {
		m.sentMs = max(m.sentMs, e.unixMs)
		m.newsAt = now
	}
}

func (m *Membership) hearAlive(now time.Time, n *peerpb.BootNotice) {
	p := m.peers[n.GetVm()]
	e := evidence{n.GetBootId(), n.GetLastUnixMs()}
	if p == nil || e.compare(p.known) <= 0 {
		return
	}
	m.learn(now, p, e)
}

func (m *Membership) hearStop(now time.Time, name string, boot uint64) {
	p := m.peers[name]
	if p == nil || boot < p.known.boot || boot <= p.stoppedBoot {
		return
	}
	p.stoppedBoot = boot
	p.newsAt, m.newsAt = now, now
}

// SetStopping announces a planned stop of this router.
func (m *Membership) SetStopping(now time.Time) {
	m.stopping = true
	m.newsAt = now
}

// Due reports whether heartbeats are to be sent now: the interval has passed or
// there is news.
func (m *Membership) Due(now time.Time) bool {
	since := now.Sub(m.sentAt)
	if since >= m.interval {
		return true
	}
	return !m.newsAt.IsZero() && !m.newsAt.Before(m.sentAt) && since >= newsSpacing
}

// Build returns the heartbeat to send to the Targets now. The caller adds the
// config offset, the log age and readiness.
func (m *Membership) Build(now time.Time) *peerpb.Heartbeat {
	m.sentAt = now.Add(1)
	m.sentMs = max(m.sentMs+1, now.UnixMilli())
	full := m.built%fullEvery == 0
	m.built++
	hb := &peerpb.Heartbeat{
		Vm:            m.self,
		BootId:        m.boot,
		SentUnixMs:    m.sentMs,
		VmListVersion: m.list.Version,
		Stopping:      m.stopping,
	}
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		if !p.newsAt.IsZero() && (full || now.Sub(p.newsAt) < newsAge) {
			p.addNews(hb, now)
		}
	}
	return hb
}

func (p *peerState) addNews(hb *peerpb.Heartbeat, now time.Time) {
	notice := &peerpb.BootNotice{Vm: p.vm.Name, BootId: p.known.boot, LastUnixMs: p.known.unixMs}
	if p.suspected {
		hb.Suspicions = append(hb.Suspicions, notice)
	} else if !p.refutedAt.IsZero() && now.Sub(p.refutedAt) < newsAge {
		hb.Alive = append(hb.Alive, notice)
	}
	if p.stopping() {
		hb.Stops = append(hb.Stops, &peerpb.BootNotice{Vm: p.vm.Name, BootId: p.stoppedBoot})
	}
}
