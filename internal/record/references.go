package record

import (
	"fmt"
	"maps"
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// CheckReferences checks the rules between the objects of a configuration: a
// route names an existing plain pool, no two routes select the same requests of
// a pool, and a model belongs to one pool. The order of the findings depends on
// the configuration alone. path returns the JSON path of an object for a finding.
func CheckReferences(c *Config, list *findings.List, path func(Kind, string) string) {
	checkRoutes(c, list, path)
	checkModels(c, list, path)
}

func checkRoutes(c *Config, list *findings.List, path func(Kind, string) string) {
	selectors := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		pool, ok := c.Pools[r.Pool]
		if !ok {
			list.Add(path(KindRoute, name), findings.CodeInvalid, "route %s uses pool %s, which does not exist", name, r.Pool)
		} else if pool.Type != PoolPlain {
			list.Add(path(KindRoute, name), findings.CodeInvalid, "route %s uses pool %s, which is not plain", name, r.Pool)
		}
		selector := fmt.Sprintf("%s %s %s", r.Pool, r.Method, r.PathPrefix)
		if other, duplicate := selectors[selector]; duplicate {
			list.Add(path(KindRoute, name), findings.CodeInvalid, "routes %s and %s select the same requests", other, name)
		}
		selectors[selector] = name
	}
}

func checkModels(c *Config, list *findings.List, path func(Kind, string) string) {
	pools := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		for _, model := range c.Pools[name].Models {
			if other, duplicate := pools[model]; duplicate {
				list.Add(path(KindPool, name), findings.CodeInvalid, "model %s belongs to the pools %s and %s", model, other, name)
			}
			pools[model] = name
		}
	}
}
