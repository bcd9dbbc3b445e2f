package digest

import "testing"

// BenchmarkReaders measures one look at the readers of the store in a fleet of the
// target size.
func BenchmarkReaders(b *testing.B) {
	f := newRoleFleet(340)
	p := f.peers[339]
	own := OwnReads{Succeed: true}
	b.ReportAllocs()
	for b.Loop() {
		p.Readers(f.now, own)
	}
}
