package front_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// startWithStoreLinks starts a fleet in a bubble in which each of some routers reaches the store on a link of its own.
func (f *fleetBed) startWithStoreLinks(n int, linked ...int) (links []*storeLink) {
	startFleet(f, n, func(f *fleetBed) {
		f.store.SetEra("")
		for _, i := range linked {
			links = append(links, f.linkToStore(i))
		}
	})
	f.waitFor("only the first three read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	return links
}

// linkToStore makes a router that is not started yet reach the store of a bubble on a link.
func (f *fleetBed) linkToStore(router int) *storeLink {
	f.t.Helper()
	listener, err := f.network.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(router)}), 80))
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &http.Transport{DialContext: f.network.Dial}
	l := newStoreLinkAt(f.t, listener, f.store.Addr(), transport)
	f.t.Cleanup(transport.CloseIdleConnections)
	f.routers[router].storeAddr = listener.Addr().String()
	return l
}

// Guards against changes that reach the others late, because the store gives the readers no answer and they count as
// readers until their calls time out; and because routers that take over get none either.
func TestReadersThatTheStoreDoesNotAnswerAreReplaced(t *testing.T) {
	const routers = 9
	for _, c := range []struct {
		silent []int
		only   string
	}{
		{[]int{0, 1, 2}, ""}, {[]int{0, 1, 2, 3}, ""}, {[]int{0, 1, 2, 3, 4}, ""},
		{[]int{0, 1, 2}, platform.TopicServers}, {[]int{0, 1, 2}, platform.TopicConfig},
	} {
		silent := c.silent
		t.Run(fmt.Sprintf("%d routers, topic %q", len(silent), c.only), func(t *testing.T) {
			inBubble(t, 3, func(f *fleetBed) {
				links := f.startWithStoreLinks(routers, silent...)
				for _, l := range links {
					l.only = c.only
				}
				served := &fleetBed{testBed: f.testBed, routers: f.routers[len(silent):]}
				f.publish(config(2))
				f.register(platformtest.StateReady, f.engines[2])
				f.allKnow("a configuration", "version 2, ready i-0 i-1 i-2, leaving ")
				// The readers wait at the store again.
				time.Sleep(400 * time.Millisecond)
				for _, l := range links {
					l.silent.Store(true)
				}
				f.register(platformtest.StateLeaving, f.engines[0])
				f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
				f.publish(config(3))
				served.allKnow("changes while the readers get no answer", "version 3, ready i-2, leaving i-0")
				f.waitFor("three routers read that get answers", func() bool { return served.readers(0) == 3 })
				for _, l := range links {
					l.silent.Store(false)
				}
				f.waitFor("only the first three read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
			})
		})
	}
}
