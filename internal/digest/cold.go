package digest

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// coldPerDatagram bounds the cold servers of one datagram.
	coldPerDatagram = 96
	// maxColdTime bounds the time for which a server is cold, against faulty senders.
	maxColdTime = time.Hour
)

// ColdServer says for how long a server is cold.
type ColdServer struct {
	// Server is the short hash of the incarnation, see ShortHash.
	Server uint32
	// Left is how long the server is cold yet; 0 when it no longer is.
	Left time.Duration
	// ByEntry is set when the server's entry says so, and unset for what was assumed or told in an answer.
	ByEntry bool
}

// Field numbers of a cold server.
const (
	coldServer  = 1
	coldLeft    = 2
	coldByEntry = 3
)

func appendColdServers(b []byte, list []ColdServer) []byte {
	for _, c := range list {
		inner := appendVarint(nil, coldServer, uint64(c.Server))
		inner = appendPositive(inner, coldLeft, c.Left.Milliseconds())
		inner = appendBool(inner, coldByEntry, c.ByEntry)
		b = appendInner(b, fieldCold, inner)
	}
	return b
}

func (m *Message) decodeColdServer(b []byte) error {
	c := ColdServer{}
	err := eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case coldServer:
			c.Server = uint32(v)
		case coldLeft:
			c.Left = coldTime(v)
		case coldByEntry:
			c.ByEntry = v != 0
		}
		return nil
	})
	m.Cold = append(m.Cold, c)
	return err
}

func coldTime(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxColdTime.Milliseconds()))) * time.Millisecond
}

// sendCold tells all routers what is new of cold servers.
func (e *Exchange) sendCold(targets []netip.Addr) {
	for part := range slices.Chunk(e.state.TakeCold(), coldPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Cold: part})
	}
}

// sendAllCold tells a router that has just started which servers are cold.
func (e *Exchange) sendAllCold(to netip.Addr) {
	list, complete := e.state.ColdServers()
	for len(list) > coldPerDatagram {
		e.sendTo([]netip.Addr{to}, &Message{Sender: e.sender, Cold: list[:coldPerDatagram]})
		list = list[coldPerDatagram:]
	}
	if len(list) > 0 || complete {
		e.sendTo([]netip.Addr{to}, &Message{Sender: e.sender, Cold: list, AllCold: complete})
	}
}
