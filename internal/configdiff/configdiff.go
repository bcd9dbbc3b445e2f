// Package configdiff creates and applies differences between two texts of the configuration, so that a router that has the
// earlier text gets the later one in a few datagrams instead of reading it from the platform's store. A difference is the later
// text, compressed with zstd with the earlier text as raw dictionary. Both texts are named by their hashes, so that a
// difference is never applied to another text or with another result than meant.
//
// The package does no I/O and reads no clock.
package configdiff

import (
	"crypto/sha256"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

const (
	// MaxTextBytes bounds the texts of which differences are made and that are kept for them: a router has 184 MB at least, and
	// keeps MaxTexts of them.
	MaxTextBytes = 2 << 20
	// MaxPayloadBytes bounds the compressed form of a difference. A larger one costs more to send to all routers over a link of
	// 10 Mbit/s than it saves.
	MaxPayloadBytes = MaxParts * MaxPartBytes
	// MaxParts is the number of datagrams of a difference at most.
	MaxParts = 8
	// MaxPartBytes is the part of a payload that fits a datagram of 1,400 bytes beside the fields of the difference.
	MaxPartBytes = 1200
	// MaxWholeParts is the number of datagrams of a whole text at most. 0.5 MB compress to a tenth of that; a larger text is read
	// from the store.
	MaxWholeParts = 64
	// dictionaryID names the raw dictionary within a frame. There is only one.
	dictionaryID = 1
	// maxWindowBytes lets matches reach back from the end of the longest text to the beginning of its dictionary, and
	// minWindowBytes is the shortest window that is worth setting.
	maxWindowBytes = 2 * MaxTextBytes
	minWindowBytes = 64 << 10
)

// Errors of Make, MakeWhole and Apply.
var (
	// ErrEmpty is returned by Make and MakeWhole for a text without content.
	ErrEmpty = eris.New("configuration is empty")
	// ErrTooLarge is returned by Make and MakeWhole for a text or a difference that is too large to be sent.
	ErrTooLarge = eris.New("configuration or difference is too large to be sent")
	// ErrWrongBase is returned by Apply for another text than the one that the difference starts from.
	ErrWrongBase = eris.New("difference starts from another configuration")
	// ErrWrongText is returned by Apply when the result is not the text that the difference names.
	ErrWrongText = eris.New("difference leads to another configuration than it names")
)

// Hash identifies a text.
type Hash [16]byte

// NoBase is the Base of a difference that has a whole text.
var NoBase Hash

// HashOf returns the hash of a text, the first half of its SHA-256.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(sum[:len(Hash{})])
}

// Difference leads from one text of the configuration to a later one.
type Difference struct {
	// Position is that of the record with the later text in the store's topic.
	Position logpos.Position
	// Next is the position up to which the sender had read the topic: no later record before it has a newer configuration. Its
	// era is that of Position.
	Next logpos.Position
	// Base and Text are the hashes of the earlier and of the later text.
	Base, Text Hash
	// Payload is the later text, compressed with the earlier one as dictionary.
	Payload []byte
}

// Make returns the difference from base to text, without positions. The error is ErrEmpty, ErrTooLarge, or one of the compressor.
func Make(base, text []byte) (Difference, error) {
	if err := checkSize(base, text); err != nil {
		return Difference{}, err
	}
	payload, err := compress(text, len(base)+len(text), zstd.WithEncoderDictRaw(dictionaryID, base))
	if err != nil {
		return Difference{}, err
	}
	if len(payload) > MaxPayloadBytes {
		return Difference{}, ErrTooLarge
	}
	return Difference{Base: HashOf(base), Text: HashOf(text), Payload: payload}, nil
}

// MakeWhole returns a difference that has a whole text, without positions. Its Base is NoBase. The errors are those of Make.
func MakeWhole(text []byte) (Difference, error) {
	if err := checkSize(text); err != nil {
		return Difference{}, err
	}
	payload, err := compress(text, len(text))
	if err != nil {
		return Difference{}, err
	}
	if len(payload) > MaxWholeParts*MaxPartBytes {
		return Difference{}, ErrTooLarge
	}
	return Difference{Text: HashOf(text), Payload: payload}, nil
}

// checkSize returns ErrEmpty or ErrTooLarge when one of the texts can't be used.
func checkSize(texts ...[]byte) error {
	for _, text := range texts {
		switch {
		case len(text) == 0:
			return ErrEmpty
		case len(text) > MaxTextBytes:
			return ErrTooLarge
		}
	}
	return nil
}

// compress compresses a text with matches that reach back over some bytes. The tables of the fastest level and a short window take
// a tenth of the memory of the usual ones, which counts at a router's peak.
func compress(text []byte, reach int, more ...zstd.EOption) ([]byte, error) {
	options := append(more, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowFor(reach)),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "cannot compress a configuration")
	}
	return encoder.EncodeAll(text, nil), nil
}

// windowFor returns the smallest window, a power of two, that reaches back over some bytes.
func windowFor(reach int) int {
	window := minWindowBytes
	for window < min(reach, maxWindowBytes) {
		window *= 2
	}
	return window
}

// Apply returns the later text. base is ignored when the difference has a whole text. The error is ErrWrongBase, ErrWrongText, or one
// of the decompressor for a payload that does not decode or decodes to more than MaxTextBytes.
func (d Difference) Apply(base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxTextBytes), zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if d.Base != NoBase {
		if HashOf(base) != d.Base {
			return nil, ErrWrongBase
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "cannot decompress a configuration")
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(d.Payload, nil)
	if err != nil {
		return nil, eris.Wrap(err, "cannot decompress a configuration")
	}
	if HashOf(text) != d.Text {
		return nil, ErrWrongText
	}
	return text, nil
}
