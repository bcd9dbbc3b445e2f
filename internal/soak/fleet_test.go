package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// router is one process of the fleet.
type router struct {
	name string
	host string
	// ports are those for callers, readiness, metrics and peers, in this order.
	ports [4]int
	store *proxy
	file  string
	// ready is set while the platform passes new connections to the router.
	ready atomic.Bool
	// older is set when the router runs the older binary.
	older bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (r *router) baseURL() string { return fmt.Sprintf("http://%s:%d", r.host, r.ports[0]) }
func (r *router) readyURL() string {
	return fmt.Sprintf("http://%s:%d%s", r.host, r.ports[1], platform.ReadyPath)
}

// server is an engine or a plain server behind a proxy.
type server struct {
	*platformtest.Engine
	proxy *proxy
	pool  string
	// dataCentre is the one of the server, and region that of the data centre.
	dataCentre, region string
	// state is what the server's entry says, empty without one, and returned is set once it
	// has been without one or has left; guarded by the fleet's mutex.
	state    string
	returned bool
	// starts counts its incarnations after the first.
	starts atomic.Int64
}

// restart turns a server into a new incarnation, which its next entry shows.
func (s *server) restart() {
	s.Restart(time.Now())
	s.SetCold(coldStart)
	s.starts.Add(1)
}

// fleet holds the processes, stand-ins and proxies of a soak test.
type fleet struct {
	t      *testing.T
	dir    string
	binary string
	// predated are the rules that the older binary predates.
	predated []string
	store    *platformtest.Store
	servers  []*server
	routers  []*router
	// late and cutOff are two more routers, which start in the last fault, and problems what
	// that fault has found.
	late, cutOff *router
	problems     []string

	mu      sync.Mutex
	version int
	config  platformtest.Config
	era     int64
	// evacuations counts the evacuations of each data centre; 0 for one that was lifted.
	evacuations map[string]int
	// copies are the newest copies of the store, the oldest first.
	copies []platformtest.Copy

	// repeatable is set while callers send only requests that may be repeated.
	repeatable atomic.Bool

	// records is what all parties have seen, in recordsDir.
	records    *recorder
	recordsDir string
	// faults is the number of faults so far. Faults of one router run one after the other,
	// each with the router's lock.
	faults      atomic.Int64
	routerLocks []sync.Mutex
}

// hostBase keeps the addresses of the soak test apart from those of other tests.
const hostBase = "127.0.77."

// proxyHost is the address of the proxies. The ports of 127.0.0.1 can all be taken by
// connections of other tests that have just ended.
const proxyHost = hostBase + "200"

// startFleet starts a fleet that writes its records into a directory; into one that the
// test removes if none is given.
func startFleet(t *testing.T, routers int, recordsDir string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: platformtest.NewStore(), era: 1, recordsDir: recordsDir, evacuations: make(map[string]int)}
	f.openRecords()
	f.store.SetEra("1")
	t.Cleanup(f.store.Close)
	f.binary = *binaryFlag
	if f.binary == "" {
		f.build()
	}
	for i := range servers {
		f.addServer(i)
	}
	f.findPredatedRules()
	f.publish()
	for i := range routers {
		f.routers = append(f.routers, f.newRouter(i))
	}
	f.cutOff, f.late = f.newRouter(routers), f.newRouter(routers+1)
	f.routerLocks = make([]sync.Mutex, routers)
	for _, r := range f.routers {
		f.launch(r)
	}
	for _, r := range f.routers {
		f.awaitReady(r)
	}
	return f
}

// build builds the binary of the routers.
func (f *fleet) build() {
	f.t.Helper()
	f.binary = filepath.Join(f.dir, "bluebellwell")
	build := exec.Command("go", "build", "-o", f.binary, "../../cmd/bluebellwell")
	if out, err := build.CombinedOutput(); err != nil {
		f.t.Fatalf("build: %v\n%s", err, out)
	}
}

// plainServers is the number of plain servers; the other servers are engines.
const (
	servers      = 9
	plainServers = 3
)

// Servers wait for a delay before each answer and each event. With longDelay a stream
// lasts longer than a server may work on for a caller that has left; its gaps stay within
// what routes allow.
const (
	answerDelay = 8 * time.Millisecond
	longDelay   = 280 * time.Millisecond
)

// The first data centre is in otherRegion, the others and the routers are in ownRegion, to which the workspace w2 keeps. The last
// data centre is never evacuated, so that w2 keeps servers.
const (
	ownRegion   = "south"
	otherRegion = "north"
)

// regions returns the region of each data centre.
func regions() map[string]string {
	list := make(map[string]string, dataCentres)
	for i := range dataCentres {
		list[dataCentreOf(i)] = ownRegion
	}
	list[dataCentreOf(0)] = otherRegion
	return list
}

func regionOf(dataCentre string) string { return regions()[dataCentre] }

// A server is cold for coldStart after each of its starts. It then tolerates coldRate requests a second, of which coldOverage
// times as many and coldSlack more may arrive in a second. Few callers reach each server, so the numbers are small. Routers that
// are in touch know of a start within coldKnown.
const (
	coldKnown   = time.Second
	coldStart   = 5 * time.Second
	coldRate    = 1.0
	coldOverage = 1.5
	coldSlack   = 1.0
	coldBound   = coldRate*coldOverage + coldSlack
)

func (f *fleet) addServer(i int) {
	pool := "engines"
	if i < plainServers {
		pool = "plain"
	}
	observer := &serverObserver{records: f.records, server: fmt.Sprintf("i-%d", i), pool: pool}
	e := platformtest.NewObservedEngine(observer.server, observer.wrap)
	e.SetDelay(answerDelay)
	if i < plainServers {
		e.SetPlain(*plainFlag)
	}
	e.SetDataCentre(dataCentreOf(i))
	// Its entries say that it is not cold, as those of the platform's servers do.
	e.SetCold(-time.Second)
	if i%2 == 1 {
		// Half of the servers say how long work takes there, so that routers place requests by expected times.
		e.SetAnswerHeader(platformtest.HeaderLoad, fmt.Sprintf("1,0,8,%d", []int{100, 250, 130}[i/2%3]))
	}
	if *shareFlag && i < plainServers {
		// A load that can't be read counts as none: a share is sent only to servers that state no load.
		e.SetAnswerHeader(platformtest.HeaderLoad, "none")
	}
	p, err := newProxy(e.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	s := &server{Engine: e, proxy: p, pool: pool, dataCentre: dataCentreOf(i), region: regionOf(dataCentreOf(i))}
	f.servers = append(f.servers, s)
	f.t.Cleanup(e.Close)
	f.t.Cleanup(p.close)
	f.register(s, platformtest.StateReady)
}

func (f *fleet) register(s *server, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.returned = s.returned || s.state == platformtest.StateLeaving && state == platformtest.StateReady
	s.state = state
	f.writeEntry(s)
}

// heartbeat is how often servers that have returned write their entries.
const heartbeat = 1 * time.Second

// writeHeartbeats writes the entries of returned servers until ctx ends, as the platform's
// servers do. A router that reads the first list of an era can't tell their return from
// what the older copy says, and waits for the next write (decision 0012). The others write
// once, so that each of their writes must be enough.
func (f *fleet) writeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		for _, s := range f.servers {
			if s.returned && s.state != stateGone {
				f.writeEntry(s)
			}
		}
		f.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// stateGone is the state of a server without an entry.
const stateGone = ""

// entryStates are the states of entries as the records have them.
var entryStates = map[string]entryState{
	platformtest.StateReady: entryReady, platformtest.StateLeaving: entryLeaving, stateGone: entryGone,
}

// writeEntry writes the entry of a server, or removes it. The caller holds f.mu.
func (f *fleet) writeEntry(s *server) {
	entry := s.EntryAt(s.pool, s.state, s.proxy.addr())
	if s.state == stateGone {
		entry, s.returned = nil, true
	}
	f.store.Put(platform.TopicServers, s.ID, entry)
	f.records.add(entryConfirmed{
		Server: s.ID, Pool: s.pool, State: entryStates[s.state], Start: s.starts.Load(), Region: s.region, DataCentre: s.dataCentre,
	})
}

const (
	// copyInterval and maxCopies set how often the store is copied, and how old the
	// oldest copy is from which it comes back.
	copyInterval = 250 * time.Millisecond
	maxCopies    = 12
)

// copyStore copies the store again and again until ctx ends.
func (f *fleet) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		f.copies = append(f.copies, f.store.Copy())
		f.copies = f.copies[max(len(f.copies)-maxCopies, 0):]
		f.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// restoreStore lets the store come back from an older copy.
func (f *fleet) restoreStore(selector int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.copies) == 0 {
		return
	}
	// The older half is from before the writes that are to be lost.
	f.restoreCopy(f.copies[selector%((len(f.copies)+1)/2)])
}

// restoreCopy lets the store come back from a copy. The caller holds f.mu.
func (f *fleet) restoreCopy(c platformtest.Copy) {
	f.era++
	f.store.Restore(c, f.era)
	f.records.add(storeRestored{Era: f.era})
	// Later copies are of an era that has ended.
	f.copies = nil
}

// writeAgain writes the entries of all servers and the configuration again, as
// servers and operators do after the store has lost them.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		f.writeEntry(s)
	}
	f.writeConfig()
	f.writeEvacuations()
}

// writeConfig writes the configuration. The caller holds f.mu.
func (f *fleet) writeConfig() {
	f.store.Put(platform.TopicConfig, platform.ConfigKey, f.config.Encode())
	f.records.add(confirmedConfig(f.config))
}

func (f *fleet) newRouter(i int) *router {
	p, err := newProxy(f.store.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.close)
	r := &router{name: fmt.Sprintf("front-%d", i+1), host: fmt.Sprintf("%s%d", hostBase, i+1), store: p, older: runsOlder(i)}
	peers := uint16(0)
	if i > 0 {
		// All routers receive digests on the same port.
		peers = uint16(f.routers[0].ports[3])
	}
	for j, addr := range testport.FreeAddrsWith(f.t, r.host, len(r.ports), peers) {
		r.ports[j] = int(addr.Port())
	}
	if r.older {
		f.records.add(routerPredates{Router: r.name, Rules: f.predated})
	}
	r.file = filepath.Join(f.dir, r.name+".json")
	f.writeSettings(r, nil)
	return r
}

// writeSettings writes the settings file of a router, with some bounds overridden.
func (f *fleet) writeSettings(r *router, overrides map[string]any) {
	settings, bounds := r.settings()
	for _, rule := range settledRules {
		if !r.older || !slices.Contains(f.predated, rule.name) {
			rule.settings(settings, bounds)
		}
	}
	if !r.older {
		bounds["backup_risk"], bounds["grant_slots"] = 0, !*shareFlag
		if *shareFlag {
			bounds["delay_share"] = true
		}
	}
	maps.Copy(bounds, overrides)
	if err := writeJSON(r.file, settings); err != nil {
		f.t.Error(err)
	}
}

// settings returns the settings of a router that all builds know, and the bounds among them.
func (r *router) settings() (settings, bounds map[string]any) {
	bounds = map[string]any{"stop": "6s", "load_multiple": 2, "retry_ratio": 0.2, "retry_extra": 240}
	at := func(i int) string { return fmt.Sprintf("%s:%d", r.host, r.ports[i]) }
	return map[string]any{
		"vm": r.name, "data_centre": dataCentreOf(dataCentres - 1), "region": ownRegion,
		"listen": map[string]string{"callers": at(0), "readiness": at(1), "metrics": at(2), "peers": at(3)},
		"seeds":  []string{hostBase + "1:1", hostBase + "2:1"},
		"store":  map[string]string{"address": r.store.addr()},
		"limits": map[string]int{"memory_mb": 200, "cores": 1},
		"bounds": bounds,
	}, bounds
}

func writeJSON(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// launch starts the process of a router. It is killed by its id when the test ends.
func (f *fleet) launch(r *router) {
	out, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Error(err)
		return
	}
	cmd := exec.Command(f.binaryOf(r), "front", "-settings", r.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		f.t.Error(err)
		return
	}
	f.records.add(routerChanged{Router: r.name, Change: routerStarted})
	exited := make(chan struct{})
	go func() {
		// The exit status of a killed process is irrelevant.
		_ = cmd.Wait()
		f.records.add(routerChanged{Router: r.name, Change: routerExited})
		_ = out.Close()
		close(exited)
	}()
	r.mu.Lock()
	r.process, r.exited = cmd, exited
	r.mu.Unlock()
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
}

// signalChanges are the signals that operators send.
var signalChanges = map[syscall.Signal]routerChange{
	syscall.SIGTERM: routerStop, syscall.SIGKILL: routerKilled, syscall.SIGHUP: routerReload,
	syscall.SIGSTOP: routerPaused, syscall.SIGCONT: routerResumed,
}

func (f *fleet) signal(r *router, s syscall.Signal) {
	f.records.add(routerChanged{Router: r.name, Change: signalChanges[s]})
	r.mu.Lock()
	defer r.mu.Unlock()
	// The process may have ended.
	_ = r.process.Process.Signal(s)
}

func (r *router) wait() {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	<-exited
}

func (f *fleet) awaitReady(r *router) bool {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get(r.readyURL())
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Errorf("%s is not ready", r.name)
	return false
}

// status returns what a router tells about itself.
func (r *router) status() (front.Status, error) {
	var status front.Status
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", r.host, r.ports[2], front.StatusPath))
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// findDisagreements returns how the routers' views differ from what operators and
// servers have written.
func (f *fleet) findDisagreements() []string {
	var problems []string
	// text is the hash of the configuration's text at the first router that says it. One of an earlier build does not.
	text := ""
	for _, r := range f.allRouters() {
		status, err := r.status()
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s has no status: %v", r.name, err))
			continue
		}
		usable := usableServers(status)
		// A router that is no reader may see an era only with its next own read (decision
		// 0012), but must have been told of it.
		era := status.StoreEra
		if !status.Reader {
			era = max(era, status.ReportedEra)
		}
		if status.ConfigVersion != int64(f.version) || era != f.era || usable != len(f.servers) {
			problems = append(problems, fmt.Sprintf("%s has configuration %d, era %d and %d usable servers; want %d, %d and %d",
				r.name, status.ConfigVersion, era, usable, f.version, f.era, len(f.servers)))
		}
		if text = cmp.Or(text, status.ConfigHash); status.ConfigHash != "" && status.ConfigHash != text {
			problems = append(problems, fmt.Sprintf("%s has configuration %d with the text %s from the %s, another router %s",
				r.name, status.ConfigVersion, status.ConfigHash, status.ConfigSource, text))
		}
	}
	return problems
}

// findLateRouters writes a configuration and the entry of a server that leaves and returns,
// and returns the routers that do not follow in time, whichever era they are in.
func (f *fleet) findLateRouters() []string {
	var problems []string
	s := f.servers[0]
	f.publish()
	for _, state := range []string{platformtest.StateLeaving, platformtest.StateReady} {
		usable := len(f.servers)
		if state == platformtest.StateLeaving {
			usable--
		}
		f.register(s, state)
		deadline := time.Now().Add(drainGrace + faultMargin)
		for _, r := range f.allRouters() {
			status, err := r.status()
			for (err != nil || status.ConfigVersion != int64(f.version) || usableServers(status) != usable) && time.Now().Before(deadline) {
				time.Sleep(20 * time.Millisecond)
				status, err = r.status()
			}
			if err != nil || status.ConfigVersion != int64(f.version) || usableServers(status) != usable {
				problems = append(problems, fmt.Sprintf("%s in era %d has configuration %d and %d usable servers %s after %s became %s; want %d and %d",
					r.name, status.StoreEra, status.ConfigVersion, usableServers(status), drainGrace+faultMargin, s.ID, state, f.version, usable))
			}
		}
	}
	return problems
}

// usableServers returns the number of servers that a router sends requests to.
func usableServers(status front.Status) int {
	usable := 0
	for _, p := range status.Pools {
		for _, s := range p.Servers {
			if s.State != "leaving" && s.State != "evacuated" {
				usable++
			}
		}
	}
	return usable
}

// One configuration in shortTimeouts has routes whose timeout is shorter than callers wait.
const shortTimeouts = 4

// publish writes the next version of the configuration. Versions differ in their keys and
// timeouts, in the pool of the route "moved", and some lack the route "extra".
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	timeout := 4 * time.Second
	if f.version%shortTimeouts == shortTimeouts-1 {
		timeout = 2500 * time.Millisecond
	}
	route := func(name, kind, pool string, attempts int) platformtest.Route {
		return platformtest.Route{
			Name: name, Kind: kind, Pool: pool, Attempts: attempts, Resumable: name == "resume",
			Timeout: timeout, Objective: 300 * time.Millisecond, Gap: 300 * time.Millisecond,
		}
	}
	f.config = platformtest.Config{
		Version: f.version, Pools: []string{"plain", "engines"}, BodyBytes: 1 << 20, HeaderTimeout: headerTimeout,
		Workspaces: []platformtest.Workspace{{Name: "w1", Keys: []string{rotatingKey(f.version), steadyKey}}, {Name: "w2", Keys: []string{otherSteadyKey}, Regions: []string{ownRegion}}},
		ColdStart:  coldStart, ColdPerSecond: coldRate,
		Engines: &platformtest.EngineOffer{Slots: 8, KVTokens: 480_000, KVTokenBytes: 18_432, LinkMbps: 280_000, HandleS: 5, Backups: true},
		Routes: []platformtest.Route{
			route("safe", "safe", "plain", 2), route("unsafe", "unsafe", "plain", 1),
			route("stream", "stream", "engines", 1), route("resume", "stream", "engines", 2),
			route("moved", "safe", []string{"plain", "engines"}[f.version%2], 2),
		},
	}
	if f.version%3 != 0 {
		f.config.Routes = append(f.config.Routes, route("extra", "safe", "plain", 2))
	}
	f.writeConfig()
}

// steadyKey and otherSteadyKey are in all configurations, each in another workspace;
// unknownKey is in none.
const (
	steadyKey      = "steady"
	otherSteadyKey = "other"
	unknownKey     = "unknown"
)

// rotatingKey returns the key that only one version of the configuration holds.
func rotatingKey(version int) string { return fmt.Sprintf("k%d", version) }
