package answer

import (
	"errors"
	"slices"
)

// FrameStatus is the result of the sequence check of a frame.
type FrameStatus int

// Results of the sequence check. All but Accepted mean that the frame must be
// dropped.
const (
	Accepted FrameStatus = iota
	// Late is a frame of a previous attempt, or one after the terminal frame.
	Late
	// Duplicate is a frame that was accepted before.
	Duplicate
	// Crossed is a frame of an attempt that never belonged to this answer.
	Crossed
	// Gap is a frame after a missing one, or one whose offset does not continue the text.
	Gap
)

// Drops counts dropped frames by reason.
type Drops struct {
	Late, Duplicate, Crossed, Gap uint64
}

// ErrPartDelivered means that part of an answer was delivered, so that it must
// not be generated again.
var ErrPartDelivered = errors.New("part of the answer was already delivered")

// Sequencer accepts only the next frame of the current attempt. Sequence
// numbers start at 0 for each attempt id. It is not safe for concurrent use.
type Sequencer struct {
	attempt  string
	previous []string
	seq      uint64
	offset   uint64
	started  bool
	complete bool
	drops    Drops
}

// NewSequencer returns a sequencer for the first attempt.
func NewSequencer(attempt string) *Sequencer {
	return &Sequencer{attempt: attempt}
}

// Attempt returns the current attempt.
func (s *Sequencer) Attempt() string {
	return s.attempt
}

// Offset returns the characters delivered so far.
func (s *Sequencer) Offset() uint64 {
	return s.offset
}

// Started reports whether a frame was accepted.
func (s *Sequencer) Started() bool {
	return s.started
}

// Complete reports whether the terminal frame was accepted.
func (s *Sequencer) Complete() bool {
	return s.complete
}

// Drops returns the counts of dropped frames.
func (s *Sequencer) Drops() Drops {
	return s.drops
}

// Retry makes another attempt current that generates the answer from the start.
// It fails once a frame was accepted, because the text of two generations must
// not be joined.
func (s *Sequencer) Retry(attempt string) error {
	if s.started {
		return ErrPartDelivered
	}
	s.switchTo(attempt)
	return nil
}

// Resume makes another attempt id current that continues the same generation
// at Offset. Frames of the previous id are dropped from now on.
func (s *Sequencer) Resume(attempt string) {
	s.switchTo(attempt)
}

func (s *Sequencer) switchTo(attempt string) {
	s.previous = append(s.previous, s.attempt)
	s.attempt = attempt
	s.seq = 0
}

// Accept checks a frame with the given text length in characters, and advances
// to the next one if it is accepted.
func (s *Sequencer) Accept(attempt string, seq, offset uint64, characters int, terminal bool) FrameStatus {
	status := s.classify(attempt, seq, offset)
	switch status {
	case Accepted:
		s.seq++
		s.offset += uint64(characters)
		s.started = true
		s.complete = terminal
	case Late:
		s.drops.Late++
	case Duplicate:
		s.drops.Duplicate++
	case Crossed:
		s.drops.Crossed++
	case Gap:
		s.drops.Gap++
	}
	return status
}

func (s *Sequencer) classify(attempt string, seq, offset uint64) FrameStatus {
	switch {
	case attempt != s.attempt && slices.Contains(s.previous, attempt):
		return Late
	case attempt != s.attempt:
		return Crossed
	case seq < s.seq:
		return Duplicate
	case s.complete:
		return Late
	case seq > s.seq || offset != s.offset:
		return Gap
	}
	return Accepted
}

// NewSequencerAt returns a sequencer that expects sequence number seq at a
// character offset, for a stream that resumes an answer.
func NewSequencerAt(attempt string, seq, offset uint64) *Sequencer {
	return &Sequencer{attempt: attempt, seq: seq, offset: offset}
}
