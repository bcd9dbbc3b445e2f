package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

const testKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

const requiredFields = `"vm":"r-1","data_centre":"tvm-hall","region":"kerala-south",
"listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2"},"peer_address":"127.0.0.1:2",
"log_endpoint":"http://127.0.0.1:3/","vm_list_endpoint":"http://[::1]:4"`

func settingsText(extra string) []byte {
	return []byte("{" + requiredFields + extra + "}")
}

func pathsAndCodes(t *testing.T, err error) []string {
	t.Helper()
	var e *findings.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want findings", err)
	}
	var got []string
	for _, f := range e.Findings {
		got = append(got, f.Path+" "+string(f.Code))
	}
	slices.Sort(got)
	return got
}

// Guards against a default that is not set when the field is absent.
func TestDefaults(t *testing.T) {
	s, err := Parse("f", settingsText(`,"fleet_key":"`+testKey+`"`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Timings.VMListPollInterval != DefaultVMListPollInterval || s.Intents.Streams != DefaultIntentStreams || !s.Metrics.Enabled {
		t.Fatalf("defaults are missing: %+v", s)
	}
	if s.LogEndpoint != "http://127.0.0.1:3" || s.FleetKey[31] != 0x1f || s.TLS != nil {
		t.Fatalf("log endpoint, fleet key or TLS differs from the settings: %+v", s)
	}
}

// Guards against a decoder that stops at the first problem, or reports a
// problem with a wrong path.
func TestAllFindingsTogether(t *testing.T) {
	data := `{"vm":"Upper","data_centre":7,"vm":"twice","listen":{"callers":"host:1","peers":"127.0.0.1:0"},
	"peer_address":"0.0.0.0:5","log_endpoint":"http://log.example/","vm_list_endpoint":null,"fleet_key":"12",
	"limits":{"max_body_bytes":99999999,"max_callers":1.5,"header_time":3},
	"timings":{"vm_list_poll":"1h","config_poll_wait":"soon"},"intents":[],"prefix_index_entries":0,
	"tracing":{"sample_ratio":2,"otlp_endpoint":"ftp://127.0.0.1"},"metrics":{"enabled":"yes"},
	"logging":{"level":"loud","colour":true},"tls":{"key_file":""},"extra":1}`
	_, err := Parse("f", []byte(data))
	want := []string{
		"$.data_centre invalid", "$.extra unknown_field", "$.fleet_key invalid", "$.intents invalid",
		"$.limits.header_time invalid", "$.limits.max_body_bytes out_of_range", "$.limits.max_callers invalid",
		"$.listen.callers invalid", "$.listen.peers invalid", "$.log_endpoint invalid",
		"$.logging.colour unknown_field", "$.logging.level invalid", "$.metrics.enabled invalid",
		"$.peer_address invalid", "$.prefix_index_entries out_of_range", "$.region missing",
		"$.timings.config_poll_wait invalid", "$.timings.vm_list_poll out_of_range",
		"$.tls.certificate_file missing", "$.tls.key_file invalid", "$.tracing.otlp_endpoint invalid",
		"$.tracing.sample_ratio out_of_range", "$.vm conflict", "$.vm invalid", "$.vm_list_endpoint invalid",
	}
	if got := pathsAndCodes(t, err); !slices.Equal(got, want) {
		t.Fatalf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against rules between two fields that are not checked, and against
// findings about the fields of an object that is missing.
func TestRulesBetweenFields(t *testing.T) {
	cases := map[string]string{
		`{}`:       "$.data_centre missing,$.fleet_key missing,$.listen missing,$.log_endpoint missing,$.peer_address missing,$.region missing,$.vm missing,$.vm_list_endpoint missing",
		`[]`:       "$ invalid",
		`{"vm":`:   "$ syntax",
		"\"\xff\"": "$ syntax",
		string(settingsText(`,"fleet_key":"` + testKey + `","fleet_key_file":"k"`)):                               "$.fleet_key_file conflict",
		string(settingsText(`,"fleet_key_file":"k","limits":{"read_time":"1s","header_time":"2s"}`)):              "$.limits.read_time out_of_range",
		string(settingsText(`,"fleet_key_file":"k","log_retention":"10m"`)):                                       "$.log_retention out_of_range",
		strings.Replace(string(settingsText(`,"fleet_key_file":"k"`)), `s":"127.0.0.1:2"`, `s":"127.0.0.1:1"`, 1): "$.listen.peers conflict",
	}
	for data, want := range cases {
		_, err := Parse("f", []byte(data))
		if got := strings.Join(pathsAndCodes(t, err), ","); got != want {
			t.Errorf("%s: got %s, want %s", data, got, want)
		}
	}
}

// Guards against example files that a router would reject, that use the same
// address twice, or that name a data centre that the operator does not have.
func TestExamples(t *testing.T) {
	sites := map[string][]string{
		"thekkady": {"kochi-hall-a", "kochi-hall-b", "tvm-hall"},
		"lam-dong": {"dalat-hall", "baoloc-hall", "ducrong-hall", "lamha-hall"},
	}
	for site, dataCentres := range sites {
		files, _ := filepath.Glob(filepath.Join("../../examples", site, "router-*.json"))
		if len(files) < 7 {
			t.Fatalf("%s: %d examples, want one for each of at least 7 VMs", site, len(files))
		}
		seen := map[string]bool{}
		for _, file := range files {
			s, err := Load(file)
			if err != nil {
				t.Fatal(err)
			}
			if s.VM+".json" != filepath.Base(file) || !slices.Contains(dataCentres, s.DataCentre) {
				t.Errorf("%s: VM %s in data centre %s, want the VM of the file name in a data centre of the site", file, s.VM, s.DataCentre)
			}
			for _, a := range []string{s.ListenCallers.String(), s.ListenPeers.String()} {
				if seen[a] {
					t.Errorf("%s: address %s is used twice", file, a)
				}
				seen[a] = true
			}
		}
	}
}

// Guards against findings of a settings file that suppress those of the files
// that it names.
func TestLoadReportsNamedFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "r.json")
	text := settingsText(`,"extra":1,"fleet_key_file":"fleet.key","tls":{"certificate_file":"c","key_file":"k"}`)
	writeFile(t, path, text)
	writeFile(t, filepath.Join(dir, "fleet.key"), []byte("short"))
	_, err := Load(path)
	want := []string{"$.extra unknown_field", "$.fleet_key_file invalid", "$.tls invalid"}
	if got := pathsAndCodes(t, err); !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against base URLs with a host name, which routers do not resolve, with a
// password, or to which a path cannot be appended.
func TestBaseURLs(t *testing.T) {
	good := []string{"http://127.0.0.1", "https://[::1]:8443/base/"}
	bad := []string{
		"127.0.0.1:80", "http://localhost:80", "http://u:p@127.0.0.1", "http://127.0.0.1?x", "http://127.0.0.1/?",
		"http://127.0.0.1#f", "http://127.0.0.1:0", "http://127.0.0.1:99999", "http://127.0.0.1:", "http://0.0.0.0:1",
		"http://[fe80::1%25eth0]:1", "ftp://127.0.0.1", "http://",
	}
	check := func(text string) error {
		extra, _ := json.Marshal(map[string]string{"otlp_endpoint": text})
		_, err := Parse("f", settingsText(`,"fleet_key":"`+testKey+`","tracing":`+string(extra)))
		return err
	}
	for _, text := range good {
		if err := check(text); err != nil {
			t.Errorf("%s was rejected: %v", text, err)
		}
	}
	for _, text := range bad {
		if check(text) == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

// Guards against a key that reaches a log through formatting.
func TestKeyIsNotPrinted(t *testing.T) {
	key, ok := ParseKey(testKey)
	if !ok {
		t.Fatal("the key was rejected")
	}
	if text, err := json.Marshal(Settings{FleetKey: key}); err != nil || !strings.Contains(string(text), redactedKey) {
		t.Errorf("JSON prints the key: %s, %v", text, err)
	}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%d", "%x"} {
		text := fmt.Sprintf(verb, Settings{FleetKey: key})
		if strings.Contains(text, "0x1f") || strings.Contains(text, "1e1f") || strings.Contains(text, "30 31") {
			t.Errorf("%s prints the key: %s", verb, text)
		}
	}
}

// Guards against a panic, an error without findings, and accepted settings outside
// their bounds.
func FuzzParse(f *testing.F) {
	f.Add(settingsText(`,"fleet_key":"` + testKey + `"`))
	f.Add([]byte(`{"listen":{"callers":null},"limits":[],"tls":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			pathsAndCodes(t, err)
			return
		}
		if !s.ListenPeers.IsValid() || s.Limits.MaxBodyBytes > maxBodyBytes || s.Timings.HeartbeatInterval <= 0 {
			t.Fatalf("settings outside their bounds were accepted: %+v", s)
		}
	})
}
