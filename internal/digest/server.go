package digest

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Field numbers of ServerChange.
const (
	serverID         = 1
	serverOffset     = 2
	serverPool       = 3
	serverAddr       = 4
	serverDataCentre = 5
	serverSlots      = 6
	serverBorn       = 7
	serverLeaving    = 8
	serverEngine     = 9
	serverPrevOffset = 10
	serverEra        = 11
	serverPrevEra    = 12
	serverVersion    = 13
	// serverCold is the time for which the server is cold yet in milliseconds; 0 when it says that it is not.
	serverCold = 45
)

func encodeServerChange(c *ServerChange) []byte {
	var b []byte
	b = appendText(b, serverID, c.ID)
	b = appendVarint(b, serverOffset, uint64(c.Position.Offset))
	b = appendVarint(b, serverPrevOffset, uint64(c.Prev.Offset))
	b = appendPositive(b, serverEra, c.Position.Era)
	b = appendPositive(b, serverPrevEra, c.Prev.Era)
	s := c.Server
	if s == nil {
		return b
	}
	b = appendText(b, serverPool, s.Pool)
	b = appendText(b, serverAddr, s.Addr)
	b = appendText(b, serverDataCentre, s.DataCentre)
	b = appendVarint(b, serverSlots, uint64(s.Slots))
	b = appendVarint(b, serverBorn, uint64(s.Born))
	if s.Version != "" {
		b = appendText(b, serverVersion, s.Version)
	}
	b = appendBool(b, serverLeaving, s.Leaving)
	if s.ColdLeft != 0 {
		b = appendVarint(b, serverCold, uint64(max(s.ColdLeft, 0).Milliseconds()))
	}
	return appendBool(b, serverEngine, s.Engine)
}

func appendText(b []byte, field protowire.Number, text string) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func appendVarint(b []byte, field protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// decodeServerChange decodes the change of a server. Without a pool the server was
// removed.
func (m *Message) decodeServerChange(b []byte) error {
	if len(m.Servers) >= maxServers {
		return errMalformed
	}
	change := ServerChange{}
	s := &registry.Server{}
	err := eachField(b, func(field protowire.Number, v uint64, inner []byte) error {
		change.set(s, field, v, string(inner))
		return nil
	})
	if err != nil || change.ID == "" {
		return errMalformed
	}
	if s.Pool != "" {
		s.ID = change.ID
		change.Server = s
	}
	m.Servers = append(m.Servers, change)
	return nil
}

// set sets a field of the change or of its server, which is a number or a text.
func (c *ServerChange) set(s *registry.Server, field protowire.Number, v uint64, text string) {
	switch field {
	case serverID:
		c.ID = text
	case serverPool:
		s.Pool = text
	case serverAddr:
		s.Addr = text
	case serverVersion:
		s.Version = text
	case serverDataCentre:
		s.DataCentre = text
	case serverOffset:
		c.Position.Offset = int64(v)
	case serverPrevOffset:
		c.Prev.Offset = int64(v)
	case serverEra:
		c.Position.Era = int64(v)
	case serverPrevEra:
		c.Prev.Era = int64(v)
	case serverCold:
		s.ColdLeft = registry.NotCold
		if v > 0 {
			s.ColdLeft = coldTime(v)
		}
	case serverSlots:
		s.Slots = int(v)
	case serverBorn:
		s.Born = int64(v)
	case serverLeaving:
		s.Leaving = v != 0
	case serverEngine:
		s.Engine = v != 0
	}
}
