package digest

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// poolTimesPerDatagram bounds the pools with times in one datagram, which also holds loads and outcomes.
	poolTimesPerDatagram = 16
	// maxPoolTimesValue bounds each field of PoolTimes but Pool, against faulty senders.
	maxPoolTimesValue = 1 << 30
)

// PoolTimes sums up how long the requests of one pool were at its servers in the last interval between two reports.
type PoolTimes struct {
	// Pool is the short hash of the pool's name.
	Pool uint32
	// Served counts the served requests that have an objective, and Objectives is the sum of their times in thousandths of
	// the objective of each.
	Served, Objectives int
	// Refused counts the requests that a server has refused.
	Refused int
	// InUse is the average number of served requests at the servers, in thousandths.
	InUse int
	// Decided counts the requests for which a router decided whether to send them, and Sent those that it sent.
	Decided, Sent int
}

// empty reports whether no request with an objective was served and none was refused.
func (t *PoolTimes) empty() bool { return t.Served+t.Refused == 0 }

func (t *PoolTimes) add(o PoolTimes) {
	t.Served += o.Served
	t.Objectives += o.Objectives
	t.Refused += o.Refused
	t.InUse += o.InUse
	t.Decided += o.Decided
	t.Sent += o.Sent
}

// appendPoolTimes encodes each element as a fixed32 and six varints.
func appendPoolTimes(b []byte, field protowire.Number, list []PoolTimes) []byte {
	if len(list) == 0 {
		return b
	}
	var packed []byte
	for _, t := range list {
		packed = protowire.AppendFixed32(packed, t.Pool)
		for _, v := range []int{t.Served, t.Objectives, t.Refused, t.InUse, t.Decided, t.Sent} {
			packed = protowire.AppendVarint(packed, uint64(v))
		}
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, packed)
}

// decodePoolTimes decodes the times of pools. What cannot be decoded or is out of range is left out: the rest of the
// digest does not depend on it.
func decodePoolTimes(b []byte) []PoolTimes {
	var list []PoolTimes
	for len(b) > 0 && len(list) < poolTimesPerDatagram {
		pool, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return list
		}
		b = b[n:]
		var values [6]int
		valid := true
		for i := range values {
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return list
			}
			b = b[n:]
			valid = valid && v <= maxPoolTimesValue
			values[i] = int(min(v, maxPoolTimesValue))
		}
		if valid {
			list = append(list, PoolTimes{
				Pool: pool, Served: values[0], Objectives: values[1], Refused: values[2], InUse: values[3], Decided: values[4], Sent: values[5],
			})
		}
	}
	return list
}

// fitPoolTimes drops the pools with the fewest requests when not all fit into a datagram, and all empty ones.
func fitPoolTimes(list []PoolTimes) []PoolTimes {
	list = slices.DeleteFunc(slices.Clone(list), func(t PoolTimes) bool { return t.empty() })
	if len(list) > poolTimesPerDatagram {
		slices.SortFunc(list, func(a, b PoolTimes) int { return cmp.Compare(b.Served+b.Refused, a.Served+a.Refused) })
		list = list[:poolTimesPerDatagram]
	}
	return list
}

// withoutTimesIfTooLarge drops the times of pools from a message that does not fit a datagram with them.
func withoutTimesIfTooLarge(m *Message) {
	if len(m.Times)+len(m.TotalTimes) > 0 && len(Encode(m)) > maxDatagram {
		m.Times, m.TotalTimes = nil, nil
	}
}

// Times adds up the recent times of this and the other routers per pool.
func (p *Peers) Times(now time.Time, own []PoolTimes) []PoolTimes {
	sum := make(map[uint32]PoolTimes)
	add := func(list []PoolTimes) {
		for _, t := range list {
			s := sum[t.Pool]
			s.Pool = t.Pool
			s.add(t)
			sum[t.Pool] = s
		}
	}
	add(own)
	for _, peer := range p.tracked {
		if now.Sub(peer.timesAt) < outcomesMaxAge {
			add(peer.times)
		}
	}
	list := make([]PoolTimes, 0, len(sum))
	for _, t := range sum {
		list = append(list, t)
	}
	return list
}
