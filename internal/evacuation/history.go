package evacuation

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// MaxHistory bounds the records before a list that are read for the ends of evacuations which the store has lost. There may
// be configurations of half a megabyte among them.
const MaxHistory = 16

// HistoryFrom returns the offset from which the history of the era up to the end of a list is to be read, and false if that says
// nothing. A list has no record that lifts an evacuation, so an evacuation that the store has lost and one that was lifted
// before the list was read look alike in it.
func (s *Set) HistoryFrom(end logpos.Position) (from int64, ok bool) {
	for _, e := range s.active {
		if !s.lostByThisEra(e) || e.Position.Offset >= end.Offset || end.Offset-e.Position.Offset > MaxHistory {
			continue
		}
		if !ok || e.Position.Offset < from {
			from, ok = e.Position.Offset, true
		}
	}
	return from, ok
}

// lost reports whether the store has come back without an evacuation.
func (s *Set) lost(e *Evacuation) bool {
	return !e.HeldUntil.IsZero() && e.Position.Era < s.asOf.Era
}

// lostByThisEra reports whether the store has lost an evacuation of the era before this one. What this router knows of the records of
// that era then tells those of this one apart. A router that has missed an era can't tell in which of the two a record was
// written, and another router may know an evacuation of the missed era that followed it. Eras rise by one, and a
// store that names none has had none.
func (s *Set) lostByThisEra(e *Evacuation) bool {
	before := s.earlier.Era
	return s.lost(e) && s.earlier != logpos.None && e.Position.Era == before && (before == 0 || before+1 == s.asOf.Era)
}

// ApplyHistory ends the evacuations that the store has lost and that a record of the era lifts. The records are all those about
// data centres from the offset from on up to the position end. Those before the end of the copy with which the
// era began are of an earlier era and say nothing: the evacuation may have followed them.
func (s *Set) ApplyHistory(now time.Time, records []Record, from int64, end logpos.Position) []Change {
	if s.asOf.Era != end.Era {
		return nil
	}
	last := make(map[string]Record, len(records))
	for _, r := range records {
		last[r.DataCentre] = r
	}
	written := s.writtenFrom(records, from, end.Offset)
	var changes []Change
	for _, name := range s.names() {
		e, r := s.active[name], last[name]
		if !s.lost(e) || r.DataCentre == "" || r.Evacuated || s.decided[name] {
			continue
		}
		// No record of the earlier era about the data centre lies between the evacuation and the position that this router had
		// reached in it, so one that lies there now is of this era.
		within := s.lostByThisEra(e) && r.Position.Offset >= e.Position.Offset && r.Position.Offset < s.earlier.Offset
		if within || r.Position.Offset >= written {
			s.decide(now, name, r.Position, true)
			changes = s.end(changes, name)
		}
	}
	return changes
}

// writtenFrom returns an offset of the history from which on all records are of the era: the store has another record there than
// in an earlier era, so the copy ended before it. It is the end of the history when none is known.
func (s *Set) writtenFrom(records []Record, from, end int64) int64 {
	copied := make(map[int64]string, len(records))
	for _, r := range records {
		if r.Evacuated {
			copied[r.Position.Offset] = r.DataCentre
		}
	}
	written := end
	for name, e := range s.active {
		if offset := e.Position.Offset; s.lostByThisEra(e) && offset >= from && offset < written && copied[offset] != name {
			written = offset
		}
	}
	return written
}
