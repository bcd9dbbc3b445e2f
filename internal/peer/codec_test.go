package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

func newFrame(payload int) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Frame{Frame: &peerpb.Frame{
		AttemptId: "kochi-a-1-0000001234", Seq: 17, Offset: 512, Payload: bytes.Repeat([]byte("x"), payload),
	}}}
}

func encode(t testing.TB, env *peerpb.Envelope) []byte {
	t.Helper()
	var b bytes.Buffer
	if _, err := writeMessage(&b, env); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Guards against a message that makes the decoder panic, exceeds its limits or
// decodes differently into reused memory.
func FuzzDecoder(f *testing.F) {
	f.Add(encode(f, newFrame(40)))
	f.Add(encode(f, newFrame(40))[:20])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 2, 0x32, 0})
	f.Add(encode(f, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{Vm: "a", Suspected: []string{"b"}}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		fresh, reused := &peerpb.Envelope{}, newFrame(3)
		reused.ProtoReflect().SetUnknown([]byte{0x98, 0x06, 0x01})
		_, err := readMessage(bytes.NewReader(data), fresh, 1<<20)
		_, err2 := readMessage(bytes.NewReader(data), reused, 1<<20)
		if (err == nil) != (err2 == nil) {
			t.Fatalf("error with fresh memory: %v, with reused memory: %v", err, err2)
		}
		if err != nil {
			return
		}
		if !proto.Equal(fresh, reused) {
			t.Fatalf("reused memory changes the message: %v, %v", fresh, reused)
		}
		if len(fresh.GetFrame().GetPayload()) > MaxFramePayloadBytes {
			t.Fatal("payload limit not applied")
		}
		again := &peerpb.Envelope{}
		if _, err := readMessage(bytes.NewReader(encode(t, fresh)), again, MaxMessageBytes); err != nil || !proto.Equal(fresh, again) {
			t.Fatalf("the message changes when it is encoded and decoded again: %v", err)
		}
	})
}

// Guards against a false length prefix for which memory is reserved before the
// bytes arrive.
func TestFalsePrefixReservesLittleMemory(t *testing.T) {
	head := binary.BigEndian.AppendUint32(nil, MaxMessageBytes)
	buf := make([]byte, 0, 16)
	err := readBody(bytes.NewReader(head), &buf, MaxMessageBytes)
	if err != io.ErrUnexpectedEOF || cap(buf) > 2*readStepBytes {
		t.Fatalf("error %v, %d bytes reserved", err, cap(buf))
	}
}
