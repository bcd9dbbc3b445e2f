//go:build review

// Command standin plays the cases of the review that are scripts: it starts the routers of a small
// deployment as processes, plays the store, the servers, the operator and the callers, writes a
// record of what they see, and judges it. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// scenario is a case.
type scenario struct {
	// play plays the case and returns the requests that break the rule.
	play func(b *bed) (broken []string, err error)
	// beatsAreRecords is set when each heartbeat of a server is a record of the store, also one
	// that changes nothing but the entry's seq.
	beatsAreRecords bool
}

var scenarios = map[string]scenario{
	"killed-readers":      {play: killedReaders},
	"turned-away-drain":   {play: turnedAwayDrain},
	"turned-away-readers": {play: turnedAwayReaders, beatsAreRecords: true},
}

// bed is the deployment that a scenario plays on.
type bed struct {
	rec     *record
	store   *store
	servers []*server
	fleet   *fleet
	runs    *runs
	// trouble is false when the disruption is left out.
	trouble bool
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() {
	name := flag.String("scenario", "", "name of the case")
	binary := flag.String("binary", "target/bluebellwell", "program of the deploy file")
	dir := flag.String("dir", ".", "folder of record.txt")
	flag.Parse()
	os.Exit(play(*name, *binary, *dir))
}

func play(name, binary, dir string) int {
	scene, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitUnable
	}
	rec, err := newRecord(dir + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	}
	b, err := newBed(rec, binary, tmp, scene.beatsAreRecords)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer b.fleet.stopAll()
	broken, err := scene.play(b)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	for _, text := range broken {
		rec.add("BROKEN %s", text)
	}
	fmt.Printf("%d requests break the rule\n", len(broken))
	for _, text := range broken[:min(5, len(broken))] {
		fmt.Println(" ", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// newBed starts the store and the servers, and prepares the routers.
func newBed(rec *record, binary, tmp string, beatsAreRecords bool) (*bed, error) {
	routers := 0
	for _, zone := range zones {
		routers += zone.routers
	}
	st, err := newStore(rec, routers)
	if err != nil {
		return nil, err
	}
	st.beatsAreRecords = beatsAreRecords
	b := &bed{rec: rec, store: st, runs: newRuns(), trouble: os.Getenv("TROUBLE") != "0"}
	for _, zone := range zones {
		if _, err := b.addServer(zone.name); err != nil {
			return nil, err
		}
	}
	b.fleet, err = newFleet(rec, binary, tmp, st.addr)
	return b, err
}

// slots is the number of requests that a server works on at the same time.
const slots = 6

// addServer starts one more server.
func (b *bed) addServer(zone string) (*server, error) {
	s, err := startServer(fmt.Sprintf("i-7f3a91%02d", len(b.servers)), serviceName, zone, slots, b.rec, b.store, b.runs.add)
	if err == nil {
		b.servers = append(b.servers, s)
	}
	return s, err
}
