package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 20261203, "seed of the faults and the callers")
	secondsFlag = flag.Int("soak.seconds", 8, "period in which faults start, in seconds")
	routersFlag = flag.Int("soak.routers", 3, "number of routers")
	plainFlag   = flag.Int("soak.plainslots", 0, "slots of each plain server; with fewer than twice the routers in all their pool is scarce. 0 for servers that say they are engines")
	shareFlag   = flag.Bool("soak.delayshare", false, "routers send a share of their requests to plain pools whose servers take long, in place of granting slots")
	binaryFlag  = flag.String("soak.binary", "", "run this binary instead of building one")
	reportFlag  = flag.String("soak.report", "", "write a page with plots to this file")
	recordsFlag = flag.String("soak.records", "", "keep the records in this directory; TestJudgeRecords judges those that are there")
)

// callersOfSoak is the number of callers.
const callersOfSoak = 12

// Guards against broken guarantees under overlapping faults: those of the judge's rules,
// and routers that end with another view of the fleet than was written.
func TestSoak(t *testing.T) {
	length := time.Duration(*secondsFlag) * time.Second
	schedule := drawSchedule(*seedFlag, length)
	f := startFleet(t, *routersFlag, *recordsFlag)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range callersOfSoak {
		c := newCaller(f, fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(*seedFlag, uint64(i)+2)))
		callers.Go(func() { c.sendUntil(ctx) })
	}
	for _, r := range f.routers {
		go f.watchReadiness(ctx, r)
	}
	go f.copyStore(ctx)
	go f.writeHeartbeats(ctx)
	// Trials need routers in touch, and must not put off what is judged after the last fault.
	time.Sleep(recoveryTime)
	f.playTrials()
	f.playFaults(schedule)
	f.playFaults(lastReturn(*seedFlag))
	time.Sleep(recoveryTime)
	f.playPlannedWork()
	cancel()
	callers.Wait()
	f.records.add(callersStopped{})
	f.checkGrants()
	problems := slices.Concat(f.problems, f.findDisagreements(), f.evacuatedStill(), f.findLateRouters())
	records, violations := f.judge()
	f.logPredated(records, violations)
	problems = f.countingProblems(problems, records, violations)
	continued, refused := countContinued(records)
	t.Logf("%d runs went on at a server with a copy of their memory, %d were refused", continued, refused)
	for _, p := range problems {
		t.Error(p)
	}
	if *reportFlag != "" {
		if err := os.WriteFile(*reportFlag, []byte(reportPage(records, problems)), 0o600); err != nil {
			t.Error(err)
		}
	}
	if t.Failed() {
		t.Logf("seed %d, %d records; faults:", *seedFlag, len(records))
		for _, x := range schedule {
			t.Log(x)
		}
		f.saveLogs()
	}
}

// countContinued returns the runs that servers continued with a copy of their memory, and the requests to do so that they
// refused.
func countContinued(records []record) (continued, refused int) {
	for _, a := range newHistory(records).attempts {
		switch {
		case !a.arrived.event.Continues:
		case a.refused.present():
			refused++
		case a.run.present():
			continued++
		}
	}
	return continued, refused
}

// Judges the records that a run has kept. Guards against a judge that needs more than
// the records.
func TestJudgeRecords(t *testing.T) {
	if *recordsFlag == "" {
		t.Skip("no directory of records is given")
	}
	records, err := readRecords(filepath.Join(*recordsFlag, recordsFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range judge(records) {
		t.Error(v.describe(records))
	}
}

// playFaults injects the faults of a schedule and returns when all have been undone.
func (f *fleet) playFaults(schedule []fault) {
	var faults sync.WaitGroup
	start := time.Now()
	serverLocks := make([]sync.Mutex, len(f.servers))
	for _, x := range schedule {
		faults.Go(func() {
			time.Sleep(time.Until(start.Add(x.start)))
			// Faults of the same router or server run one after the other.
			switch {
			case x.severalRouters():
			case strings.HasPrefix(x.kind, "server"):
				lock := &serverLocks[x.selector%len(f.servers)]
				lock.Lock()
				defer lock.Unlock()
			default:
				lock := &f.routerLocks[x.selector%len(f.routers)]
				lock.Lock()
				defer lock.Unlock()
			}
			x.inject(f)
		})
	}
	faults.Wait()
}

// playPlannedWork changes the configuration, lets two servers leave, evacuates a data centre, reloads the routers
// and has engines answer slowly while nothing is disturbed; afterwards a server starts again. Among faults, routers are
// seldom in touch for long enough to be judged by the rules with a time bound.
func (f *fleet) playPlannedWork() {
	leaving := []*server{f.servers[0], f.servers[plainServers]}
	f.publish()
	for _, s := range leaving {
		f.register(s, platformtest.StateLeaving)
	}
	f.setEvacuated(plannedEvacuation, 1)
	for _, r := range f.routers {
		f.signal(r, syscall.SIGHUP)
	}
	f.setEngineDelay(longDelay)
	time.Sleep(recoveryTime)
	f.setEvacuated(plannedEvacuation, -1)
	for _, s := range leaving {
		f.register(s, platformtest.StateReady)
	}
	time.Sleep(recoveryTime)
	// A plain server gets enough requests for the rule of cold servers. The others of its pool serve meanwhile.
	started := f.servers[plainServers-1]
	started.restart()
	f.register(started, platformtest.StateReady)
	time.Sleep(recoveryTime)
}

// saveLogs copies the routers' logs and the records out of the directory that the test
// removes.
func (f *fleet) saveLogs() {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		f.t.Log(err)
		return
	}
	files := []string{filepath.Join(f.recordsDir, recordsFile)}
	for _, r := range f.allRouters() {
		files = append(files, filepath.Join(f.dir, r.name+".log"))
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(file)), data, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
	f.t.Logf("logs of the routers and records: %s", dir)
}
