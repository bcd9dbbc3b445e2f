package logstream_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

const stream = "config"

// fixture is a log that is accessed in process or over HTTP.
type fixture struct {
	sim   *logsim.Log
	clock *clockwork.FakeClock
	log   logstream.Log
}

func inProcess(*testing.T) fixture {
	clock := clockwork.NewFakeClock()
	sim := logsim.New(logsim.Options{Clock: clock, AppendsPerSecond: 2, Retention: time.Hour})
	return fixture{sim: sim, clock: clock, log: sim}
}

func overHTTP(t *testing.T) fixture {
	f := inProcess(t)
	server := httptest.NewServer(f.sim.Handler())
	t.Cleanup(server.Close)
	f.log = logstream.NewClient(server.URL, server.Client(), &meter.Meter{}, meter.LogAppend, meter.LogRead)
	return f
}

func appendOne(ctx context.Context, f fixture, text string) (uint64, error) {
	return f.log.Append(ctx, stream, [][]byte{[]byte(text)})
}

func wantErr(err, want error) error {
	if !errors.Is(err, want) {
		return fmt.Errorf("got error %v, want %v", err, want)
	}
	return nil
}

func wantPage(page logstream.Page, floor, head uint64, records int) error {
	if page.Floor != floor || page.Head != head || len(page.Records) != records {
		return fmt.Errorf("got page %+v, want floor %d, head %d and %d records", page, floor, head, records)
	}
	return nil
}

func wantLedger(f fixture, texts ...string) error {
	records := f.sim.Records(stream)
	if len(records) != len(texts) {
		return fmt.Errorf("the ledger has %d records, want %d", len(records), len(texts))
	}
	for i, r := range records {
		if string(r.Data) != texts[i] || r.Offset != uint64(i) {
			return fmt.Errorf("record %d is %q at offset %d", i, r.Data, r.Offset)
		}
	}
	return nil
}

var contract = []struct {
	name string
	run  func(ctx context.Context, f fixture) error
}{
	{"an append is read back at its offset", func(ctx context.Context, f fixture) error {
		_, aErr := appendOne(ctx, f, "a")
		first, bErr := f.log.Append(ctx, stream, [][]byte{[]byte("b"), []byte("c")})
		page, err := f.log.Read(ctx, stream, 1, 1, 0)
		if err := errors.Join(aErr, bErr, err, wantPage(page, 0, 3, 1)); err != nil {
			return err
		}
		if r := page.Records[0]; first != 1 || r.Offset != 1 || string(r.Data) != "b" || !r.Time.Equal(f.clock.Now()) {
			return fmt.Errorf("got offset %d and record %+v", first, r)
		}
		return nil
	}},
	{"streams are independent, and a read above the head is empty", func(ctx context.Context, f fixture) error {
		_, appendErr := f.log.Append(ctx, "orders", [][]byte{[]byte("x")})
		page, err := f.log.Read(ctx, stream, 7, 10, 0)
		return errors.Join(appendErr, err, wantPage(page, 0, 0, 0), wantLedger(f))
	}},
	{"a rate-limited append has no effect", func(ctx context.Context, f fixture) error {
		_, aErr := appendOne(ctx, f, "a")
		_, bErr := appendOne(ctx, f, "b")
		_, err := appendOne(ctx, f, "c")
		return errors.Join(aErr, bErr, wantErr(err, logstream.ErrRateLimited), wantLedger(f, "a", "b"))
	}},
	{"an offset below the floor is reported with the floor", func(ctx context.Context, f fixture) error {
		_, appendErr := f.log.Append(ctx, stream, [][]byte{[]byte("a"), []byte("b")})
		f.sim.SetFloor(stream, 1)
		page, err := f.log.Read(ctx, stream, 0, 10, 0)
		return errors.Join(appendErr, wantPage(page, 1, 2, 0), wantErr(err, logstream.ErrBelowFloor))
	}},
	{"records older than the retention are no longer returned", func(ctx context.Context, f fixture) error {
		_, oldErr := appendOne(ctx, f, "a")
		f.clock.Advance(35 * time.Minute)
		_, newErr := appendOne(ctx, f, "b")
		f.clock.Advance(35 * time.Minute)
		page, err := f.log.Read(ctx, stream, 0, 10, 0)
		return errors.Join(oldErr, newErr, wantPage(page, 1, 2, 0), wantErr(err, logstream.ErrBelowFloor), wantLedger(f, "a", "b"))
	}},
	{"a waiting read returns on an append", func(ctx context.Context, f fixture) error {
		go func() {
			_ = f.clock.BlockUntilContext(ctx, 1)
			_, _ = f.sim.Append(ctx, stream, [][]byte{[]byte("a")})
		}()
		page, err := f.log.Read(ctx, stream, 0, 10, time.Minute)
		return errors.Join(err, wantPage(page, 0, 1, 1))
	}},
	{"a log that is down accepts nothing", func(ctx context.Context, f fixture) error {
		f.sim.SetDown(true)
		_, appendErr := appendOne(ctx, f, "a")
		_, readErr := f.log.Read(ctx, stream, 0, 1, 0)
		return errors.Join(wantErr(appendErr, logstream.ErrUnavailable), wantErr(readErr, logstream.ErrUnavailable), wantLedger(f))
	}},
	{"an append whose answer is lost is in the log once", func(ctx context.Context, f fixture) error {
		f.sim.SetLoseAnswers(true)
		_, err := appendOne(ctx, f, "a")
		return errors.Join(wantErr(err, logstream.ErrUnavailable), wantLedger(f, "a"))
	}},
	{"a delayed append takes effect on release", func(ctx context.Context, f fixture) error {
		f.sim.SetDelay(true)
		_, err := appendOne(ctx, f, "a")
		before := wantLedger(f)
		f.sim.Release(-1)
		return errors.Join(wantErr(err, logstream.ErrUnavailable), before, wantLedger(f, "a"))
	}},
	{"appends work while reads fail", func(ctx context.Context, f fixture) error {
		f.sim.SetReadsFail(true)
		_, appendErr := appendOne(ctx, f, "a")
		_, err := f.log.Read(ctx, stream, 0, 1, 0)
		return errors.Join(appendErr, wantErr(err, logstream.ErrUnavailable), wantLedger(f, "a"))
	}},
	{"a cancelled waiting read is unavailable", func(ctx context.Context, f fixture) error {
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			_ = f.clock.BlockUntilContext(ctx, 1)
			cancel()
		}()
		_, err := f.log.Read(ctx, stream, 0, 1, time.Minute)
		return wantErr(err, logstream.ErrUnavailable)
	}},
	{"a slow log answers after its delay", func(ctx context.Context, f fixture) error {
		f.sim.SetSlow(time.Hour)
		go func() {
			_ = f.clock.BlockUntilContext(ctx, 1)
			f.clock.Advance(time.Hour)
		}()
		_, err := appendOne(ctx, f, "a")
		return errors.Join(err, wantLedger(f, "a"))
	}},
	{"an empty or oversized append is refused", func(ctx context.Context, f fixture) error {
		_, emptyErr := f.log.Append(ctx, stream, nil)
		_, largeErr := f.log.Append(ctx, stream, [][]byte{make([]byte, logstream.MaxRecordBytes+1)})
		return errors.Join(wantErr(emptyErr, logstream.ErrRefused), wantErr(largeErr, logstream.ErrRefused), wantLedger(f))
	}},
}

// Guards against a client or a stand-in whose result of a call differs from the
// log service's protocol.
func TestContract(t *testing.T) {
	for name, newFixture := range map[string]func(*testing.T) fixture{"in process": inProcess, "over HTTP": overHTTP} {
		for _, c := range contract {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				if err := c.run(context.Background(), newFixture(t)); err != nil {
					t.Fatal(err)
				}
			})
		}
	}
}

// Guards against passing on a page with gaps or wrong offsets, and against reading
// a response of unlimited size.
func TestInvalidAnswersAreUnavailable(t *testing.T) {
	bodies := map[string]string{
		"not JSON":          `floor`,
		"no head":           `{"floor":0}`,
		"floor above head":  `{"floor":3,"head":2}`,
		"gap":               `{"floor":0,"head":9,"records":[{"offset":1},{"offset":3}]}`,
		"other offset":      `{"floor":0,"head":9,"records":[{"offset":0}]}`,
		"record above head": `{"floor":0,"head":1,"records":[{"offset":1}]}`,
		"too many records":  `{"floor":0,"head":9,"records":[{"offset":1},{"offset":2},{"offset":3}]}`,
		"too large":         `{"floor":0,"head":9}` + strings.Repeat(" ", logstream.MaxBodyBytes),
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			client := logstream.NewClient(server.URL, server.Client(), &meter.Meter{}, meter.LogAppend, meter.LogRead)
			_, err := client.Read(context.Background(), stream, 1, 2, 0)
			if !errors.Is(err, logstream.ErrUnavailable) {
				t.Fatalf("got error %v, want ErrUnavailable", err)
			}
		})
	}
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against control traffic that is not counted: the count must equal the
// bytes on the connection plus the estimated framing of each exchange.
func TestMeterCountsBytesOnTheConnection(t *testing.T) {
	sim := logsim.New(logsim.Options{})
	server := httptest.NewServer(sim.Handler())
	defer server.Close()
	var onWire atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{conn, &onWire}, err
	}}
	defer transport.CloseIdleConnections()
	m := &meter.Meter{}
	client := logstream.NewClient(server.URL, &http.Client{Transport: transport}, m, meter.LogAppend, meter.LogRead)
	ctx := context.Background()
	if _, err := client.Append(ctx, stream, [][]byte{make([]byte, 9000)}); err != nil {
		t.Fatal(err)
	}
	for offset := uint64(0); offset < 2; offset++ {
		if _, err := client.Read(ctx, stream, offset, 5, 0); err != nil {
			t.Fatal(err)
		}
	}
	if want := onWire.Load() + 3*int64(meter.HTTPExchangeBytes(0)); m.Total() != want {
		t.Fatalf("the meter has %d bytes, want %d", m.Total(), want)
	}
	if totals := m.Totals(); totals["log_append"] == 0 || totals["log_read"] == 0 {
		t.Fatalf("a category is empty: %v", totals)
	}
}
