package fleetconfig

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/record"
)

const (
	checkpointFormat = 1
	// maxStateBytes limits the decompressed state of a checkpoint.
	maxStateBytes = 64 << 20
)

// checkpointPrefix starts every checkpoint. No valid record starts with it.
var checkpointPrefix = []byte(`{"checkpoint":`)

// ErrCheckpoint means that a checkpoint is damaged or was written by a program
// with a later format or schema version.
var ErrCheckpoint = errors.New("checkpoint is not usable")

type checkpointEnvelope struct {
	Checkpoint checkpoint `json:"checkpoint"`
}

type checkpoint struct {
	Format int `json:"format"`
	// AsOf is the next offset of the state.
	AsOf uint64 `json:"as_of"`
	// MaxSchema is the highest schema version accepted into the state. A program
	// that cannot read it would drop settings that it does not support.
	MaxSchema int    `json:"max_schema"`
	Digest    string `json:"digest"`
	// State is gzipped JSON.
	State []byte `json:"state"`
}

// checkpointState holds all that later results depend on, and the history.
type checkpointState struct {
	Config  *record.Config    `json:"config"`
	IDs     []ProcessedRecord `json:"ids"`
	History []RecordResult    `json:"history"`
}

// IsCheckpoint reports whether data of the stream is a checkpoint, usable or not.
func IsCheckpoint(data []byte) bool {
	return bytes.HasPrefix(data, checkpointPrefix)
}

// Checkpoint encodes the state. Equal states give checkpoints with equal
// digests.
func (s *State) Checkpoint() ([]byte, error) {
	stateJSON, err := json.Marshal(checkpointState{
		Config: s.Config(),
		// Empty lists must encode in one way, or equal states would differ.
		IDs:     append([]ProcessedRecord{}, s.idOrder...),
		History: append([]RecordResult{}, s.history...),
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode the state")
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, writeErr := w.Write(stateJSON)
	if err := errors.Join(writeErr, w.Close()); err != nil {
		return nil, eris.Wrap(err, "compress the state")
	}
	c := checkpoint{Format: checkpointFormat, AsOf: s.next, MaxSchema: s.maxSchema, State: compressed.Bytes()}
	c.Digest = c.digest(stateJSON)
	data, err := json.Marshal(checkpointEnvelope{Checkpoint: c})
	return data, eris.Wrap(err, "encode the checkpoint")
}

// FromCheckpoint decodes a state. The error wraps ErrCheckpoint.
func FromCheckpoint(data []byte) (*State, error) {
	var envelope checkpointEnvelope
	if !IsCheckpoint(data) || json.Unmarshal(data, &envelope) != nil {
		return nil, eris.Wrap(ErrCheckpoint, "it is invalid JSON")
	}
	c := envelope.Checkpoint
	if c.Format != checkpointFormat {
		return nil, eris.Wrapf(ErrCheckpoint, "unknown format %d", c.Format)
	}
	if c.MaxSchema > slices.Max(record.ReadableVersions()) {
		return nil, eris.Wrapf(ErrCheckpoint, "it holds objects of the unsupported schema version %d", c.MaxSchema)
	}
	stateJSON, err := decompress(c.State)
	if err != nil {
		return nil, err
	}
	if c.Digest != c.digest(stateJSON) {
		return nil, eris.Wrap(ErrCheckpoint, "the digest does not match")
	}
	var decoded checkpointState
	dec := json.NewDecoder(bytes.NewReader(stateJSON))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&decoded); err != nil {
		return nil, eris.Wrapf(ErrCheckpoint, "decode the state: %v", err)
	}
	if !isComplete(decoded.Config) {
		return nil, eris.Wrap(ErrCheckpoint, "the configuration is incomplete")
	}
	s := &State{next: c.AsOf, config: decoded.Config, ids: map[string]ProcessedRecord{}, history: decoded.History, maxSchema: c.MaxSchema}
	for _, entry := range decoded.IDs {
		s.addID(entry)
	}
	return s, nil
}

// digest also covers the fields outside of the compressed state.
func (c checkpoint) digest(stateJSON []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d %d\n", c.Format, c.AsOf, c.MaxSchema)
	h.Write(stateJSON)
	return hex.EncodeToString(h.Sum(nil))
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrapf(ErrCheckpoint, "decompress the state: %v", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrCheckpoint, "decompress the state: %v", err)
	}
	if len(data) > maxStateBytes {
		return nil, eris.Wrapf(ErrCheckpoint, "the state is larger than %d bytes", maxStateBytes)
	}
	return data, nil
}

// isComplete reports whether c has no nil maps and objects, which later code
// does not expect.
func isComplete(c *record.Config) bool {
	return c != nil && noneNil(c.Pools) && noneNil(c.Workspaces) && noneNil(c.Routes)
}

func noneNil[T any](objects map[string]*T) bool {
	for _, o := range objects {
		if o == nil {
			return false
		}
	}
	return objects != nil
}
