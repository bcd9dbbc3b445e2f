package cli

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// closedAddr returns a loopback address without a listener.
func closedAddr(t *testing.T) string {
	t.Helper()
	// Nothing else listens at this host: a server of another test that got the port would be called.
	l, err := net.Listen("tcp", testport.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// isolatedSettings returns the settings of a router whose log and VM list are down.
func isolatedSettings(t *testing.T) *settings.Settings {
	t.Helper()
	s, err := settings.Load(exampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	s.ListenCallers = netip.MustParseAddrPort("127.0.0.1:0")
	s.ListenPeers = netip.MustParseAddrPort("127.0.0.1:0")
	s.PeerAddress = netip.AddrPort{}
	s.LogEndpoint = "http://" + closedAddr(t)
	s.VMListEndpoint = "http://" + closedAddr(t)
	return s
}

// startSupervised runs a router under supervise. The error channel receives the
// result.
func startSupervised(t *testing.T, s *settings.Settings) (*router.Router, chan os.Signal, chan error) {
	t.Helper()
	r, err := router.New(s, event.Nop(), router.Options{})
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal)
	end := make(chan error, 1)
	go func() { end <- supervise(context.Background(), r, s, signals) }()
	return r, signals, end
}

// Guards against a daemon that ends because the log and the VM list are down at
// its start, and against a first signal that does not stop it cleanly.
func TestFirstSignalStopsGracefully(t *testing.T) {
	r, signals, end := startSupervised(t, isolatedSettings(t))
	signals <- syscall.SIGTERM
	if err := <-end; err != nil {
		t.Fatal(err)
	}
	<-r.Dead()
}

// Guards against a stop that a second signal or the drain limit cannot end,
// and against an exit code of success after such a stop.
func TestStopIsInterrupted(t *testing.T) {
	cases := map[string]struct {
		drainLimit   time.Duration
		secondSignal bool
		want         error
	}{
		"second signal": {time.Hour, true, errStoppedAtOnce},
		"drain limit":   {time.Millisecond, false, errDrainLimit},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := isolatedSettings(t)
			s.Timings.DrainLimit = c.drainLimit
			_, signals, end := startSupervised(t, s)
			signals <- syscall.SIGTERM
			if c.secondSignal {
				signals <- syscall.SIGINT
			}
			err := <-end
			if !errors.Is(err, c.want) || ExitCode(err) != ExitFailure {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a daemon that keeps the process running after its listener has
// failed, or ends it without an error.
func TestRouterEndsUnexpectedly(t *testing.T) {
	s := isolatedSettings(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := router.New(s, event.Nop(), router.Options{Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if err := supervise(t.Context(), r, s, nil); err == nil || !strings.Contains(err.Error(), errUnexpectedEnd.Error()) {
		t.Fatalf("got %v, want an unexpected end", err)
	}
}

// Guards against log lines in another format or below the level of the settings.
func TestLogFollowsSettings(t *testing.T) {
	for format, want := range map[settings.LogFormat]string{
		settings.LogJSON: `"event":100`,
		settings.LogText: "event=100",
	} {
		var out bytes.Buffer
		log := event.NewLogger(newLog(settings.Logging{Level: hclog.Warn, Format: format}, "vm-1", &out))
		log.Emit(event.Event{ID: 99, Level: hclog.Info, Text: "hidden"})
		log.Emit(event.Event{ID: 100, Level: hclog.Warn, Text: "shown"})
		got := out.String()
		if !strings.Contains(got, want) || !strings.Contains(got, "vm-1") || strings.Contains(got, "hidden") {
			t.Errorf("%s: got %q", format, got)
		}
	}
}
