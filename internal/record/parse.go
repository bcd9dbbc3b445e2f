package record

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// Limits and defaults of the fields; Parse documents them.
const (
	maxIDBytes         = 64
	maxNameBytes       = 63
	maxAuthorBytes     = 128
	maxModelBytes      = 128
	maxPathBytes       = 256
	maxModels          = 64
	maxAPIKeys         = 16
	keyDigestHexDigits = 64
	maxRequests        = 100_000

	minLoadMultiple             = 1.01
	maxLoadMultiple             = 10
	plainLoadMultiple           = 2
	defaultMaxInFlight          = 64
	defaultQueueLimit           = 256
	maxHomeWaitMS               = 5000
	defaultHomeWaitMS           = 50
	maxRetryBudget              = 0.5
	defaultRetryBudget          = 0.1
	maxKVMovesPerMinute         = 10_000
	maxLoadsPerMinute           = 1000
	maxLoadsAtOnce              = 1000
	defaultKVMovesPerMinute     = 30
	maxCacheTokens              = 1_000_000_000
	maxCacheEventBytesPerSecond = 1_000_000
	minWeight                   = 0.01
	maxWeight                   = 1000
	defaultWeight               = 1
	defaultMaxQueued            = 64
	maxTimeoutMS                = 3_600_000
	defaultRouteTimeoutMS       = 30_000

	// maxClassShares leaves a share of the slots that every class may use.
	maxClassShares = 0.9
	// shareTolerance absorbs the rounding of decimal shares in a sum.
	shareTolerance = 1e-9
)

var (
	idPattern        = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)
	namePattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	modelPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	keyDigestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern      = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/%-]*$`)
)

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

var defaultClassShares = map[Priority]float64{
	PriorityLookup:   0.2,
	PriorityStandard: 0.2,
	PriorityReview:   0.1,
}

// parser maps a JSON tree to a record. Problems are added to list.
type parser struct {
	list    *findings.List
	version int
	id      string
}

func (p *parser) record(root any) *Record {
	f := newFields(p.list, "$", root)
	if f == nil {
		return nil
	}
	if _, ok := f.required("schema_version"); ok {
		p.version = f.integer("schema_version", schemaVersion1, schemaVersion2, schemaVersion2)
	}
	p.id = f.requiredText("id", maxIDBytes)
	p.match(f.pathOf("id"), p.id, idPattern)
	rec := &Record{SchemaVersion: p.version, ID: p.id, Author: f.requiredText("author", maxAuthorBytes)}
	rec.Changes = p.changes(f)
	f.reportUnknown()
	return rec
}

func (p *parser) changes(f *fields) []Change {
	v, ok := f.required("changes")
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok || len(items) == 0 || len(items) > MaxChanges {
		p.list.Add(f.pathOf("changes"), findings.CodeInvalid, "must be a list of 1 to %d changes", MaxChanges)
		return nil
	}
	type object struct {
		kind Kind
		name string
	}
	seen := map[object]bool{}
	changes := make([]Change, 0, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d]", f.pathOf("changes"), i)
		c := p.change(path, item)
		key := object{c.Kind, c.Name}
		if seen[key] && c.Name != "" {
			p.list.Add(path, findings.CodeInvalid, "%s %s is changed twice", c.Kind, c.Name)
		}
		seen[key] = true
		changes = append(changes, c)
	}
	return changes
}

func (p *parser) change(path string, item any) Change {
	f := newFields(p.list, path, item)
	if f == nil {
		return Change{}
	}
	c := Change{
		Kind:     Kind(f.requiredText("kind", maxNameBytes)),
		Name:     f.requiredText("name", maxNameBytes),
		Replaces: f.text("replaces", maxIDBytes),
		Delete:   f.boolean("delete"),
	}
	p.match(f.pathOf("name"), c.Name, namePattern)
	p.match(f.pathOf("replaces"), c.Replaces, idPattern)
	spec, hasSpec := f.get("spec")
	switch {
	case c.Delete && hasSpec:
		p.list.Add(f.pathOf("spec"), findings.CodeInvalid, "must be absent when delete is true")
	case c.Delete && c.Replaces == "":
		p.list.Add(f.pathOf("replaces"), findings.CodeMissing, "value is required when delete is true")
	case !c.Delete && !hasSpec:
		p.list.Add(f.pathOf("spec"), findings.CodeMissing, "value is required")
	}
	p.spec(f, &c, spec, hasSpec && !c.Delete)
	f.reportUnknown()
	return c
}

// spec reads the object of a change into the field that belongs to its kind.
func (p *parser) spec(f *fields, c *Change, spec any, present bool) {
	var read func(*fields)
	switch c.Kind {
	case KindPool:
		read = func(s *fields) { c.Pool = p.pool(c.Name, s) }
	case KindWorkspace:
		read = func(s *fields) { c.Workspace = p.workspace(c.Name, s) }
	case KindRoute:
		read = func(s *fields) { c.Route = p.route(c.Name, s) }
	case "":
		return
	default:
		p.list.Add(f.pathOf("kind"), findings.CodeInvalid, "must be pool, workspace or route")
		return
	}
	if !present {
		return
	}
	if s := newFields(p.list, f.pathOf("spec"), spec); s != nil {
		read(s)
		s.reportUnknown()
	}
}

func (p *parser) pool(name string, f *fields) *Pool {
	pool := &Pool{
		Name:             name,
		Version:          p.id,
		Type:             PoolType(f.requiredText("type", maxNameBytes)),
		Models:           f.texts("models", maxModels, maxModelBytes),
		MaxInFlight:      f.integer("max_in_flight", 1, maxRequests, defaultMaxInFlight),
		QueueLimit:       f.integer("queue_limit", 1, maxRequests, defaultQueueLimit),
		HomeWait:         milliseconds(f.integer("home_wait_ms", 0, maxHomeWaitMS, defaultHomeWaitMS)),
		ClassShares:      maps.Clone(defaultClassShares),
		ChecksFencing:    f.boolean("checks_fencing"),
		RetryBudget:      f.number("retry_budget", 0, maxRetryBudget, defaultRetryBudget),
		KVMovesPerMinute: defaultKVMovesPerMinute,
	}
	if p.version >= schemaVersion2 {
		pool.ClassShares = p.classShares(f)
		pool.KVMovesPerMinute = f.integer("kv_moves_per_minute", 0, maxKVMovesPerMinute, defaultKVMovesPerMinute)
		pool.CacheTokens = f.integer("cache_tokens", 0, maxCacheTokens, 0)
		pool.CacheEventBytes = f.integer("cache_event_bytes_per_s", 0, maxCacheEventBytesPerSecond, 0)
	}
	p.poolType(f, pool)
	pool.EngineState = p.engineState(f, pool)
	pool.LoadMultiple = p.loadMultiple(f, pool.Type)
	return pool
}

func (p *parser) poolType(f *fields, pool *Pool) {
	switch pool.Type {
	case PoolEngines:
		if _, ok := f.required("models"); ok && len(pool.Models) == 0 {
			p.list.Add(f.pathOf("models"), findings.CodeInvalid, "a pool of engines needs at least one model")
		}
	case PoolPlain:
		if len(pool.Models) > 0 {
			p.list.Add(f.pathOf("models"), findings.CodeInvalid, "a plain pool has no models")
		}
	case "":
	default:
		p.list.Add(f.pathOf("type"), findings.CodeInvalid, "must be engines or plain")
	}
	for i, m := range pool.Models {
		path := fmt.Sprintf("%s[%d]", f.pathOf("models"), i)
		p.match(path, m, modelPattern)
		if m == "" {
			p.list.Add(path, findings.CodeInvalid, "value is empty")
		}
	}
}

func (p *parser) engineState(f *fields, pool *Pool) *EngineState {
	v, ok := f.get("engine_state")
	if !ok {
		return nil
	}
	s := newFields(p.list, f.pathOf("engine_state"), v)
	if s == nil {
		return nil
	}
	e := &EngineState{
		Model:          s.requiredText("model", maxModelBytes),
		Version:        s.requiredText("version", maxModelBytes),
		Role:           s.requiredText("role", maxNameBytes),
		LoadsPerMinute: s.integer("weight_loads_per_minute", 1, maxLoadsPerMinute, 0),
		LoadsAtOnce:    s.integer("weight_loads_at_once", 1, maxLoadsAtOnce, 0),
	}
	s.reportUnknown()
	p.match(s.pathOf("version"), e.Version, modelPattern)
	p.match(s.pathOf("role"), e.Role, namePattern)
	switch {
	case pool.Type == PoolPlain:
		p.list.Add(s.path, findings.CodeInvalid, "a plain pool has no engines")
	case e.Model != "" && !slices.Contains(pool.Models, e.Model):
		p.list.Add(s.pathOf("model"), findings.CodeInvalid, "must be one of the pool's models")
	}
	return e
}

func (p *parser) loadMultiple(f *fields, t PoolType) float64 {
	name := "load_multiple"
	if p.version >= schemaVersion2 {
		name = "load_multiple_percent"
	}
	if t == PoolEngines {
		if _, ok := f.required(name); !ok {
			return plainLoadMultiple
		}
	}
	if p.version == schemaVersion1 {
		return f.number(name, minLoadMultiple, maxLoadMultiple, plainLoadMultiple)
	}
	percent := f.integer(name, 101, 100*maxLoadMultiple, 100*plainLoadMultiple)
	return float64(percent) / 100
}

func (p *parser) classShares(f *fields) map[Priority]float64 {
	v, ok := f.get("class_shares")
	if !ok {
		return maps.Clone(defaultClassShares)
	}
	s := newFields(p.list, f.pathOf("class_shares"), v)
	if s == nil {
		return nil
	}
	shares := map[Priority]float64{}
	sum := 0.0
	for _, class := range Priorities {
		if _, ok := s.required(string(class)); ok {
			shares[class] = s.number(string(class), 0, 1, 0)
			sum += shares[class]
		}
	}
	s.reportUnknown()
	if sum > maxClassShares+shareTolerance {
		p.list.Add(s.path, findings.CodeRange, "the shares add up to %g, the limit is %g", sum, maxClassShares)
	}
	return shares
}

func (p *parser) workspace(name string, f *fields) *Workspace {
	w := &Workspace{
		Name:            name,
		Version:         p.id,
		Weight:          f.number("weight", minWeight, maxWeight, defaultWeight),
		MaxQueued:       f.integer("max_queued", 1, maxRequests, defaultMaxQueued),
		MaxInFlight:     f.integer("max_in_flight", 0, maxRequests, 0),
		APIKeySHA256:    f.texts("api_key_sha256", maxAPIKeys, keyDigestHexDigits),
		SystemPromptKey: f.text("system_prompt_key", maxModelBytes),
	}
	for i, key := range w.APIKeySHA256 {
		if !keyDigestPattern.MatchString(key) {
			p.list.Add(fmt.Sprintf("%s[%d]", f.pathOf("api_key_sha256"), i), findings.CodeInvalid, "must be 64 lower-case hex digits")
		}
	}
	return w
}

func (p *parser) route(name string, f *fields) *Route {
	r := &Route{
		Name:       name,
		Version:    p.id,
		Pool:       f.requiredText("pool", maxNameBytes),
		Method:     f.text("method", maxNameBytes),
		PathPrefix: f.requiredText("path_prefix", maxPathBytes),
		Repeatable: f.boolean("repeatable"),
		Priority:   PriorityStandard,
		Timeout:    milliseconds(f.integer("timeout_ms", 1, maxTimeoutMS, defaultRouteTimeoutMS)),
	}
	p.match(f.pathOf("pool"), r.Pool, namePattern)
	if !slices.Contains(methods, r.Method) {
		p.list.Add(f.pathOf("method"), findings.CodeInvalid, "must be one of %s", strings.Join(methods[1:], ", "))
	}
	p.pathPrefix(f.pathOf("path_prefix"), r.PathPrefix)
	if _, ok := f.get("priority"); ok {
		r.Priority = Priority(f.requiredText("priority", maxNameBytes))
		if !slices.Contains(Priorities, r.Priority) {
			p.list.Add(f.pathOf("priority"), findings.CodeInvalid, "must be lookup, standard or review")
		}
	}
	return r
}

// pathPrefix rejects dot segments, because a server may resolve them to a path
// outside the prefix.
func (p *parser) pathPrefix(path, prefix string) {
	if prefix == "" {
		return
	}
	segments := strings.Split(prefix, "/")
	dots := slices.Contains(segments, ".") || slices.Contains(segments, "..")
	if !pathPattern.MatchString(prefix) || dots {
		p.list.Add(path, findings.CodeInvalid, "must be an absolute path without dot segments")
	}
}

// match adds a finding for a value that is present and does not match pattern.
func (p *parser) match(path, value string, pattern *regexp.Regexp) {
	if value != "" && !pattern.MatchString(value) {
		p.list.Add(path, findings.CodeInvalid, "must match %s", pattern)
	}
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
