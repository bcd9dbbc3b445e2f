package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

const (
	// probePairs is the number of direct and of relayed requests with the fleet's
	// own policy, baselineProbePairs the number with the other policies.
	probePairs         = 400
	baselineProbePairs = 50
	probeWarmUp        = 20
	// probeTimeFactor shortens the engines' times during the probes, which only
	// compare two paths to the same engine.
	probeTimeFactor = 0.05
	probeTokens     = 2
	probeTimeout    = 10 * time.Second
)

// probe measures the time that the fleet adds to the first token. It sends one
// request at a time, alternately directly to an idle engine and through a router,
// and returns the difference of the 99th percentiles in milliseconds.
func (r *run) probe(ctx context.Context) (*float64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	engines := r.bed.Engines()
	for _, e := range engines {
		e.SetFaults(enginesim.Faults{SlowFactor: probeTimeFactor})
	}
	defer func() {
		for _, e := range engines {
			e.SetFaults(enginesim.Faults{})
		}
	}()
	p := &prober{r: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	defer p.client.CloseIdleConnections()
	for _, e := range engines {
		p.engines = append(p.engines, e.Addr())
	}
	sort.Strings(p.engines)
	pairs := baselineProbePairs
	if r.policy == PolicyFleet {
		pairs = probePairs
	}
	direct, relayed := newHistogram(), newHistogram()
	for i := range pairs + probeWarmUp {
		d, err := p.direct(ctx, i)
		if err != nil {
			return nil, err
		}
		f, err := p.relayed(ctx, i)
		if err != nil {
			return nil, err
		}
		if i >= probeWarmUp {
			recordLatency(direct, d)
			recordLatency(relayed, f)
		}
	}
	overhead := percentileMs(relayed, 99) - percentileMs(direct, 99)
	r.logf("%s: first token of probes, p50/p99 ms: direct %.2f/%.2f, through the fleet %.2f/%.2f", r.policy,
		percentileMs(direct, 50), percentileMs(direct, 99), percentileMs(relayed, 50), percentileMs(relayed, 99))
	return &overhead, nil
}

type prober struct {
	r       *run
	client  *http.Client
	engines []string
}

func (p *prober) request(i int, kind string) testbed.Chat {
	return testbed.Chat{
		Workspace: p.r.plan.Profile.Workspaces[0],
		Model:     p.r.plan.Profile.Model,
		Prompt:    fmt.Sprintf("probe %d %s", i, kind),
		MaxTokens: probeTokens,
		Priority:  "lookup",
	}
}

func (p *prober) relayed(ctx context.Context, i int) (time.Duration, error) {
	target := p.r.pickRouter(uint64(i))
	if target == nil {
		return 0, eris.New("no router is ready for probes")
	}
	reply, err := p.r.caller.Send(ctx, target.Addr(), p.request(i, "relayed"))
	if err != nil || !reply.Complete {
		return 0, eris.Errorf("probe through %s: outcome %s, code %s: %v", target.VM(), reply.Outcome, reply.Code, err)
	}
	return reply.FirstToken, nil
}

func (p *prober) direct(ctx context.Context, i int) (time.Duration, error) {
	chat := p.request(i, "direct")
	body, err := json.Marshal(map[string]any{
		"model": chat.Model, "stream": true, "max_tokens": chat.MaxTokens,
		"messages": []any{map[string]string{"role": "user", "content": chat.Prompt}},
	})
	if err != nil {
		return 0, eris.Wrap(err, "encode probe")
	}
	url := "http://" + p.engines[i%len(p.engines)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "build probe")
	}
	req.Header.Set(enginesim.HeaderAttemptID, fmt.Sprintf("probe-%d", i))
	req.Header.Set(enginesim.HeaderPriority, chat.Priority)
	sent := time.Now()
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "send probe")
	}
	defer func() { _ = resp.Body.Close() }()
	return firstToken(resp.Body, sent)
}

// firstToken reads a stream to its end and returns the time from sent to the
// first text.
func firstToken(body io.Reader, sent time.Time) (time.Duration, error) {
	reader := answer.NewSSEReader(body, answer.SSELimits{})
	var chunk answer.Chunk
	first := time.Duration(0)
	for {
		ev, err := reader.Next()
		if err != nil {
			return 0, eris.Wrap(err, "read probe")
		}
		if ev.Done {
			return first, nil
		}
		if err := chunk.Parse(ev.Data); err != nil {
			return 0, eris.Wrap(err, "parse probe")
		}
		if first == 0 && chunk.Characters > 0 {
			first = time.Since(sent)
		}
	}
}

// Bounds of recorded latencies in microseconds.
const (
	minLatency       = 1
	maxLatency       = 10 * 60 * 1_000_000
	latencyPrecision = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyPrecision)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
