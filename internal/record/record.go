package record

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// Schema versions of records.
const (
	schemaVersion1 = 1
	schemaVersion2 = 2
)

// Limits of a record.
const (
	// MaxBytes is the largest record.
	MaxBytes = 1 << 20
	// MaxChanges is the largest number of changes in one record.
	MaxChanges = 1000
	// maxDepth limits the nesting of JSON values.
	maxDepth = 8
)

// Record is one validated record of the config stream.
type Record struct {
	SchemaVersion int
	// ID is chosen by the author and identifies the record in replaces fields. A
	// record that is appended twice is applied once.
	ID      string
	Author  string
	Changes []Change
}

// Change creates, replaces or deletes one object. Unless Delete is set, exactly
// one of Pool, Workspace and Route is not nil: the one that belongs to Kind.
type Change struct {
	Kind Kind
	Name string
	// Replaces is the id of the record that put the object in force; it is empty
	// for a new object.
	Replaces  string
	Delete    bool
	Pool      *Pool
	Workspace *Workspace
	Route     *Route
}

// ReadableVersions returns the schema versions that Parse reads, in order.
func ReadableVersions() []int {
	return []int{schemaVersion1, schemaVersion2}
}

// SchemaVersion returns the schema version of a record. It ignores all other
// fields, so that a record of a later schema is recognised whatever they are.
func SchemaVersion(data []byte) (version int, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return 0, false
	}
	if json.Unmarshal(fields["schema_version"], &version) != nil || version < 1 {
		return 0, false
	}
	return version, true
}

// IsUnreadable reports whether err was caused by a schema version that this
// program cannot read.
func IsUnreadable(err error) bool {
	var e *findings.Error
	if !errors.As(err, &e) {
		return false
	}
	return slices.ContainsFunc(e.Findings, func(f findings.Finding) bool { return f.Code == findings.CodeUnreadable })
}

// Parse decodes and validates a record. The error is a *findings.Error that names
// file and holds all problems. Objects of every readable schema version have
// the same types, with the defaults filled in and Version set to the record id.
//
// Fields of a record, in both schema versions:
//
//	schema_version  1 or 2
//	id              1 to 64 of A-Z a-z 0-9 . _ -
//	author          1 to 128 bytes
//	changes         1 to 1000, each object at most once
//	  kind          pool, workspace or route
//	  name          1 to 63 of a-z 0-9 . _ -, starting and ending with a-z 0-9
//	  replaces      id of the record that put the object in force; absent if new
//	  delete        true removes the object; spec is absent then
//	  spec          the object
//
// Fields of a pool:
//
//	type                   engines or plain, required
//	models                 1 to 64 model names; for engines only
//	load_multiple          schema 1: 1.01 to 10; required for engines, else 2
//	load_multiple_percent  schema 2: 101 to 1000; required for engines, else 200
//	max_in_flight          1 to 100000 requests for each engine, default 64
//	queue_limit            1 to 100000 requests, default 256
//	home_wait_ms           0 to 5000, default 50
//	checks_fencing         default false
//	retry_budget           0 to 0.5, share of requests, default 0.1
//	class_shares           schema 2: lookup, standard and review, each 0 to 1
//	                       and together at most 0.9; default 0.2, 0.2 and 0.1
//	kv_moves_per_minute    schema 2: 0 to 10000, default 30
//	cache_tokens           schema 2: 0 to 1e9, prefix cache of each engine;
//	                       default 0 (unknown)
//	cache_event_bytes_per_s  schema 2: 0 to 1000000, default 0 (no events)
//	engine_state           required state of all engines of the pool; absent
//	                       leaves them unchanged
//
// Fields of engine_state:
//
//	model                    one of the pool's models, required
//	version                  up to 128 bytes in the form of a model name, required
//	role                     1 to 63 of a-z 0-9 . _ -, required
//	weight_loads_per_minute  1 to 1000; limit for the whole fleet, for which the
//	                         smallest value of all pools is used; default 4
//	weight_loads_at_once     1 to 1000, with the same rule; default 2
//
// Fields of a workspace:
//
//	weight             0.01 to 1000, default 1
//	max_queued         1 to 100000 requests, default 64
//	max_in_flight      0 to 100000 requests, default 0 (no limit)
//	api_key_sha256     up to 16 digests of 64 lower-case hex digits
//	system_prompt_key  up to 128 bytes
//
// Fields of a route:
//
//	pool         name of a plain pool, required
//	method       GET, HEAD, POST, PUT, PATCH or DELETE; absent for all
//	path_prefix  absolute path of up to 256 bytes, required
//	repeatable   default false
//	priority     lookup, standard or review; default standard
//	timeout_ms   1 to 3600000, default 30000
func Parse(file string, data []byte) (*Record, error) {
	list := findings.NewList(file)
	version, found := SchemaVersion(data)
	if found && !slices.Contains(ReadableVersions(), version) {
		list.Add("$.schema_version", findings.CodeUnreadable, "schema version %d cannot be read; readable are %v", version, ReadableVersions())
		return nil, list.Err()
	}
	root := parseTree(data, list)
	if !list.Empty() {
		return nil, list.Err()
	}
	p := parser{list: list}
	rec := p.record(root)
	if !list.Empty() {
		return nil, list.Err()
	}
	return rec, nil
}

// Split returns the records in the contents of a file, which holds one record
// or a list of records. Parse decodes each of them.
func Split(file string, data []byte) ([][]byte, error) {
	var one json.RawMessage
	if err := json.Unmarshal(data, &one); err != nil {
		list := findings.NewList(file)
		list.Add("$", findings.CodeSyntax, "JSON syntax: %v", err)
		return nil, list.Err()
	}
	var many []json.RawMessage
	if json.Unmarshal(data, &many) != nil {
		return [][]byte{data}, nil
	}
	out := make([][]byte, len(many))
	for i, m := range many {
		out[i] = m
	}
	return out, nil
}
