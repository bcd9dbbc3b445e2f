// Package fleetconfig builds the configuration in force from the config stream
// of the log, decides whether a router's configuration is current, and publishes
// records.
//
// State applies the records of the stream; it does no I/O and gives every router
// the same result for the same record. Reader feeds a State from the log or from
// a peer and writes checkpoints. IsCurrent is the readiness rule. Publisher
// appends a record and waits until it is in force.
//
// The stream holds two kinds of entries. A record is the JSON object that
// package record describes. A checkpoint is
//
//	{"checkpoint":{"format":1,"as_of":n,"max_schema":v,"digest":"hex","state":"base64"}}
//
// where as_of is the offset of the first record that the state does not cover,
// max_schema the highest schema version accepted into it, and state gzipped
// JSON. The digest is the SHA-256 of the line "format as_of max_schema" and the
// JSON. Checkpoints do not change the state of a router that reads past them.
//
// A starting router needs the newest checkpoint and the records from its as_of
// on. When the oldest of them is older than half the retention, the router of
// rank 0 writes the next checkpoint; a router of rank n waits n times 5 s longer,
// at most an eighth of the retention.
package fleetconfig
