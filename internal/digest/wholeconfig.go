package digest

import (
	"net/netip"
	"time"
)

// A router that starts asks another one for the configuration while its own read of the store is under way: the text is ten
// times smaller in datagrams, and the link of a router may be slow. Parts of several replies complete each other.

const (
	// configRequestInterval is the time between two requests for the configuration.
	configRequestInterval = 250 * time.Millisecond
	// configReplyInterval is the time between two replies. One takes 50 ms of a link of 10 Mbit/s for a large configuration, so
	// that half of the link remains for digests. Requests meanwhile are ignored and will be repeated.
	configReplyInterval = 100 * time.Millisecond
)

// requestConfig asks a router for the configuration while this one is starting and has none.
func (e *Exchange) requestConfig(now time.Time) {
	if !e.state.ConfigMissing() {
		return
	}
	e.mu.Lock()
	peer, found := e.peers.configPeer(now)
	due := found && now.Sub(e.configRequestedAt) >= configRequestInterval
	if due {
		e.configRequestedAt = now
	}
	e.mu.Unlock()
	if due {
		e.sendTo([]netip.Addr{peer}, &Message{Sender: e.sender, RequestConfig: true})
	}
}

// configPeer returns a live router that has the newest configuration. The choice is random, so that many starting routers ask
// different ones.
func (p *Peers) configPeer(now time.Time) (netip.Addr, bool) {
	newest := p.NewestConfig(now)
	// Map iteration order is random.
	for _, peer := range p.tracked {
		if newest > 0 && p.live(peer, now) && peer.configVersion == newest && peer.level >= levelDifferences {
			return peer.Addr, true
		}
	}
	return netip.Addr{}, false
}

// recordConfigRequest keeps a router that has asked for the configuration for the goroutine that sends, which compresses it.
func (e *Exchange) recordConfigRequest(from netip.Addr) {
	e.mu.Lock()
	e.configAsker = from
	e.mu.Unlock()
	e.SendSoon()
}

// replyWithConfig sends the configuration to a router that has asked for it.
func (e *Exchange) replyWithConfig(now time.Time) {
	version := e.state.Progress().ConfigVersion
	e.mu.Lock()
	to := e.configAsker
	e.configAsker = netip.Addr{}
	due := to.IsValid() && now.Sub(e.configSentAt) >= configReplyInterval && e.configIsCurrent(now, version)
	if due {
		e.configSentAt = now
	}
	e.mu.Unlock()
	if !due {
		return
	}
	d, found := e.state.WholeConfig()
	if !found {
		return
	}
	for _, part := range d.Split() {
		e.sendTo([]netip.Addr{to}, &Message{Sender: e.sender, ConfigPart: &part})
	}
}

// configIsCurrent reports whether this router, or a reader that was heard lately, knows from the store that a version is the newest.
// A router that is out of touch must not give a starting one a configuration that has been replaced. The caller holds e.mu.
func (e *Exchange) configIsCurrent(now time.Time, version int64) bool {
	if version == 0 || e.peers.NewestConfig(now) > version {
		return false
	}
	if e.toldReader {
		return true
	}
	for _, peer := range e.peers.tracked {
		if peer.role == RoleReader && peer.configVersion == version && now.Sub(peer.LastReceived) < readerTimeout {
			return true
		}
	}
	return false
}
