package enginesim

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq       uint64    `json:"seq"`
	Op        string    `json:"op"`
	PrefixKey string    `json:"prefix_key,omitempty"`
	SystemKey string    `json:"system_key,omitempty"`
	Tokens    int       `json:"tokens"`
	Time      time.Time `json:"time"`
}

// CacheEvents is the answer of GET /cache/events.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
}

// addCacheEvent records an event. A dropped event leaves a gap in the sequence
// numbers.
func (e *Engine) addCacheEvent(boot *bootState, op string, c *cacheEntry) {
	seq := boot.nextSeq
	boot.nextSeq++
	if e.cfg.DropCacheEventEvery > 0 && seq%uint64(e.cfg.DropCacheEventEvery) == 0 {
		return
	}
	ev := CacheEvent{Seq: seq, Op: op, SystemKey: c.systemKey, Tokens: c.tokens, Time: e.clock.Now()}
	if !c.key.system {
		ev.PrefixKey = c.key.key
	}
	boot.events = append(boot.events, ev)
	if len(boot.events) > maxCacheEvents {
		boot.events = boot.events[1:]
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit, err := strconv.Atoi(r.URL.Query().Get("max"))
	if err != nil || limit <= 0 {
		limit = maxCacheEventsAnswer
	}
	limit = min(limit, maxCacheEventsAnswer)
	e.mu.Lock()
	visible := e.clock.Now().Add(-e.cfg.CacheEventLag)
	out := CacheEvents{BootID: e.bootState.bootID, Events: []CacheEvent{}}
	for _, ev := range e.bootState.events {
		if ev.Seq > after && !ev.Time.After(visible) && len(out.Events) < limit {
			out.Events = append(out.Events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// kvBlob is the exported form of a prefix. A client treats it as opaque.
type kvBlob struct {
	PrefixKey    string `json:"prefix_key"`
	SystemKey    string `json:"system_key"`
	Tokens       int    `json:"tokens"`
	SystemTokens int    `json:"system_tokens"`
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request")
	}
	return err == nil
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var blob kvBlob
	if !readJSON(w, r, &blob) {
		return
	}
	e.mu.Lock()
	system, own := e.bootState.cache.lookup(blob.PrefixKey, blob.SystemKey)
	e.mu.Unlock()
	if own == 0 {
		writeError(w, http.StatusNotFound, "not_cached")
		return
	}
	blob.Tokens, blob.SystemTokens = system+own, system
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(blob)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob kvBlob
	if !readJSON(w, r, &blob) {
		return
	}
	if blob.SystemTokens < 0 || blob.Tokens < blob.SystemTokens {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	e.mu.Lock()
	e.bootState.cache.store(blob.PrefixKey, blob.SystemKey, blob.Tokens, blob.SystemTokens)
	cachedTokens := e.bootState.cache.cachedTokens(blob.PrefixKey, blob.SystemKey, blob.Tokens)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"tokens": cachedTokens})
}

// Kinds of orders. Each states the result, so that a repetition changes nothing.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order is the body of POST /orders.
type Order struct {
	OrderID string `json:"order_id"`
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// ModelState is one loaded model.
type ModelState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// OrdersState is the answer of GET /orders/state.
type OrdersState struct {
	BootID string `json:"boot_id"`
	// Fencing is the highest number of an applied order.
	Fencing     uint64       `json:"fencing"`
	LastOrderID string       `json:"last_order_id"`
	Models      []ModelState `json:"models"`
}

// OrderRecord is one order that reached the engine.
type OrderRecord struct {
	Order
	BootID string
	Time   time.Time
	// Stale is set when a higher fencing number was applied before.
	Stale bool
	// Applied is false for a refused order.
	Applied bool
}

// Orders returns the orders that reached the engine, also before a restart.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

// OrdersState returns the models and orders in force.
func (e *Engine) OrdersState() OrdersState {
	e.mu.Lock()
	defer e.mu.Unlock()
	boot := e.bootState
	s := OrdersState{BootID: boot.bootID, Fencing: boot.fencing, LastOrderID: boot.lastOrderID, Models: []ModelState{}}
	for _, m := range boot.models {
		s.Models = append(s.Models, m)
	}
	sort.Slice(s.Models, func(i, j int) bool { return s.Models[i].Model < s.Models[j].Model })
	return s
}

func (e *Engine) serveOrdersState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.OrdersState())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	if o.OrderID == "" || (o.Kind != OrderLoad && o.Kind != OrderUnload && o.Kind != OrderRole) {
		writeError(w, http.StatusBadRequest, "invalid_order")
		return
	}
	e.mu.Lock()
	refused := e.applyOrder(o)
	drop := e.faults.DropOrderAnswer
	e.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if refused {
		writeError(w, http.StatusConflict, "old_fencing")
		return
	}
	writeJSON(w, http.StatusOK, e.OrdersState())
}

// applyOrder carries out an order and reports whether it was refused for its
// fencing number. The caller holds mu.
func (e *Engine) applyOrder(o Order) bool {
	boot := e.bootState
	rec := OrderRecord{Order: o, BootID: boot.bootID, Time: e.clock.Now(), Stale: o.Fencing < boot.fencing}
	refused := rec.Stale && e.cfg.CheckFencing
	rec.Applied = !refused
	e.orders = append(e.orders, rec)
	if refused {
		return true
	}
	boot.fencing = max(boot.fencing, o.Fencing)
	boot.lastOrderID = o.OrderID
	boot.apply(o)
	return false
}

func (b *bootState) apply(o Order) {
	switch o.Kind {
	case OrderLoad:
		b.models[o.Model] = ModelState{Model: o.Model, Version: o.Version, Role: o.Role}
	case OrderUnload:
		delete(b.models, o.Model)
	case OrderRole:
		if m, ok := b.models[o.Model]; ok {
			m.Role = o.Role
			b.models[o.Model] = m
		}
	}
}
