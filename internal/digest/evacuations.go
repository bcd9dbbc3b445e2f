package digest

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Each digest has all evacuated data centres: there are few, and a router that hears others but is not heard by them could
// not ask for them. The names are bounded for the sake of the datagram. When there are more, each digest has some of them in
// turn, which can only add evacuations; that one has been lifted is then learned from the store.

// maxEvacuationBytes bounds the evacuated data centres of one digest. The loads of a reader's digest take 900 bytes.
const maxEvacuationBytes = 300

// evacuationOverhead is the size of an evacuated data centre in a digest at most, without its name.
const evacuationOverhead = 40

// Field numbers of an evacuated data centre and of a position.
const (
	evacuationName    = 1
	evacuationOffset  = 2
	evacuationEra     = 3
	evacuationHoldFor = 4
	evacuationLifted  = 5
)

// partOf returns what the next digest has of the evacuations.
func (e *Exchange) partOf(v evacuation.View) evacuation.View {
	part, n := evacuationsFrom(v, e.evacuationCursor.Load())
	e.evacuationCursor.Add(int64(n))
	return part
}

// evacuationsFrom returns as many of the evacuations as fit a digest, from the one with an index on, and their number. When
// all fit, the number is 0.
func evacuationsFrom(v evacuation.View, first int64) (part evacuation.View, n int) {
	size := 0
	for _, e := range v.Entries {
		size += evacuationOverhead + len(e.DataCentre)
	}
	if size <= maxEvacuationBytes {
		return v, 0
	}
	part = evacuation.View{Known: v.Known, AsOf: v.AsOf, Partial: true}
	for size = 0; n < len(v.Entries); n++ {
		e := v.Entries[(first+int64(n))%int64(len(v.Entries))]
		size += evacuationOverhead + len(e.DataCentre)
		if n > 0 && size > maxEvacuationBytes {
			break
		}
		part.Entries = append(part.Entries, e)
	}
	return part, n
}

func appendEvacuations(b []byte, v evacuation.View) []byte {
	if !v.Known {
		return b
	}
	b = appendInner(b, fieldEvacuationsAsOf, appendPosition(nil, v.AsOf))
	b = appendBool(b, fieldEvacuationsPart, v.Partial)
	for _, e := range v.Entries {
		inner := appendText(nil, evacuationName, e.DataCentre)
		inner = appendPosition(inner, e.Position)
		inner = appendPositive(inner, evacuationHoldFor, e.HoldFor.Milliseconds())
		inner = appendBool(inner, evacuationLifted, e.Lifted)
		b = appendInner(b, fieldEvacuation, inner)
	}
	return b
}

func appendPosition(b []byte, p logpos.Position) []byte {
	b = appendPositive(b, evacuationOffset, p.Offset)
	return appendPositive(b, evacuationEra, p.Era)
}

func (m *Message) decodeEvacuationsAsOf(b []byte) error {
	m.Evacuations.Known = true
	return eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		return setPosition(&m.Evacuations.AsOf, field, v)
	})
}

func setPosition(p *logpos.Position, field protowire.Number, v uint64) (err error) {
	switch field {
	case evacuationOffset:
		p.Offset, err = nonNegative(v)
	case evacuationEra:
		p.Era, err = nonNegative(v)
	}
	return err
}

func (m *Message) decodeEvacuation(b []byte) error {
	var e evacuation.Entry
	err := eachField(b, func(field protowire.Number, v uint64, inner []byte) error {
		switch field {
		case evacuationName:
			e.DataCentre = string(inner)
		case evacuationLifted:
			e.Lifted = v != 0
		case evacuationHoldFor:
			e.HoldFor = time.Duration(min(v, uint64(evacuation.HoldTime.Milliseconds()))) * time.Millisecond
		}
		return setPosition(&e.Position, field, v)
	})
	if err != nil || e.DataCentre == "" || len(m.Evacuations.Entries) >= maxEvacuations {
		return errMalformed
	}
	m.Evacuations.Entries = append(m.Evacuations.Entries, e)
	return nil
}

// maxEvacuations bounds the evacuated data centres of one message, against faulty senders.
const maxEvacuations = 64
