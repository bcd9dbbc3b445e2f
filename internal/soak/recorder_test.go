package soak

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// recorder writes records in the order of their times. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out *bufio.Writer
	err error
}

func newRecorder(out io.Writer) *recorder {
	return &recorder{start: time.Now(), out: bufio.NewWriter(out)}
}

// add writes an event with the present time.
func (r *recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, err := record{At: time.Since(r.start), Event: e}.encode()
	if err == nil {
		_, err = r.out.Write(append(line, '\n'))
	}
	if r.err == nil {
		r.err = err
	}
}

// flush writes what is buffered and returns the first error of the recorder.
func (r *recorder) flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); r.err == nil {
		r.err = err
	}
	return r.err
}

// openRecords opens the file of the fleet's records and writes the first one.
func (f *fleet) openRecords() {
	if f.recordsDir == "" {
		f.recordsDir = f.dir
	}
	if err := os.MkdirAll(f.recordsDir, 0o700); err != nil {
		f.t.Fatal(err)
	}
	file, err := os.Create(filepath.Join(f.recordsDir, recordsFile))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = file.Close() })
	f.records = newRecorder(file)
	f.records.add(runStarted{Seed: *seedFlag, Bounds: standardBounds()})
}

// judge ends the records and judges them. The callers have stopped. Servers are closed
// first, which ends all attempts.
func (f *fleet) judge() ([]record, []violation) {
	f.t.Helper()
	for _, s := range f.servers {
		s.Close()
	}
	if err := f.records.flush(); err != nil {
		f.t.Fatal(err)
	}
	records, err := readRecords(filepath.Join(f.recordsDir, recordsFile))
	if err != nil {
		f.t.Fatal(err)
	}
	return records, judge(records)
}

// confirmedConfig returns the record of a configuration.
func confirmedConfig(c platformtest.Config) configConfirmed {
	e := configConfirmed{Version: c.Version, HeaderTimeout: c.HeaderTimeout}
	for _, r := range c.Routes {
		e.Routes = append(e.Routes, routeRecord{
			Name: r.Name, Kind: r.Kind, Pool: r.Pool, Attempts: r.Attempts, Resumable: r.Resumable, Public: r.Public, Timeout: r.Timeout,
		})
	}
	for _, w := range c.Workspaces {
		e.Workspaces = append(e.Workspaces, workspaceOfRecord{Name: w.Name, Keys: w.Keys, Regions: w.Regions})
	}
	return e
}

const (
	// readinessInterval is shorter than the platform's second, so that records show
	// changes early.
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = 1 * time.Second
	// missesOfUnready is the number of misses in a row that take a router out.
	missesOfUnready = 2
)

// watchReadiness records when a router becomes ready or ceases to be, until ctx ends.
func (f *fleet) watchReadiness(ctx context.Context, r *router) {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ready, misses := false, 0
	for ctx.Err() == nil {
		resp, err := client.Get(r.readyURL())
		if err == nil {
			resp.Body.Close()
		}
		misses++
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		}
		if now := misses < missesOfUnready; now != ready && (misses == 0 || !now) {
			ready = now
			r.ready.Store(now)
			f.records.add(routerChanged{Router: r.name, Change: map[bool]routerChange{true: routerReady, false: routerUnready}[now]})
		}
		time.Sleep(readinessInterval)
	}
}
