package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// platformFlags are the flags that name the platform's services.
type platformFlags struct {
	log, vms, settings string
}

func (p *platformFlags) defineLog(fs *flag.FlagSet) {
	fs.StringVar(&p.log, "log", "", "base `URL` of the log service")
}

func (p *platformFlags) defineVMs(fs *flag.FlagSet) {
	fs.StringVar(&p.vms, "vms", "", "base `URL` of the VM list")
}

func (p *platformFlags) defineSettings(fs *flag.FlagSet) {
	fs.StringVar(&p.settings, "settings", "", "settings `FILE` of a router, for the URLs that are not given by a flag")
}

// resolve fills in missing URLs from the settings file and checks those that a
// command needs.
func (p *platformFlags) resolve(needLog, needVMs bool) error {
	if p.settings != "" {
		s, err := settings.Load(p.settings)
		if err != nil {
			return err
		}
		p.log = firstNonEmpty(p.log, s.LogEndpoint)
		p.vms = firstNonEmpty(p.vms, s.VMListEndpoint)
	}
	if needLog {
		if err := checkURL("-log", &p.log); err != nil {
			return err
		}
	}
	if needVMs {
		return checkURL("-vms", &p.vms)
	}
	return nil
}

func firstNonEmpty(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func checkURL(name string, text *string) error {
	if *text == "" {
		return UsageErrorf("flag %s or -settings is required", name)
	}
	*text = strings.TrimSuffix(*text, "/")
	u, err := url.Parse(*text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return UsageErrorf("flag %s: %q is not an http or https URL", name, *text)
	}
	return nil
}

// newHTTPClient returns the client of one command.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

func (p *platformFlags) openLog(hc *http.Client) logstream.Log {
	return logstream.NewClient(p.log, hc, &meter.Meter{}, meter.LogAppend, meter.LogRead)
}

func (p *platformFlags) openFleet(hc *http.Client) *fleetClient {
	return &fleetClient{
		vms:              vmlist.NewClient(p.vms, hc, &meter.Meter{}),
		http:             hc,
		previouslyListed: map[string]bool{},
	}
}

// readState reads the config stream up to its head. It stops earlier at a record
// that this program cannot read; the snapshot then holds its result.
func readState(ctx context.Context, log logstream.Log) (*fleetconfig.Reader, error) {
	reader := fleetconfig.NewReader(fleetconfig.ReaderOptions{
		Log:   log,
		Clock: clockwork.NewRealClock(),
		// Without a usable checkpoint the reader waits at the head of the log.
		PollWait: fleetconfig.DefaultPollWait,
	})
	for {
		err := reader.Step(ctx)
		snap := reader.Snapshot()
		if snap.Unreadable != nil {
			return reader, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "read the configuration")
		}
		if snap.Log.HasState && snap.Log.Applied >= snap.Log.Head {
			return reader, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, eris.Wrap(err, "read the configuration")
		}
	}
}

func writeIndented(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
