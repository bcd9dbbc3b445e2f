package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/settings"
)

var (
	errStoppedAtOnce = errors.New("a second signal ended the router at once; running requests were cut")
	errDrainLimit    = errors.New("the drain limit passed; running requests were cut")
	errUnexpectedEnd = errors.New("the router ended unexpectedly")
)

// runDaemon runs a router until a signal stops it or it fails.
func runDaemon(ctx context.Context, s *settings.Settings, env Env) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	events := event.NewLogger(newLog(s.Logging, s.VM, env.Stderr))
	r, err := router.New(s, events, router.Options{Retention: s.LogRetention})
	if err != nil {
		return err
	}
	return supervise(ctx, r, s, signals)
}

// newLog returns the daemon's logger, which writes to w.
func newLog(l settings.Logging, vm string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       vm,
		Level:      l.Level,
		JSONFormat: l.Format == settings.LogJSON,
		Output:     w,
	})
}

// supervise starts a router and waits until it has ended. The first signal, or the end
// of ctx, begins a graceful stop. After a second signal supervise returns
// without waiting, so that the process can exit at once.
func supervise(ctx context.Context, r *router.Router, s *settings.Settings, signals <-chan os.Signal) error {
	r.Start()
	select {
	case <-signals:
	case <-ctx.Done():
	case <-r.Dead():
		return stopAfterFailure(r)
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timings.DrainLimit)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(drain) }()
	select {
	case <-signals:
		return errStoppedAtOnce
	case err := <-stopped:
		if err == nil && drain.Err() != nil {
			return errDrainLimit
		}
		return err
	}
}

// stopAfterFailure releases the ports of a router that has failed and returns the cause.
func stopAfterFailure(r *router.Router) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.Stop(ctx); err != nil {
		return eris.Wrap(err, errUnexpectedEnd.Error())
	}
	return errUnexpectedEnd
}
