//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// answerTime is how long the store takes to answer a call, appendTime to append.
	answerTime = 4 * time.Millisecond
	appendTime = 2 * time.Millisecond
	// maxReadBytes bounds the records of one read.
	maxReadBytes = 1 << 20
	// maxListItems bounds the records of one page of the newest ones.
	maxListItems = 500
)

// store is a stand-in for the platform's metadata store: a log with keyed topics of one
// partition. Each router reaches it at an address of its own, so that it can turn routers away.
// It is safe for concurrent use.
type store struct {
	rec       *record
	listeners []net.Listener
	// beatsAreRecords is set when a server's heartbeat that changes only the seq of its entry is a record.
	beatsAreRecords bool

	mu       sync.Mutex
	topics   map[string][]entry
	appended chan struct{}
	// silent is set while calls from a router get no answer, and periods counts these periods. A
	// call that it was making in such a period is never answered.
	silent  []bool
	periods []int
}

// entry is a record of a keyed topic; a nil value drops the key.
type entry struct {
	key   string
	value []byte
}

func newStore(rec *record, routers int) (*store, error) {
	s := &store{
		rec: rec, topics: make(map[string][]entry), appended: make(chan struct{}),
		silent: make([]bool, routers), periods: make([]int, routers),
	}
	for i := range routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.listeners = append(s.listeners, l)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /bluebellwell/log-read", s.from(i, s.read))
		mux.HandleFunc("GET /bluebellwell/log-newest", s.from(i, s.newest))
		mux.HandleFunc("POST /bluebellwell/log-append", s.from(i, s.append))
		go http.Serve(l, mux)
	}
	return s, nil
}

// addr returns the address at which a router reaches the store.
func (s *store) addr(router int) string { return s.listeners[router].Addr().String() }

// setSilent makes the store give no answer to some routers, or ends that.
func (s *store) setSilent(routers []int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range routers {
		s.silent[i] = silent
		if silent {
			s.periods[i]++
		}
	}
}

// period returns how often a router has been turned away, and whether it is now.
func (s *store) period(router int) (n int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.periods[router], s.silent[router]
}

// answer is what a call returns.
type answer struct {
	status int
	body   []byte
}

// from returns the handler of the calls of one router.
func (s *store) from(router int, call func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		before, silent := s.period(router)
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		a := call(r)
		time.Sleep(answerTime)
		if after, _ := s.period(router); after != before {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		w.Write(a.body)
	}
}

// put appends a record for the operator or a server and returns when the store has confirmed it.
func (s *store) put(topic, key string, value []byte) time.Time {
	time.Sleep(appendTime)
	s.mu.Lock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.appended)
	s.appended = make(chan struct{})
	s.mu.Unlock()
	return time.Now()
}

func (s *store) records(topic string) (list []entry, appended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.appended
}

func (s *store) read(r *http.Request) answer {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	list, appended := s.records(query.Get("topic"))
	for waiting := wait > 0; waiting && from >= len(list); list, appended = s.records(query.Get("topic")) {
		select {
		case <-appended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return answer{status: http.StatusOK}
		}
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, e := range list[min(from, len(list)):] {
		if len(body) > maxReadBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
		body = append(body, byte(len(e.key)))
		body = append(append(body, e.key...), e.value...)
	}
	return answer{http.StatusOK, body}
}

// item is an entry of a list of the newest records.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(r *http.Request) answer {
	list, _ := s.records(r.URL.Query().Get("topic"))
	last := make(map[string]item)
	for i, e := range list {
		last[e.key] = item{e.key, e.value, i}
		if e.value == nil {
			delete(last, e.key)
		}
	}
	items := []item{}
	for _, it := range last {
		if it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > maxListItems
	items = items[:min(maxListItems, len(items))]
	body, _ := json.Marshal(map[string]any{"items": items, "more": more, "end": len(list)})
	return answer{http.StatusOK, body}
}

func (s *store) append(r *http.Request) answer {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		return answer{status: http.StatusBadRequest}
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		text, _ := json.Marshal(map[string]int{"end": end})
		return answer{http.StatusPreconditionFailed, text}
	}
	for rest := body; len(rest) > 4; {
		n := int(binary.BigEndian.Uint32(rest))
		content := rest[4 : 4+n]
		k := 1 + int(content[0])
		s.topics[topic] = append(s.topics[topic], entry{string(content[1:k]), slices.Clone(content[k:])})
		rest = rest[4+n:]
	}
	close(s.appended)
	s.appended = make(chan struct{})
	text, _ := json.Marshal(map[string]int{"offset": end, "end": len(s.topics[topic])})
	return answer{http.StatusOK, text}
}
