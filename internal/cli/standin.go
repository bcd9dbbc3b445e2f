package cli

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/simserver"
	"github.com/bluebellwell/bluebellwell/internal/standin/vmsim"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

func standinCommand() *Command {
	return &Command{
		Name:     "standin",
		Summary:  "run a stand-in of an outside system",
		Synopsis: "(log|vms|engine|backend) [flags]",
		Description: `Runs a stand-in of an outside system on loopback, for manual tests:
  log      the log service, in memory
  vms      the VM list, from a file
  engine   model engines
  backend  plain backend servers
"bluebellwell standin KIND -h" shows the flags of a kind. A stand-in runs until it
is interrupted.`,
		Examples: []string{
			"standin log -listen 127.0.0.1:18001",
			"standin vms -listen 127.0.0.1:18002 -file examples/thekkady/vms.json",
			"standin engine -listen 127.0.0.1:18201 -count 3",
			"standin backend -listen 127.0.0.1:18301 -count 2",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		MinArgs:   1,
		MaxArgs:   -1,
		Setup: func(*flag.FlagSet) RunFunc {
			return runStandin
		},
	}
}

func runStandin(ctx context.Context, env Env) error {
	kind := findCommand(standinKinds(), "standin "+env.Args[0])
	if kind == nil {
		return UsageErrorf("unknown stand-in %q; must be log, vms, engine or backend", env.Args[0])
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return kind.parseAndRun(ctx, env.Args[1:], env.Stdout, env.Stderr)
}

// standinKinds returns the sub-commands of standin.
func standinKinds() []*Command {
	codes := []int{ExitOK, ExitFailure, ExitUsage}
	return []*Command{
		{
			Name: "standin log", Summary: "run the stand-in of the log service", Synopsis: "[flags]",
			Description: "Keeps all streams in memory; they are lost when it ends.",
			Examples:    []string{"standin log -listen 127.0.0.1:18001"},
			ExitCodes:   codes, Setup: setupStandinLog,
		},
		{
			Name: "standin vms", Summary: "run the stand-in of the VM list", Synopsis: "[-listen ADDR] -file FILE",
			Description: `Serves the list of a file, which has the form of the answer of GET /vms. The file
is read again when it has changed; a file that is not valid then leaves the list
as it is. POST /vms with one VM in JSON adds or replaces it, DELETE /vms/NAME
removes one; both last until the file changes.`,
			Examples:  []string{"standin vms -listen 127.0.0.1:18002 -file examples/thekkady/vms.json"},
			ExitCodes: append(codes, ExitInvalid), Setup: setupStandinVMs,
		},
		{
			Name: "standin engine", Summary: "run stand-ins of model engines", Synopsis: "[flags]",
			Description: "Runs engines on consecutive ports. The answers are generated text.",
			Examples:    []string{"standin engine -listen 127.0.0.1:18201 -count 3 -slots 8"},
			ExitCodes:   codes, Setup: setupStandinEngine,
		},
		{
			Name: "standin backend", Summary: "run stand-ins of plain backend servers", Synopsis: "[flags]",
			Description: "Runs plain backend servers on consecutive ports.",
			Examples:    []string{"standin backend -listen 127.0.0.1:18301 -count 2"},
			ExitCodes:   codes, Setup: setupStandinBackend,
		},
	}
}

// listenFlag defines the flag for an address on loopback.
func listenFlag(fs *flag.FlagSet, addr string) *netip.AddrPort {
	listen := netip.MustParseAddrPort(addr)
	fs.Func("listen", "`ADDR` on loopback, first one if there are several (default "+addr+")", func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().IsLoopback() {
			return eris.New("must be a loopback IP address and a port")
		}
		listen = a
		return nil
	})
	return &listen
}

// maxServers bounds the servers of one stand-in process.
const maxServers = 100

func countFlag(fs *flag.FlagSet) *int {
	return fs.Int("count", 1, "`NUMBER` of servers, on consecutive ports")
}

// consecutiveAddrs returns count addresses on consecutive ports. With port 0 each
// server gets any free port.
func consecutiveAddrs(first netip.AddrPort, count int) ([]string, error) {
	if count < 1 || count > maxServers || int(first.Port())+count-1 > 65535 {
		return nil, UsageErrorf("flag -count must be 1 to %d, and the ports at most 65535", maxServers)
	}
	list := make([]string, count)
	for i := range list {
		port := first.Port()
		if port != 0 {
			port += uint16(i)
		}
		list[i] = netip.AddrPortFrom(first.Addr(), port).String()
	}
	return list, nil
}

func setupStandinLog(fs *flag.FlagSet) RunFunc {
	listen := listenFlag(fs, "127.0.0.1:18001")
	rate := fs.Float64("appends-per-second", 0, "`RATE` above which appends are refused; 0 means no limit")
	retention := fs.Duration("retention", 0, "`TIME` after which records are deleted; 0 means never")
	return func(ctx context.Context, env Env) error {
		log := logsim.New(logsim.Options{AppendsPerSecond: *rate, Retention: *retention})
		var server simserver.Server
		addr, err := server.Start(listen.String(), log.Handler())
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		defer server.Close()
		return serveUntilDone(ctx, env, "log service", addr)
	}
}

// serveUntilDone prints the addresses of a stand-in and waits until ctx ends.
func serveUntilDone(ctx context.Context, env Env, label string, addrs ...string) error {
	for _, addr := range addrs {
		fmt.Fprintf(env.Stdout, "%s: http://%s\n", label, addr)
	}
	<-ctx.Done()
	return nil
}

func setupStandinVMs(fs *flag.FlagSet) RunFunc {
	listen := listenFlag(fs, "127.0.0.1:18002")
	file := fs.String("file", "", "`FILE` of the list in JSON (required)")
	return func(ctx context.Context, env Env) error {
		if *file == "" {
			return UsageErrorf("flag -file is required")
		}
		clock := clockwork.NewRealClock()
		f := &vmFile{file: *file, list: vmsim.NewAt(clock, uint64(clock.Now().Unix())), errOut: env.Stderr}
		if err := f.load(); err != nil {
			return err
		}
		var server simserver.Server
		addr, err := server.Start(listen.String(), f.handler())
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		defer server.Close()
		return serveUntilDone(ctx, env, "VM list", addr)
	}
}

func setupStandinEngine(fs *flag.FlagSet) RunFunc {
	listen := listenFlag(fs, "127.0.0.1:18201")
	count := countFlag(fs)
	var cfg enginesim.Config
	fs.IntVar(&cfg.Slots, "slots", 16, "`NUMBER` of requests that run at once")
	fs.DurationVar(&cfg.DecodePerToken, "token-time", 20*time.Millisecond, "`TIME` for each generated token")
	fs.DurationVar(&cfg.PrefillPerToken, "prefill-time", 200*time.Microsecond, "`TIME` for each prompt token that is not cached")
	fs.IntVar(&cfg.CacheTokens, "cache-tokens", 200_000, "`SIZE` of the prompt cache in tokens")
	fs.BoolVar(&cfg.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	return func(ctx context.Context, env Env) error {
		if cfg.Slots < 1 || cfg.DecodePerToken <= 0 || cfg.PrefillPerToken <= 0 || cfg.CacheTokens < 1 {
			return UsageErrorf("slots, times and cache size must be above 0")
		}
		addrs, err := consecutiveAddrs(*listen, *count)
		if err != nil {
			return err
		}
		for i := range addrs {
			cfg.Name = fmt.Sprintf("engine-%d", i+1)
			e := enginesim.New(cfg)
			defer e.Close()
			if addrs[i], err = e.Start(addrs[i]); err != nil {
				return eris.Wrap(err, "listen")
			}
		}
		return serveUntilDone(ctx, env, "engine", addrs...)
	}
}

func setupStandinBackend(fs *flag.FlagSet) RunFunc {
	listen := listenFlag(fs, "127.0.0.1:18301")
	count := countFlag(fs)
	delay := fs.Duration("delay", 0, "`TIME` from the effect of a request to its answer")
	return func(ctx context.Context, env Env) error {
		addrs, err := consecutiveAddrs(*listen, *count)
		if err != nil {
			return err
		}
		for i := range addrs {
			s := backendsim.New(backendsim.Config{Name: fmt.Sprintf("backend-%d", i+1), Delay: *delay})
			defer s.Close()
			if addrs[i], err = s.Start(addrs[i]); err != nil {
				return eris.Wrap(err, "listen")
			}
		}
		return serveUntilDone(ctx, env, "backend server", addrs...)
	}
}

// decodeVM decodes one VM and checks it like a VM of the list service.
func decodeVM(data []byte) (vmlist.VM, error) {
	list, err := vmlist.Decode([]byte(`{"vms":[` + strings.TrimSpace(string(data)) + `]}`))
	if err != nil {
		return vmlist.VM{}, err
	}
	if len(list.VMs) != 1 {
		return vmlist.VM{}, eris.New("the body must contain one VM")
	}
	return list.VMs[0], nil
}
