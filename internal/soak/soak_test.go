package soak

import (
	"context"
	"flag"
	"fmt"
	"html"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 20261203, "seed of the faults and the callers")
	secondsFlag = flag.Int("soak.seconds", 8, "period in which faults start, in seconds")
	routersFlag = flag.Int("soak.routers", 3, "number of routers")
	binaryFlag  = flag.String("soak.binary", "", "run this binary instead of building one")
	reportFlag  = flag.String("soak.report", "", "write a page with plots to this file")
)

// result is the outcome of one request as seen by its caller.
type result struct {
	id              string
	kind            string
	router          *router
	sent            time.Time
	ended           time.Time
	status          int
	err             error
	body            string
	headersReceived bool
	header          http.Header
	// framed is set when a length or chunks mark the end of the body.
	framed bool
}

// Guards against broken guarantees under overlapping faults: a non-repeatable
// request that runs twice, a refusal of a request that ran, an answer that belongs
// to another request, is incomplete or joined wrongly, a success that no server gave, a leaving server that gets
// requests, a planned stop that cuts a request, and a fleet that does not recover.
func TestSoak(t *testing.T) {
	length := time.Duration(*secondsFlag) * time.Second
	schedule := drawSchedule(*seedFlag, length)
	f := startFleet(t, *routersFlag)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var results []result
	var callers, faults sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			f.sendRequests(ctx, rand.New(rand.NewPCG(*seedFlag, uint64(i)+2)), i, func(res result) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, res)
			})
		})
	}
	go f.copyStore(ctx)
	faultsStart := time.Now()
	locks := make([]sync.Mutex, len(f.routers)+len(f.servers))
	for _, x := range schedule {
		faults.Go(func() {
			time.Sleep(time.Until(faultsStart.Add(x.start)))
			// Faults of the same router or server run one after the other.
			lock := &locks[x.lockIndex(f)]
			lock.Lock()
			defer lock.Unlock()
			x.inject(f)
		})
	}
	faults.Wait()
	recovered := time.Now().Add(recoveryTime)
	time.Sleep(2 * recoveryTime)
	cancel()
	callers.Wait()
	problems := append(f.findProblems(results, recovered), f.findDisagreements()...)
	problems = append(problems, f.findLateRouters()...)
	for _, p := range problems {
		t.Error(p)
	}
	if *reportFlag != "" {
		if err := os.WriteFile(*reportFlag, []byte(reportPage(schedule, results, problems, faultsStart)), 0o600); err != nil {
			t.Error(err)
		}
	}
	if t.Failed() {
		t.Logf("seed %d, %d requests; faults:", *seedFlag, len(results))
		for _, x := range schedule {
			t.Log(x)
		}
		f.saveLogs()
	}
}

// lockIndex returns the index of the lock for the router or server that a fault
// affects.
func (x fault) lockIndex(f *fleet) int {
	if strings.HasPrefix(x.kind, "server") {
		return len(f.routers) + x.selector%len(f.servers)
	}
	return x.selector % len(f.routers)
}

// saveLogs copies the routers' logs out of the directory that the test removes.
func (f *fleet) saveLogs() {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		f.t.Log(err)
		return
	}
	for _, r := range f.routers {
		data, err := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, r.name+".log"), data, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
	f.t.Logf("logs of the routers: %s", dir)
}

// sendRequests sends requests one after another, on persistent connections, until
// ctx ends.
func (f *fleet) sendRequests(ctx context.Context, random *rand.Rand, caller int, record func(result)) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"safe", "unsafe", "stream", "resume"}[random.IntN(4)]
		r := f.routers[random.IntN(len(f.routers))]
		res := result{id: fmt.Sprintf("c%dn%d", caller, n), kind: kind, router: r, sent: time.Now()}
		send(client, &res, random)
		res.ended = time.Now()
		record(res)
		if res.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func send(client *http.Client, res *result, random *rand.Rand) {
	req, err := http.NewRequest(http.MethodPost, res.router.baseURL()+"/"+res.kind+"/x", strings.NewReader("body of "+res.id))
	if err != nil {
		res.err = err
		return
	}
	req.Host = "h.example"
	req.Header.Set(platformtest.HeaderRequestID, res.id)
	req.Header.Set(platformtest.HeaderDeadline, "3000")
	req.Header.Set(platformtest.HeaderAuthorization, platformtest.Key("steady"))
	if res.kind == "stream" || res.kind == "resume" {
		req.Header.Set(platformtest.HeaderModel, "m")
		req.Header.Set(platformtest.HeaderPrompt, fmt.Sprintf("aa:500,%x:2000,ff%x:10", 16+random.IntN(20), random.Uint32()))
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
		return
	}
	defer resp.Body.Close()
	res.headersReceived, res.status, res.header = true, resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	res.body, res.err = string(body), err
	res.framed = resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// wholeStream returns the complete answer to a stream request.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= platformtest.EventsPerStream; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

// findProblems returns a description of each broken guarantee.
func (f *fleet) findProblems(results []result, recovered time.Time) []string {
	var problems []string
	addProblem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	runs, serversOf := map[string]int{}, map[string][]string{}
	sender := map[string]*router{}
	for _, res := range results {
		sender[res.id] = res.router
	}
	for _, s := range f.servers {
		for _, req := range s.Requests() {
			if !req.Refused {
				runs[req.ID]++
				serversOf[req.ID] = append(serversOf[req.ID], s.ID)
			}
			if r := sender[req.ID]; r != nil && f.mustAvoid(r, s, req.ReceivedAt) {
				addProblem("request %s reached %s from %s after the server had left", req.ID, s.ID, r.name)
			}
		}
	}
	whole := wholeStream()
	served, sentAfterFaults := 0, 0
	for _, res := range results {
		once := res.kind == "unsafe" || res.kind == "stream"
		if once && runs[res.id] > 1 {
			addProblem("%s request %s ran %d times", res.kind, res.id, runs[res.id])
		}
		if once && (res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests) && runs[res.id] > 0 {
			addProblem("%s request %s was refused with %d and ran", res.kind, res.id, res.status)
		}
		checkSignature(addProblem, res, serversOf[res.id])
		if res.status == http.StatusUnauthorized || res.status == http.StatusNotFound {
			addProblem("request %s was denied with %d", res.id, res.status)
		}
		if res.status == http.StatusOK && res.err == nil && (res.framed || !f.explainedByFault(res, serversOf[res.id])) {
			checkBody(addProblem, res, whole)
		}
		if res.status == http.StatusOK && res.err == nil && !res.framed {
			checkOpenBody(addProblem, res, whole)
		}
		if res.err != nil && runs[res.id] > 0 && !f.explainedByFault(res, serversOf[res.id]) {
			addProblem("%s request %s at %s ran and broke off without a fault: %v", res.kind, res.id, res.router.name, res.err)
		}
		if res.sent.After(recovered) {
			sentAfterFaults++
			if res.status == http.StatusOK && res.err == nil {
				served++
			}
		}
	}
	if 10*served < 9*sentAfterFaults || sentAfterFaults == 0 {
		addProblem("%d of %d requests after the faults were served", served, sentAfterFaults)
	}
	return problems
}

// checkSignature checks that a success has the signature of a server that ran the request.
// No fault explains another one.
func checkSignature(addProblem func(string, ...any), res result, servers []string) {
	if res.status < 200 || res.status > 299 {
		return
	}
	signature := res.header.Get(platformtest.HeaderSignature)
	if signature == "" {
		addProblem("%s request %s at %s got a success without a signature: status %d, headers %v, error %v, run by %v, body %.60q",
			res.kind, res.id, res.router.name, res.status, res.header, res.err, servers, res.body)
		return
	}
	if !slices.ContainsFunc(servers, func(id string) bool { return signature == platformtest.Signature(id) }) {
		addProblem("%s request %s at %s got a success signed %q and ran at %v: status %d, body %.60q",
			res.kind, res.id, res.router.name, signature, servers, res.status, res.body)
	}
}

func checkBody(addProblem func(string, ...any), res result, whole string) {
	stream := res.kind == "stream" || res.kind == "resume"
	if stream && res.body != whole {
		addProblem("%s request %s got events %q", res.kind, res.id, res.body)
	}
	if !stream && !strings.HasPrefix(res.body, "answer to "+res.id+" of i-") {
		addProblem("%s request %s got %q", res.kind, res.id, res.body)
	}
}

// checkOpenBody checks an answer whose end nothing marks: it may lack events, but not
// end inside one.
func checkOpenBody(addProblem func(string, ...any), res result, whole string) {
	stream := res.kind == "stream" || res.kind == "resume"
	if stream && (!strings.HasPrefix(whole, res.body) || !strings.HasSuffix(res.body, "\n\n")) {
		addProblem("%s request %s got events %q without a marked end", res.kind, res.id, res.body)
	}
}

// faultMargin allows for requests in progress when a fault begins or ends.
const faultMargin = 300 * time.Millisecond

// explainedByFault reports whether a fault of the router or of a server that ran
// the request explains that its answer was cut. Planned operations don't.
func (f *fleet) explainedByFault(res result, servers []string) bool {
	for _, p := range f.periods {
		if p.kind == kindServerLeaves || p.kind == kindRouterStopped || p.kind == kindServerPieces {
			continue
		}
		affected := p.target == res.router.name || slices.Contains(servers, p.target)
		if affected && p.from.Add(-faultMargin).Before(res.ended) && p.to.Add(faultMargin).After(res.sent) {
			return true
		}
	}
	return false
}

// mustAvoid reports whether a server had been leaving for longer than drainGrace,
// while no fault had kept the router from reading its state.
func (f *fleet) mustAvoid(r *router, s *server, at time.Time) bool {
	leaving := false
	for _, p := range f.periods {
		if p.kind == kindServerLeaves {
			leaving = leaving || p.target == s.ID && at.After(p.from.Add(drainGrace+faultMargin)) && at.Before(p.to)
			continue
		}
		affected := p.target == "" || p.target == r.name
		if affected && p.from.Before(at) && p.to.Add(recoveryTime).After(at.Add(-recoveryTime)) {
			return false
		}
	}
	return leaving
}

// reportPage returns an HTML page with latency and outcomes over time and the
// faults marked.
func reportPage(schedule []fault, results []result, problems []string, faultsStart time.Time) string {
	const width, height, perSecond = 1000, 200, 20
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><meta charset=utf-8><title>soak %d</title><h1>Soak, seed %d</h1>", *seedFlag, *seedFlag)
	fmt.Fprintf(&b, "<p>%d requests, %d problems</p><svg width=%d height=%d style='border:1px solid'>", len(results), len(problems), width, height)
	for _, x := range schedule {
		fmt.Fprintf(&b, "<rect x=%.0f y=0 width=%.0f height=%d fill='rgba(200,0,0,.08)'><title>%s</title></rect>",
			x.start.Seconds()*perSecond, max(x.duration.Seconds()*perSecond, 2), height, html.EscapeString(x.String()))
	}
	for _, res := range results {
		color := "green"
		switch {
		case res.status == http.StatusServiceUnavailable:
			color = "orange"
		case res.status != http.StatusOK || res.err != nil:
			color = "red"
		}
		y := float64(height) - min(res.ended.Sub(res.sent).Seconds()*50, height)
		fmt.Fprintf(&b, "<circle cx=%.1f cy=%.1f r=1.5 fill=%s />", res.sent.Sub(faultsStart).Seconds()*perSecond, y, color)
	}
	b.WriteString("</svg><p>Time to the right, 20 px a second; latency upwards, 50 px a second. Green: served; orange: refused; red: failed. " +
		"Faults are shaded.</p><ul>")
	for _, p := range problems {
		fmt.Fprintf(&b, "<li>%s</li>", html.EscapeString(p))
	}
	b.WriteString("</ul><pre>")
	sorted := slices.Clone(schedule)
	slices.SortFunc(sorted, func(x, y fault) int { return int(x.start - y.start) })
	for _, x := range sorted {
		b.WriteString(html.EscapeString(x.String()) + "\n")
	}
	b.WriteString("</pre>")
	return b.String()
}
