// Package meter counts the bytes of a router's control traffic by category,
// including the estimated framing of the lower layers.
package meter

import (
	"sync/atomic"
	"time"
)

// Category is a kind of control traffic.
type Category int

// Categories of control traffic, most important first.
const (
	Claim Category = iota
	Intent
	Config
	Heartbeat
	LogAppend
	LogRead
	VMList
	Order
	Probe
	CacheEvents
	numCategories
)

var categoryNames = [numCategories]string{
	"claim", "intent", "config", "heartbeat", "log_append", "log_read", "vm_list", "order", "probe", "cache_events",
}

// String returns the name used in reports.
func (c Category) String() string {
	return categoryNames[c]
}

// Categories lists all categories, most important first.
func Categories() []Category {
	all := make([]Category, numCategories)
	for i := range all {
		all[i] = Category(i)
	}
	return all
}

// Estimated framing in bytes.
const (
	// TCPFrameBytes is an IPv4 and TCP header with timestamps.
	TCPFrameBytes = 52
	// YamuxFrameBytes is a yamux frame header.
	YamuxFrameBytes = 12
	// LengthPrefixBytes is the prefix of a peer message.
	LengthPrefixBytes = 4
)

// PeerMessageBytes returns the estimated bytes on the wire of a peer message
// with the given payload, including the acknowledgement.
func PeerMessageBytes(payload int) int {
	return payload + LengthPrefixBytes + YamuxFrameBytes + 2*TCPFrameBytes
}

// HTTPExchangeBytes returns the estimated bytes on the wire of one HTTP
// exchange with the given header and body bytes of both directions.
func HTTPExchangeBytes(payload int) int {
	return payload + 4*TCPFrameBytes
}

// Meter counts bytes. The zero value is ready to use. It is safe for
// concurrent use.
type Meter struct {
	bytes [numCategories]atomic.Int64
	// limiter is charged for all bytes; nil means no limit.
	limiter *Limiter
	now     func() time.Time
}

// NewLimited returns a meter that charges its bytes to a limiter.
func NewLimited(l *Limiter, now func() time.Time) *Meter {
	return &Meter{limiter: l, now: now}
}

// Permits reports whether the budget allows a message of a category. Without a
// limiter it returns true.
func (m *Meter) Permits(c Category, n int) bool {
	return m.limiter == nil || m.limiter.Permits(m.now(), c, n)
}

// RefusedByCategory returns the number of messages that the limiter refused, by
// category name.
func (m *Meter) RefusedByCategory() map[string]int64 {
	if m.limiter == nil {
		return nil
	}
	return m.limiter.RefusedByCategory()
}

// Add counts n bytes, sent or received, in a category.
func (m *Meter) Add(c Category, n int) {
	m.bytes[c].Add(int64(n))
	if m.limiter != nil {
		m.limiter.Charge(m.now(), n)
	}
}

// Totals returns the bytes counted since the start, by category name.
func (m *Meter) Totals() map[string]int64 {
	totals := make(map[string]int64, numCategories)
	for i := range m.bytes {
		totals[Category(i).String()] = m.bytes[i].Load()
	}
	return totals
}

// Total returns the bytes counted since the start.
func (m *Meter) Total() int64 {
	var sum int64
	for i := range m.bytes {
		sum += m.bytes[i].Load()
	}
	return sum
}
