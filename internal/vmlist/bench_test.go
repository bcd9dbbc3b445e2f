package vmlist

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkDecode decodes a list with one router for every four engines. B/list is
// the size of the body on the wire, which is fetched whole after each change.
func BenchmarkDecode(b *testing.B) {
	for _, size := range []int{29, 200, 1740} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			l := List{Version: 7}
			for i := range size {
				vm := VM{
					Name: fmt.Sprintf("kerala-south-vm-%04d", i), Role: RoleEngine, Pool: fmt.Sprintf("malli-llm-%d", i%42),
					DataCentre: "kochi-hall-a", Addr: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250), State: StateLive,
				}
				if i%5 == 0 {
					vm.Role, vm.Pool, vm.PeerAddr = RoleRouter, "", vm.Addr
				}
				l.VMs = append(l.VMs, vm)
			}
			data, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}
