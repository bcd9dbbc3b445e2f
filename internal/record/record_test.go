package record

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

const v1Pool = `{"schema_version":1,"id":"r1","author":"a","changes":[{"kind":"pool","name":"p","spec":
	{"type":"engines","models":["m"],"load_multiple":1.25}}]}`

const v2Pool = `{"schema_version":2,"id":"r1","author":"a","changes":[{"kind":"pool","name":"p","spec":
	{"type":"engines","models":["m"],"load_multiple_percent":125}}]}`

// Guards against two schema versions that give different objects for the same
// settings, and against changed defaults.
func TestSchemaVersionsGiveTheSameObjects(t *testing.T) {
	want := &Pool{
		Name: "p", Version: "r1", Type: PoolEngines, Models: []string{"m"},
		LoadMultiple: 1.25, MaxInFlight: 64, QueueLimit: 256, HomeWait: 50 * time.Millisecond,
		ClassShares: map[Priority]float64{PriorityLookup: 0.2, PriorityStandard: 0.2, PriorityReview: 0.1},
		RetryBudget: 0.1, KVMovesPerMinute: 30,
	}
	for _, data := range []string{v1Pool, v2Pool} {
		rec, err := Parse("f", []byte(data))
		if err != nil {
			t.Fatal(err)
		}
		if got := rec.Changes[0].Pool; !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}

// Guards against cache settings that are not copied from the record to the pool.
func TestCacheSettings(t *testing.T) {
	rec, err := Parse("f", []byte(recordWithSpec("pool", `{"type":"plain","cache_tokens":300000,"cache_event_bytes_per_s":150}`)))
	if err != nil || rec.Changes[0].Pool.CacheTokens != 300_000 || rec.Changes[0].Pool.CacheEventBytes != 150 {
		t.Fatalf("got %+v, %v; want both cache settings in the pool", rec, err)
	}
}

// recordWithSpec wraps the spec of one object in a schema 2 record.
func recordWithSpec(kind, spec string) string {
	return fmt.Sprintf(`{"schema_version":2,"id":"r","author":"a","changes":[{"kind":%q,"name":"n","spec":%s}]}`, kind, spec)
}

const specPath = "$.changes[0].spec"

// Guards against an invalid value that is accepted, and against findings that
// are missing or have a wrong path.
func TestFindings(t *testing.T) {
	cases := []struct {
		name string
		data string
		want []string
	}{
		{"engine state of a plain pool", recordWithSpec("pool", `{"type":"plain","engine_state":{"model":"m","version":"1","role":"chat"}}`),
			[]string{specPath + ".engine_state invalid"}},
		{"engine state with invalid fields", recordWithSpec("pool", `{"type":"engines","models":["m"],"load_multiple_percent":125,"engine_state":{
			"model":"other","role":"Chat","weight_loads_at_once":0,"weight_loads_per_minute":1001,"versions":1}}`),
			[]string{specPath + ".engine_state.version missing", specPath + ".engine_state.weight_loads_per_minute out_of_range",
				specPath + ".engine_state.weight_loads_at_once out_of_range", specPath + ".engine_state.versions unknown_field",
				specPath + ".engine_state.role invalid", specPath + ".engine_state.model invalid"}},
		{"empty", ``, []string{"$ syntax"}},
		{"two values", v1Pool + v1Pool, []string{"$ syntax"}},
		{"not an object", `[]`, []string{"$ invalid"}},
		{"invalid UTF-8", "{\"id\":\"\xff\"}", []string{"$ syntax"}},
		{"invalid escape", `{"id":"\ud800"}`, []string{"$.id syntax"}},
		{"repeated field", `{"id":"a","id":"b"}`, []string{"$ invalid"}},
		{"too deep", `{"a":` + strings.Repeat("[", 9) + strings.Repeat("]", 9) + `}`, []string{"$.a" + strings.Repeat("[0]", 7) + " out_of_range"}},
		{"too large", `{"a":"` + strings.Repeat("x", MaxBytes) + `"}`, []string{"$ out_of_range"}},
		{"later schema", `{"schema_version":3,"new":1}`, []string{"$.schema_version unreadable_schema"}},
		{"all top-level fields", `{"schema_version":0,"id":"a b","more":1}`, []string{"$.schema_version out_of_range", "$.id invalid", "$.author missing", "$.changes missing", "$.more unknown_field"}},
		{"no changes", `{"schema_version":1,"id":"a","author":"a","changes":[]}`, []string{"$.changes invalid"}},
		{"change twice", `{"schema_version":1,"id":"a","author":"a","changes":[{"kind":"workspace","name":"w","spec":{}},{"kind":"workspace","name":"w","spec":{}}]}`, []string{"$.changes[1] invalid"}},
		{"delete", `{"schema_version":1,"id":"a","author":"a","changes":[{"kind":"workspace","name":"w","delete":true,"spec":{}},{"kind":"route","name":"W","delete":true}]}`, []string{"$.changes[0].spec invalid", "$.changes[1].name invalid", "$.changes[1].replaces missing"}},
		{"unknown kind", recordWithSpec("cluster", `{}`), []string{"$.changes[0].kind invalid"}},
		{"field of the other schema version", recordWithSpec("pool", `{"type":"plain","load_multiple":2}`), []string{specPath + ".load_multiple unknown_field"}},
		{"cache size in schema 1", strings.Replace(v1Pool, `1.25`, `1.25,"cache_tokens":1`, 1), []string{specPath + ".cache_tokens unknown_field"}},
		{"engines without settings", recordWithSpec("pool", `{"type":"engines"}`), []string{specPath + ".models missing", specPath + ".load_multiple_percent missing"}},
		{"pool ranges", recordWithSpec("pool", `{"type":"plain","models":["m","m"],"load_multiple_percent":100,"max_in_flight":0,"queue_limit":1.5,"home_wait_ms":"1","retry_budget":0.6,"kv_moves_per_minute":-1,"checks_fencing":1,"cache_tokens":-1,"cache_event_bytes_per_s":1000001}`),
			[]string{specPath + ".models[1] invalid", specPath + ".max_in_flight out_of_range", specPath + ".queue_limit invalid", specPath + ".home_wait_ms invalid", specPath + ".checks_fencing invalid",
				specPath + ".retry_budget out_of_range", specPath + ".kv_moves_per_minute out_of_range",
				specPath + ".cache_tokens out_of_range", specPath + ".cache_event_bytes_per_s out_of_range", specPath + ".models invalid", specPath + ".load_multiple_percent out_of_range"}},
		{"class shares", recordWithSpec("pool", `{"type":"plain","class_shares":{"lookup":0.5,"standard":0.5,"urgent":0}}`),
			[]string{specPath + ".class_shares.review missing", specPath + ".class_shares.urgent unknown_field", specPath + ".class_shares out_of_range"}},
		{"workspace", recordWithSpec("workspace", `{"weight":0,"max_queued":0,"max_in_flight":-1,"api_key_sha256":["AB"],"system_prompt_key":"a\nb"}`),
			[]string{specPath + ".weight out_of_range", specPath + ".max_queued out_of_range", specPath + ".max_in_flight out_of_range", specPath + ".system_prompt_key invalid", specPath + ".api_key_sha256[0] invalid"}},
		{"route", recordWithSpec("route", `{"pool":"p","method":"get","path_prefix":"/a/../b","priority":"urgent","timeout_ms":0}`),
			[]string{specPath + ".timeout_ms out_of_range", specPath + ".method invalid", specPath + ".path_prefix invalid", specPath + ".priority invalid"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.data))
			var e *findings.Error
			if !errors.As(err, &e) {
				t.Fatalf("got error %v, want findings", err)
			}
			var got []string
			for _, f := range e.Findings {
				got = append(got, f.Path+" "+string(f.Code))
			}
			if !slices.Equal(got, c.want) {
				t.Fatalf("got  %q\nwant %q", got, c.want)
			}
			if IsUnreadable(err) != strings.Contains(c.want[0], "unreadable") {
				t.Fatalf("IsUnreadable is wrong for %v", err)
			}
		})
	}
}

// Guards against invalid references that are only detected when requests arrive.
func TestReferences(t *testing.T) {
	engines := &Pool{Type: PoolEngines, Models: []string{"m"}}
	c := &Config{
		Pools:  map[string]*Pool{"a": engines, "b": engines, "c": {Type: PoolPlain}},
		Routes: map[string]*Route{"r1": {Pool: "c"}, "r2": {Pool: "c"}, "r3": {Pool: "a"}, "r4": {Pool: "d"}},
	}
	list := findings.NewList("f")
	CheckReferences(c, list, func(k Kind, name string) string { return string(k) + "/" + name })
	var got []string
	for _, f := range list.Items() {
		got = append(got, f.Path)
	}
	if want := []string{"route/r2", "route/r3", "route/r4", "pool/b"}; !slices.Equal(got, want) {
		t.Fatalf("got findings at %v, want %v", got, want)
	}
}

// Guards against example records that cannot be published.
func TestExamples(t *testing.T) {
	cases := []struct {
		dir, engines, plain string
		multiple            float64
	}{
		{"thekkady", "malli-llm", "registry-api", 1.25},
		{"lam-dong", "assistant-llm", "gang-dispatch", 1.5},
	}
	for _, c := range cases {
		file := "../../examples/" + c.dir + "/records.json"
		data, readErr := os.ReadFile(file)
		all, splitErr := Split(file, data)
		if err := errors.Join(readErr, splitErr); err != nil {
			t.Fatal(err)
		}
		cfg := NewConfig()
		for _, one := range all {
			rec, err := Parse(file, one)
			if err != nil {
				t.Fatal(err)
			}
			for _, change := range rec.Changes {
				cfg.Apply(change)
			}
		}
		list := findings.NewList(file)
		CheckReferences(cfg, list, func(Kind, string) string { return "$" })
		engines, plain := cfg.Pools[c.engines], cfg.Pools[c.plain]
		if list.Err() != nil || engines == nil || plain == nil || engines.LoadMultiple != c.multiple || plain.Type != PoolPlain || len(cfg.Workspaces) != 10 {
			t.Fatalf("%s: got pools %+v and %+v, %d workspaces, findings %v", c.dir, engines, plain, len(cfg.Workspaces), list.Err())
		}
	}
}

// Guards against a parser that panics or accepts values outside their ranges.
func FuzzParse(f *testing.F) {
	f.Add([]byte(v1Pool))
	f.Add([]byte(v2Pool))
	f.Add([]byte(recordWithSpec("route", `{"pool":"p","path_prefix":"/a"}`)))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Parse("f", data)
		if (rec == nil) == (err == nil) {
			t.Fatalf("got record %v and error %v, want exactly one", rec, err)
		}
		if err != nil {
			return
		}
		if !slices.Contains(ReadableVersions(), rec.SchemaVersion) || rec.ID == "" || len(rec.Changes) == 0 {
			t.Fatalf("incomplete record accepted: %+v", rec)
		}
		for _, c := range rec.Changes {
			badPool := c.Pool != nil && (c.Pool.LoadMultiple < 1.01 || c.Pool.LoadMultiple > 10 || c.Pool.MaxInFlight < 1)
			badWorkspace := c.Workspace != nil && (c.Workspace.Weight <= 0 || c.Workspace.MaxQueued < 1)
			if badPool || badWorkspace || c.Route != nil && c.Route.Timeout <= 0 {
				t.Fatalf("value out of range: %+v %+v %+v", c.Pool, c.Workspace, c.Route)
			}
		}
	})
}

// BenchmarkParse parses the records of whole fleets, with up to 1000 changes each.
func BenchmarkParse(b *testing.B) {
	for _, size := range []int{100, 5000, 38000} {
		var records [][]byte
		for start := 0; start < size; start += MaxChanges {
			records = append(records, workspacesRecord(start, min(size, start+MaxChanges)))
		}
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for _, data := range records {
					if _, err := Parse("f", data); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

func workspacesRecord(from, to int) []byte {
	var changes []string
	for i := from; i < to; i++ {
		changes = append(changes, fmt.Sprintf(`{"kind":"workspace","name":"w%d","spec":{"weight":2,"max_queued":64,"system_prompt_key":"k%d"}}`, i, i%100))
	}
	return fmt.Appendf(nil, `{"schema_version":2,"id":"w-%d","author":"bench","changes":[%s]}`, from, strings.Join(changes, ","))
}

// Guards against a pool whose limits override lower limits of another pool.
func TestStrictestWeightLoadLimits(t *testing.T) {
	c := NewConfig()
	for i, s := range []*EngineState{nil, {LoadsPerMinute: 9, LoadsAtOnce: 2}, {LoadsPerMinute: 4}, {LoadsAtOnce: 5}} {
		c.Pools[fmt.Sprint(i)] = &Pool{EngineState: s}
	}
	if perMinute, atOnce := c.WeightLoadLimits(); perMinute != 4 || atOnce != 2 {
		t.Errorf("%d loads a minute, want 4; %d at once, want 2", perMinute, atOnce)
	}
}
