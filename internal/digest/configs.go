package digest

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// A reader of the store sends the difference between a new version of the configuration and the one before to all, so that the
// others need not call the store for it. It precedes the digest with the position of the version. One that is lost is not sent
// again: by then the receiver has read the store.

// maxDifferenceBytes bounds what a router sends of one difference to all others together: 0.2 s of a link of 10 Mbit/s, which
// loads and positions wait for.
const maxDifferenceBytes = 256 << 10

// Field numbers of a part of a difference.
const (
	configPartEra    = 1
	configPartOffset = 2
	configPartNext   = 3
	configPartBase   = 4
	configPartText   = 5
	configPartCheck  = 6
	configPartIndex  = 7
	configPartCount  = 8
	configPartData   = 9
)

// sendDifferences sends the differences of the configuration that this router has made since the last call.
func (e *Exchange) sendDifferences() {
	for _, d := range e.state.TakeDifferences() {
		e.mu.Lock()
		targets := e.peers.differenceTargets(time.Now(), d.Position)
		e.mu.Unlock()
		var datagrams [][]byte
		size := 0
		for _, part := range d.Split() {
			b := Encode(&Message{Sender: e.sender, ConfigPart: &part})
			datagrams = append(datagrams, b)
			size += len(b) * len(targets)
		}
		sent := size <= maxDifferenceBytes
		if sent {
			for _, b := range datagrams {
				e.sendEncoded(targets, b)
			}
		}
		e.state.DifferenceSent(sent)
		e.events.Emit(event.ConfigDifferenceSent, "sent", sent, "era", d.Position.Era, "offset", d.Position.Offset, "bytes", len(d.Payload),
			"datagrams", len(datagrams), "routers", len(targets), "bytes_of_all", size)
	}
}

// differenceTargets returns the live routers that know differences of the configuration and have not reported the version at a
// position or a later one.
func (p *Peers) differenceTargets(now time.Time, position logpos.Position) []netip.Addr {
	var targets []netip.Addr
	for _, a := range p.WithoutChange(p.Targets(now), TopicConfig, position) {
		if peer := p.tracked[a]; peer != nil && p.live(peer, now) && peer.level >= levelDifferences {
			targets = append(targets, a)
		}
	}
	return targets
}

func appendConfigPart(b []byte, p *configdiff.Part) []byte {
	if p == nil {
		return b
	}
	inner := make([]byte, 0, maxDatagram)
	inner = appendPositive(inner, configPartEra, p.Position.Era)
	inner = appendPositive(inner, configPartOffset, p.Position.Offset)
	inner = appendPositive(inner, configPartNext, p.Next.Offset)
	inner = appendInner(inner, configPartBase, p.Base[:])
	inner = appendInner(inner, configPartText, p.Text[:])
	inner = appendFixed(inner, configPartCheck, p.Check)
	inner = appendPositive(inner, configPartIndex, int64(p.Index))
	inner = appendPositive(inner, configPartCount, int64(p.Count))
	inner = appendInner(inner, configPartData, p.Data)
	return appendInner(b, fieldConfigPart, inner)
}

// decodeConfigPart decodes a part. One that is not possible, as of a later build, is left out.
func (m *Message) decodeConfigPart(b []byte) error {
	p := &configdiff.Part{}
	err := eachField(b, func(field protowire.Number, v uint64, inner []byte) (err error) {
		switch field {
		case configPartEra:
			p.Position.Era, err = nonNegative(v)
		case configPartOffset:
			p.Position.Offset, err = nonNegative(v)
		case configPartNext:
			p.Next.Offset, err = nonNegative(v)
		case configPartBase:
			err = setHash(&p.Base, inner)
		case configPartText:
			err = setHash(&p.Text, inner)
		case configPartCheck:
			p.Check = v
		case configPartIndex:
			p.Index = int(min(v, configdiff.MaxWholeParts))
		case configPartCount:
			p.Count = int(min(v, configdiff.MaxWholeParts+1))
		case configPartData:
			// The datagram's buffer is used again.
			p.Data = append([]byte(nil), inner...)
		}
		return err
	})
	if err != nil {
		return err
	}
	p.Next.Era = p.Position.Era
	if p.Valid() {
		m.ConfigPart = p
	}
	return nil
}

func setHash(h *configdiff.Hash, b []byte) error {
	if len(b) != len(h) {
		return errMalformed
	}
	copy(h[:], b)
	return nil
}
