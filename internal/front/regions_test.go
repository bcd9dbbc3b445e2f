package front_test

import (
	"net/http"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a request that names regions and reaches a server outside of them, or one in them through a router that
// is not, and against a router without links to servers that does not use the routers which are.
func TestRequestsKeepToTheirRegionsAlsoThroughOtherRouters(t *testing.T) {
	t.Parallel()
	regions := map[string]string{"hall-n": "north", "hall-s": "south"}
	f := newFleetWith(t, 3, 4, func(f *fleetBed) {
		for i, dataCentre := range []string{"hall-n", "hall-n", "hall-s", "hall-x"} {
			f.engines[i].SetDataCentre(dataCentre)
		}
		f.register(platformtest.StateReady, f.engines...)
		for i, region := range []string{"south", "north", "south"} {
			f.routers[i].region, f.routers[i].regions = region, regions
		}
		f.routers[0].link = &serverLink{}
	})
	c := config(2)
	bound := c.Routes[1]
	bound.Name, bound.Regions = "bound", []string{"north"}
	c.Routes = append(c.Routes, bound)
	f.publish(c)
	f.waitFor("all routers have the configuration", func() bool {
		return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == 2 })
	})
	cutOff := f.routers[0]
	ask := func(path string) int { return cutOff.do(cutOff.request("POST", path, "x")).status }
	outside := func() int { return len(f.engines[2].Requests()) + len(f.engines[3].Requests()) }
	for range 20 {
		if got := ask("/bound/x"); got != http.StatusOK {
			t.Fatalf("status %d of a request that names regions, want 200", got)
		}
	}
	if n := outside(); n > 0 {
		t.Errorf("%d requests outside of their regions", n)
	}
	cutOff.link.setCut(resetsAll)
	f.waitFor("requests pass other routers", func() bool { return ask("/bound/x") == http.StatusOK && ask("/unsafe/x") == http.StatusOK })
	f.routers[1].stop()
	f.waitFor("no router of the north is left", func() bool { return cutOff.front.Status().Routers == 1 })
	f.waitFor("requests without regions pass the router that is left", func() bool { return ask("/unsafe/x") == http.StatusOK })
	bound0 := boundRequests(f.engines)
	for range 10 {
		if got := ask("/bound/x"); got != http.StatusServiceUnavailable {
			t.Errorf("status %d of a request that names regions, want 503 while only a router of the south reaches the servers", got)
		}
		f.waitFor("a request without regions is served", func() bool { return ask("/unsafe/x") == http.StatusOK })
	}
	if n := boundRequests(f.engines) - bound0; n > 0 {
		t.Errorf("%d requests that name regions passed a router outside of them", n)
	}
}

// boundRequests returns the number of requests of the route that names regions at all servers.
func boundRequests(engines []*platformtest.Engine) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.Requests() {
			if r.Target == "/bound/x" {
				n++
			}
		}
	}
	return n
}
