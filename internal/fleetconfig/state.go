package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// StreamName is the stream that holds records and checkpoints.
const StreamName = "config"

const (
	// idWindow is the number of offsets for which a record id is kept. It is
	// about five days at the target rate, longer than an append can be delayed.
	idWindow = 20_000
	// historyLimit is the number of records kept for reports.
	historyLimit = 100
	// historyFindings and historyTextBytes limit the number and the length of the
	// findings kept for a rejected record, which may quote up to 1 MiB of it.
	historyFindings  = 20
	historyTextBytes = 300
	// contentDigestBytes is the length of the prefix of a record's SHA-256 that
	// distinguishes a repeated record from another one with the same id.
	contentDigestBytes = 16
)

// Outcome is the effect of one record of the stream.
type Outcome string

// Outcomes. Only OutcomeAccepted changes the configuration.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRejected: the record is invalid or conflicts with an earlier one.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnreadable: this program does not support the schema version. The
	// state stops at this offset.
	OutcomeUnreadable Outcome = "unreadable"
	// OutcomeDuplicate: the same record was processed at an earlier offset.
	OutcomeDuplicate  Outcome = "duplicate"
	OutcomeCheckpoint Outcome = "checkpoint"
	// OutcomeOld: the offset is below the state's next offset; nothing changed.
	OutcomeOld Outcome = "old"
	// OutcomeGap: the offset is above the state's next offset; nothing changed.
	OutcomeGap Outcome = "gap"
)

// RecordResult is the result of applying one record.
type RecordResult struct {
	Offset  uint64  `json:"offset"`
	Outcome Outcome `json:"outcome"`
	// ID, Author and SchemaVersion are set as far as they could be read.
	ID            string             `json:"id,omitempty"`
	Author        string             `json:"author,omitempty"`
	SchemaVersion int                `json:"schema_version,omitempty"`
	Findings      []findings.Finding `json:"findings,omitempty"`
}

// ProcessedRecord is the entry kept for a record id.
type ProcessedRecord struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	// Accepted is false for a rejected record.
	Accepted bool `json:"accepted"`
	// Digest is a digest of the record's bytes.
	Digest string `json:"content"`
}

// State is the result of applying the config stream up to an offset. States that
// applied the stream up to the same offset are equal. State is not safe for
// concurrent use.
type State struct {
	next   uint64
	config *record.Config
	// configCopy is the copy that Config returns; nil after a change.
	configCopy *record.Config
	ids        map[string]ProcessedRecord
	idOrder    []ProcessedRecord
	history    []RecordResult
	maxSchema  int
	// unreadable is the result at which the state has stopped, or nil.
	unreadable *RecordResult
}

// NewState returns the state before the first record of the stream.
func NewState() *State {
	return &State{config: record.NewConfig(), ids: map[string]ProcessedRecord{}}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 {
	return s.next
}

// Config returns the configuration in force. The result is immutable.
func (s *State) Config() *record.Config {
	if s.configCopy == nil {
		s.configCopy = s.config.Clone()
	}
	return s.configCopy
}

// Unreadable returns the result of the record at which the state has stopped.
func (s *State) Unreadable() (RecordResult, bool) {
	if s.unreadable == nil {
		return RecordResult{}, false
	}
	return *s.unreadable, true
}

// Lookup returns the entry of a record id.
func (s *State) Lookup(id string) (ProcessedRecord, bool) {
	entry, ok := s.ids[id]
	return entry, ok
}

// History returns the results of the last records, oldest first, without
// checkpoints.
func (s *State) History() []RecordResult {
	return append([]RecordResult(nil), s.history...)
}

// Apply applies the record at offset.
func (s *State) Apply(offset uint64, data []byte) RecordResult {
	if offset < s.next {
		return RecordResult{Offset: offset, Outcome: OutcomeOld}
	}
	if offset > s.next {
		return RecordResult{Offset: offset, Outcome: OutcomeGap}
	}
	result := s.evaluate(offset, data)
	if result.Outcome == OutcomeUnreadable {
		s.unreadable = &result
		return result
	}
	s.next = offset + 1
	s.dropOldIDs()
	if result.Outcome != OutcomeCheckpoint {
		s.addHistory(result)
	}
	return result
}

func (s *State) evaluate(offset uint64, data []byte) RecordResult {
	result := RecordResult{Offset: offset}
	if IsCheckpoint(data) {
		result.Outcome = OutcomeCheckpoint
		return result
	}
	rec, err := record.Parse(StreamName, data)
	if err != nil {
		result.SchemaVersion, _ = record.SchemaVersion(data)
		result.Findings = findingsFromError(err)
		result.Outcome = OutcomeRejected
		if record.IsUnreadable(err) {
			result.Outcome = OutcomeUnreadable
		}
		return result
	}
	result.ID, result.Author, result.SchemaVersion = rec.ID, rec.Author, rec.SchemaVersion
	digest := ContentDigest(data)
	if earlier, ok := s.ids[rec.ID]; ok {
		return evaluateRepeated(result, earlier, digest)
	}
	list := findings.NewList(StreamName)
	s.applyChanges(rec, list)
	result.Outcome, result.Findings = OutcomeAccepted, list.Items()
	if !list.Empty() {
		result.Outcome = OutcomeRejected
	}
	s.addID(ProcessedRecord{ID: rec.ID, Offset: offset, Accepted: list.Empty(), Digest: digest})
	return result
}

// evaluateRepeated returns the result of a record whose id was processed before.
// The record is never accepted: a late copy must not take effect after its first
// copy was rejected.
func evaluateRepeated(result RecordResult, earlier ProcessedRecord, digest string) RecordResult {
	if earlier.Digest == digest {
		result.Outcome = OutcomeDuplicate
		return result
	}
	list := findings.NewList(StreamName)
	list.Add("$.id", findings.CodeConflict, "id %s belongs to another record at offset %d", result.ID, earlier.Offset)
	result.Outcome, result.Findings = OutcomeRejected, list.Items()
	return result
}

// applyChanges applies all changes, or adds findings and applies none.
func (s *State) applyChanges(rec *record.Record, list *findings.List) {
	paths := map[string]string{}
	references := false
	for i, c := range rec.Changes {
		path := fmt.Sprintf("$.changes[%d]", i)
		paths[string(c.Kind)+"/"+c.Name] = path
		references = references || c.Kind != record.KindWorkspace
		version, _ := s.config.ObjectVersion(c.Kind, c.Name)
		if c.Replaces != version {
			list.Add(path+".replaces", findings.CodeConflict, "%s %s was put in force by record %q, not by %q", c.Kind, c.Name, version, c.Replaces)
		}
	}
	if !list.Empty() {
		return
	}
	if references && !s.checkReferences(rec, list, paths) {
		return
	}
	for _, c := range rec.Changes {
		s.config.Apply(c)
	}
	s.configCopy = nil
	s.maxSchema = max(s.maxSchema, rec.SchemaVersion)
}

func (s *State) checkReferences(rec *record.Record, list *findings.List, paths map[string]string) bool {
	candidate := &record.Config{
		Pools:      maps.Clone(s.config.Pools),
		Workspaces: map[string]*record.Workspace{},
		Routes:     maps.Clone(s.config.Routes),
	}
	for _, c := range rec.Changes {
		candidate.Apply(c)
	}
	record.CheckReferences(candidate, list, func(kind record.Kind, name string) string {
		if path, ok := paths[string(kind)+"/"+name]; ok {
			return path
		}
		return "$.changes"
	})
	return list.Empty()
}

func (s *State) addID(processed ProcessedRecord) {
	s.ids[processed.ID] = processed
	s.idOrder = append(s.idOrder, processed)
}

// dropOldIDs drops the ids that have left the window. The window counts offsets
// and not time, so that every router drops an id at the same record.
func (s *State) dropOldIDs() {
	n := 0
	for n < len(s.idOrder) && s.idOrder[n].Offset+idWindow < s.next {
		delete(s.ids, s.idOrder[n].ID)
		n++
	}
	s.idOrder = s.idOrder[n:]
}

func (s *State) addHistory(result RecordResult) {
	short := make([]findings.Finding, 0, min(len(result.Findings), historyFindings))
	for _, f := range result.Findings[:cap(short)] {
		f.Path, f.Message = shorten(f.Path), shorten(f.Message)
		short = append(short, f)
	}
	result.Findings = short
	s.history = append(s.history, result)
	if len(s.history) > historyLimit {
		s.history = s.history[len(s.history)-historyLimit:]
	}
}

// shorten cuts at a character boundary, so that JSON encodes the text unchanged.
func shorten(text string) string {
	if len(text) <= historyTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:historyTextBytes], "")
}

// ContentDigest identifies the bytes of a record.
func ContentDigest(data []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(data))
	return hex.EncodeToString(sum[:contentDigestBytes])
}

func findingsFromError(err error) []findings.Finding {
	if e, ok := err.(*findings.Error); ok {
		return e.Findings
	}
	return []findings.Finding{{File: StreamName, Path: "$", Code: findings.CodeInvalid, Message: err.Error()}}
}
