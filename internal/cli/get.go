package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/record"
)

// defaultReadTimeout bounds the commands that only read.
const defaultReadTimeout = 10 * time.Second

func getCommand() *Command {
	return &Command{
		Name:     "get",
		Summary:  "show the configuration in force",
		Synopsis: "(-log URL | -settings FILE [-router ADDR]) [-timeout TIME] [-json] [pool|workspace|route [NAME]]",
		Description: `Shows the objects in force, with the id of the record that put each in force. A
change of the object has to name this id in its field "replaces". The specs have
the form of schema version 2, with all defaults filled in. The state is read from
the log, or with -router from one router, which is asked at its peer address with
the fleet key of the settings. "status" shows which routers have it in force.`,
		Examples: []string{
			"get -log http://127.0.0.1:18001 workspace",
			"get -settings examples/thekkady/router-kochi-a-1.json -json pool malli-llm",
			"get -settings examples/thekkady/router-kochi-a-1.json -router 127.0.0.1:18181 route",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid, ExitUnreadable},
		MaxArgs:   2,
		Setup:     setupGet,
	}
}

func setupGet(fs *flag.FlagSet) RunFunc {
	var p platformFlags
	p.defineLog(fs)
	p.defineSettings(fs)
	timeout := fs.Duration("timeout", defaultReadTimeout, "longest `TIME` for reading the log")
	asJSON := fs.Bool("json", false, "print JSON")
	router := fs.String("router", "", "peer `ADDR` of a router whose state is shown")
	return func(ctx context.Context, env Env) error {
		kind, name, err := parseSelection(env.Args)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		out, config, err := readForGet(ctx, &p, *router)
		if err != nil {
			return err
		}
		return showState(out, config, kind, name, *asJSON, env)
	}
}

// parseSelection returns the kind and name of the arguments; empty means all.
func parseSelection(args []string) (kind record.Kind, name string, err error) {
	if len(args) > 0 {
		kind = record.Kind(args[0])
		if kind != record.KindPool && kind != record.KindWorkspace && kind != record.KindRoute {
			return "", "", UsageErrorf("unknown kind %q; must be pool, workspace or route", args[0])
		}
	}
	if len(args) > 1 {
		name = args[1]
	}
	return kind, name, nil
}

// stateInForce is the JSON form of the command's output.
type stateInForce struct {
	// NextOffset is the offset after the last record applied.
	NextOffset uint64 `json:"next_offset"`
	Head       uint64 `json:"head"`
	// UnreadableOffset is set when this program cannot read a record; the state
	// is then that before the record.
	UnreadableOffset *uint64        `json:"unreadable_offset,omitempty"`
	Objects          []objectOutput `json:"objects"`
}

// objectOutput is one object in force.
type objectOutput struct {
	Kind record.Kind `json:"kind"`
	Name string      `json:"name"`
	// Version is the id of the record that put the object in force.
	Version string `json:"version"`
	Spec    any    `json:"spec"`
}

// readForGet reads the state from the log, or from a router if its address is given.
func readForGet(ctx context.Context, p *platformFlags, router string) (*stateInForce, *record.Config, error) {
	if router != "" {
		return routerState(ctx, p.settings, router)
	}
	if err := p.resolve(true, false); err != nil {
		return nil, nil, err
	}
	hc := newHTTPClient()
	defer hc.CloseIdleConnections()
	reader, err := readState(ctx, p.openLog(hc))
	if err != nil {
		return nil, nil, err
	}
	snap := reader.Snapshot()
	out := &stateInForce{NextOffset: snap.Log.Applied, Head: snap.Log.Head}
	if snap.Unreadable != nil {
		out.UnreadableOffset = &snap.Unreadable.Offset
	}
	return out, snap.Config, nil
}

func showState(out *stateInForce, config *record.Config, kind record.Kind, name string, asJSON bool, env Env) error {
	out.Objects = selectObjects(objectsOf(config), kind, name)
	if err := out.write(env.Stdout, asJSON); err != nil {
		return err
	}
	if out.UnreadableOffset != nil {
		return WithCode(ExitUnreadable, eris.Errorf("this program cannot read the schema version of the record at offset %d; the state before it is shown",
			*out.UnreadableOffset))
	}
	if name != "" && len(out.Objects) == 0 {
		return eris.Errorf("no %s %s is in force", kind, name)
	}
	return nil
}

func selectObjects(all []objectOutput, kind record.Kind, name string) []objectOutput {
	return slices.DeleteFunc(all, func(o objectOutput) bool {
		return kind != "" && o.Kind != kind || name != "" && o.Name != name
	})
}

func (s *stateInForce) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return writeIndented(w, s)
	}
	fmt.Fprintf(w, "state before offset %d; head of the log is %d\n", s.NextOffset, s.Head)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tNAME\tVERSION\tSPEC")
	for _, o := range s.Objects {
		spec, err := json.Marshal(o.Spec)
		if err != nil {
			return eris.Wrap(err, "encode the spec")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", o.Kind, o.Name, o.Version, spec)
	}
	return t.Flush()
}

// objectsOf returns all objects, sorted by kind and name.
func objectsOf(c *record.Config) []objectOutput {
	objects := []objectOutput{}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		p := c.Pools[name]
		objects = append(objects, objectOutput{record.KindPool, name, p.Version, poolSpecOf(p)})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		w := c.Workspaces[name]
		objects = append(objects, objectOutput{record.KindWorkspace, name, w.Version, workspaceSpecOf(w)})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		objects = append(objects, objectOutput{record.KindRoute, name, r.Version, routeSpecOf(r)})
	}
	return objects
}
