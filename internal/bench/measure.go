package bench

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// Figures are the measured values of one policy. A nil value was not measured.
type Figures struct {
	// CacheHitRatio is the share of the prompt tokens of returning chats that was
	// cached, OracleCacheHitRatio that of the oracle policy.
	CacheHitRatio       *float64 `json:"cache_hit_ratio"`
	OracleCacheHitRatio *float64 `json:"oracle_cache_hit_ratio"`
	// SkewMax and SkewP99 are the maximum and the 99th percentile of the skew, the
	// load of the busiest engine divided by the mean load.
	SkewMax      *float64 `json:"skew_max"`
	SkewP99      *float64 `json:"skew_p99"`
	LoadMultiple float64  `json:"load_multiple"`
	// MeanInFlight is the mean number of requests in flight per engine.
	MeanInFlight float64 `json:"mean_in_flight"`
	// SkewViolations counts the requests that engines accepted above the bound.
	SkewViolations int `json:"skew_violations"`
	// ControlBytesPerSecondMax and ControlBytesByCategory are those of the router
	// with the most control traffic.
	ControlBytesPerSecondMax float64            `json:"control_bytes_per_second_max"`
	ControlBytesByCategory   map[string]float64 `json:"control_bytes_by_category"`
	// TTFTP50, TTFTP95 and TTFTP99 are percentiles of the time to the first token
	// in milliseconds, by priority.
	TTFTP50 map[string]float64 `json:"ttft_ms_p50"`
	TTFTP95 map[string]float64 `json:"ttft_ms_p95"`
	TTFTP99 map[string]float64 `json:"ttft_ms_p99"`
	// LookupP95CalmMs and LookupP95SurgeMs are the 95th percentiles of that time
	// for lookups outside and during the surge.
	LookupP95CalmMs  *float64 `json:"lookup_p95_calm_ms"`
	LookupP95SurgeMs *float64 `json:"lookup_p95_surge_ms"`
	// RelayOverheadMsP99 is the time that the fleet adds to the first token.
	RelayOverheadMsP99 *float64 `json:"relay_overhead_ms_p99"`
	// Lost counts requests without a final answer, and incomplete answers whose
	// engine did not terminate.
	Lost int `json:"lost"`
	// Crossed counts answers whose text does not belong to their request.
	Crossed int `json:"crossed"`
	// Duplicated counts idempotency keys whose request ran more than once.
	Duplicated int `json:"duplicated"`
	// FalseNotRun counts not_run answers to requests that ran.
	FalseNotRun int `json:"false_not_run"`
	// LeaveToLastNewWorkSeconds is the longest time from the listing of an engine
	// as leaving to the last request that it accepted.
	LeaveToLastNewWorkSeconds *float64 `json:"leave_to_last_new_work_seconds"`
	// ConfigInForceSecondsMax is the longest time from the publication of a record
	// until every ready router has it in force.
	ConfigInForceSecondsMax *float64 `json:"config_in_force_seconds_max"`
	// ConfigReversions counts the times that a router went back to an older
	// configuration, or was ready with an outdated one.
	ConfigReversions int `json:"config_reversions"`
	// StreamsCut counts connections and answers that a planned stop interrupted.
	StreamsCut int `json:"streams_cut"`
	Requests   int `json:"requests"`
	// Refused counts the answers that are not complete, by code.
	Refused map[string]int `json:"refused"`
}

// window is the part of a run in which load and skew are measured.
type window struct {
	from, to time.Duration
}

func (p *Plan) window() window {
	return window{from: warmUp, to: p.Duration - drainTime}
}

func (w window) contains(t time.Duration) bool {
	return t >= w.from && t < w.to
}

// figures computes all figures after the run.
func (r *run) figures() *Figures {
	var records []enginesim.Record
	for _, rec := range r.bed.EngineLedger.Records() {
		if !rec.Accepted.Before(r.startTime) {
			records = append(records, rec)
		}
	}
	byRequest := recordsByRequest(records)
	executions := r.bed.BackendLedger.Executions()
	violating := violations(records, r.plan.Profile.LoadMultiple)
	if r.policy == PolicyFleet {
		r.logViolations(violating)
		r.logSkew()
	}
	f := &Figures{
		CacheHitRatio:      cacheHitRatio(records),
		LoadMultiple:       r.plan.Profile.LoadMultiple,
		MeanInFlight:       meanInFlight(records, r.startTime, r.plan.window(), r.plan.Profile.Engines),
		SkewViolations:     len(violating),
		RelayOverheadMsP99: r.relayOverhead,
		Duplicated:         len(r.bed.BackendLedger.RepeatedKeys()) + len(r.bed.EngineLedger.RepeatedKeys()),
		Refused:            map[string]int{},
	}
	r.observations.fillFigures(f, r.plan.window(), records)
	r.results.fillLatencies(f, r.plan, r.observations.kills)
	var lost []*chatResult
	for _, c := range r.results.chats {
		if f.addChat(r.plan, c, byRequest, r.observations) {
			lost = append(lost, c)
		}
	}
	r.logLost(lost, byRequest)
	for _, key := range f.addCalls(r.results.calls, executions) {
		r.logf("%s: false not_run: %s: %s; ran at %.2f s", r.policy, key, r.results.callHistory(r, key),
			executionStarts(executions, key)[0].Sub(r.startTime).Seconds())
	}
	f.Lost += len(r.results.lostCalls)
	r.logf("%s: %d answers resumed, %d requests sent again, %.1f cores used, timers up to %.1f ms late", r.policy,
		r.results.resumed, r.results.resent, r.observations.coresUsed, float64(r.observations.maxTimerDelay.Microseconds())/1000)
	return f
}

func recordsByRequest(records []enginesim.Record) map[string][]enginesim.Record {
	m := map[string][]enginesim.Record{}
	for _, rec := range records {
		m[rec.RequestID] = append(m[rec.RequestID], rec)
	}
	return m
}

// cacheHitRatio returns the share of the prompt tokens of returning chats that
// was cached. A chat is returning from its second request on.
func cacheHitRatio(records []enginesim.Record) *float64 {
	first := map[string]string{}
	prompt, cached := 0, 0
	for _, rec := range records {
		if rec.PrefixKey == "" {
			continue
		}
		request, seen := first[rec.PrefixKey]
		if !seen {
			first[rec.PrefixKey] = rec.RequestID
		}
		if !seen || request == rec.RequestID || !rec.Executed() {
			continue
		}
		prompt += rec.PromptTokens
		cached += rec.CachedTokens
	}
	if prompt == 0 {
		return nil
	}
	ratio := float64(cached) / float64(prompt)
	return &ratio
}

// meanInFlight returns the mean number of requests in flight per engine over a
// window.
func meanInFlight(records []enginesim.Record, runStart time.Time, w window, engines int) float64 {
	from, to := runStart.Add(w.from), runStart.Add(w.to)
	busy := time.Duration(0)
	for _, rec := range records {
		start, end := rec.Accepted, rec.Ended
		if start.Before(from) {
			start = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		busy += max(end.Sub(start), 0)
	}
	return busy.Seconds() / (w.to - w.from).Seconds() / float64(engines)
}

// violations returns the records of requests whose acceptance put an engine of
// the pool over the bound while the mean load was at least minMeanLoad.
func violations(records []enginesim.Record, multiple float64) []enginesim.Record {
	var list []enginesim.Record
	for _, rec := range records {
		if rec.Weight == 0 || float64(rec.PoolInFlight) < minMeanLoad*float64(rec.Engines) {
			continue
		}
		if rec.EngineInFlight > rec.Bound(multiple) {
			list = append(list, rec)
		}
	}
	return list
}

// logViolations logs the violations of each second, so that their cause can be
// found.
func (r *run) logViolations(list []enginesim.Record) {
	counts := map[int]int{}
	worst := map[int]enginesim.Record{}
	for _, rec := range list {
		second := int(rec.Accepted.Sub(r.startTime).Seconds())
		counts[second]++
		if w, ok := worst[second]; !ok || excess(rec, r.plan.Profile.LoadMultiple) > excess(w, r.plan.Profile.LoadMultiple) {
			worst[second] = rec
		}
	}
	for _, second := range slices.Sorted(maps.Keys(counts)) {
		w := worst[second]
		r.logf("%s: %d acceptances above the bound in second %d; worst: %s with %d of %d at %d in flight on %d engines", r.policy,
			counts[second], second, w.Engine, w.EngineInFlight, w.Bound(r.plan.Profile.LoadMultiple), w.PoolInFlight, w.Engines)
	}
}

func excess(rec enginesim.Record, multiple float64) int {
	return rec.EngineInFlight - rec.Bound(multiple)
}

// fillFigures sets the figures that were sampled during the run.
func (o *observations) fillFigures(f *Figures, w window, records []enginesim.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f.SkewMax, f.SkewP99 = skewFigures(o.skews, w)
	f.ControlBytesPerSecondMax, f.ControlBytesByCategory = maxControlRate(o.controls)
	f.LeaveToLastNewWorkSeconds = lastNewWork(records, o.leaving)
	f.ConfigReversions = o.reversions
	if len(o.inForceTimes) > 0 {
		longest := slices.Max(o.inForceTimes).Seconds()
		f.ConfigInForceSecondsMax = &longest
	}
}

// logSkew logs the skew samples above the load multiple.
func (r *run) logSkew() {
	w := r.plan.window()
	for _, s := range r.observations.skews {
		if w.contains(s.at) && s.mean >= minMeanLoad && s.skew > r.plan.Profile.LoadMultiple {
			r.logf("%s: skew %.3f at %.1f s, mean load %.2f, so that the busiest engine has %.0f", r.policy,
				s.skew, s.at.Seconds(), s.mean, s.skew*s.mean)
		}
	}
}

// skewFigures returns the maximum and the 99th percentile of the samples in a
// window whose mean load is at least minMeanLoad.
func skewFigures(samples []skewSample, w window) (highest, p99 *float64) {
	var values []float64
	for _, s := range samples {
		if w.contains(s.at) && s.mean >= minMeanLoad {
			values = append(values, s.skew)
		}
	}
	if len(values) == 0 {
		return nil, nil
	}
	sort.Float64s(values)
	rank := int(math.Ceil(0.99*float64(len(values)))) - 1
	return &values[len(values)-1], &values[rank]
}

// maxControlRate returns the control bytes per second of the router with the
// highest rate.
func maxControlRate(controls map[string]*controlTraffic) (total float64, byCategory map[string]float64) {
	byCategory = map[string]float64{}
	for _, c := range controls {
		seconds := c.end.Sub(c.start).Seconds()
		if seconds < minRateTime.Seconds() {
			continue
		}
		rates, sum := map[string]float64{}, 0.0
		for category, bytes := range c.lastBytes {
			rate := float64(bytes-c.firstBytes[category]) / seconds
			if rate > 0 {
				rates[category] = rate
			}
			sum += rate
		}
		if sum > total {
			total, byCategory = sum, rates
		}
	}
	return total, byCategory
}

// lastNewWork returns the longest time from the listing of an engine as
// leaving to the last request that it accepted, in seconds.
func lastNewWork(records []enginesim.Record, leaving map[string]time.Time) *float64 {
	if len(leaving) == 0 {
		return nil
	}
	longest := 0.0
	for _, rec := range records {
		if at, ok := leaving[rec.Engine]; ok {
			longest = max(longest, rec.Accepted.Sub(at).Seconds())
		}
	}
	return &longest
}

// killRecoveryTime is the time after the kill of a router that does not count as
// calm: a slow takeover would raise the calm latency and so hide a slow surge.
// All of the surge counts.
const killRecoveryTime = 6 * time.Second

func (s *results) fillLatencies(f *Figures, p *Plan, kills []time.Duration) {
	byClass := map[string]*hdrhistogram.Histogram{}
	calm, surge := newHistogram(), newHistogram()
	for _, c := range s.chats {
		at := c.chat.Turns[c.turn].At
		if c.ttft == 0 || at < warmUp {
			continue
		}
		name := string(c.chat.Priority)
		if byClass[name] == nil {
			byClass[name] = newHistogram()
		}
		recordLatency(byClass[name], c.ttft)
		switch {
		case c.chat.Priority != classes[0].priority:
		case p.InSurge(at):
			recordLatency(surge, c.ttft)
		case !disturbedByKill(at, kills):
			recordLatency(calm, c.ttft)
		}
	}
	f.TTFTP50, f.TTFTP95, f.TTFTP99 = percentiles(byClass, 50), percentiles(byClass, 95), percentiles(byClass, 99)
	f.LookupP95CalmMs, f.LookupP95SurgeMs = percentileOrNil(calm, 95), percentileOrNil(surge, 95)
}

// disturbedByKill reports whether a time is within killRecoveryTime after the
// kill of a router.
func disturbedByKill(at time.Duration, kills []time.Duration) bool {
	return slices.ContainsFunc(kills, func(kill time.Duration) bool { return at >= kill && at < kill+killRecoveryTime })
}

func percentiles(byClass map[string]*hdrhistogram.Histogram, percentile float64) map[string]float64 {
	m := map[string]float64{}
	for name, h := range byClass {
		m[name] = percentileMs(h, percentile)
	}
	return m
}

func percentileOrNil(h *hdrhistogram.Histogram, percentile float64) *float64 {
	if h.TotalCount() == 0 {
		return nil
	}
	v := percentileMs(h, percentile)
	return &v
}

// addChat counts the result of one turn and reports whether the turn is lost. An
// incomplete answer is not lost if its engine terminated.
func (f *Figures) addChat(p *Plan, c *chatResult, byRequest map[string][]enginesim.Record, o *observations) (lost bool) {
	f.Requests++
	var records []enginesim.Record
	for _, id := range c.requestIDs {
		records = append(records, byRequest[id]...)
	}
	engineTerminated := slices.ContainsFunc(records, func(rec enginesim.Record) bool { return o.lostWithEngine(rec, c.ended) })
	if isCrossed(p, c, records) {
		f.Crossed++
	}
	if c.outcome == outcomeLost || c.outcome == entry.OutcomeIncomplete && !engineTerminated {
		f.Lost++
		lost = true
	}
	if c.outcome == entry.OutcomeNotRun && slices.ContainsFunc(records, enginesim.Record.Executed) {
		f.FalseNotRun++
	}
	if c.outcome != entry.OutcomeDone && c.outcome != outcomeLost {
		f.Refused[c.code]++
	}
	f.StreamsCut += c.countCutByStop(o.stops, engineTerminated)
	return lost
}

// lostWithEngine reports whether an attempt was lost with its engine, or the
// engine terminated before the caller had received all of the answer. In both
// cases the answer cannot be resumed.
func (o *observations) lostWithEngine(rec enginesim.Record, ended time.Time) bool {
	if rec.EndState == enginesim.EndLost {
		return true
	}
	return slices.ContainsFunc(o.terminations[rec.Engine], func(termination time.Time) bool {
		return termination.After(rec.Accepted) && termination.Before(ended)
	})
}

// isCrossed reports whether the text differs from the answers of all engines that
// the ledger lists for the request. An incomplete answer must be a prefix of one
// of them.
func isCrossed(p *Plan, c *chatResult, records []enginesim.Record) bool {
	if c.text == "" && c.outcome != entry.OutcomeDone {
		return false
	}
	req := p.Request(c.chat, c.turn)
	for _, rec := range records {
		want := req.ExpectedSaltedAnswer(rec.Engine)
		if c.text == want || c.outcome != entry.OutcomeDone && strings.HasPrefix(want, c.text) {
			return false
		}
	}
	return true
}

// stopGrace is the time after a planned stop in which an answer that ends
// incomplete still counts as cut by the stop.
const stopGrace = 1 * time.Second

// countCutByStop counts the connections to a router that were lost once its
// planned stop had begun, and the answers that ended incomplete during a stop
// although their engine did not terminate.
func (c *chatResult) countCutByStop(stops []*stopWindow, engineTerminated bool) int {
	n := 0
	for _, w := range stops {
		for _, loss := range c.connectionLosses {
			if loss.router == w.router && !loss.at.Before(w.from) {
				n++
			}
		}
		during := c.ended.After(w.from) && (w.to.IsZero() || c.ended.Before(w.to.Add(stopGrace)))
		if c.outcome == entry.OutcomeIncomplete && !engineTerminated && during {
			n++
		}
	}
	return n
}

// addCalls counts the results of plain calls and returns the keys with a false
// not_run.
func (f *Figures) addCalls(calls []*callResult, executions []backendsim.Execution) (falseNotRunKeys []string) {
	byKey := map[string][]*callResult{}
	for _, c := range calls {
		f.Requests++
		if c.outcome == entry.OutcomeDone && !c.answerMatches() {
			f.Crossed++
		}
		if c.outcome != entry.OutcomeDone && c.outcome != outcomeLost {
			f.Refused[c.code]++
		}
		if c.key != "" {
			byKey[c.key] = append(byKey[c.key], c)
		}
	}
	for key, list := range byKey {
		n := countFalseNotRun(list, executionStarts(executions, key))
		f.FalseNotRun += n
		if n > 0 {
			falseNotRunKeys = append(falseNotRunKeys, key)
		}
	}
	return falseNotRunKeys
}

func executionStarts(executions []backendsim.Execution, key string) []time.Time {
	var starts []time.Time
	for _, x := range executions {
		if x.IdempotencyKey == key {
			starts = append(starts, x.Started)
		}
	}
	return starts
}

// countFalseNotRun counts the not_run answers for one key that an execution
// contradicts. The execution started before the answer, or it started after the
// answer and no other call with the key could have caused it.
func countFalseNotRun(calls []*callResult, starts []time.Time) int {
	n := 0
	for _, c := range calls {
		if c.outcome != entry.OutcomeNotRun {
			continue
		}
		for _, start := range starts {
			if start.Before(c.ended) || !causedByOtherCall(calls, c, start) {
				n++
				break
			}
		}
	}
	return n
}

// causedByOtherCall reports whether a call other than c, still open after the end
// of c, was sent before the execution started.
func causedByOtherCall(calls []*callResult, c *callResult, start time.Time) bool {
	for _, other := range calls {
		open := other.abandoned || other.ended.After(c.ended)
		if other != c && open && other.sent.Before(start) {
			return true
		}
	}
	return false
}
