package telemetry

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// kind is a metric type of the Prometheus text format.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindHistogram kind = "histogram"
)

// order returns the place of the kind on the page.
func (k kind) order() int {
	if k == kindHistogram {
		return 1
	}
	return 0
}

// timerBounds are the upper bounds of timer buckets in seconds. They range from
// a hop between routers to a long review.
var timerBounds = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300,
}

// page is a tally reporter that keeps the current values of all series. It is
// safe for concurrent use.
type page struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds all series of one metric name.
type family struct {
	kind kind
	// series is keyed by the rendered labels.
	series map[string]series
}

// series writes its lines. The labels are already rendered, without braces.
type series interface {
	write(b *bytes.Buffer, name, labels string)
}

func newPage() *page {
	return &page{families: map[string]*family{}}
}

// Capabilities reports to tally that the page stores values and supports tags.
func (p *page) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing, because reported values are not buffered.
func (p *page) Flush() {}

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }

// getOrCreate returns the series of a name and tags, and creates it if needed. If
// the name already has another kind, the kind is appended to it.
func getOrCreate[S series](p *page, name string, k kind, tags map[string]string, create func() S) S {
	p.mu.Lock()
	defer p.mu.Unlock()
	name = metricName(name)
	if f := p.families[name]; f != nil && f.kind != k {
		name += "_" + string(k)
	}
	f := p.families[name]
	if f == nil {
		f = &family{kind: k, series: map[string]series{}}
		p.families[name] = f
	}
	labels := renderLabels(tags)
	if s, ok := f.series[labels].(S); ok {
		return s
	}
	s := create()
	f.series[labels] = s
	return s
}

// AllocateCounter returns the counter of a name and tags.
func (p *page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return getOrCreate(p, name+"_total", kindCounter, tags, func() *counter { return &counter{} })
}

// AllocateGauge returns the gauge of a name and tags.
func (p *page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return getOrCreate(p, name, kindGauge, tags, func() *gauge { return &gauge{} })
}

// AllocateTimer returns a histogram in seconds with fixed buckets.
func (p *page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return getOrCreate(p, name+"_seconds", kindHistogram, tags, newTimer)
}

// AllocateHistogram returns the histogram of a name and tags. Duration buckets
// are shown in seconds.
func (p *page) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	if _, ok := buckets.(tally.DurationBuckets); ok {
		name += "_seconds"
	}
	return getOrCreate(p, name, kindHistogram, tags, newHistogram)
}

// render returns the page, sorted by name and labels. Histograms come last: they are long, and
// some monitoring keeps only the start of a page.
func (p *page) render() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b bytes.Buffer
	names := slices.SortedFunc(maps.Keys(p.families), func(x, y string) int {
		return cmp.Or(p.families[x].kind.order()-p.families[y].kind.order(), strings.Compare(x, y))
	})
	for _, name := range names {
		f := p.families[name]
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(&b, name, labels)
		}
	}
	return b.Bytes()
}

type counter struct{ value atomic.Int64 }

// ReportCount adds the change since the last report.
func (c *counter) ReportCount(change int64) { c.value.Add(change) }

func (c *counter) write(b *bytes.Buffer, name, labels string) {
	writeSample(b, name, labels, strconv.FormatInt(c.value.Load(), 10))
}

type gauge struct{ bits atomic.Uint64 }

// ReportGauge sets the value.
func (g *gauge) ReportGauge(value float64) { g.bits.Store(math.Float64bits(value)) }

func (g *gauge) write(b *bytes.Buffer, name, labels string) {
	writeSample(b, name, labels, formatFloat(math.Float64frombits(g.bits.Load())))
}

// timer is a histogram of durations that also keeps their sum.
type timer struct {
	counts []atomic.Int64
	sum    atomic.Int64
}

func newTimer() *timer {
	return &timer{counts: make([]atomic.Int64, len(timerBounds)+1)}
}

// ReportTimer counts one duration.
func (t *timer) ReportTimer(d time.Duration) {
	i, _ := slices.BinarySearch(timerBounds, d.Seconds())
	t.counts[i].Add(1)
	t.sum.Add(int64(d))
}

func (t *timer) write(b *bytes.Buffer, name, labels string) {
	var total int64
	for i := range t.counts {
		total += t.counts[i].Load()
		bound := math.Inf(1)
		if i < len(timerBounds) {
			bound = timerBounds[i]
		}
		writeBucket(b, name, labels, bound, total)
	}
	writeSample(b, name+"_sum", labels, formatFloat(time.Duration(t.sum.Load()).Seconds()))
	writeSample(b, name+"_count", labels, strconv.FormatInt(total, 10))
}

// histogram has no sum, because tally reports only the samples of each bucket.
type histogram struct {
	mu      sync.Mutex
	buckets map[float64]*bucket
}

type bucket struct{ samples atomic.Int64 }

func newHistogram() *histogram {
	return &histogram{buckets: map[float64]*bucket{math.Inf(1): {}}}
}

// ReportSamples adds samples to the bucket.
func (b *bucket) ReportSamples(n int64) { b.samples.Add(n) }

// ValueBucket returns the bucket with an upper bound.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return h.bucket(upper)
}

// DurationBucket returns the bucket with an upper bound.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upper.Seconds())
}

func (h *histogram) bucket(upper float64) *bucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[upper]
	if b == nil {
		b = &bucket{}
		h.buckets[upper] = b
	}
	return b
}

func (h *histogram) write(b *bytes.Buffer, name, labels string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var total int64
	for _, upper := range slices.Sorted(maps.Keys(h.buckets)) {
		total += h.buckets[upper].samples.Load()
		writeBucket(b, name, labels, upper, total)
	}
	writeSample(b, name+"_count", labels, strconv.FormatInt(total, 10))
}

func writeBucket(b *bytes.Buffer, name, labels string, upper float64, total int64) {
	if labels != "" {
		labels += ","
	}
	writeSample(b, name+"_bucket", labels+`le="`+formatFloat(upper)+`"`, strconv.FormatInt(total, 10))
}

func writeSample(b *bytes.Buffer, name, labels, value string) {
	b.WriteString(name)
	if labels != "" {
		b.WriteString("{" + labels + "}")
	}
	b.WriteString(" " + value + "\n")
}

func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

var escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// renderLabels formats tags in the order of their names. Values of secret tags
// are redacted.
func renderLabels(tags map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		value := strings.ToValidUTF8(Redact(name, tags[name]), "\uFFFD")
		parts = append(parts, metricName(name)+`="`+escapeLabel.Replace(value)+`"`)
	}
	return strings.Join(parts, ",")
}

// metricName replaces characters that a metric or label name must not contain.
func metricName(name string) string {
	name = strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
	if name == "" || name[0] >= '0' && name[0] <= '9' {
		name = "_" + name
	}
	return name
}
