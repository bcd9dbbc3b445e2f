package peer

import (
	"bytes"
	"io"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// BenchmarkCodec encodes and decodes messages without a connection.
func BenchmarkCodec(b *testing.B) {
	bodies := []struct {
		name string
		env  *peerpb.Envelope
	}{
		{"frame64", newFrame(64)},
		{"renewal", &peerpb.Envelope{Body: &peerpb.Envelope_Renewal{Renewal: &peerpb.Renewal{
			BootId: 1e18, Stamp: 1e13, Votes: []*peerpb.Vote{{Pool: "malli-llm", Epoch: 1e18}},
		}}}},
	}
	for _, body := range bodies {
		b.Run(body.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := writeMessage(io.Discard, body.env); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(body.name+"/decode", func(b *testing.B) {
			data := encode(b, body.env)
			r, env := bytes.NewReader(nil), &peerpb.Envelope{}
			b.ReportAllocs()
			for b.Loop() {
				r.Reset(data)
				if _, err := readMessage(r, env, MaxMessageBytes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/message")
		})
	}
}
