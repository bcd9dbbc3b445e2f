package settings

import (
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// namePattern is the form of a VM, data centre or region name. It is the form
// of a DNS label, so that names are safe in metrics tags and headers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse decodes and validates the text of a settings file. The file name is used
// in findings only; no other file is read. The error is a *findings.Error.
func Parse(file string, data []byte) (*Settings, error) {
	list := findings.NewList(file)
	s := parse(list, data)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// parse returns nil when data is not JSON text. Otherwise it returns what could
// be read, even when there are findings.
func parse(list *findings.List, data []byte) *Settings {
	if !checkSyntax(list, data) {
		return nil
	}
	root := newObject(list, "$", data)
	s := &Settings{}
	parseIdentity(root, s)
	parseAddresses(root, s)
	parseFleetKey(root, s)
	s.Limits = parseLimits(root.child("limits"))
	s.Timings = parseTimings(root.child("timings"))
	s.Intents = parseIntents(root.child("intents"))
	parseRetention(root, s)
	s.PrefixIndexEntries = root.integer("prefix_index_entries", DefaultPrefixIndexEntries, 1, maxPrefixIndexEntries)
	s.Tracing = parseTracing(root.child("tracing"))
	s.Metrics = parseMetrics(root.child("metrics"))
	s.Logging = parseLogging(root.child("logging"))
	s.TLS = parseTLS(root)
	root.reportUnknown()
	return s
}

func checkSyntax(list *findings.List, data []byte) bool {
	if len(data) > maxFileBytes {
		list.Add("$", findings.CodeRange, "file must be at most %d bytes", maxFileBytes)
		return false
	}
	if !utf8.Valid(data) {
		list.Add("$", findings.CodeSyntax, "file is not UTF-8 text")
		return false
	}
	var value json.RawMessage
	err := json.Unmarshal(data, &value)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := findings.LineAndColumn(data, syntax.Offset)
		list.Add("$", findings.CodeSyntax, "line %d, column %d: %v", line, column, err)
		return false
	}
	list.Add("$", findings.CodeSyntax, "%v", err)
	return false
}

func parseIdentity(o *object, s *Settings) {
	s.VM = parseName(o, "vm")
	s.DataCentre = parseName(o, "data_centre")
	s.Region = parseName(o, "region")
}

func parseName(o *object, field string) string {
	name := o.text(field)
	if name != "" && !namePattern.MatchString(name) {
		o.add(field, findings.CodeInvalid, "must be 1 to 63 of a-z, 0-9 and -, with no - at either end")
	}
	return name
}

func parseAddresses(o *object, s *Settings) {
	listen := o.requiredChild("listen")
	s.ListenCallers = parseAddrPort(listen, "callers")
	s.ListenPeers = parseAddrPort(listen, "peers")
	if s.ListenCallers.IsValid() && s.ListenCallers == s.ListenPeers {
		listen.add("peers", findings.CodeConflict, "must differ from $.listen.callers")
	}
	listen.reportUnknown()
	s.PeerAddress = parseAddrPort(o, "peer_address")
	if s.PeerAddress.IsValid() && s.PeerAddress.Addr().IsUnspecified() {
		o.add("peer_address", findings.CodeInvalid, "must be an address that other routers can reach")
	}
	s.LogEndpoint = parseURL(o, "log_endpoint", o.text("log_endpoint"))
	s.VMListEndpoint = parseURL(o, "vm_list_endpoint", o.text("vm_list_endpoint"))
}

func parseAddrPort(o *object, field string) netip.AddrPort {
	text := o.text(field)
	if text == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		o.add(field, findings.CodeInvalid, "must be an IP address and a port, such as 10.0.0.1:8080")
		return netip.AddrPort{}
	}
	return addr
}

// parseURL checks a base URL and returns it without a trailing slash. The host
// must be an IP address because routers resolve no names.
func parseURL(o *object, field, text string) string {
	if text == "" {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || !isBaseURL(u) {
		o.add(field, findings.CodeInvalid, "must be an http or https URL with an IP address, such as http://10.0.0.1:8080")
		return ""
	}
	return strings.TrimRight(u.String(), "/")
}

func isBaseURL(u *url.URL) bool {
	if u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" {
		return false
	}
	addr, err := netip.ParseAddr(u.Hostname())
	if err != nil || addr.Zone() != "" || addr.IsUnspecified() {
		return false
	}
	if u.Port() == "" {
		return !strings.HasSuffix(u.Host, ":")
	}
	port, err := strconv.ParseUint(u.Port(), 10, 16)
	return err == nil && port > 0
}

func parseFleetKey(o *object, s *Settings) {
	hasKey, hasFile := o.has("fleet_key"), o.has("fleet_key_file")
	if !hasKey && !hasFile {
		if !o.skipMissing {
			o.add("fleet_key", findings.CodeMissing, "is required, unless fleet_key_file is set")
		}
		return
	}
	if hasKey && hasFile {
		o.add("fleet_key_file", findings.CodeConflict, "must not be set together with $.fleet_key")
	}
	if hasFile {
		s.FleetKeyFile = o.optionalText("fleet_key_file")
	}
	if !hasKey {
		return
	}
	text := o.optionalText("fleet_key")
	key, ok := ParseKey(text)
	if text != "" && !ok {
		o.add("fleet_key", findings.CodeInvalid, "must be %d hex digits", 2*KeyBytes)
	}
	s.FleetKey = key
}

func parseLimits(o *object) Limits {
	l := Limits{
		MaxBodyBytes:  o.integer("max_body_bytes", DefaultMaxBodyBytes, 1, maxBodyBytes),
		MaxCallers:    o.integer("max_callers", DefaultMaxCallers, 1, maxCallers),
		HeaderTimeout: o.duration("header_time", DefaultHeaderTimeout, 100*time.Millisecond, 1*time.Minute),
		ReadTimeout:   o.duration("read_time", DefaultReadTimeout, 100*time.Millisecond, 10*time.Minute),
	}
	if l.ReadTimeout < l.HeaderTimeout {
		o.add("read_time", findings.CodeRange, "must be at least header_time, which is %s", l.HeaderTimeout)
	}
	o.reportUnknown()
	return l
}

func parseTimings(o *object) Timings {
	t := Timings{
		HeartbeatInterval:  o.duration("heartbeat_interval", DefaultHeartbeatInterval, 100*time.Millisecond, maxHeartbeatInterval),
		VMListPollInterval: o.duration("vm_list_poll", DefaultVMListPollInterval, 100*time.Millisecond, maxVMListPollInterval),
		ConfigPollWait:     o.duration("config_poll_wait", DefaultConfigPollWait, 10*time.Millisecond, maxConfigPollWait),
		DrainLimit:         o.duration("drain_limit", DefaultDrainLimit, 1*time.Second, 24*time.Hour),
	}
	o.reportUnknown()
	return t
}

func parseIntents(o *object) Intents {
	i := Intents{
		Streams:   o.integer("streams", DefaultIntentStreams, 1, maxIntentStreams),
		KeyWindow: o.duration("key_window", DefaultKeyWindow, 1*time.Second, 24*time.Hour),
	}
	o.reportUnknown()
	return i
}

// parseRetention checks that the retention is above the key window: the request
// of an intent that the log drops while its key is valid could run twice.
func parseRetention(o *object, s *Settings) {
	s.LogRetention = o.duration("log_retention", 0, 1*time.Minute, maxLogRetention)
	if s.LogRetention > 0 && s.LogRetention <= s.Intents.KeyWindow {
		o.add("log_retention", findings.CodeRange, "must be above $.intents.key_window, which is %s", s.Intents.KeyWindow)
	}
}

func parseTracing(o *object) Tracing {
	t := Tracing{
		OTLPEndpoint: parseURL(o, "otlp_endpoint", o.optionalText("otlp_endpoint")),
		SampleRatio:  o.number("sample_ratio", DefaultSampleRatio, 0, 1),
	}
	o.reportUnknown()
	return t
}

func parseMetrics(o *object) Metrics {
	m := Metrics{
		Enabled:        o.boolean("enabled", true),
		ReportInterval: o.duration("report_interval", DefaultReportInterval, 100*time.Millisecond, 1*time.Minute),
	}
	o.reportUnknown()
	return m
}

func parseLogging(o *object) Logging {
	level := o.choice("level", "info", "trace", "debug", "info", "warn", "error")
	format := o.choice("format", string(LogText), string(LogText), string(LogJSON))
	o.reportUnknown()
	return Logging{Level: hclog.LevelFromString(level), Format: LogFormat(format)}
}

func parseTLS(root *object) *TLS {
	if !root.has("tls") {
		return nil
	}
	o := root.child("tls")
	t := &TLS{CertificateFile: o.text("certificate_file"), KeyFile: o.text("key_file")}
	o.reportUnknown()
	return t
}
