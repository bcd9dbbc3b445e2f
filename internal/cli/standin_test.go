package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// lineChannel sends each write to a channel.
type lineChannel chan string

func (l lineChannel) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// startStandin runs a stand-in until the test ends and returns its base URLs.
func startStandin(t *testing.T, count int, args ...string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	out := make(lineChannel, count)
	var errOut lockedBuffer
	code := make(chan int, 1)
	go func() { code <- run(ctx, commands(), append([]string{"standin"}, args...), out, &errOut) }()
	t.Cleanup(func() {
		cancel()
		if c := <-code; c != ExitOK {
			t.Errorf("%v: code %d", args, c)
		}
	})
	var urls []string
	for range count {
		select {
		case line := <-out:
			_, url, _ := strings.Cut(strings.TrimSpace(line), ": ")
			urls = append(urls, url)
		case c := <-code:
			code <- c
			t.Fatalf("%v: code %d, %s", args, c, errOut.String())
		}
	}
	return urls
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func sendRequest(t *testing.T, method, url, body string, header map[string]string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// Guards against stand-ins whose processes do not serve the protocols that the
// routers use.
func TestStandinsServe(t *testing.T) {
	log := startStandin(t, 1, "log", "-listen", "127.0.0.1:0")[0]
	client := logstream.NewClient(log, http.DefaultClient, &meter.Meter{}, meter.LogAppend, meter.LogRead)
	if first, err := client.Append(t.Context(), "s", [][]byte{[]byte("a")}); err != nil || first != 0 {
		t.Fatalf("append: %d, %v", first, err)
	}
	if page, err := client.Read(t.Context(), "s", 0, 1, 0); err != nil || len(page.Records) != 1 {
		t.Fatalf("read: %+v, %v", page, err)
	}
	for _, url := range startStandin(t, 2, "engine", "-listen", "127.0.0.1:0", "-count", "2", "-token-time", "1ms") {
		code, body := sendRequest(t, "POST", url+"/v1/chat/completions", `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`,
			map[string]string{"X-Attempt-Id": "a"})
		if code != http.StatusOK || !strings.Contains(body, "usage") {
			t.Fatalf("engine: %d, %s", code, body)
		}
	}
	backend := startStandin(t, 1, "backend", "-listen", "127.0.0.1:0")[0]
	if code, body := sendRequest(t, "POST", backend+"/renewals", `{}`, map[string]string{"X-Attempt-Id": "a"}); code/100 != 2 {
		t.Fatalf("backend server: %d, %s", code, body)
	}
}

func vmFileOf(names ...string) string {
	var vms []string
	for _, name := range names {
		vms = append(vms, `{"name":"`+name+`","role":"engine","pool":"p","data_centre":"d","addr":"127.0.0.1:1","state":"live"}`)
	}
	return `{"vms":[` + strings.Join(vms, ",") + `]}`
}

// Guards against a list that ignores changes of its file, that loses its VMs when
// the file is damaged, or that returns to an older version.
func TestStandinVMsFollowsFile(t *testing.T) {
	file := writeFile(t, vmFileOf("a"))
	url := startStandin(t, 1, "vms", "-listen", "127.0.0.1:0", "-file", file)[0]
	client := vmlist.NewClient(url, http.DefaultClient, &meter.Meter{})
	version := uint64(0)
	expect := func(step string, want ...string) {
		t.Helper()
		list, err := client.Fetch(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, vm := range list.VMs {
			got = append(got, vm.Name)
		}
		if strings.Join(got, " ") != strings.Join(want, " ") || list.Version < version {
			t.Fatalf("%s: version %d, VMs %v, want %v", step, list.Version, got, want)
		}
		version = list.Version
	}
	rewrite := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expect("start", "a")
	rewrite(vmFileOf("a", "bb"))
	expect("changed file", "a", "bb")
	rewrite(`{"vms":[{}]}`)
	expect("invalid file", "a", "bb")
	one := strings.TrimSuffix(strings.TrimPrefix(vmFileOf("c"), `{"vms":[`), `]}`)
	for body, want := range map[string]int{one: http.StatusOK, "{}": http.StatusBadRequest, one + "," + one: http.StatusBadRequest} {
		if code, text := sendRequest(t, "POST", url+"/vms", body, nil); code != want {
			t.Fatalf("POST %s: %d, %s", body, code, text)
		}
	}
	expect("added by POST", "a", "bb", "c")
	if code, _ := sendRequest(t, "DELETE", url+"/vms/a", "", nil); code != http.StatusOK {
		t.Fatalf("DELETE: %d", code)
	}
	expect("removed by DELETE", "bb", "c")
}

// Guards against incorrect command lines that start a stand-in, above all one
// that is reachable from other machines.
func TestStandinUsage(t *testing.T) {
	bad := writeFile(t, "{")
	for args, want := range map[string]struct {
		code int
		text string
	}{
		"":                           {ExitUsage, "needs at least 1 argument"},
		"x":                          {ExitUsage, `unknown stand-in "x"`},
		"log -h":                     {ExitOK, "-retention TIME"},
		"log extra":                  {ExitUsage, `unexpected argument "extra"`},
		"log -listen 0.0.0.0:0":      {ExitUsage, "must be a loopback IP address"},
		"vms":                        {ExitUsage, "flag -file is required"},
		"vms -file " + bad:           {ExitInvalid, bad + ": $: "},
		"vms -file " + bad + ".none": {ExitInvalid, "no such file"},
		"engine -slots 0":            {ExitUsage, "must be above 0"},
		"engine -count 101":          {ExitUsage, "flag -count must be 1 to 100"},
		"backend -count 0":           {ExitUsage, "flag -count must be 1 to 100"},
	} {
		code, stdout, stderr := runCLI(append([]string{"standin"}, strings.Fields(args)...)...)
		if code != want.code || !strings.Contains(stdout+stderr, want.text) {
			t.Errorf("%q: code %d, stdout %q, stderr %q", args, code, stdout, stderr)
		}
	}
}

// Guards against an example list that does not match the example settings.
func TestExampleVMLists(t *testing.T) {
	for _, site := range []string{"thekkady", "lam-dong"} {
		dir := filepath.Join("../../examples", site)
		data, err := os.ReadFile(filepath.Join(dir, "vms.json"))
		if err != nil {
			t.Fatal(err)
		}
		list, err := vmlist.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range list.VMs {
			if vm.Role != vmlist.RoleRouter {
				continue
			}
			s, err := settings.Load(filepath.Join(dir, vm.Name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			if s.VM != vm.Name || s.DataCentre != vm.DataCentre || s.ListenCallers.String() != vm.Addr || s.PeerAddress.String() != vm.PeerAddr {
				t.Errorf("%s: the settings of %s differ from the list", site, vm.Name)
			}
		}
	}
}
