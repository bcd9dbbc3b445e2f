package statechart

import (
	"embed"
	"sync"
)

//go:embed charts/*.json
var chartFiles embed.FS

var (
	routerChart        = sync.OnceValue(func() *Chart { return mustLoad("router") })
	engineChart        = sync.OnceValue(func() *Chart { return mustLoad("engine") })
	orderChart         = sync.OnceValue(func() *Chart { return mustLoad("order") })
	nonRepeatableChart = sync.OnceValue(func() *Chart { return mustLoad("nonrepeatable") })
)

// Router returns the chart of a router daemon.
func Router() *Chart { return routerChart() }

// Engine returns the chart of an engine from the view of its pool's owner. An
// engine that is listed again under the same name after "gone" gets a new machine.
func Engine() *Chart { return engineChart() }

// Order returns the chart of an order to an engine. A confirmed or repaired
// order is in force but not final, because a late order of an earlier lease
// holder can still overwrite it on an engine that does not check fencing numbers.
func Order() *Chart { return orderChart() }

// NonRepeatable returns the chart of a non-repeatable request.
func NonRepeatable() *Chart { return nonRepeatableChart() }

// mustLoad loads an embedded chart. An invalid chart is a programming error.
func mustLoad(name string) *Chart {
	file := "charts/" + name + ".json"
	data, err := chartFiles.ReadFile(file)
	if err != nil {
		panic(err)
	}
	chart, err := Load(file, data)
	if err != nil {
		panic(err)
	}
	return chart
}
