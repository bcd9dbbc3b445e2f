package intent

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// startSearch finds the first record of a stream that is not older than a given
// time. The log can be read only by offset, so this is a binary search that
// reads one record at a time.
type startSearch struct {
	since time.Time
	// hasBounds is set once the floor and the head of the stream have been read.
	hasBounds bool
	low       uint64
	high      uint64
}

func newStartSearch(since time.Time) *startSearch {
	return &startSearch{since: since}
}

// nextRead returns the offset and the number of records to read next.
func (s *startSearch) nextRead() (from uint64, limit int) {
	if !s.hasBounds {
		return 0, 1
	}
	return s.low + (s.high-s.low)/2, 1
}

// handlePage narrows the search by the page of a read. It returns the start once
// it is found.
func (s *startSearch) handlePage(page logstream.Page) (start uint64, found bool) {
	if !s.hasBounds {
		s.hasBounds = true
		s.low, s.high = page.Floor, page.Head
		return s.low, s.low == s.high
	}
	s.low = max(s.low, page.Floor)
	s.high = max(s.high, s.low)
	for _, r := range page.Records {
		if r.Time.Before(s.since) {
			s.low = max(s.low, r.Offset+1)
		} else {
			s.high = max(s.low, r.Offset)
		}
	}
	return s.low, s.low >= s.high
}
