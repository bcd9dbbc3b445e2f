package digest

import "google.golang.org/protobuf/encoding/protowire"

// appendCached encodes runs of placements at the same server: the server as a fixed64,
// then each prefix as a fixed64 and its size as a varint.
func appendCached(b []byte, list []Placement) []byte {
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].Server == list[0].Server {
			n++
		}
		packed := protowire.AppendFixed64(nil, list[0].Server)
		for _, p := range list[:n] {
			packed = protowire.AppendFixed64(packed, p.PrefixHash)
			packed = protowire.AppendVarint(packed, uint64(p.Tokens))
		}
		b = protowire.AppendTag(b, fieldCached, protowire.BytesType)
		b = protowire.AppendBytes(b, packed)
		list = list[n:]
	}
	return b
}

func (m *Message) decodeCached(b []byte) error {
	server, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return errMalformed
	}
	b = b[n:]
	for len(b) > 0 {
		hash, n := protowire.ConsumeFixed64(b)
		if n < 0 {
			return errMalformed
		}
		tokens, k := protowire.ConsumeVarint(b[n:])
		if k < 0 || tokens > maxPromptTokens || len(m.Cached) >= maxPlacements {
			return errMalformed
		}
		m.Cached = append(m.Cached, Placement{PrefixHash: hash, Server: server, Tokens: int(tokens)})
		b = b[n+k:]
	}
	return nil
}
