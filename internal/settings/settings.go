// Package settings reads the settings file of a router daemon. Decoding is
// strict, and all problems of a file are reported together.
package settings

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
)

// KeyBytes is the length of the fleet key.
const KeyBytes = 32

// Key is the secret that the routers of a fleet share. It formats as a fixed
// text, so that it cannot appear in a log or a trace by accident.
type Key [KeyBytes]byte

const redactedKey = "[redacted]"

// String returns a fixed text.
func (Key) String() string { return redactedKey }

// Format writes a fixed text for every verb.
func (Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redactedKey) }

// MarshalText returns a fixed text.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// ParseKey reads a key written as 64 hex digits.
func ParseKey(text string) (Key, bool) {
	var k Key
	if len(text) != hex.EncodedLen(KeyBytes) {
		return k, false
	}
	if _, err := hex.Decode(k[:], []byte(text)); err != nil {
		return Key{}, false
	}
	return k, true
}

// LogFormat is the form of the daemon's log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Settings are the settings of one router daemon. They do not change while the
// daemon runs.
type Settings struct {
	// VM is the name of this VM in the VM list.
	VM         string
	DataCentre string
	Region     string
	// ListenCallers and ListenPeers are the local addresses to listen on.
	ListenCallers netip.AddrPort
	ListenPeers   netip.AddrPort
	// PeerAddress is the address at which other routers reach this one.
	PeerAddress netip.AddrPort
	// LogEndpoint and VMListEndpoint are base URLs without a trailing slash.
	LogEndpoint    string
	VMListEndpoint string
	// LogRetention is the time for which the log service keeps records. Routers
	// write a checkpoint of the configuration when half of it has passed; 0 means
	// that the service keeps records forever, and disables checkpoints.
	LogRetention time.Duration
	FleetKey     Key
	// FleetKeyFile is the file of the fleet key, or empty when the key is in the
	// settings file itself. Load reads it; Parse does not.
	FleetKeyFile string

	Limits  Limits
	Timings Timings
	Intents Intents
	// PrefixIndexEntries is the number of chats in the prefix index of each pool.
	PrefixIndexEntries int
	Tracing            Tracing
	Metrics            Metrics
	Logging            Logging
	// TLS is nil when callers are served without TLS.
	TLS *TLS
}

// Limits protect the daemon from its callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxCallers is the maximum number of caller requests served at once.
	MaxCallers int
	// HeaderTimeout and ReadTimeout limit the time to read the headers and the
	// whole request.
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration
}

// Timings are intervals and time limits of the control tasks.
type Timings struct {
	HeartbeatInterval  time.Duration
	VMListPollInterval time.Duration
	// ConfigPollWait is how long the log may hold a read of the config stream.
	ConfigPollWait time.Duration
	// DrainLimit is the longest wait for running streams in a graceful stop.
	DrainLimit time.Duration
}

// Intents are the settings of the guard for non-repeatable requests. They must be
// the same on every router of a fleet.
type Intents struct {
	// Streams is the number of intent streams of the log.
	Streams int
	// KeyWindow is the maximum age of an idempotency key.
	KeyWindow time.Duration
}

// Tracing are the settings of trace export.
type Tracing struct {
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector; empty means no export.
	OTLPEndpoint string
	// SampleRatio is the share (0 to 1) of traces that start here and are sampled.
	SampleRatio float64
}

// Metrics are the settings of the metrics endpoint.
type Metrics struct {
	Enabled bool
	// ReportInterval is the time between two updates of the metrics.
	ReportInterval time.Duration
}

// Logging are the settings of the daemon's log.
type Logging struct {
	Level  hclog.Level
	Format LogFormat
}

// TLS names the PEM files used to serve callers over TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Defaults of optional settings.
const (
	DefaultMaxBodyBytes       = 1 << 20
	DefaultMaxCallers         = 4096
	DefaultHeaderTimeout      = 10 * time.Second
	DefaultReadTimeout        = 60 * time.Second
	DefaultHeartbeatInterval  = 1 * time.Second
	DefaultVMListPollInterval = 2 * time.Second
	DefaultConfigPollWait     = 1250 * time.Millisecond
	DefaultDrainLimit         = 15 * time.Minute
	DefaultIntentStreams      = 16
	DefaultKeyWindow          = 15 * time.Minute
	// DefaultPrefixIndexEntries covers 12 million returning chats over 42 pools.
	DefaultPrefixIndexEntries = 300_000
	DefaultSampleRatio        = 0.1
	DefaultReportInterval     = 1 * time.Second
)

// Bounds of settings.
const (
	// maxBodyBytes leaves room for the fields of a Relay, which may have 4 MiB.
	maxBodyBytes = 4<<20 - 64<<10
	maxCallers   = 1_000_000
	// maxHeartbeatInterval is below the 3 s after which a silent router is suspected.
	maxHeartbeatInterval = 2 * time.Second
	// maxVMListPollInterval is below the 3 s within which new work to a leaving
	// server must end.
	maxVMListPollInterval = 2500 * time.Millisecond
	// maxConfigPollWait is below the 2 s within which a router must read the log's
	// head again.
	maxConfigPollWait = 1500 * time.Millisecond
	// maxIntentStreams is the number of two-digit suffixes of stream names.
	maxIntentStreams      = 100
	maxPrefixIndexEntries = 2_000_000
	maxLogRetention       = 10 * 365 * 24 * time.Hour
	// maxFileBytes limits the size of a settings file and of a key file.
	maxFileBytes = 1 << 20
)
