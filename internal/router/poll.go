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
	// poolTick is the interval at which waits and deadlines of owned pools are
	// checked.
	poolTick = 10 * time.Millisecond
	// askInterval is the time between looks at the log's age, and between
	// questions to peers while the log is not heard; askTimeout bounds one round.
	askInterval = 250 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	// logQuiet is the log age at which a router begins to ask its peers. It is
	// above the wait of a read at the log's head, so that an idle fleet asks
	// nobody, and leaves two rounds before the log counts as not heard.
	logQuiet = fleetconfig.MaxHeadAge - 2*askInterval - 50*time.Millisecond
)

// pollVMs reads the VM list at its interval, and at once when a peer has seen
// a newer version.
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

// tickPools drives the waits and deadlines of the owned pools.
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

// askPeers asks other routers for their configuration and log status while
// this router does not hear the log itself.
func (r *Router) askPeers() error {
	ctx := r.tomb.Context(context.Background())
	for r.tomb.Alive() {
		snap := r.config.Snapshot()
		if !snap.Log.HasState || r.clock.Now().Sub(snap.Log.HeadReadAt) > logQuiet {
			r.askRound(ctx, snap.Log.Applied)
		}
		select {
		case <-r.tomb.Dying():
		case <-r.clock.After(askInterval):
		}
	}
	return nil
}

func (r *Router) askRound(ctx context.Context, known uint64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.state().peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.ask(ctx, p, known)
		}()
	}
	wg.Wait()
}

func (r *Router) ask(ctx context.Context, p dispatch.Target, known uint64) {
	asked := r.clock.Now()
	env, err := r.peers.Call(ctx, p.Addr, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigFetch{
		ConfigFetch: &peerpb.ConfigFetch{KnownOffset: known},
	}})
	reply := env.GetConfigReply()
	if err != nil || reply == nil {
		return
	}
	peer, err := r.config.ApplyReply(p.VM, asked, reply)
	if err != nil {
		r.events.Emit(event.PeerStateUnusable, "vm", p.VM, "error", err.Error())
	}
	r.post(peerAnswered{status: peer})
}

// pollLoads reads the engines' load reports for a baseline policy.
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
