package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"

	"github.com/bluebellwell/bluebellwell/internal/forward"
)

// grantResults matches what became of a request's question for a slot, in a router's log.
var grantResults = regexp.MustCompile(`"?grant"?[=:]"?([a-z_]+)`)

// checkGrants logs how often the routers granted the slots of the plain servers, when these are few. Without a grant the run has
// not played what it was to.
func (f *fleet) checkGrants() {
	if *shareFlag {
		f.logShares()
		return
	}
	if *plainFlag == 0 || plainServers**plainFlag >= 2**routersFlag {
		return
	}
	results := map[string]int{}
	for _, r := range f.allRouters() {
		data, err := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		if err != nil {
			f.t.Error(err)
			continue
		}
		for _, m := range grantResults.FindAllSubmatch(data, -1) {
			results[string(m[1])]++
		}
	}
	f.t.Logf("grants of the slots of plain servers: %v", results)
	if results["granted"] == 0 {
		f.t.Error("no slot was granted")
	}
}

// logShares logs how many requests were rejected since only a share of them is sent, and on how many routers the share was lowered.
func (f *fleet) logShares() {
	rejected, lowered := 0, 0
	for _, r := range f.allRouters() {
		data, err := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		if err != nil {
			f.t.Error(err)
			continue
		}
		rejected += bytes.Count(data, []byte(forward.CauseDelayShare))
		if bytes.Contains(data, []byte("a share of them is sent")) {
			lowered++
		}
	}
	f.t.Logf("%d requests rejected by the share, which was lowered on %d routers", rejected, lowered)
}
