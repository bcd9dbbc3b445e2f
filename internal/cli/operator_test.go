package cli

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/status"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// startBed starts two routers with the example records in force.
func startBed(t *testing.T) *testbed.Bed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	p := testbed.Profiles()["thekkady"]
	b, err := testbed.New(testbed.Options{Profile: p, Routers: 2, Engines: 2, Backends: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	records, err := p.Records()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Log.Append(ctx, fleetconfig.StreamName, records); err != nil {
		t.Fatal(err)
	}
	if err := b.StartRouters(); err != nil {
		t.Fatal(err)
	}
	if err := b.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return b
}

// standinFlags returns the flags for the log and the VM list of a bed.
func standinFlags(b *testbed.Bed) []string {
	return []string{"-log", b.LogURL(), "-vms", b.VMListURL()}
}

// listFakeRouter adds a router to the VM list that answers with doc and calls
// after, if set, after each answer.
func listFakeRouter(t *testing.T, b *testbed.Bed, doc status.Router, after func()) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(doc)
		if after != nil {
			after()
		}
	}))
	t.Cleanup(s.Close)
	listFakeRouterAt(b, strings.TrimPrefix(s.URL, "http://"))
}

const fakeRouter = "fake-router"

func listFakeRouterAt(b *testbed.Bed, addr string) {
	b.VMs.Set(vmlist.VM{
		Name: fakeRouter, Role: vmlist.RoleRouter, DataCentre: "tvm-hall",
		Addr: addr, PeerAddr: "127.0.0.1:1", State: vmlist.StateLive,
	})
}

func fakeStatus(versions ...int) status.Router {
	return status.Router{VM: fakeRouter, Config: status.Configuration{SchemaVersions: versions}}
}

// workspaceRecord returns a record that creates or replaces a workspace.
func workspaceRecord(id, name, replaces string) string {
	return fmt.Sprintf(`{"schema_version":2,"id":%q,"author":"test","changes":[{"kind":"workspace","name":%q,"replaces":%q,"spec":{}}]}`, id, name, replaces)
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "record.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCLI runs a command line and returns its exit code and output.
func runCLI(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// textTrigger is a buffer that calls onFound at each write once it contains want.
type textTrigger struct {
	bytes.Buffer
	want    string
	onFound func()
}

func (w *textTrigger) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if w.want != "" && strings.Contains(w.String(), w.want) {
		w.onFound()
	}
	return n, err
}

// answersBeforeInterrupt is the number of answers after which a router that stays
// behind interrupts the publication: one with its schema versions and one with
// its state.
const answersBeforeInterrupt = 2

type publishCase struct {
	name string
	// prepare may call interrupt to end the command.
	prepare func(t *testing.T, b *testbed.Bed, interrupt func())
	record  string
	timeout string
	// interruptOn is a text on stderr; the command is interrupted when it appears.
	interruptOn    string
	code           int
	stdout, stderr string
	// verdict is the last record's verdict in the output with -json.
	verdict string
}

const (
	longTimeout = "50s"
	// shortTimeout is for a case that can only end by its timeout.
	shortTimeout = "300ms"
)

func publishCases() []publishCase {
	newRecord := func(n int) string { return workspaceRecord(fmt.Sprintf("r-%d", n), fmt.Sprintf("w-%d", n), "") }
	logDown := func(t *testing.T, b *testbed.Bed, _ func()) {
		b.Log.SetDown(true)
		t.Cleanup(func() { b.Log.SetDown(false) })
	}
	oldSchema := func(t *testing.T, b *testbed.Bed, _ func()) { listFakeRouter(t, b, fakeStatus(1), nil) }
	unreachable := func(t *testing.T, b *testbed.Bed, _ func()) { listFakeRouterAt(b, closedAddr(t)) }
	otherVM := func(_ *testing.T, b *testbed.Bed, _ func()) {
		listFakeRouterAt(b, testbed.SortedByKey(b.Routers())[0].Addr())
	}
	leaving := func(t *testing.T, b *testbed.Bed, _ func()) {
		listFakeRouter(t, b, fakeStatus(1, 2), func() { b.VMs.Remove(fakeRouter) })
	}
	behind := func(t *testing.T, b *testbed.Bed, interrupt func()) {
		answers := 0
		listFakeRouter(t, b, fakeStatus(1, 2), func() {
			if answers++; answers > answersBeforeInterrupt {
				interrupt()
			}
		})
	}
	return []publishCase{
		{"accepted", nil, newRecord(1), longTimeout, "", ExitOK, "\naccepted\n", "", "accepted"},
		{"list of records", nil, "[" + newRecord(2) + "," + newRecord(3) + "]", longTimeout, "", ExitOK, "record r-3\n", "", "accepted"},
		{"invalid file", nil, `[` + newRecord(4) + `,{"schema_version":2,"id":"r","author":"a","changes":[{"kind":"x","name":"y","spec":{}}]}]`, longTimeout, "",
			ExitInvalid, "", "record.json: $[1].changes[0].kind: must be pool, workspace or route (invalid)", "invalid"},
		{"conflict", nil, workspaceRecord("r-5", "billing", "other"), longTimeout, "",
			ExitConflict, "record r-5", "$.changes[0].replaces: workspace billing was put in force by record", "conflict"},
		{"id of another record", nil, workspaceRecord("thekkady-pools-1", "w-6", ""), longTimeout, "",
			ExitConflict, "", "$.id: id thekkady-pools-1 belongs to another record", "conflict"},
		{"schema version unreadable for a router", oldSchema, newRecord(7), longTimeout, "",
			ExitUnreadable, "", "$.schema_version: schema version 2 cannot be read by the routers [fake-router]", "unreadable"},
		{"log down", logDown, newRecord(8), shortTimeout, "", ExitUnconfirmed, "", "the record was not published", "unconfirmed"},
		{"router does not answer", unreachable, newRecord(9), longTimeout, "router fake-router did not report which schema versions it reads",
			ExitUnconfirmed, "", repeatAdvice, "unconfirmed"},
		{"another VM at the address", otherVM, newRecord(10), longTimeout, "router fake-router did not report", ExitUnconfirmed, "", "was not published", "unconfirmed"},
		{"router stays behind", behind, newRecord(11), longTimeout, "",
			ExitUnconfirmed, "fake-router: ", "not every router has reported the record in force: context canceled", "unconfirmed"},
		{"router leaves the list", leaving, newRecord(12), longTimeout, "", ExitOK, "fake-router: left the VM list", "", "accepted"},
	}
}

// run publishes the case's record.
func (c *publishCase) run(t *testing.T, b *testbed.Bed, flags ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.prepare != nil {
		c.prepare(t, b, cancel)
		defer b.VMs.Remove(fakeRouter)
	}
	args := append([]string{"publish", "-timeout", c.timeout}, standinFlags(b)...)
	args = append(append(args, flags...), writeFile(t, c.record))
	var out bytes.Buffer
	errOut := &textTrigger{want: c.interruptOn, onFound: cancel}
	code = run(ctx, commands(), args, &out, errOut)
	return code, out.String(), errOut.String()
}

// Guards against a publication whose exit code, findings or router lines do not
// match its outcome, one that cannot be repeated, and a refused record in force.
func TestPublish(t *testing.T) {
	b := startBed(t)
	for _, c := range publishCases() {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := c.run(t, b)
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
				t.Fatalf("code %d, stdout %q, stderr %q", code, stdout, stderr)
			}
			for name := range b.Routers() {
				if code == ExitOK && !strings.Contains(stdout, name+": in force at offset") {
					t.Errorf("no line for router %s: %q", name, stdout)
				}
			}
			code, stdout, _ = c.run(t, b, "-json")
			var out struct{ Records []publishResult }
			if err := json.Unmarshal([]byte(stdout), &out); err != nil {
				t.Fatalf("%v: %s", err, stdout)
			}
			if code != c.code || len(out.Records) == 0 || out.Records[len(out.Records)-1].Verdict != c.verdict {
				t.Fatalf("with -json: code %d, %s", code, stdout)
			}
		})
	}
	for _, n := range []int{4, 7, 8, 9, 10} {
		if code, stdout, _ := runCLI("get", "-log", b.LogURL(), "workspace", fmt.Sprintf("w-%d", n)); code != ExitFailure || strings.Contains(stdout, "r-") {
			t.Errorf("record r-%d was refused but is in force", n)
		}
	}
}

// Guards against a lost answer of the log that is reported as a failure, or whose
// retry publishes the record twice.
func TestPublishAfterLostAnswer(t *testing.T) {
	b := startBed(t)
	b.Log.SetLoseAnswers(true)
	file := writeFile(t, workspaceRecord("lost-1", "w-lost", ""))
	code, stdout, stderr := runCLI(append(append([]string{"publish"}, standinFlags(b)...), file)...)
	if code != ExitOK || !strings.Contains(stderr, "retrying: ") {
		t.Fatalf("code %d, want 0 after a retry, stdout %q, stderr %q", code, stdout, stderr)
	}
	if _, stdout, _ = runCLI("history", "-log", b.LogURL()); strings.Count(stdout, "lost-1") != 1 {
		t.Fatalf("history, want the record once: %s", stdout)
	}
}

// Guards against incorrect command lines that are accepted or give another exit code.
func TestOperatorUsage(t *testing.T) {
	for args, want := range map[string]string{
		"publish f.json":               "flag -log or -settings is required",
		"publish -log http://h f.json": "flag -vms or -settings is required",
		"publish -log h f.json":        `"h" is not an http or https URL`,
		"publish -timeout 0s f.json":   "must be above 0",
		"get -log http://h engine":     `unknown kind "engine"`,
		"get -router 127.0.0.1:1":      "-router needs -settings",
		"get -router a":                `"a" is not an IP address and a port`,
		"history -n 0":                 "must be at least 1",
		"status":                       "flag -vms or -settings is required",
		"validate":                     "needs at least 1 argument",
	} {
		code, stdout, stderr := runCLI(strings.Fields(args)...)
		if code != ExitUsage || stdout != "" || !strings.Contains(stderr, want) {
			t.Errorf("%s: code %d, stdout %q, stderr %q", args, code, stdout, stderr)
		}
	}
}

// Guards against findings without file and path, and against a file that is
// skipped after an invalid one.
func TestValidate(t *testing.T) {
	good := writeFile(t, workspaceRecord("a", "b", ""))
	bad := writeFile(t, `[]`)
	later := writeFile(t, `{"schema_version":9}`)
	code, stdout, stderr := runCLI("validate", bad, later, "none.json", good, "../../examples/lam-dong/records.json", "../../examples/thekkady/change-billing.json")
	for _, want := range []string{bad + ": $: the list holds no record", later + ": $.schema_version: schema version 9", "none.json: $: cannot read"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("no %q in %q", want, stderr)
		}
	}
	if code != ExitInvalid || !strings.Contains(stdout, good+": 1 valid record\n") || !strings.Contains(stdout, "records.json: 2 valid records\n") {
		t.Errorf("code %d, stdout %q", code, stdout)
	}
	code, stdout, _ = runCLI("validate", "-json", bad)
	if code != ExitInvalid || !strings.Contains(stdout, `"path": "$"`) {
		t.Errorf("with -json: code %d, stdout %q", code, stdout)
	}
}

// Guards against a state, history or fleet view that does not show a fault of the
// log, of a router or of a record.
func TestReadCommands(t *testing.T) {
	b := startBed(t)
	listFakeRouterAt(b, closedAddr(t))
	b.MarkLeaving(testbed.SortedByKey(b.Engines())[0].Name())
	_, spec, _ := runCLI("get", "-log", b.LogURL(), "-json", "pool", "malli-llm")
	checkRepublishable(t, spec)
	later := []byte(`{"schema_version":3,"id":"later-1"}`)
	if _, err := b.Log.Append(t.Context(), fleetconfig.StreamName, [][]byte{[]byte("broken"), later}); err != nil {
		t.Fatal(err)
	}
	down := "http://" + closedAddr(t)
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"get -log LOG", ExitUnreadable, []string{"malli-llm", "registrar-desk", "renewal", "cannot read the schema version of the record at offset 3"}},
		{"get -log LOG -json workspace billing", ExitUnreadable, []string{`"version": "thekkady-workspaces-1"`, `"unreadable_offset": 3`}},
		{"history -log LOG", ExitOK, []string{"2       rejected", "3       unreadable", "offset 2: config: $: "}},
		{"history -log LOG -json -n 1", ExitOK, []string{`"outcome": "unreadable"`}},
		{"status -vms VMS", ExitOK, []string{"leaving: thekkady-engine-1", "fake-router", "does not answer", "pool malli-llm, owner thekkady-router-"}},
		{"status -vms VMS -json", ExitOK, []string{`"error": "Get`, `"by_category"`, `"skew"`, `"refused"`}},
		{"get -log " + down, ExitFailure, []string{"log service unavailable"}},
		{"history -log " + down, ExitFailure, []string{"log service unavailable"}},
		{"status -vms " + down, ExitFailure, []string{"VM list service is unavailable"}},
	} {
		args := strings.NewReplacer("LOG", b.LogURL(), "VMS", b.VMListURL()).Replace(c.args)
		code, stdout, stderr := runCLI(strings.Fields(args)...)
		if code != c.code {
			t.Errorf("%s: code %d, stderr %s", c.args, code, stderr)
		}
		for _, want := range c.want {
			if !strings.Contains(stdout+stderr, want) {
				t.Errorf("%s: no %q in %s%s", c.args, want, stdout, stderr)
			}
		}
	}
}

// Guards against showing another state than the one in force on the router, and
// against showing it to a client without the fleet key.
func TestGetFromRouter(t *testing.T) {
	b := startBed(t)
	addr := testbed.SortedByKey(b.Routers())[0].PeerAddr()
	_, want, _ := runCLI("get", "-log", b.LogURL())
	for _, c := range []struct {
		key, addr    string
		code         int
		stdout, text string
	}{
		{hex.EncodeToString(append([]byte{1, 2, 3, 4}, make([]byte, 28)...)), addr, ExitOK, want, ""},
		{strings.Repeat("0", 64), addr, ExitFailure, "", "ask router " + addr},
		{strings.Repeat("0", 64), closedAddr(t), ExitFailure, "", "connection refused"},
	} {
		file := writeFile(t, `{"vm":"r-1","data_centre":"tvm-hall","region":"kerala-south",
			"listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2"},"peer_address":"127.0.0.1:2",
			"log_endpoint":"http://127.0.0.1:3","vm_list_endpoint":"http://127.0.0.1:4","fleet_key":"`+c.key+`"}`)
		code, stdout, stderr := runCLI("get", "-settings", file, "-router", c.addr)
		if code != c.code || stdout != c.stdout || !strings.Contains(stderr, c.text) {
			t.Errorf("code %d, stdout %q, stderr %q", code, stdout, stderr)
		}
	}
}

// checkRepublishable checks that the output of get is valid as a change of the
// same object.
func checkRepublishable(t *testing.T, output string) {
	t.Helper()
	var got struct {
		Objects []struct {
			Kind, Name, Version string
			Spec                json.RawMessage
		}
	}
	if err := json.Unmarshal([]byte(output), &got); err != nil || len(got.Objects) != 1 {
		t.Fatalf("%v: %s", err, output)
	}
	o := got.Objects[0]
	text := fmt.Sprintf(`{"schema_version":2,"id":"next","author":"a","changes":[{"kind":%q,"name":%q,"replaces":%q,"spec":%s}]}`, o.Kind, o.Name, o.Version, o.Spec)
	if code, _, stderr := runCLI("validate", writeFile(t, text)); code != ExitOK {
		t.Fatalf("%s: %s", text, stderr)
	}
}
