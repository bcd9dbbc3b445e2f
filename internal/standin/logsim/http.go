package logsim

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// maxWait is the longest wait that a read may ask for.
const maxWait = 30 * time.Second

// Handler serves the HTTP protocol of the log service.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body logstream.WireAppend
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, logstream.MaxBodyBytes)).Decode(&body)
	if err != nil {
		http.Error(w, "the body is not valid", http.StatusBadRequest)
		return
	}
	data := make([][]byte, len(body.Records))
	for i, rec := range body.Records {
		data[i] = rec.Data
	}
	first, err := l.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, logstream.WireAppendResponse{FirstOffset: first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	offset, offsetErr := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, limitErr := strconv.Atoi(r.FormValue("max"))
	waitMS, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if errors.Join(offsetErr, limitErr, waitErr) != nil {
		http.Error(w, "from, max and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	limit = min(limit, logstream.MaxPageRecords)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	page, err := l.Read(r.Context(), r.PathValue("stream"), offset, limit, wait)
	if errors.Is(err, logstream.ErrBelowFloor) {
		writeJSON(w, http.StatusGone, logstream.WirePage{Floor: page.Floor, Head: page.Head})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	answer := logstream.WirePage{Floor: page.Floor, Head: page.Head}
	for _, rec := range page.Records {
		answer.Records = append(answer.Records, logstream.WireRecord(rec))
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errLostAnswer):
		// The connection breaks after the append, as seen by a client whose
		// answer was lost.
		panic(http.ErrAbortHandler)
	case errors.Is(err, logstream.ErrRateLimited):
		http.Error(w, "append rate limit reached", http.StatusTooManyRequests)
	case errors.Is(err, logstream.ErrRefused):
		http.Error(w, "request refused", http.StatusBadRequest)
	default:
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}
