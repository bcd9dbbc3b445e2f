package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures one choice of each picker, for a chat with a cached prefix
// and for one without.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{18, 200, 1400} {
		v := &View{LoadMultiple: 1.25, Share: 1}
		for _, name := range names(engines) {
			v.Engines = append(v.Engines, Engine{Name: name, Hash: Hash(name), Weight: 1, State: Up, Load: 14})
		}
		v.Slots = 14 * engines
		v.UpdateTotals()
		jobs := []struct {
			name string
			job  Job
		}{
			{"prefix", Job{HintedEngine: -1, PrefixHolders: []PrefixHolder{{Engine: 3, Tokens: 2000}}}},
			{"home", Job{HintedEngine: -1}},
		}
		pickers := []Picker{NewAffinity(DefaultTuning()), NewRoundRobin(), NewLeastLoadReported(), NewTwoChoicesReported(func() uint64 { return 5 }), NewPlainHash()}
		for _, p := range pickers {
			for _, j := range jobs {
				b.Run(fmt.Sprintf("engines=%d/%s/%s", engines, p.Name(), j.name), func(b *testing.B) {
					b.ReportAllocs()
					job := j.job
					for i := range b.N {
						job.Key = uint64(i) * 0x9e3779b97f4a7c15
						if p.Pick(v, &job).Action != Place {
							b.Fatal("no engine was chosen")
						}
					}
				})
			}
		}
	}
}

// BenchmarkPrefixIndex measures a lookup and a recorded use, with twice as many
// chats as the index holds.
func BenchmarkPrefixIndex(b *testing.B) {
	x := NewPrefixIndex(0)
	var buf []PrefixHolder
	b.ReportAllocs()
	for i := range b.N {
		key := Mix(uint64(i%(2*DefaultPrefixChats)), 1)
		buf = x.Lookup(key, buf[:0])
		x.RecordUse(key, i%18, 1000, 100)
	}
}
