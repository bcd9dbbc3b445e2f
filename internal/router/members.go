package router

import (
	"context"
	"net"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

const (
	// serverProbeInterval is the interval of probes of engines and backend
	// servers that are down; serverProbeTimeout bounds one.
	serverProbeInterval = 1 * time.Second
	serverProbeTimeout  = 500 * time.Millisecond
	// dialBytes estimates the traffic of a TCP connection that is opened and
	// closed.
	dialBytes = 6 * meter.TCPFrameBytes
)

// probePeer tests whether a router whose heartbeats are missing still accepts
// connections.
func (r *Router) probePeer(p membership.Probe) {
	go func() {
		err := r.peers.Probe(p.PeerAddr)
		if err != nil {
			r.peers.CloseConn(p.PeerAddr)
		}
		r.post(probeFinished{name: p.Name, ok: err == nil})
	}()
}

// fetchNewerList reads the VM list at once when a peer has a newer version, so
// that all routers see a leaving server before their next poll.
func (c *control) fetchNewerList() {
	newest, current := c.membership.ListVersions()
	if newest <= current {
		return
	}
	select {
	case c.r.fetchVMs <- struct{}{}:
	default:
	}
}

// sendDueHeartbeats sends heartbeats when they are due. A change such as a stop or
// a suspicion makes them due at once.
func (c *control) sendDueHeartbeats(now time.Time) {
	if c.membership.HeartbeatDue(now) {
		c.sendHeartbeats(now)
	}
}

// sendHeartbeats sends this router's heartbeat to its successors.
func (c *control) sendHeartbeats(now time.Time) {
	hb := c.membership.BuildHeartbeat(now)
	snap := c.r.config.Snapshot()
	hb.ConfigOffset = snap.Log.Applied
	hb.LogAgeMs = logAge(now, snap.Log.HeadReadAt)
	hb.Ready = c.lifecycle.State() == statechart.RouterReady
	env := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: hb}}
	for _, t := range c.membership.Targets() {
		_ = c.r.peers.Send(t.PeerAddr, env)
	}
}

// probeServers tests the servers that are down in the pools that this router
// owns. They get no traffic, so only a probe shows that they are available again.
func (c *control) probeServers(now time.Time) {
	if now.Sub(c.serversProbedAt) < serverProbeInterval {
		return
	}
	c.serversProbedAt = now
	owners := c.r.state().owners
	for pool, servers := range c.view.Engines {
		if owners[pool].VM != c.r.settings.VM {
			continue
		}
		for _, s := range servers {
			if s.State == membership.EngineDown {
				c.r.probeServer(s.VM.Name, s.VM.Addr)
			}
		}
	}
}

func (r *Router) probeServer(name, addr string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), serverProbeTimeout)
		defer cancel()
		r.meter.Add(meter.Probe, dialBytes)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return
		}
		_ = conn.Close()
		r.post(serverReported{name: name, ok: true})
	}()
}
