package digest

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// outcomesPerDatagram bounds the outcomes of one datagram, next to its loads.
const outcomesPerDatagram = 60

// appendOutcomes encodes each element as a fixed32 and two varints.
func appendOutcomes(b []byte, field protowire.Number, list []Outcomes) []byte {
	if len(list) == 0 {
		return b
	}
	var packed []byte
	for _, o := range list {
		packed = protowire.AppendFixed32(packed, o.Server)
		packed = protowire.AppendVarint(packed, uint64(o.Failed))
		packed = protowire.AppendVarint(packed, uint64(o.Ended))
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, packed)
}

func decodeOutcomes(b []byte) ([]Outcomes, error) {
	const maxEnded = 1 << 20
	var list []Outcomes
	for len(b) > 0 {
		server, n := protowire.ConsumeFixed32(b)
		if n < 0 || len(list) >= maxLoads {
			return nil, errMalformed
		}
		failed, m := protowire.ConsumeVarint(b[n:])
		if m < 0 || failed > maxEnded {
			return nil, errMalformed
		}
		ended, k := protowire.ConsumeVarint(b[n+m:])
		if k < 0 || ended > maxEnded {
			return nil, errMalformed
		}
		list = append(list, Outcomes{Server: server, Failed: int(failed), Ended: int(ended)})
		b = b[n+m+k:]
	}
	return list, nil
}

// Outcomes adds up the recent outcomes of this and the other routers per server,
// and returns those of the servers that failed requests.
func (p *Peers) Outcomes(now time.Time, own []Outcomes) []Outcomes {
	sum := make(map[uint32]Outcomes)
	add := func(list []Outcomes) {
		for _, o := range list {
			s := sum[o.Server]
			sum[o.Server] = Outcomes{Server: o.Server, Failed: s.Failed + o.Failed, Ended: s.Ended + o.Ended}
		}
	}
	add(own)
	for _, peer := range p.tracked {
		if now.Sub(peer.loadsAt) < outcomesMaxAge {
			add(peer.outcomes)
		}
	}
	var failed []Outcomes
	for _, o := range sum {
		if o.Failed > 0 {
			failed = append(failed, o)
		}
	}
	return mostFailed(failed)
}

// mostFailed drops the servers with the fewest failures when not all fit into a
// datagram.
func mostFailed(list []Outcomes) []Outcomes {
	if len(list) > outcomesPerDatagram {
		slices.SortFunc(list, func(a, b Outcomes) int { return b.Failed - a.Failed })
		list = list[:outcomesPerDatagram]
	}
	return list
}
