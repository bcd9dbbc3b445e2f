package fleetconfig

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkStateMemory reports the heap of a state that was decoded from a
// checkpoint, as on a router that has just started. Each workspace has a key.
func BenchmarkStateMemory(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			s := NewState()
			for i := range size {
				data := fmt.Appendf(nil, `{"schema_version":2,"id":"start-%d","author":"operator-%d","changes":[{"kind":"workspace",
					"name":"workspace-%d","spec":{"weight":2,"max_queued":64,"api_key_sha256":["%064x"]}}]}`, i, i%7, i, uint64(i+1)*0x9e3779b97f4a7c15)
				if v := s.Apply(s.Next(), data); v.Outcome != OutcomeAccepted {
					b.Fatal(v)
				}
			}
			data, err := s.Checkpoint()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			var heap uint64
			for b.Loop() {
				before := heapBytes()
				loaded, err := FromCheckpoint(data)
				if err != nil {
					b.Fatal(err)
				}
				heap = heapBytes() - before
				runtime.KeepAlive(loaded)
			}
			b.ReportMetric(float64(heap)/1e6, "MB")
			b.ReportMetric(float64(len(data)), "B/checkpoint")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
