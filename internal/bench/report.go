package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

// Options selects the runs of a report.
type Options struct {
	Profile  string
	Seed     uint64
	Duration time.Duration
	Policies []string
	Faults   []string
	// Progress receives lines of text during the runs.
	Progress io.Writer
}

// Report is the result of all runs.
type Report struct {
	Profile         string  `json:"profile"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// TimeScale is the factor by which pauses of callers are shortened.
	TimeScale int                 `json:"time_scale"`
	Machine   Machine             `json:"machine"`
	Policies  map[string]*Figures `json:"policies"`
	// Verdicts compares the fleet's own policy with its targets.
	Verdicts []Verdict `json:"verdicts"`
}

// MinDuration is the shortest duration of a run: it leaves 3 s between warm-up
// and drain.
const MinDuration = warmUp + drainTime + 3*time.Second

// Check returns an error if the options are invalid.
func (o *Options) Check() error {
	if _, ok := testbed.Profiles()[o.Profile]; !ok {
		return eris.Errorf("unknown profile %q; must be thekkady or lam-dong", o.Profile)
	}
	if o.Duration < MinDuration {
		return eris.Errorf("duration must be at least %s", MinDuration)
	}
	for _, name := range o.Policies {
		if name != PolicyFleet && name != PolicyOracle && baselines[name] == nil {
			return eris.Errorf("unknown policy %q; must be one of %s", name, strings.Join(Policies(), ", "))
		}
	}
	return CheckFaults(o.Faults)
}

// Run runs all policies one after the other, each with a fresh fleet and the
// same workload and faults.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	plan, err := NewPlan(testbed.Profiles()[o.Profile], o.Seed, o.Duration)
	if err != nil {
		return nil, err
	}
	logf := func(format string, args ...any) { _, _ = fmt.Fprintf(o.Progress, format+"\n", args...) }
	logf("%s, seed %d: %d requests in %d chats and %d plain calls over %s; %d tokens of cache for each engine; "+
		"a pause of 1 min takes %.1f s", o.Profile, o.Seed, plan.RequestCount(), len(plan.Chats), len(plan.Calls), o.Duration,
		plan.CacheTokens, 60.0/TimeScale)
	report := &Report{
		Profile:         o.Profile,
		Seed:            o.Seed,
		DurationSeconds: o.Duration.Seconds(),
		TimeScale:       TimeScale,
		Machine:         newMachine(),
		Policies:        map[string]*Figures{},
	}
	faults := map[string]bool{}
	for _, name := range o.Faults {
		faults[name] = true
	}
	runs := make([]*run, len(o.Policies))
	for i, policy := range o.Policies {
		runs[i] = newRun(policy, plan, faults, logf)
	}
	if err := runAll(ctx, runs, report.Policies); err != nil {
		return nil, err
	}
	report.finalize()
	return report, nil
}

// runAll runs one policy after the other. The fleet of the next policy starts
// while the last answers of the current one end; from then on only the completion
// of answers is measured.
func runAll(ctx context.Context, runs []*run, figures map[string]*Figures) error {
	ctx, cancel := context.WithCancel(ctx)
	var launched sync.WaitGroup
	defer func() {
		cancel()
		launched.Wait()
		for _, r := range runs {
			r.close()
		}
	}()
	launch := func(i int) {
		if i < len(runs) {
			launched.Go(runs[i].fleetStarter(ctx))
		}
	}
	launch(0)
	for i, r := range runs {
		<-r.launched
		if r.launchErr != nil {
			return eris.Wrapf(r.launchErr, "start the fleet of policy %s", r.policy)
		}
		f, err := r.execute(ctx, func() { launch(i + 1) })
		if err != nil {
			return eris.Wrapf(err, "run policy %s", r.policy)
		}
		figures[r.policy] = f
		r.close()
	}
	return nil
}

// finalize sets the oracle's cache hit ratio in every policy's figures and adds
// the verdicts on the fleet's policy. The oracle cannot be deployed, so its other
// figures are left out.
func (r *Report) finalize() {
	if oracle := r.Policies[PolicyOracle]; oracle != nil {
		for _, f := range r.Policies {
			f.OracleCacheHitRatio = oracle.CacheHitRatio
		}
		delete(r.Policies, PolicyOracle)
	}
	if f := r.Policies[PolicyFleet]; f != nil {
		r.Verdicts = Verdicts(f)
	}
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(r)
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "profile %s, seed %d, %.0f s, %d cores, %s; a pause of %d s takes 1 s\n\n",
		r.Profile, r.Seed, r.DurationSeconds, r.Machine.Cores, r.Machine.Go, r.TimeScale)
	names := make([]string, 0, len(r.Policies))
	for _, name := range Policies() {
		if r.Policies[name] != nil {
			names = append(names, name)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "figure\t%s\n", strings.Join(names, "\t"))
	for _, row := range r.rows(names) {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	if len(r.Verdicts) > 0 {
		fmt.Fprintf(t, "\ntarget of %s\tvalue\tbound\tverdict\n", PolicyFleet)
	}
	for _, v := range r.Verdicts {
		fmt.Fprintf(t, "%s\t%s\t%s %s\t%s\n", v.Target, formatNumber(v.Value), v.Relation, formatNumber(&v.Bound), v.State)
	}
	return t.Flush()
}

func formatNumber(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}

// rows lists the figures of the JSON document, one row for each value.
func (r *Report) rows(names []string) [][]string {
	columns := make([]map[string]string, len(names))
	var keys []string
	seen := map[string]bool{}
	for i, name := range names {
		columns[i] = flatten(r.Policies[name])
		for key := range columns[i] {
			if !seen[key] {
				keys = append(keys, key)
			}
			seen[key] = true
		}
	}
	sort.Strings(keys)
	var rows [][]string
	for _, key := range keys {
		row := []string{key}
		for _, column := range columns {
			value, ok := column[key]
			if !ok {
				value = "0"
			}
			row = append(row, value)
		}
		rows = append(rows, row)
	}
	return rows
}

// flatten returns the fields of the JSON form. The keys of nested objects are
// joined by a dot.
func flatten(f *Figures) map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(f)
	if err != nil {
		return out
	}
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return out
	}
	for key, value := range fields {
		switch v := value.(type) {
		case float64:
			out[key] = formatNumber(&v)
		case map[string]any:
			for inner, x := range v {
				n, _ := x.(float64)
				out[key+"."+inner] = formatNumber(&n)
			}
		default:
			out[key] = formatNumber(nil)
		}
	}
	return out
}
