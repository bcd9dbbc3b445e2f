package evacuation

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var start = time.Unix(1000, 0)

func at(era, offset int64) logpos.Position { return logpos.Position{Era: era, Offset: offset} }

// records returns records from texts such as "+a@3", which evacuates the data centre a at offset 3, or "-a@4", which lifts that.
func records(era int64, texts ...string) []Record {
	var list []Record
	for _, text := range texts {
		name, offset, _ := strings.Cut(text[1:], "@")
		n, _ := strconv.ParseInt(offset, 10, 64)
		list = append(list, Record{DataCentre: name, Evacuated: text[0] == '+', Position: at(era, n)})
	}
	return list
}

// evacuated returns the evacuated data centres, separated by blanks.
func (s *Set) evacuated() string { return strings.Join(s.names(), " ") }

func expect(t *testing.T, when string, s *Set, want string) {
	t.Helper()
	if got := s.evacuated(); got != want {
		t.Errorf("%s: %q evacuated, want %q", when, got, want)
	}
}

// Guards against an evacuation that is missed, ends when it is written twice or when another one ends, or that cannot be
// written again.
func TestOverlappingEvacuations(t *testing.T) {
	s := New()
	s.Replace(start, records(1, "+a@2"), at(1, 3))
	for i, c := range []struct{ record, want string }{
		{"+b@3", "a b"}, {"+a@4", "a b"}, {"-b@5", "a"}, {"-unknown@6", "a"}, {"+a@7", "a"}, {"-a@8", ""}, {"+a@9", "a"}, {"+b/c d@10", "a b/c d"},
	} {
		s.Apply(start, records(1, c.record), at(1, int64(4+i)))
		expect(t, c.record, s, c.want)
	}
}

// Guards against a second record of an evacuation that reports its begin again, by which its age would begin anew.
func TestChangesAreReportedOnce(t *testing.T) {
	s := New()
	first := s.Replace(start, records(1, "+a@2"), at(1, 3))
	again := s.Apply(start.Add(time.Second), records(1, "+a@3"), at(1, 4))
	if len(first) != 1 || !first[0].Begun || len(again) != 0 {
		t.Errorf("changes %v, then %v, want one begin", first, again)
	}
	if since := s.List()[0].Since; since != start {
		t.Errorf("known since %v, want %v", since, start)
	}
	lifted := s.Apply(start, records(1, "-a@4", "-a@5"), at(1, 6))
	if len(lifted) != 1 || lifted[0].Begun {
		t.Errorf("changes %v, want one end", lifted)
	}
}

// Guards against evacuations that stay or return when a list, which the history's expiry made necessary, does not have them
// any more or is older than what is known.
func TestLists(t *testing.T) {
	s := New()
	if s.Known() {
		t.Error("a set is known before anything was read")
	}
	s.Apply(start, records(1, "+x@1"), at(1, 2))
	expect(t, "single records before a list", s, "")
	s.Replace(start, records(1, "+a@2", "+b@5"), at(1, 6))
	expect(t, "first list", s, "a b")
	s.Replace(start, records(1, "+b@5", "+c@9"), at(1, 10))
	expect(t, "list after an expired history", s, "b c")
	s.Replace(start, records(1, "+a@2"), at(1, 6))
	expect(t, "older list", s, "b c")
	s.Apply(start, records(1, "+a@2", "-b@7"), at(1, 8))
	expect(t, "records that the set reflects already", s, "b c")
	s.Apply(start, records(1, "-b@9", "+d@10"), at(1, 11))
	expect(t, "records some of which the set reflects", s, "b c d")
	s.Replace(start, nil, at(1, 12))
	expect(t, "empty list", s, "")
}

// Guards against the view of another router that ends a later evacuation or brings back one that was lifted, and against one
// that says nothing.
func TestMerge(t *testing.T) {
	view := func(asOf logpos.Position, records ...Record) View {
		v := New()
		v.Replace(start, records, asOf)
		return v.View(start)
	}
	s := New()
	s.Merge(start, View{})
	if s.Known() {
		t.Error("a router that knows nothing makes another one know")
	}
	s.Merge(start, view(at(1, 6), records(1, "+a@5")...))
	expect(t, "first view", s, "a")
	if e := s.List()[0]; e.Source != SourceRouter {
		t.Errorf("source %q, want a router", e.Source)
	}
	s.Merge(start, view(at(1, 4), records(1, "+b@3")...))
	expect(t, "older view", s, "a")
	s.Merge(start, view(at(1, 8), records(1, "+c@7")...))
	expect(t, "later view", s, "c")
	// d was written while a list was read, after its first page.
	s.Merge(start, view(at(1, 8), records(1, "+c@7", "+d@9")...))
	expect(t, "view of the same position", s, "c d")
	s.Merge(start, view(at(1, 9), records(1, "+c@7")...))
	expect(t, "view of a later position before that record", s, "c d")
	s.Apply(start, records(1, "-d@9", "-c@10"), at(1, 11))
	s.Merge(start, view(at(1, 11), records(1, "+c@7")...))
	expect(t, "view of the same position against a record", s, "")
}

// Guards against part of a view that ends evacuations which it does not name, or brings back those that were lifted.
func TestPartOfAViewOnlyAdds(t *testing.T) {
	part := func(asOf logpos.Position, name string, offset int64) View {
		return View{Known: true, Partial: true, AsOf: asOf, Entries: []Entry{{DataCentre: name, Position: at(1, offset)}}}
	}
	s := New()
	s.Merge(start, part(at(1, 9), "x", 8))
	if s.Known() {
		t.Error("part of a view makes the set known")
	}
	s = New()
	s.Replace(start, records(1, "+a@2"), at(1, 3))
	s.Merge(start, part(at(1, 9), "b", 8))
	expect(t, "part with a later evacuation", s, "a b")
	s.Merge(start, part(at(1, 9), "c", 2))
	expect(t, "part with an earlier evacuation, which was lifted", s, "a b")
	s.Apply(start, records(1, "-b@10"), at(1, 11))
	expect(t, "lifted later", s, "a")
}

// Guards against the return of requests to an evacuated data centre because the store came back from a copy that is older
// than the evacuation, and against one that never ends then.
func TestOlderCopyOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		record string
		after  time.Duration
		want   string
	}{
		"nothing written":           {"", HoldTime - 1, "a"},
		"nothing written for long":  {"", HoldTime, ""},
		"lifted":                    {"-a@3", 0, ""},
		"written again":             {"+a@3", HoldTime, "a"},
		"another one written":       {"+b@3", HoldTime - 1, "a b"},
		"another one, after longer": {"+b@3", HoldTime, "b"},
	} {
		s := New()
		s.Replace(start, records(1, "+a@5"), at(1, 6))
		s.Replace(start, nil, at(2, 3))
		expect(t, name+", at first", s, "a")
		if c.record != "" {
			s.Apply(start, records(2, c.record), at(2, 4))
		}
		s.Replace(start, records(2, strings.Fields(c.record)...), at(2, 5))
		s.Expire(start.Add(c.after))
		expect(t, name, s, c.want)
	}
}

// Guards against a router that knows only the older copy of the store, because it has just started, and does not hear of
// an evacuation that others know; against one of which they tell that it was lifted; and against an end that each router
// puts off for the others.
func TestOlderCopyAtAStartingRouter(t *testing.T) {
	old, fresh := New(), New()
	old.Replace(start, records(1, "+a@5"), at(1, 6))
	fresh.Replace(start, nil, at(2, 3))
	fresh.Merge(start, old.View(start))
	expect(t, "view of the earlier era", fresh, "a")

	old.Replace(start, nil, at(2, 3))
	other := New()
	other.Replace(start, nil, at(2, 3))
	later := start.Add(HoldTime / 2)
	other.Merge(later, old.View(later))
	expect(t, "view of the era with a lost evacuation", other, "a")
	other.Merge(later, old.View(start))
	end := start.Add(HoldTime)
	other.Expire(end)
	expect(t, "at the end", other, "")

	outgrown := New()
	outgrown.Replace(start, records(1, "+a@5"), at(1, 6))
	s := New()
	s.Replace(start, nil, at(1, 8))
	s.Replace(start, nil, at(2, 3))
	s.Merge(start, outgrown.View(start))
	expect(t, "view of the earlier era that was outgrown in it", s, "")
	s = New()
	s.Replace(start, nil, at(2, 3))
	s.Apply(start, records(2, "-a@3"), at(2, 4))
	s.Merge(start, outgrown.View(start))
	expect(t, "lifted in the new era", s, "")
	s = New()
	s.Replace(start, nil, at(2, 3))
	s.Merge(end, outgrown.View(start))
	expect(t, "long after the begin of the era", s, "")
}

// Guards against a router that holds an evacuation which the store has lost although another one has read that it was lifted,
// and against one that takes an evacuation written later for lifted.
func TestLiftedAfterAnOlderCopy(t *testing.T) {
	lost := func() *Set {
		s := New()
		s.Replace(start, records(1, "+a@5"), at(1, 6))
		s.Replace(start, nil, at(2, 3))
		return s
	}
	reader, same, other, third := lost(), lost(), lost(), lost()
	reader.Apply(start, records(2, "-a@3"), at(2, 4))
	same.Apply(start, records(2, "-b@3"), at(2, 4))
	same.Merge(start, reader.View(start))
	expect(t, "told by a router at the same position", same, "")
	other.Merge(start, reader.View(start))
	expect(t, "told", other, "")
	third.Merge(start, other.View(start))
	expect(t, "passed on", third, "")
	reader.Apply(start, records(2, "+a@4"), at(2, 5))
	other.Merge(start, reader.View(start))
	expect(t, "evacuated again", other, "a")
	third.Apply(start, records(2, "+a@4"), at(2, 5))
	third.Merge(start, View{Known: true, AsOf: at(2, 5), Entries: []Entry{{DataCentre: "a", Position: at(2, 3), Lifted: true}}})
	expect(t, "evacuated again, told of the end before", third, "a")
	third.Merge(start, View{Known: true, AsOf: at(2, 6), Entries: []Entry{{DataCentre: "a", Position: at(1, 9), Lifted: true}, {DataCentre: "a", Position: at(2, 4)}}})
	expect(t, "lifted in the era before", third, "a")
	late := start.Add(liftedTime)
	other.Merge(start, View{Known: true, AsOf: at(2, 7), Entries: []Entry{{DataCentre: "a", Position: at(2, 6), Lifted: true}}})
	if n := len(other.View(late).Entries); n != 0 {
		t.Errorf("%d ends of evacuations are told long after the begin of the era", n)
	}
}

// Guards against memory without a bound.
func TestNumberOfDataCentresIsBounded(t *testing.T) {
	s := New()
	s.Replace(start, nil, at(1, 0))
	for i := range int64(MaxDataCentres + 2) {
		s.Apply(start, records(1, fmt.Sprintf("+%d@%d", i, i)), at(1, i+1))
	}
	if len(s.List()) != MaxDataCentres || s.Ignored() != 2 {
		t.Errorf("%d evacuated, %d ignored, want %d and 2", len(s.List()), s.Ignored(), MaxDataCentres)
	}
}

// Guards against routers that do not agree although they have heard of the same records, whatever each has read itself and in
// which order it has heard from the others.
func TestRoutersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			log = append(log, Record{
				DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), Evacuated: rapid.Bool().Draw(t, "evacuated"), Position: at(1, int64(i)),
			})
		}
		list := func(end int) []Record {
			last := map[string]Record{}
			for _, r := range log[:end] {
				last[r.DataCentre] = r
			}
			var newest []Record
			for _, r := range last {
				newest = append(newest, r)
			}
			return newest
		}
		// read is how far each router has read itself.
		sets, read := []*Set{New(), New(), New()}, []int{0, 0, 0}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "router")
			s := sets[i]
			end := rapid.IntRange(read[i], len(log)).Draw(t, "end")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.Replace(start, list(end), at(1, int64(end)))
				read[i] = end
			case 1:
				if s.Known() && read[i] > 0 {
					s.Apply(start, log[read[i]:end], at(1, int64(end)))
					read[i] = end
				}
			default:
				s.Merge(start, sets[rapid.IntRange(0, 2).Draw(t, "other")].View(start))
			}
			if !s.Known() {
				continue
			}
			var want []string
			for _, r := range list(int(s.AsOf().Offset)) {
				if r.Evacuated {
					want = append(want, r.DataCentre)
				}
			}
			slices.Sort(want)
			if got := s.names(); !reflect.DeepEqual(got, append([]string{}, want...)) {
				t.Fatalf("%q evacuated as of %v, want %q", got, s.AsOf(), want)
			}
		}
	})
}

// Guards against an evacuation that the store has lost and that stays in force for HoldTime although a record before the list of
// the era lifts it, and against one that a record of the copy, which is from before the evacuation, ends.
func TestHistoryLiftsLostEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		// before are the records of the era before, up to the offset 9, and records those of the history from its start on.
		before, history string
		era             int64
		want            string
	}{
		"lifted at its offset":                          {"+a@5", "-a@5", 2, ""},
		"lifted later":                                  {"+a@5", "+b@5 -a@6", 2, "b"},
		"another record at its offset":                  {"+a@5", "-a@7", 2, ""},
		"evacuated in the copy, lifted later":           {"+a@5", "+a@5 -a@6", 2, ""},
		"evacuated in the copy, lifted after its end":   {"+a@5", "+a@5 -a@9", 2, "a"},
		"lifted and evacuated again":                    {"+a@5", "-a@5 +a@6", 2, "a"},
		"lifted before, in the copy":                    {"+a@5 -a@6 +a@7", "+a@5 -a@6", 2, "a"},
		"lifted before, another one lost at its offset": {"+b@4 +a@5", "-a@4", 2, "b"},
		"lifted before, another one in the copy":        {"+b@4 +a@6", "+b@4 -a@5", 2, "a b"},
		"an era that was missed":                        {"+a@5", "-a@5", 3, "a"},
		"nothing about it":                              {"+a@5", "-c@5", 2, "a"},
	} {
		s := New()
		s.Replace(start, nil, at(1, 4))
		s.Apply(start, records(1, strings.Fields(c.before)...), at(1, 9))
		var list []Record
		for _, r := range records(c.era, strings.Fields(c.history)...) {
			list = slices.DeleteFunc(list, func(o Record) bool { return o.DataCentre == r.DataCentre })
			if r.Evacuated {
				list = append(list, r)
			}
		}
		end := at(c.era, 10)
		s.Replace(start, list, end)
		from, ok := s.HistoryFrom(end)
		if ok {
			s.ApplyHistory(start, slices.DeleteFunc(records(c.era, strings.Fields(c.history)...), func(r Record) bool { return r.Position.Offset < from }), from, end)
		}
		expect(t, name, s, c.want)
	}
}

// Guards against an end of an evacuation that only the router knows which has read the history, against one that returns with the
// views of others, and against a history that is long, of another era, or older than a record that was read since.
func TestHistoryIsToldAndBounded(t *testing.T) {
	lost := func() *Set {
		s := New()
		s.Replace(start, records(1, "+a@5"), at(1, 6))
		s.Replace(start, nil, at(2, 7))
		return s
	}
	reader, other, behind := lost(), lost(), New()
	behind.Replace(start, records(1, "+a@5"), at(1, 6))
	reader.ApplyHistory(start, records(2, "-a@5"), 5, at(2, 7))
	reader.Merge(start, behind.View(start))
	reader.Merge(start, other.View(start))
	expect(t, "after the views of others", reader, "")
	other.Merge(start, reader.View(start))
	behind.Merge(start, reader.View(start))
	expect(t, "told", other, "")
	expect(t, "told a router that has not read the era", behind, "")

	s := lost()
	s.ApplyHistory(start, records(3, "-a@5"), 5, at(3, 7))
	expect(t, "history of another era", s, "a")
	s.Apply(start, records(2, "+a@7"), at(2, 8))
	s.ApplyHistory(start, records(2, "-a@5"), 5, at(2, 7))
	expect(t, "evacuated again since", s, "a")

	s = New()
	s.Replace(start, records(1, "+a@5"), at(1, 6))
	s.Replace(start, nil, at(2, 5+MaxHistory+1))
	if _, ok := s.HistoryFrom(at(2, 5+MaxHistory+1)); ok {
		t.Errorf("more than %d records are read", MaxHistory)
	}
	if from, ok := s.HistoryFrom(at(2, 5+MaxHistory)); !ok || from != 5 {
		t.Errorf("history from %d, %t, want 5", from, ok)
	}
	if _, ok := s.HistoryFrom(at(2, 5)); ok {
		t.Error("a history that ends before the evacuation is read")
	}
}
