//go:build review

package main

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

const (
	callerHost  = "ficu95.example"
	serviceName = "gang-dispatch"
	unsafePath  = "/puxa403/"
	safePath    = "/cufi504/"
)

// operator publishes configurations, each with the keys that hold.
type operator struct {
	rec     *record
	store   *store
	version int
	// keys has the tenant of each key.
	keys map[string]string
}

// publish writes the configuration and returns when the store has confirmed it.
func (o *operator) publish(what string) time.Time {
	o.version += 2
	byTenant := make(map[string][]string)
	for _, key := range slices.Sorted(maps.Keys(o.keys)) {
		byTenant[o.keys[key]] = append(byTenant[o.keys[key]], key)
	}
	tenants := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": byTenant[name]})
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "latencyTargetMs": 100,
			"priority": 2, "upstream": serviceName, "maxAttempts": attempts, "public": false, "sticky": false,
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version":   o.version,
		"routes":    []any{route("cancel-notice", unsafePath, "unsafe", 1), route("arrival-confirm", safePath, "safe", 2)},
		"upstreams": []any{map[string]any{"name": serviceName, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":    map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":   tenants,
	})
	at := o.store.put("keyed.op", "config", value)
	o.rec.add("confirmed version %d: %s", o.version, what)
	return at
}
