package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store: topics of one partition, whose records have keys.
type store struct {
	mu      sync.Mutex
	topics  map[string][]keyedRecord
	changed chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]keyedRecord), changed: make(chan struct{})}
}

// put appends a record to a topic.
func (s *store) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.append(topic, []keyedRecord{{key, text}})
}

func (s *store) append(topic string, records []keyedRecord) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bluebellwell/log-newest", s.serveNewest)
	mux.HandleFunc("GET /bluebellwell/log-read", s.serveRead)
	mux.HandleFunc("POST /bluebellwell/log-append", s.serveAppend)
	return mux
}

// newestItem is one entry of the answer to log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]newestItem)
	for i, k := range records {
		newest[k.key] = newestItem{k.key, base64.StdEncoding.EncodeToString(k.value), i}
		if len(k.value) == 0 {
			delete(newest, k.key)
		}
	}
	end := len(records)
	s.mu.Unlock()
	items := make([]newestItem, 0, len(newest))
	for _, item := range newest {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b newestItem) int { return a.Offset - b.Offset })
	answer(w, map[string]any{"items": items, "more": false, "end": end})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the router has gone.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead encodes the records from an offset on, after the end and the first retained offset.
func encodeRead(records []keyedRecord, from int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, k := range records[min(from, len(records)):] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(k.key)+len(k.value)))
		b = append(append(append(b, byte(len(k.key))), k.key...), k.value...)
	}
	return b
}

// serveAppend takes what the routers write. The routers write little; a condition holds while the topic ends where it says.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"end": end})
		return
	}
	records := decodeRecords(body)
	offset := s.append(topic, records)
	answer(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

func decodeRecords(b []byte) []keyedRecord {
	var records []keyedRecord
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n < 1 || n > len(b)-4 || int(b[4]) > n-1 {
			break
		}
		key := 5 + int(b[4])
		records = append(records, keyedRecord{string(b[5:key]), slices.Clone(b[key : 4+n])})
		b = b[4+n:]
	}
	return records
}
