package feed

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Eras tracks the era of a store, which rises by one each time that the store comes
// back from an older copy. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	current int64
	known   bool
}

// Current returns the highest era of all answers so far; 0 before the first.
func (e *Eras) Current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// record records the era of an answer and reports whether the era is a new one. The
// error reports an era below one that has been seen.
func (e *Eras) record(era int64) (started bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.current {
		return false, eris.Errorf("store answered in era %d after era %d", era, e.current)
	}
	started = e.known && era > e.current
	e.current, e.known = era, true
	return started, nil
}
