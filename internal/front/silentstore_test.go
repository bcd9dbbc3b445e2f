package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// newFleetWithStoreLinks starts a fleet in which each of some routers reaches the store on a link of its own.
func newFleetWithStoreLinks(t *testing.T, n, engines int, linked ...int) (f *fleetBed, links []*storeLink) {
	f = newFleetWith(t, n, engines, func(f *fleetBed) {
		f.store.SetEra("")
		for _, i := range linked {
			l := newStoreLink(t, f.store.Addr())
			f.routers[i].storeAddr = strings.TrimPrefix(l.server.URL, "http://")
			links = append(links, l)
		}
	})
	f.waitFor("only the first three read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	return f, links
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
			t.Parallel()
			f, links := newFleetWithStoreLinks(t, routers, 3, silent...)
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
	}
}
