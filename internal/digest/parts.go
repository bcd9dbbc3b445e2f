package digest

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/quarantine"
)

const (
	// partsPerDatagram bounds the parts of a crash and the sound parts in one datagram,
	// requestsPerDatagram the requests of a crash, entriesPerDatagram the quarantined parts.
	partsPerDatagram    = 64
	requestsPerDatagram = 48
	entriesPerDatagram  = 24
	// maxReportAge bounds the times in a report, against faulty senders.
	maxReportAge = 24 * time.Hour
	// maxTrials bounds the failed trials of a part, against faulty senders.
	maxTrials = 1 << 10
)

// Field numbers of a crash and of a quarantined part.
const (
	crashEngine = 1
	crashAge    = 2
	crashParts  = 3
	// crashRequest may be repeated.
	crashRequest = 4
	crashBroken  = 5

	requestFingerprint = 1
	requestAge         = 2

	entryPart      = 1
	entryAge       = 2
	entryIdle      = 3
	entryNextTrial = 4
	entryTrials    = 5
	entryRequest   = 6
)

// sendPartReport sends what is known of parts of prompts that crash engines: all of it to
// a router that has just started and with a regular digest, else what is new.
func (e *Exchange) sendPartReport(targets []netip.Addr, all bool) {
	r := e.state.TakePartReport(all)
	for _, c := range r.Crashes {
		for part := range slices.Chunk(c.Parts, partsPerDatagram) {
			e.sendCrash(targets, quarantine.Crash{Engine: c.Engine, Age: c.Age, Parts: part})
		}
		for requests := range slices.Chunk(c.Requests, requestsPerDatagram) {
			e.sendCrash(targets, quarantine.Crash{Engine: c.Engine, Age: c.Age, Broken: c.Broken, Requests: requests})
		}
	}
	for part := range slices.Chunk(r.Sound, partsPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Parts: quarantine.Report{Sound: part}})
	}
	e.sendEntries(targets, r.Entries)
}

func (e *Exchange) sendCrash(targets []netip.Addr, c quarantine.Crash) {
	e.sendTo(targets, &Message{Sender: e.sender, Parts: quarantine.Report{Crashes: []quarantine.Crash{c}}})
}

func (e *Exchange) sendEntries(targets []netip.Addr, entries []quarantine.Entry) {
	for part := range slices.Chunk(entries, entriesPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Parts: quarantine.Report{Entries: part}})
	}
}

func appendPartReport(b []byte, r quarantine.Report) []byte {
	for _, c := range r.Crashes {
		inner := appendFixed(nil, crashEngine, c.Engine)
		inner = appendPositive(inner, crashAge, c.Age.Milliseconds())
		inner = appendBool(inner, crashBroken, c.Broken)
		if len(c.Parts) > 0 {
			inner = appendFixedList(inner, crashParts, c.Parts)
		}
		for _, sent := range c.Requests {
			request := appendFixed(nil, requestFingerprint, sent.Fingerprint)
			request = appendPositive(request, requestAge, sent.Age.Milliseconds())
			inner = appendInner(inner, crashRequest, request)
		}
		b = appendInner(b, fieldCrash, inner)
	}
	if len(r.Sound) > 0 {
		b = appendFixedList(b, fieldSoundParts, r.Sound)
	}
	for _, q := range r.Entries {
		inner := appendFixed(nil, entryPart, q.Part)
		inner = appendPositive(inner, entryAge, q.Age.Milliseconds())
		inner = appendPositive(inner, entryIdle, q.Idle.Milliseconds())
		inner = appendPositive(inner, entryNextTrial, q.NextTrial.Milliseconds())
		inner = appendPositive(inner, entryTrials, int64(q.Trials))
		inner = appendBool(inner, entryRequest, q.Request)
		b = appendInner(b, fieldQuarantined, inner)
	}
	return b
}

func appendInner(b []byte, field protowire.Number, inner []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, inner)
}

func appendFixedList(b []byte, field protowire.Number, list []uint64) []byte {
	packed := make([]byte, 0, 8*len(list))
	for _, v := range list {
		packed = protowire.AppendFixed64(packed, v)
	}
	return appendInner(b, field, packed)
}

func decodeFixedList(b []byte) ([]uint64, error) {
	var list []uint64
	for len(b) > 0 {
		v, n := protowire.ConsumeFixed64(b)
		if n < 0 || len(list) >= partsPerDatagram {
			return nil, errMalformed
		}
		list = append(list, v)
		b = b[n:]
	}
	return list, nil
}

func (m *Message) decodeCrash(b []byte) error {
	c := quarantine.Crash{}
	err := eachField(b, func(field protowire.Number, v uint64, inner []byte) (err error) {
		switch field {
		case crashEngine:
			c.Engine = v
		case crashAge:
			c.Age = reportAge(v)
		case crashParts:
			c.Parts, err = decodeFixedList(inner)
		case crashBroken:
			c.Broken = v != 0
		case crashRequest:
			var r quarantine.SentRequest
			r, err = decodeSentRequest(inner)
			c.Requests = append(c.Requests, r)
		}
		return err
	})
	m.Parts.Crashes = append(m.Parts.Crashes, c)
	return err
}

func decodeSentRequest(b []byte) (r quarantine.SentRequest, err error) {
	err = eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case requestFingerprint:
			r.Fingerprint = v
		case requestAge:
			r.Age = reportAge(v)
		}
		return nil
	})
	return r, err
}

func (m *Message) decodeQuarantined(b []byte) error {
	q := quarantine.Entry{}
	err := eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case entryPart:
			q.Part = v
		case entryAge:
			q.Age = reportAge(v)
		case entryIdle:
			q.Idle = reportAge(v)
		case entryNextTrial:
			q.NextTrial = reportAge(v)
		case entryTrials:
			q.Trials = int(min(v, maxTrials))
		case entryRequest:
			q.Request = v != 0
		}
		return nil
	})
	m.Parts.Entries = append(m.Parts.Entries, q)
	return err
}

func reportAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxReportAge.Milliseconds()))) * time.Millisecond
}
