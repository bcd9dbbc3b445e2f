package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/logwriter"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/platform"
)

const frontDescription = `Runs the router daemon on a VM of the platform. It reads configuration and
servers from the platform's store and forwards callers' requests on its own.
SIGTERM or SIGINT starts a graceful stop. SIGHUP, or a change of the settings
file, reloads the file and applies its bounds.

With -check the settings file is checked, all problems are reported, and no
daemon is started.`

const (
	// droppedLinesInterval is how often dropped log lines are reported.
	droppedLinesInterval = 10 * time.Second
	// fileCheckInterval is how often the settings file is checked for a change
	// without a signal.
	fileCheckInterval = 2 * time.Second
)

func frontCommand() *Command {
	return &Command{
		Name:        "front",
		Summary:     "run a router on the platform or check its settings",
		Synopsis:    "-settings FILE [-check]",
		Description: frontDescription,
		Examples:    []string{"front -settings examples/platform/front.json -check"},
		ExitCodes:   []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		Setup:       setupFront,
	}
}

func setupFront(fs *flag.FlagSet) RunFunc {
	file := fs.String("settings", "", "settings `FILE` in JSON (required)")
	check := fs.Bool("check", false, "check the settings and exit")
	return func(ctx context.Context, env Env) error {
		if *file == "" {
			return UsageErrorf("flag -settings is required")
		}
		s, err := settings.LoadFront(*file)
		if err != nil {
			return err
		}
		if *check {
			_, err = fmt.Fprintf(env.Stdout, "%s: valid settings of %s in %s\n", *file, s.VM, s.DataCentre)
			return err
		}
		return runFront(ctx, *file, s, env)
	}
}

// runFront runs a router until a signal stops it or it fails.
func runFront(ctx context.Context, file string, s *settings.Front, env Env) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	front.ConfigureRuntime(s)
	out := logwriter.New(env.Stdout)
	defer out.Close()
	logger := newLog(s.Logging, s.VM, out)
	log.SetFlags(0)
	log.SetOutput(libraryLog{event.NewLogger(logger)})
	defer log.SetOutput(os.Stderr)
	f, err := front.New(s, platform.Connect(s.StoreAddress.String()), logger)
	if err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	return superviseFront(ctx, f, file, signals, out, logger)
}

// libraryLog writes what net/http reports through the standard logger as events. It
// omits quoted bytes, which may be a part of an answer.
type libraryLog struct{ events *event.Logger }

// Write logs one message.
func (l libraryLog) Write(message []byte) (int, error) {
	text, _, _ := strings.Cut(string(message), `"`)
	l.events.Emit(event.LibraryMessage, "text", strings.TrimSpace(text))
	return len(message), nil
}

// superviseFront handles signals, changes of the settings file and dropped log
// lines until the router has ended.
func superviseFront(ctx context.Context, f *front.Front, file string, signals <-chan os.Signal,
	out *logwriter.Writer, logger hclog.Logger) error {
	events := event.NewLogger(logger)
	watch := watchFile(file)
	dropped := time.NewTicker(droppedLinesInterval)
	defer dropped.Stop()
	fileCheck := time.NewTicker(fileCheckInterval)
	defer fileCheck.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return f.Stop(context.WithoutCancel(ctx))
		case <-f.Dead():
			return f.Err()
		case s := <-signals:
			if s != syscall.SIGHUP {
				return f.Stop(ctx)
			}
			watch.checkChanged()
			reload(f, file, "signal", events)
		case <-fileCheck.C:
			if watch.checkChanged() {
				reload(f, file, "changed", events)
			}
		case <-dropped.C:
			if n := out.DroppedLines(); n > reported {
				events.Emit(event.LogLinesDropped, "lines", n-reported)
				reported = n
			}
		}
	}
}

// reload reads the settings file again and applies its bounds. Addresses and
// sizes stay as they were at the start. An invalid file changes nothing.
func reload(f *front.Front, file, reason string, events *event.Logger) {
	s, err := settings.LoadFront(file)
	if err != nil {
		events.Emit(event.SettingsReloaded, "valid", false, "reason", reason, "error", err.Error())
		return
	}
	f.Apply(s)
	events.Emit(event.SettingsReloaded, "valid", true, "reason", reason, "vm", s.VM)
}

// fileWatch detects changes of a file's content.
type fileWatch struct {
	path        string
	lastContent []byte
}

func watchFile(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.checkChanged()
	return w
}

// checkChanged reports whether the content differs from that of the last call. A
// file that can't be read counts as unchanged, as it may be about to be replaced.
func (w *fileWatch) checkChanged() bool {
	content, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(content, w.lastContent) {
		return false
	}
	w.lastContent = content
	return true
}
