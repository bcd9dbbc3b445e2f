package logstream

import "time"

// Bodies of the HTTP protocol. In JSON, record data is encoded in base64.
type (
	// WireData is one record of an append.
	WireData struct {
		Data []byte `json:"data"`
	}
	// WireAppend is the body of an append.
	WireAppend struct {
		Records []WireData `json:"records"`
	}
	// WireAppendResponse is the response to an append.
	WireAppendResponse struct {
		FirstOffset uint64 `json:"first_offset"`
	}
	// WireRecord is one record of a page.
	WireRecord struct {
		Offset uint64    `json:"offset"`
		Time   time.Time `json:"time"`
		Data   []byte    `json:"data"`
	}
	// WirePage is the response to a read. With status 410 it has no records.
	WirePage struct {
		Floor   uint64       `json:"floor"`
		Head    uint64       `json:"head"`
		Records []WireRecord `json:"records,omitempty"`
	}
)

// Limits of the protocol.
const (
	// MaxRecordBytes is the size of the largest record, enough for a checkpoint.
	MaxRecordBytes = 8 << 20
	// MaxAppendRecords is the largest number of records in one append.
	MaxAppendRecords = 1000
	// MaxPageRecords is the largest number of records in one page.
	MaxPageRecords = 1000
	// MaxBodyBytes limits the body of a request or a response. The largest record
	// fits after base64 encoding.
	MaxBodyBytes = 12 << 20
	// PageDataBytes is the data size after which a page ends; a page holds at
	// least one record.
	PageDataBytes = 512 << 10
)
