// Package demo runs a small fleet with stand-ins in one process and shows its
// main features. It reports every guarantee of the fleet that was violated.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

const (
	demoRouters  = 3
	demoEngines  = 6
	demoBackends = 2
	// startTimeout limits the start of the fleet, stepTimeout each step.
	startTimeout = 20 * time.Second
	stepTimeout  = 60 * time.Second
	// chatCount is the number of chats; each returns at least twice.
	chatCount            = 24
	answerTokens         = 60
	longAnswerTokens     = 600
	longAnswersPerRouter = 6
	// skewInterval is the time between two samples of the skew.
	skewInterval = 50 * time.Millisecond
)

// Summary is the result of a run.
type Summary struct {
	Requests     int `json:"requests"`
	WholeAnswers int `json:"whole_answers"`
	// Lost counts the requests that received neither a complete answer nor the
	// outcome not_run or unknown.
	Lost int `json:"lost"`
	// Duplicates counts the non-repeatable requests that ran more than once.
	Duplicates int `json:"duplicates"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	// CacheHitRatio is the share of the prompt tokens of returning chats that
	// engines had cached.
	CacheHitRatio float64 `json:"cache_hit_ratio"`
	// Skew is the highest sampled ratio of an engine's load to the mean.
	Skew float64 `json:"skew"`
	// ControlBytesPerSecond is the highest control traffic of a router.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// Broken describes the guarantees that were violated.
	Broken []string `json:"broken,omitempty"`
}

// Demo is a running demonstration.
type Demo struct {
	bed    *testbed.Bed
	caller *testbed.Caller
	out    io.Writer

	mu      sync.Mutex
	summary Summary
	// cachedTokens and promptTokens are those of returning chats, for the cache
	// hit ratio.
	cachedTokens, promptTokens int
}

// Start starts stand-ins and routers and publishes the example records of a
// deployment. It writes progress to out.
func Start(ctx context.Context, profile string, events *event.Logger, out io.Writer) (*Demo, error) {
	p, ok := testbed.Profiles()[profile]
	if !ok {
		return nil, eris.Errorf("unknown profile %q", profile)
	}
	bed, err := testbed.New(testbed.Options{
		Profile:  p,
		Routers:  demoRouters,
		Engines:  demoEngines,
		Backends: demoBackends,
		Engine:   enginesim.Config{PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 5 * time.Millisecond},
		Events:   events,
	})
	if err != nil {
		return nil, err
	}
	d := &Demo{bed: bed, caller: testbed.NewCaller(), out: out}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d.logf("starting %d routers, %d engines and %d plain backend servers on loopback", demoRouters, demoEngines, demoBackends)
	if err := d.bed.StartRouters(); err != nil {
		return err
	}
	if err := d.publishExamples(ctx); err != nil {
		return err
	}
	if err := d.bed.WaitReady(ctx); err != nil {
		return err
	}
	d.logf("configuration is in force on every router")
	return nil
}

// Close ends the demo and its fleet.
func (d *Demo) Close() {
	d.caller.Close()
	d.bed.Close()
}

// Bed returns the running stand-ins and routers.
func (d *Demo) Bed() *testbed.Bed {
	return d.bed
}

func (d *Demo) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// routers returns the running routers in the order of their names.
func (d *Demo) routers() []*router.Router {
	return testbed.SortedByKey(d.bed.Routers())
}

// recordBroken records that a guarantee was violated.
func (d *Demo) recordBroken(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Broken = append(d.summary.Broken, fmt.Sprintf(format, args...))
}
