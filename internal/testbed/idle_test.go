package testbed

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleControl reports the control traffic per router by category in a
// fleet without requests. One operation lasts 20 s; run it with -benchtime 1x.
func BenchmarkIdleControl(b *testing.B) {
	const window = 20 * time.Second
	for _, n := range []int{4, 8, 16, 24} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			bed, err := New(Options{Profile: Profiles()["thekkady"], Routers: n, Engines: 2, Backends: 2})
			if err != nil {
				b.Fatal(err)
			}
			defer bed.Close()
			records, err := bed.Profile.Records()
			if err != nil {
				b.Fatal(err)
			}
			if _, err := bed.Log.Append(b.Context(), "config", records); err != nil {
				b.Fatal(err)
			}
			if err := bed.StartRouters(); err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			defer cancel()
			if err := bed.WaitReady(ctx); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := bed.controlBytes()
				timer := time.NewTimer(window)
				<-timer.C
				for category, bytes := range bed.controlBytes() {
					if sentBytes := bytes - before[category]; sentBytes > 0 {
						b.ReportMetric(float64(sentBytes)/float64(n)/window.Seconds(), category+"-B/s")
					}
				}
			}
		})
	}
}

// controlBytes returns the control bytes of all routers, summed by category.
func (b *Bed) controlBytes() map[string]int64 {
	sum := map[string]int64{}
	for _, r := range b.Routers() {
		control := r.Status().Control
		sum["all"] += control.Bytes
		for category, bytes := range control.ByCategory {
			sum[category] += bytes
		}
	}
	return sum
}
