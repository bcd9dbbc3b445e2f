// Package digest exchanges state between routers: the requests in flight at each
// server and their outcomes, the servers that have cached the shared parts of
// prompts, and what each router has read in the topics of the store. Messages are
// datagrams that are complete by themselves: the next one makes up for a lost one.
//
// No decision waits for a digest. Received state only refines a router's own
// view, and is dropped when it is old.
package digest

import (
	"math"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// maxDatagram fits an Ethernet frame, so that no datagram is fragmented.
	maxDatagram = 1400
	// Bounds on the content of one message, against faulty senders.
	maxPeers      = 512
	maxLoads      = 2048
	maxPlacements = 256
	maxTopics     = 8
	maxServers    = 64
)

// Load is the number of requests in flight at a server.
type Load struct {
	// Server is the short hash of the incarnation, see ShortHash.
	Server   uint32
	InFlight int
}

// Outcomes counts the recent requests to a server that ended, and how many of
// them failed.
type Outcomes struct {
	// Server is the short hash of the incarnation, see ShortHash.
	Server uint32
	Failed int
	Ended  int
}

// ShortHash returns the part of an incarnation's hash that identifies it in loads
// and outcomes. On a collision the loads of two servers are confused.
func ShortHash(hash uint64) uint32 { return uint32(hash >> 32) }

// Placement records that a server has processed, and so cached, the prefix that a
// prompt shares with others. Server is the hash of the incarnation.
type Placement struct {
	PrefixHash uint64
	Server     uint64
	// Tokens is the size of the prefix.
	Tokens int
	// ReadTokens is the number of prompt tokens that the server has to read.
	ReadTokens int
}

// Progress states what a router has read of a topic of the store.
type Progress struct {
	Topic int
	// LastChange is the position of the last record that changed the router's view.
	LastChange logpos.Position
}

// Topics of the store, as numbered in digests.
const (
	TopicConfig = iota
	TopicServers
	// TopicCount is the number of topics.
	TopicCount
)

// ServerChange is a change of a server that a router has read from the store.
type ServerChange struct {
	ID string
	// Position is that of the change's record in the store's topic.
	Position logpos.Position
	// Prev is the position of the previous change, so that the receiver notices a lost
	// one.
	Prev logpos.Position
	// Server is nil when the server was removed.
	Server *registry.Server
	// Again is set when the change was sent before, and a router that reports a change
	// at its position or later has it or knows that it lacks one. It is not transmitted.
	Again bool
}

// Role is whether a router reads the store for the others.
type Role int

// The roles of a router. One of an earlier version of the program reports none.
const (
	RoleUnknown Role = iota
	RoleReader
	RoleOther
)

// Message is one datagram.
type Message struct {
	// Sender is a random ID of the sending process. It distinguishes a restarted
	// router from its predecessor at the same address.
	Sender uint64
	// Stopping is set by a router that shuts down.
	Stopping bool
	// RequestPlacements asks for all placements; a starting router sets it.
	RequestPlacements bool
	// PlacementsReply marks the answer to RequestPlacements, whose placements are in
	// Cached.
	PlacementsReply bool
	// LoadsComplete is set when Loads lists every server with requests in flight.
	LoadsComplete bool
	// Reading is set while the sender's reads of the store succeed.
	Reading bool
	// Role is whether the sender reads the store for the others.
	Role Role
	// Synced is set by a router that has the placements of the fleet.
	Synced bool
	// StoreEra is the era of the store as the sender knows it.
	StoreEra int64
	// ConfigVersion is the version of the configuration that the sender has in force; 0
	// for none.
	ConfigVersion int64
	// ListEnd is the offset after the sender's first list of the servers in StoreEra; 0
	// for none.
	ListEnd int64
	// ServersHash is a hash of the servers that the sender knows; 0 before it has read them.
	ServersHash uint32
	Peers       []netip.Addr
	// Loads are the sender's own requests in flight.
	Loads []Load
	// TotalLoads are the requests in flight of all routers together, the sender's
	// and the receiver's included.
	TotalLoads []Load
	// Outcomes are those of the sender's own requests. TotalFailures are the
	// outcomes of all routers together, for the servers that failed requests.
	Outcomes      []Outcomes
	TotalFailures []Outcomes
	// Times are those of the sender's own requests at plain pools, and TotalTimes those of all routers together.
	Times, TotalTimes []PoolTimes
	Placements        []Placement
	// Relay asks the receiver to pass Placements on to all, and Relayed are those that the sender passes on.
	Relay   bool
	Relayed []RelayedPlacements
	// Level is the level of the protocol that the sender has; 0 for one before there were levels.
	Level int64
	// NotGranting is set by a router that grants no slots of scarce pools, since it stops.
	NotGranting bool
	// Cached are placements without the tokens that are still to be read. They are
	// encoded in fewer bytes when those of a server follow each other.
	Cached   []Placement
	Progress []Progress
	Servers  []ServerChange
	// Limits are what servers have said of their limits.
	Limits []Limit
	// Parts is what the sender knows of parts of prompts that crash engines.
	Parts quarantine.Report
	// Streams tells which versions began streams, and AskedStreams are those that the sender
	// asks for.
	Streams      []streamversion.Record
	AskedStreams []uint64
	// Cold are servers that are cold, or no longer, and AllCold is set when the sender knows of no others.
	Cold    []ColdServer
	AllCold bool
	// Heard are the short hashes of the routers that the sender hears; nil when it does not say. Routers is the largest
	// number of routers that it has known lately.
	Heard   []uint16
	Routers int64
	// Processor is the processor time that the sender may use, in thousandths of a core; 0 when it does not say.
	Processor int64
	// Evacuations are the data centres that the sender knows as evacuated.
	Evacuations evacuation.View
	// Region is the region of the sender; empty when it does not say.
	Region string
	// ConfigPart is a part of a difference of the configuration; nil for none.
	ConfigPart *configdiff.Part
	// RequestConfig asks for the whole configuration; a starting router sets it.
	RequestConfig bool
	// ReadAge is the age in ms, and one more, of the servers that the sender has read from the store; 0 for a sender that does not
	// read it. It comes with answers to questions for streams.
	ReadAge int64
	// VersionsAsked is set by a router that has asked the engines which versions have prompts cached, after a kill of most
	// routers a moment ago.
	VersionsAsked bool
}

// Field numbers of the protobuf messages. fieldFirst to fieldFourth are those of
// placements and progress.
const (
	fieldSender            = 1
	fieldStopping          = 2
	fieldRequestPlacements = 3
	fieldLoadsComplete     = 4
	fieldReading           = 5
	fieldPeer              = 6
	fieldLoad              = 7
	fieldPlacement         = 8
	fieldProgress          = 9
	fieldSynced            = 10
	fieldServer            = 11
	fieldPlacementsReply   = 12
	fieldTotalLoads        = 13
	fieldOutcomes          = 14
	fieldTotalFailures     = 15
	fieldCached            = 16
	fieldStoreEra          = 17
	fieldConfigVersion     = 18
	fieldListEnd           = 19
	fieldRole              = 20
	fieldCrash             = 21
	fieldSoundParts        = 22
	fieldQuarantined       = 23
	fieldLimit             = 24
	fieldStream            = 25
	fieldAskedStreams      = 26
	fieldRelay             = 27
	fieldRelayed           = 28
	fieldLevel             = 29
	fieldServersHash       = 30
	fieldCold              = 45
	fieldAllCold           = 46
	fieldHeard             = 47
	fieldRouters           = 48
	fieldEvacuationsAsOf   = 40
	fieldEvacuation        = 41
	fieldEvacuationsPart   = 42
	// fieldGrants comes in datagrams of its own, see decodeGrantsDatagram.
	fieldGrants      = 55
	fieldNotGranting = 56
	fieldProcessor   = 57
	fieldRegion      = 49
	fieldConfigPart  = 60
	fieldRequestConf = 61
	fieldVersionsAsk = 62
	fieldReadAge     = 63
	fieldTimes       = 65
	fieldTotalTimes  = 66

	fieldFirst  = 1
	fieldSecond = 2
	fieldThird  = 3
	fieldFourth = 4
)

// Encode returns the protobuf form of m.
func Encode(m *Message) []byte {
	b := make([]byte, 0, maxDatagram)
	b = appendFixed(b, fieldSender, m.Sender)
	b = appendBool(b, fieldStopping, m.Stopping)
	b = appendBool(b, fieldRequestPlacements, m.RequestPlacements)
	b = appendBool(b, fieldPlacementsReply, m.PlacementsReply)
	b = appendBool(b, fieldLoadsComplete, m.LoadsComplete)
	b = appendBool(b, fieldReading, m.Reading)
	b = appendBool(b, fieldSynced, m.Synced)
	b = appendPositive(b, fieldStoreEra, m.StoreEra)
	b = appendPositive(b, fieldConfigVersion, m.ConfigVersion)
	b = appendPositive(b, fieldListEnd, m.ListEnd)
	b = appendPositive(b, fieldRole, int64(m.Role))
	b = appendBool(b, fieldRelay, m.Relay)
	b = appendPositive(b, fieldLevel, m.Level)
	b = appendPositive(b, fieldServersHash, int64(m.ServersHash))
	b = appendBool(b, fieldNotGranting, m.NotGranting)
	for _, p := range m.Peers {
		b = protowire.AppendTag(b, fieldPeer, protowire.BytesType)
		b = protowire.AppendBytes(b, p.AsSlice())
	}
	b = appendLoads(b, fieldLoad, m.Loads)
	b = appendLoads(b, fieldTotalLoads, m.TotalLoads)
	b = appendOutcomes(b, fieldOutcomes, m.Outcomes)
	b = appendOutcomes(b, fieldTotalFailures, m.TotalFailures)
	b = appendPoolTimes(b, fieldTimes, m.Times)
	b = appendPoolTimes(b, fieldTotalTimes, m.TotalTimes)
	for _, placement := range m.Placements {
		b = appendNumbers(b, fieldPlacement, placement.PrefixHash, placement.Server, uint64(placement.Tokens), uint64(placement.ReadTokens))
	}
	b = appendRelayed(b, m.Relayed)
	b = appendCached(b, m.Cached)
	for _, p := range m.Progress {
		values := []uint64{uint64(p.Topic), uint64(p.LastChange.Offset)}
		if p.LastChange.Era > 0 {
			values = append(values, uint64(p.LastChange.Era))
		}
		b = appendNumbers(b, fieldProgress, values...)
	}
	for i := range m.Servers {
		b = protowire.AppendTag(b, fieldServer, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeServerChange(&m.Servers[i]))
	}
	for _, l := range m.Limits {
		b = appendLimit(b, l)
	}
	b = appendStreams(b, m.Streams, m.AskedStreams)
	b = appendPositive(b, fieldReadAge, m.ReadAge)
	b = appendPositive(b, fieldProcessor, m.Processor)
	b = appendColdServers(b, m.Cold)
	b = appendBool(b, fieldAllCold, m.AllCold)
	b = appendHeard(b, m.Heard)
	b = appendPositive(b, fieldRouters, m.Routers)
	b = appendEvacuations(b, m.Evacuations)
	if m.Region != "" {
		b = appendText(b, fieldRegion, m.Region)
	}
	b = appendConfigPart(b, m.ConfigPart)
	b = appendBool(b, fieldRequestConf, m.RequestConfig)
	b = appendBool(b, fieldVersionsAsk, m.VersionsAsked)
	return appendPartReport(b, m.Parts)
}

func appendFixed(b []byte, field protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

func appendBool(b []byte, field protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, 1)
}

// appendPositive encodes a number that is left out when it is 0.
func appendPositive(b []byte, field protowire.Number, v int64) []byte {
	if v <= 0 {
		return b
	}
	return appendVarint(b, field, uint64(v))
}

// appendLoads encodes each load as a fixed32 and a varint.
func appendLoads(b []byte, field protowire.Number, loads []Load) []byte {
	if len(loads) == 0 {
		return b
	}
	packed := make([]byte, 0, 6*len(loads))
	for _, l := range loads {
		packed = protowire.AppendFixed32(packed, l.Server)
		packed = protowire.AppendVarint(packed, uint64(l.InFlight))
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, packed)
}

func decodeLoads(b []byte) ([]Load, error) {
	const maxInFlight = 1 << 20
	var loads []Load
	for len(b) > 0 {
		server, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return nil, errMalformed
		}
		count, used := protowire.ConsumeVarint(b[n:])
		if used < 0 || count > maxInFlight || len(loads) >= maxLoads {
			return nil, errMalformed
		}
		loads = append(loads, Load{Server: server, InFlight: int(count)})
		b = b[n+used:]
	}
	return loads, nil
}

// appendNumbers encodes a message of fixed64 fields, numbered from fieldFirst.
func appendNumbers(b []byte, field protowire.Number, values ...uint64) []byte {
	var buffer [fieldFourth * 9]byte
	inner := buffer[:0]
	for i, v := range values {
		inner = appendFixed(inner, fieldFirst+protowire.Number(i), v)
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, inner)
}

var errMalformed = eris.New("malformed digest")

// Decode decodes a datagram. Unknown fields are skipped, so that routers of
// different versions can exchange digests.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, errMalformed
		}
		b = b[n:]
		var err error
		switch kind {
		case protowire.Fixed64Type:
			b, err = m.decodeFixed(field, b)
		case protowire.VarintType:
			b, err = m.decodeVarint(field, b)
		case protowire.BytesType:
			b, err = m.decodeBytes(field, b)
		default:
			b, err = skipField(field, kind, b)
		}
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

func skipField(field protowire.Number, kind protowire.Type, b []byte) ([]byte, error) {
	n := protowire.ConsumeFieldValue(field, kind, b)
	if n < 0 {
		return nil, errMalformed
	}
	return b[n:], nil
}

func (m *Message) decodeFixed(field protowire.Number, b []byte) ([]byte, error) {
	v, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return nil, errMalformed
	}
	if field == fieldSender {
		m.Sender = v
	}
	return b[n:], nil
}

func (m *Message) decodeVarint(field protowire.Number, b []byte) ([]byte, error) {
	v, n := protowire.ConsumeVarint(b)
	if n < 0 {
		return nil, errMalformed
	}
	var err error
	switch field {
	case fieldStopping:
		m.Stopping = v != 0
	case fieldRequestPlacements:
		m.RequestPlacements = v != 0
	case fieldPlacementsReply:
		m.PlacementsReply = v != 0
	case fieldLoadsComplete:
		m.LoadsComplete = v != 0
	case fieldReading:
		m.Reading = v != 0
	case fieldSynced:
		m.Synced = v != 0
	case fieldStoreEra:
		m.StoreEra, err = nonNegative(v)
	case fieldConfigVersion:
		m.ConfigVersion, err = nonNegative(v)
	case fieldRole:
		// A role that is not known here is taken for none.
		if v <= uint64(RoleOther) {
			m.Role = Role(v)
		}
	case fieldListEnd:
		m.ListEnd, err = nonNegative(v)
	case fieldReadAge:
		m.ReadAge, err = nonNegative(v)
	case fieldRelay:
		m.Relay = v != 0
	case fieldLevel:
		m.Level, err = nonNegative(v)
	case fieldNotGranting:
		m.NotGranting = v != 0
	case fieldServersHash:
		m.ServersHash = uint32(v)
	case fieldProcessor:
		m.Processor, err = nonNegative(v)
	case fieldRequestConf:
		m.RequestConfig = v != 0
	case fieldVersionsAsk:
		m.VersionsAsked = v != 0
	case fieldAllCold:
		m.AllCold = v != 0
	case fieldRouters:
		m.Routers, err = nonNegative(v)
	case fieldEvacuationsPart:
		m.Evacuations.Partial = v != 0
	}
	return b[n:], err
}

func nonNegative(v uint64) (int64, error) {
	if v > math.MaxInt64 {
		return 0, errMalformed
	}
	return int64(v), nil
}

func (m *Message) decodeBytes(field protowire.Number, b []byte) ([]byte, error) {
	v, n := protowire.ConsumeBytes(b)
	if n < 0 {
		return nil, errMalformed
	}
	var err error
	switch field {
	case fieldServer:
		err = m.decodeServerChange(v)
	case fieldLoad:
		m.Loads, err = decodeLoads(v)
	case fieldTotalLoads:
		m.TotalLoads, err = decodeLoads(v)
	case fieldOutcomes:
		m.Outcomes, err = decodeOutcomes(v)
	case fieldTotalFailures:
		m.TotalFailures, err = decodeOutcomes(v)
	case fieldTimes:
		m.Times = decodePoolTimes(v)
	case fieldTotalTimes:
		m.TotalTimes = decodePoolTimes(v)
	case fieldCached:
		err = m.decodeCached(v)
	case fieldRelayed:
		err = m.decodeRelayed(v)
	case fieldPeer:
		err = m.decodePeer(v)
	case fieldPlacement, fieldProgress:
		err = m.decodeNumbers(field, v)
	case fieldEvacuationsAsOf:
		err = m.decodeEvacuationsAsOf(v)
	case fieldEvacuation:
		err = m.decodeEvacuation(v)
	case fieldLimit:
		err = m.decodeLimit(v)
	case fieldCold:
		err = m.decodeColdServer(v)
	case fieldConfigPart:
		err = m.decodeConfigPart(v)
	case fieldRegion:
		m.Region = string(v)
	case fieldHeard:
		m.Heard, err = decodeHeard(v)
	case fieldCrash:
		err = m.decodeCrash(v)
	case fieldStream:
		err = m.decodeStream(v)
	case fieldAskedStreams:
		m.AskedStreams, err = decodeFixedList(v)
	case fieldSoundParts:
		m.Parts.Sound, err = decodeFixedList(v)
	case fieldQuarantined:
		err = m.decodeQuarantined(v)
	}
	return b[n:], err
}

func (m *Message) decodePeer(b []byte) error {
	addr, ok := netip.AddrFromSlice(b)
	if !ok || len(m.Peers) >= maxPeers {
		return errMalformed
	}
	m.Peers = append(m.Peers, addr)
	return nil
}

func (m *Message) decodeNumbers(field protowire.Number, b []byte) error {
	var values [fieldFourth]uint64
	for len(b) > 0 {
		inner, kind, n := protowire.ConsumeTag(b)
		if n < 0 || kind != protowire.Fixed64Type {
			return errMalformed
		}
		v, used := protowire.ConsumeFixed64(b[n:])
		if used < 0 {
			return errMalformed
		}
		if inner >= fieldFirst && inner <= fieldFourth {
			values[inner-fieldFirst] = v
		}
		b = b[n+used:]
	}
	return m.addNumbers(field, values)
}

// maxPromptTokens bounds the size of a prompt, against faulty senders.
const maxPromptTokens = 1 << 24

func (m *Message) addNumbers(field protowire.Number, v [fieldFourth]uint64) error {
	switch {
	case field == fieldPlacement && len(m.Placements) < maxPlacements && max(v[2], v[3]) <= maxPromptTokens:
		m.Placements = append(m.Placements, Placement{PrefixHash: v[0], Server: v[1], Tokens: int(v[2]), ReadTokens: int(v[3])})
	case field == fieldProgress && len(m.Progress) < maxTopics && v[0] < maxTopics:
		m.Progress = append(m.Progress, Progress{
			Topic: int(v[0]), LastChange: logpos.Position{Era: int64(v[2]), Offset: int64(v[1])},
		})
	default:
		return errMalformed
	}
	return nil
}

// eachField calls f for each field of an inner message, with its number or its bytes.
func eachField(b []byte, f func(field protowire.Number, v uint64, inner []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		var v uint64
		var inner []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			inner, n = protowire.ConsumeBytes(b)
		default:
			return errMalformed
		}
		if n < 0 {
			return errMalformed
		}
		if err := f(field, v, inner); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
