// Package evacuation keeps a router's view of the data centres that the operators have
// evacuated. It is a pure state machine over records and lists that are read from the
// platform's store, by this router or by another one, and takes the time as an argument.
//
// The view is always that of a position in the store's topic: it says for each data centre
// what the last record before the position says. Of two views the one with the later
// position is right, so that routers converge whatever each has read, and nothing has to
// be kept of evacuations that were lifted.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

const (
	// HoldTime is how long an evacuation that the older copy of a restored store lacks stays in
	// force, until a record says otherwise. The store has lost a write that the operators
	// have a confirmation of; they have to write it again, and it costs more to send
	// requests to an evacuated data centre than to do without it for that time.
	HoldTime = 30 * time.Second
	// MaxDataCentres bounds the evacuated data centres. Further ones are ignored.
	MaxDataCentres = 1024
	// liftedTime is how long after the begin of an era views list the evacuations that a record of the era has lifted. Other routers
	// may hold one that the store has lost, which its absence from a list does not end. They hold it for HoldTime from when they
	// learn of the era, which this covers for those that learn of it up to HoldTime later.
	liftedTime = 2 * HoldTime
)

// Record is a record of the store about one data centre.
type Record struct {
	DataCentre string
	// Evacuated is unset in a record that lifts the evacuation.
	Evacuated bool
	Position  logpos.Position
}

// Entry is an evacuated data centre, or one whose evacuation was lifted a short time after the begin of an era.
type Entry struct {
	DataCentre string
	// Position is that of the record with the evacuation. Its era is earlier than that of
	// the view when the store has lost the record.
	Position logpos.Position
	// Lifted is set when the record lifts the evacuation.
	Lifted bool
	// HoldFor is how long an evacuation that the store has lost stays in force; 0 for one that the store has.
	HoldFor time.Duration
}

// View is what a router knows: the evacuated data centres as of a position.
type View struct {
	// Known is unset for a router that knows nothing yet.
	Known bool
	// AsOf is the position after the last record that the view reflects.
	AsOf    logpos.Position
	Entries []Entry
	// Partial is set when Entries are only some of the evacuated data centres.
	Partial bool
}

// Source is where an evacuation was learned.
type Source string

// Sources of an evacuation.
const (
	SourceStore  Source = "store"
	SourceRouter Source = "router"
)

// Evacuation is an evacuated data centre with what this router knows of it.
type Evacuation struct {
	DataCentre string
	Position   logpos.Position
	Source     Source
	// Since is when this router learned of it.
	Since time.Time
	// HeldUntil is the end of an evacuation that the store has lost; zero for one that it has.
	HeldUntil time.Time
}

// Change is the begin or the end of an evacuation. Begun is unset at its end.
type Change struct {
	Evacuation
	Begun bool
	// Expired is set when the evacuation ends because the store has lost it for HoldTime.
	Expired bool
}

// Set is one router's view. It is not safe for concurrent use.
type Set struct {
	asOf   logpos.Position
	active map[string]*Evacuation
	// eraSince is when this router first knew the store's era, and earlier the position that it had
	// reached before.
	eraSince time.Time
	earlier  logpos.Position
	// decided has the data centres of which a record of the era was applied, at most MaxDataCentres.
	decided map[string]bool
	// lifted has the positions of records of the era that lift evacuations, until liftedTime.
	lifted  map[string]logpos.Position
	ignored int
}

// New returns a set that knows nothing.
func New() *Set {
	return &Set{asOf: logpos.None, earlier: logpos.None, active: make(map[string]*Evacuation), decided: make(map[string]bool), lifted: make(map[string]logpos.Position)}
}

// Known reports whether the set is complete as of some position of the store.
func (s *Set) Known() bool { return s.asOf != logpos.None }

// AsOf returns the position after the last record that the set reflects.
func (s *Set) AsOf() logpos.Position { return s.asOf }

// Ignored returns the number of evacuations that were ignored because of MaxDataCentres.
func (s *Set) Ignored() int { return s.ignored }

// Apply applies single records in order, which this router has read up to the position next, and returns what has changed. Those that
// the set reflects already, because another router has read them, are skipped. It has no effect on a set that is not known, and
// for a position of another era.
func (s *Set) Apply(now time.Time, records []Record, next logpos.Position) []Change {
	var changes []Change
	if s.asOf.Era != next.Era || !s.asOf.Before(next) || !s.Known() {
		return nil
	}
	for _, r := range records {
		if r.Position.Before(s.asOf) {
			continue
		}
		s.decide(now, r.DataCentre, r.Position, !r.Evacuated)
		if r.Evacuated {
			changes = s.begin(changes, Evacuation{DataCentre: r.DataCentre, Position: r.Position, Source: SourceStore, Since: now})
		} else {
			changes = s.end(changes, r.DataCentre)
		}
	}
	s.asOf = next
	return changes
}

// decide records that a record of the era says whether a data centre is evacuated, and at which position one lifts an evacuation.
func (s *Set) decide(now time.Time, dataCentre string, position logpos.Position, lifted bool) {
	if len(s.decided) < MaxDataCentres {
		s.decided[dataCentre] = true
	}
	delete(s.lifted, dataCentre)
	if lifted && s.reportsLifted(now) && len(s.lifted) < MaxDataCentres {
		s.lifted[dataCentre] = position
	}
}

// reportsLifted reports whether views list the lifted evacuations.
func (s *Set) reportsLifted(now time.Time) bool { return now.Sub(s.eraSince) < liftedTime }

// Replace applies a full list that this router has read, which ends before the position next, and returns what has changed.
func (s *Set) Replace(now time.Time, list []Record, next logpos.Position) []Change {
	view := View{Known: true, AsOf: next, Entries: make([]Entry, 0, len(list))}
	for _, r := range list {
		if r.Evacuated {
			view.Entries = append(view.Entries, Entry{DataCentre: r.DataCentre, Position: r.Position})
		}
	}
	return s.apply(now, view, SourceStore)
}

// Merge applies the view of another router and returns what has changed.
func (s *Set) Merge(now time.Time, v View) []Change {
	if !v.Known {
		return nil
	}
	return s.apply(now, v, SourceRouter)
}

// apply applies a view, by how its position compares with that of this one: the same one or part of a view adds evacuations, an earlier
// era may have some that the store has lost, and a later position replaces this view.
func (s *Set) apply(now time.Time, v View, source Source) []Change {
	switch {
	case v.Partial && s.asOf.Era >= v.AsOf.Era, v.AsOf == s.asOf:
		return s.add(now, v, source)
	case v.AsOf.Era < s.asOf.Era:
		return s.addLost(now, v, source)
	case s.asOf.Before(v.AsOf) && !v.Partial:
		return s.replace(now, v, source)
	}
	return nil
}

// add adds the evacuations of a view that this one does not rule out. Two lists that end at the same position differ when
// a record was written between two pages of one of them; it follows the position.
func (s *Set) add(now time.Time, v View, source Source) []Change {
	changes := s.applyLifted(now, nil, v)
	for _, e := range v.Entries {
		if !e.Lifted && s.active[e.DataCentre] == nil && (!e.Position.Before(s.asOf) || v.AsOf == s.asOf && !s.decided[e.DataCentre]) {
			changes = s.begin(changes, s.received(now, e, v.AsOf.Era, source))
		}
	}
	return changes
}

// addLost adds the evacuations of a router that does not know the store's era yet. They may be missing in the older copy
// with which the era began. A view older than the position that this router had reached in the earlier
// era is ignored.
func (s *Set) addLost(now time.Time, v View, source Source) []Change {
	left := HoldTime - now.Sub(s.eraSince)
	if left <= 0 || v.AsOf.Before(s.earlier) {
		return nil
	}
	var changes []Change
	for _, e := range v.Entries {
		if !e.Lifted && s.active[e.DataCentre] == nil && !s.decided[e.DataCentre] {
			e.HoldFor = left
			changes = s.begin(changes, s.received(now, e, s.asOf.Era, source))
		}
	}
	return changes
}

// replace takes over a view of a later position.
func (s *Set) replace(now time.Time, v View, source Source) []Change {
	if s.asOf.Era < v.AsOf.Era || !s.Known() {
		s.eraSince, s.earlier = now, s.asOf
		clear(s.decided)
		clear(s.lifted)
	}
	s.asOf = v.AsOf
	changes := s.applyLifted(now, nil, v)
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		if e.Lifted {
			continue
		}
		listed[e.DataCentre] = true
		changes = s.begin(changes, s.received(now, e, v.AsOf.Era, source))
	}
	for _, name := range s.names() {
		e := s.active[name]
		lost := e.Position.Era < s.asOf.Era
		switch {
		case lost && e.HeldUntil.IsZero():
			e.HeldUntil = s.eraSince.Add(HoldTime)
		case !lost && !listed[name] && e.Position.Before(s.asOf):
			changes = s.end(changes, name)
		}
	}
	return changes
}

// applyLifted ends the evacuations that a view of the era says were lifted by a record of the era.
func (s *Set) applyLifted(now time.Time, changes []Change, v View) []Change {
	for _, e := range v.Entries {
		if !e.Lifted || e.Position.Era != s.asOf.Era {
			continue
		}
		if known := s.active[e.DataCentre]; known == nil || known.Position.Before(e.Position) {
			s.decide(now, e.DataCentre, e.Position, true)
			changes = s.end(changes, e.DataCentre)
		}
	}
	return changes
}

// received returns an evacuation of a view of an era.
func (s *Set) received(now time.Time, e Entry, era int64, source Source) Evacuation {
	known := Evacuation{DataCentre: e.DataCentre, Position: e.Position, Source: source, Since: now}
	if e.Position.Era < era {
		known.HeldUntil = now.Add(min(max(e.HoldFor, 0), HoldTime))
	}
	return known
}

// begin records an evacuation, which may be known already, and appends the change when it is not.
func (s *Set) begin(changes []Change, e Evacuation) []Change {
	if known := s.active[e.DataCentre]; known != nil {
		switch {
		case e.Position.Before(known.Position):
		case e.Position == known.Position:
			// A record that was received again does not extend HeldUntil.
		default:
			known.Position, known.HeldUntil = e.Position, e.HeldUntil
		}
		return changes
	}
	if len(s.active) >= MaxDataCentres {
		s.ignored++
		return changes
	}
	s.active[e.DataCentre] = &e
	return append(changes, Change{Evacuation: e, Begun: true})
}

// end removes an evacuation and appends the change, if there is one.
func (s *Set) end(changes []Change, name string) []Change {
	e := s.active[name]
	if e == nil {
		return changes
	}
	delete(s.active, name)
	return append(changes, Change{Evacuation: *e})
}

// Expire ends the evacuations that the store has lost for HoldTime.
func (s *Set) Expire(now time.Time) []Change {
	var changes []Change
	for _, name := range s.names() {
		if until := s.active[name].HeldUntil; !until.IsZero() && !now.Before(until) {
			changes = s.end(changes, name)
			changes[len(changes)-1].Expired = true
		}
	}
	return changes
}

// names returns the evacuated data centres in order.
func (s *Set) names() []string {
	names := slices.AppendSeq(make([]string, 0, len(s.active)), maps.Keys(s.active))
	slices.Sort(names)
	return names
}

// List returns the evacuations, ordered by data centre.
func (s *Set) List() []Evacuation {
	list := make([]Evacuation, 0, len(s.active))
	for _, name := range s.names() {
		list = append(list, *s.active[name])
	}
	return list
}

// View returns what is sent to other routers.
func (s *Set) View(now time.Time) View {
	v := View{Known: s.Known(), AsOf: s.asOf}
	for _, e := range s.List() {
		entry := Entry{DataCentre: e.DataCentre, Position: e.Position}
		if !e.HeldUntil.IsZero() {
			entry.HoldFor = max(e.HeldUntil.Sub(now), 0)
		}
		v.Entries = append(v.Entries, entry)
	}
	if !s.reportsLifted(now) {
		return v
	}
	for _, name := range slices.Sorted(maps.Keys(s.lifted)) {
		v.Entries = append(v.Entries, Entry{DataCentre: name, Position: s.lifted[name], Lifted: true})
	}
	return v
}
