// Package membership keeps a router's view of the other routers and of the
// engines, from the VM list, heartbeats, probes and traffic. It does no I/O and
// reads no clock: time comes in as an argument and messages go out as return
// values.
//
// Every router sends heartbeats to its two successors on a ring that all
// routers order by the same hash. A router is suspected when no heartbeat has
// arrived for suspectAfter and a probe has failed. Updates (suspicions,
// refutations and stops) are passed along the ring at once instead of with the
// next regular heartbeat. The last router therefore suspects an ended process
// after suspectAfter, one Tick, and one message delay for every second router of
// the ring.
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
	// HeartbeatInterval is the time between heartbeats without updates.
	HeartbeatInterval = 1 * time.Second
	// TickInterval is the maximum time between calls of Tick.
	TickInterval = 250 * time.Millisecond

	successors   = 2
	suspectAfter = 3 * time.Second
	// probeAfter leaves a probe, whose timeouts are 1 s, enough time to fail
	// before suspectAfter.
	probeAfter = 1750 * time.Millisecond
	// minUpdateInterval bounds the rate of extra heartbeats when there are many
	// updates.
	minUpdateInterval = 20 * time.Millisecond
	// updateRepeatTime is how long every heartbeat repeats an update. Later, only
	// one heartbeat in fullHeartbeatEvery carries it, for routers that started
	// since.
	updateRepeatTime   = 5 * time.Second
	fullHeartbeatEvery = 8
	// A router whose suspicions are refuted, because only its own path to the
	// peer is broken, waits longer before it suspects the peer again.
	minSuspicionBackoff = 3 * time.Second
	maxSuspicionBackoff = 60 * time.Second
)

// heartbeatID identifies a heartbeat of a router, ordered by boot and sending
// time.
type heartbeatID struct {
	boot   uint64
	unixMs int64
}

func (id heartbeatID) compare(other heartbeatID) int {
	return cmp.Or(cmp.Compare(id.boot, other.boot), cmp.Compare(id.unixMs, other.unixMs))
}

// peerState is the state of one other listed router. latest is its latest
// heartbeat that this router received or that another one reported; received is
// the last one received.
type peerState struct {
	vm     vmlist.VM
	latest heartbeatID
	// receivedAt is the local time of the last heartbeat received from the peer.
	receivedAt time.Time
	// watchedSince is when this router became one of the peer's successors; it
	// is zero when it is not.
	watchedSince time.Time
	probing      bool
	probeFailed  bool
	suspected    bool
	stoppedBoot  uint64
	backoff      time.Duration
	backoffEnd   time.Time
	// updatedAt is when the latest suspicion, refutation or stop was recorded.
	updatedAt time.Time
	refutedAt time.Time
	received  *peerpb.Heartbeat
}

func (p *peerState) stopping() bool {
	return p.stoppedBoot != 0 && p.stoppedBoot >= p.latest.boot
}

// Probe asks the caller to probe a router and to call RecordProbeResult.
type Probe struct {
	Name, PeerAddr string
}

// Target is a router to send heartbeats to.
type Target struct {
	Name, PeerAddr string
}

// Membership is the state of one router. It is not safe for concurrent use.
type Membership struct {
	self          string
	boot          uint64
	list          *vmlist.List
	peers         map[string]*peerState
	engines       map[string]*engineState
	stopping      bool
	interval      time.Duration
	sentMs        int64
	buildCount    uint64
	updatedAt     time.Time
	sentAt        time.Time
	newestVersion uint64
}

// New returns the state of the router called self, before its first list.
// boot must increase from one start of a VM to the next, for example a start
// time in nanoseconds.
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

// SetInterval changes the time between heartbeats without updates. It must be
// well below suspectAfter (3 s).
func (m *Membership) SetInterval(d time.Duration) {
	m.interval = d
}

// SetList applies a VM list and reports whether it is newer than the current one.
// Older lists are ignored: the VM list service may return an older version than
// before.
func (m *Membership) SetList(now time.Time, list *vmlist.List) bool {
	if list.Version <= m.list.Version && m.list.VMs != nil {
		return false
	}
	m.list = list
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		if vm.Role == vmlist.RoleRouter {
			m.updateRouter(vm)
		} else {
			m.updateEngine(now, vm)
		}
	}
	maps.DeleteFunc(m.peers, func(name string, _ *peerState) bool { return !listed[name] })
	maps.DeleteFunc(m.engines, func(name string, _ *engineState) bool { return !listed[name] })
	m.updateWatched(now, now)
	return true
}

func (m *Membership) updateRouter(vm vmlist.VM) {
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

// ListVersions returns the highest list version that a peer reported and the
// version in use. A newer version must be fetched at once.
func (m *Membership) ListVersions() (newestVersion, currentVersion uint64) {
	return max(m.newestVersion, m.list.Version), m.list.Version
}

// ring returns the routers that take part in the ring, in ring order. include
// names a router that takes part even if it is suspected.
func (m *Membership) ring(include string) []string {
	names := []string{m.self}
	for name, p := range m.peers {
		if !p.suspected || name == include {
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
	position := slices.Index(ring, m.self)
	var out []string
	for i := 1; i <= successors && i < len(ring); i++ {
		out = append(out, ring[(position+step*i+successors*len(ring))%len(ring)])
	}
	return out
}

// Targets returns the successors to which this router sends its heartbeats.
func (m *Membership) Targets() []Target {
	var out []Target
	for _, name := range m.neighbours(1) {
		out = append(out, Target{name, m.peers[name].vm.PeerAddr})
	}
	return out
}

// updateWatched updates the routers from which this one expects heartbeats. For
// a router that is new among them, silence is measured from silentSince.
func (m *Membership) updateWatched(now, silentSince time.Time) {
	sources := m.neighbours(-1)
	for name, p := range m.peers {
		if !slices.Contains(sources, name) {
			p.watchedSince = time.Time{}
			p.probing, p.probeFailed = false, false
		} else if p.watchedSince.IsZero() {
			p.watchedSince = silentSince
		}
	}
}

// silence returns the time since the last heartbeat of a watched router.
func (p *peerState) silence(now time.Time) time.Duration {
	if p.watchedSince.IsZero() {
		return 0
	}
	if p.receivedAt.After(p.watchedSince) {
		return now.Sub(p.receivedAt)
	}
	return now.Sub(p.watchedSince)
}

// Tick applies the suspicion rule and returns the probes to run.
func (m *Membership) Tick(now time.Time) []Probe {
	var probes []Probe
	for _, name := range m.neighbours(-1) {
		p := m.peers[name]
		silentFor := p.silence(now)
		if silentFor < probeAfter || now.Before(p.backoffEnd) {
			continue
		}
		if silentFor >= suspectAfter && p.probeFailed {
			m.suspect(now, p, p.latest)
			continue
		}
		if !p.probing && !p.probeFailed {
			p.probing = true
			probes = append(probes, Probe{name, p.vm.PeerAddr})
		}
	}
	m.expireHolds(now)
	return probes
}

// RecordProbeResult records the result of a probe. A probe that succeeds is
// repeated as long as no heartbeat arrives.
func (m *Membership) RecordProbeResult(now time.Time, name string, ok bool) {
	p := m.peers[name]
	if p == nil || !p.probing {
		return
	}
	p.probing = false
	p.probeFailed = !ok && p.silence(now) >= probeAfter
	if ok {
		// The peer is alive and has another view of the ring.
		p.backoffEnd = now.Add(suspectAfter)
	}
}

func (m *Membership) suspect(now time.Time, p *peerState, id heartbeatID) {
	if id.compare(p.latest) > 0 {
		p.latest = id
	}
	if p.suspected {
		return
	}
	p.suspected = true
	p.updatedAt, m.updatedAt = now, now
	// The routers that watched the newly watched one may have ended too, so it
	// is probed at once.
	m.updateWatched(now, now.Add(-suspectAfter))
}

// RecordConnectionRefused records that the address of a router refuses
// connections, which means that its process has ended. The router is suspected
// at once.
func (m *Membership) RecordConnectionRefused(now time.Time, name string) {
	if p := m.peers[name]; p != nil {
		m.suspect(now, p, p.latest)
	}
}

// clearSuspicion clears a suspicion after a newer heartbeat.
func (m *Membership) clearSuspicion(now time.Time, p *peerState) {
	if !p.suspected {
		return
	}
	p.suspected, p.probeFailed, p.probing = false, false, false
	p.watchedSince = time.Time{}
	m.announceAlive(now, p)
	p.backoff = min(max(2*p.backoff, minSuspicionBackoff), maxSuspicionBackoff)
	p.backoffEnd = now.Add(p.backoff)
	m.updateWatched(now, now)
}

func (m *Membership) announceAlive(now time.Time, p *peerState) {
	p.updatedAt, p.refutedAt, m.updatedAt = now, now, now
}

// recordLatest records a newer heartbeat. A new boot also ends the stop of the
// previous one.
func (m *Membership) recordLatest(now time.Time, p *peerState, id heartbeatID) {
	stopped := p.stopping()
	p.latest = id
	if stopped && !p.stopping() {
		m.announceAlive(now, p)
	}
	m.clearSuspicion(now, p)
}

// ReceiveHeartbeat handles a heartbeat that a peer sent to this router.
func (m *Membership) ReceiveHeartbeat(now time.Time, hb *peerpb.Heartbeat) {
	m.newestVersion = max(m.newestVersion, hb.GetVmListVersion())
	for _, n := range hb.GetSuspicions() {
		m.receiveSuspicion(now, n)
	}
	for _, n := range hb.GetAlive() {
		m.receiveAlive(now, n)
	}
	for _, n := range hb.GetStops() {
		m.recordStop(now, n.GetVm(), n.GetBootId())
	}
	m.updateSender(now, hb)
}

func (m *Membership) updateSender(now time.Time, hb *peerpb.Heartbeat) {
	p := m.peers[hb.GetVm()]
	id := heartbeatID{hb.GetBootId(), hb.GetSentUnixMs()}
	if p == nil || id.compare(p.latest) <= 0 {
		return
	}
	if id.boot != p.latest.boot {
		p.backoff = 0
	}
	p.receivedAt, p.received = now, hb
	p.probing, p.probeFailed = false, false
	m.recordLatest(now, p, id)
	if hb.GetStopping() {
		m.recordStop(now, hb.GetVm(), hb.GetBootId())
	}
}

func (m *Membership) receiveSuspicion(now time.Time, n *peerpb.BootNotice) {
	id := heartbeatID{n.GetBootId(), n.GetLastUnixMs()}
	if n.GetVm() == m.self {
		m.refute(now, id)
		return
	}
	p := m.peers[n.GetVm()]
	if p == nil {
		return
	}
	newer := p.latest.compare(id) > 0
	recentlyReceived := !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < suspectAfter
	recentlyRefuted := !p.refutedAt.IsZero() && now.Sub(p.refutedAt) < suspectAfter
	if newer && (recentlyReceived || recentlyRefuted) {
		if !recentlyRefuted {
			m.announceAlive(now, p)
		}
		return
	}
	m.suspect(now, p, id)
}

// refute schedules a heartbeat that is later than the one in a suspicion of this
// router.
func (m *Membership) refute(now time.Time, id heartbeatID) {
	own := heartbeatID{m.boot, m.sentMs}
	if id.compare(own) >= 0 || m.updatedAt.Before(now.Add(-updateRepeatTime)) {
		m.sentMs = max(m.sentMs, id.unixMs)
		m.updatedAt = now
	}
}

func (m *Membership) receiveAlive(now time.Time, n *peerpb.BootNotice) {
	p := m.peers[n.GetVm()]
	id := heartbeatID{n.GetBootId(), n.GetLastUnixMs()}
	if p == nil || id.compare(p.latest) <= 0 {
		return
	}
	m.recordLatest(now, p, id)
}

func (m *Membership) recordStop(now time.Time, name string, boot uint64) {
	p := m.peers[name]
	if p == nil || boot < p.latest.boot || boot <= p.stoppedBoot {
		return
	}
	p.stoppedBoot = boot
	p.updatedAt, m.updatedAt = now, now
}

// SetStopping announces a planned stop of this router.
func (m *Membership) SetStopping(now time.Time) {
	m.stopping = true
	m.updatedAt = now
}

// HeartbeatDue reports whether heartbeats must be sent now: the interval has
// passed or there are updates.
func (m *Membership) HeartbeatDue(now time.Time) bool {
	since := now.Sub(m.sentAt)
	if since >= m.interval {
		return true
	}
	return !m.updatedAt.IsZero() && !m.updatedAt.Before(m.sentAt) && since >= minUpdateInterval
}

// BuildHeartbeat returns the heartbeat to send to the Targets now. The caller
// adds the config offset, the log age and readiness.
func (m *Membership) BuildHeartbeat(now time.Time) *peerpb.Heartbeat {
	m.sentAt = now.Add(1)
	m.sentMs = max(m.sentMs+1, now.UnixMilli())
	repeatAll := m.buildCount%fullHeartbeatEvery == 0
	m.buildCount++
	hb := &peerpb.Heartbeat{
		Vm:            m.self,
		BootId:        m.boot,
		SentUnixMs:    m.sentMs,
		VmListVersion: m.list.Version,
		Stopping:      m.stopping,
	}
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		if !p.updatedAt.IsZero() && (repeatAll || now.Sub(p.updatedAt) < updateRepeatTime) {
			p.addUpdates(hb, now)
		}
	}
	return hb
}

func (p *peerState) addUpdates(hb *peerpb.Heartbeat, now time.Time) {
	notice := &peerpb.BootNotice{Vm: p.vm.Name, BootId: p.latest.boot, LastUnixMs: p.latest.unixMs}
	if p.suspected {
		hb.Suspicions = append(hb.Suspicions, notice)
	} else if !p.refutedAt.IsZero() && now.Sub(p.refutedAt) < updateRepeatTime {
		hb.Alive = append(hb.Alive, notice)
	}
	if p.stopping() {
		hb.Stops = append(hb.Stops, &peerpb.BootNotice{Vm: p.vm.Name, BootId: p.stoppedBoot})
	}
}
