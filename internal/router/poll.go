package router

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// poolTick is the interval at which wait times and deadlines of owned pools
	// are checked.
	poolTick = 10 * time.Millisecond
	// peerPollInterval is the time between checks of the log's age, and between
	// polls of the peers while the log is unavailable; peerPollTimeout bounds one
	// poll.
	peerPollInterval = 250 * time.Millisecond
	peerPollTimeout  = 400 * time.Millisecond
	// peerPollLogAge is the log age at which a router begins to poll its peers. It
	// is above the wait of a read at the log's head, so that an idle fleet sends no
	// polls, and allows two polls before the log counts as unavailable.
	peerPollLogAge = fleetconfig.MaxHeadAge - 2*peerPollInterval - 50*time.Millisecond
)

// pollVMs reads the VM list at its interval, and at once when a peer has a newer
// version.
func (r *Router) pollVMs() error {
	ctx := r.tomb.Context(context.Background())
	for r.tomb.Alive() {
		if list, err := r.vms.Fetch(ctx); err == nil {
			r.post(listFetched{list: list})
		}
		select {
		case <-r.tomb.Dying():
		case <-r.fetchVMs:
		case <-r.clock.After(r.settings.Timings.VMListPollInterval):
		}
	}
	return nil
}

// tickPools drives the wait times and deadlines of the owned pools.
func (r *Router) tickPools() error {
	ticker := r.clock.NewTicker(poolTick)
	defer ticker.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case now := <-ticker.Chan():
			r.owner.Tick(now)
		}
	}
}

// pollPeers fetches the configuration and log status of other routers while this
// router cannot read the log itself.
func (r *Router) pollPeers() error {
	ctx := r.tomb.Context(context.Background())
	for r.tomb.Alive() {
		snap := r.config.Snapshot()
		if !snap.Log.HasState || r.clock.Now().Sub(snap.Log.HeadReadAt) > peerPollLogAge {
			r.pollPeersOnce(ctx, snap.Log.Applied)
		}
		select {
		case <-r.tomb.Dying():
		case <-r.clock.After(peerPollInterval):
		}
	}
	return nil
}

func (r *Router) pollPeersOnce(ctx context.Context, knownOffset uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.state().peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.fetchPeerConfig(ctx, p, knownOffset)
		}()
	}
	wg.Wait()
}

func (r *Router) fetchPeerConfig(ctx context.Context, p dispatch.Target, knownOffset uint64) {
	sentAt := r.clock.Now()
	env, err := r.peers.Call(ctx, p.Addr, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigFetch{
		ConfigFetch: &peerpb.ConfigFetch{KnownOffset: knownOffset},
	}})
	reply := env.GetConfigReply()
	if err != nil || reply == nil {
		return
	}
	peer, err := r.config.ApplyReply(p.VM, sentAt, reply)
	if err != nil {
		r.events.Emit(event.PeerStateUnusable, "vm", p.VM, "error", err.Error())
	}
	r.post(configReplyReceived{status: peer})
}

// pollLoads reads the engines' load reports for a baseline placement policy.
func (r *Router) pollLoads() error {
	ctx := r.tomb.Context(context.Background())
	for r.tomb.Alive() {
		r.owner.PollLoads(ctx)
		select {
		case <-r.tomb.Dying():
		case <-r.clock.After(r.options.Policy.ReportInterval):
		}
	}
	return nil
}
