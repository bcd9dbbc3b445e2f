package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/standin/vmsim"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// maxVMBytes bounds the body of POST /vms.
const maxVMBytes = 64 << 10

// vmFile updates the list of a stand-in from a file.
type vmFile struct {
	file   string
	list   *vmsim.List
	errOut io.Writer

	mu      sync.Mutex
	size    int64
	modTime time.Time
}

// load reads the file if its size or modification time has changed. A file with
// invalid content is read again only after its next change.
func (f *vmFile) load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.file)
	if err != nil {
		return f.invalidFileError(err)
	}
	if info.Size() == f.size && info.ModTime().Equal(f.modTime) {
		return nil
	}
	f.size, f.modTime = info.Size(), info.ModTime()
	data, err := os.ReadFile(f.file)
	if err != nil {
		return f.invalidFileError(err)
	}
	list, err := vmlist.Decode(data)
	if err != nil {
		return f.invalidFileError(err)
	}
	f.list.Replace(list.VMs)
	return nil
}

func (f *vmFile) invalidFileError(err error) error {
	list := findings.NewList(f.file)
	list.Add("$", findings.CodeInvalid, "%v", err)
	return list.Err()
}

// handler serves the list and the requests that change it.
func (f *vmFile) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /", f.list.Handler())
	mux.HandleFunc("POST /vms", f.serveSet)
	mux.HandleFunc("DELETE /vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		f.list.Remove(r.PathValue("name"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := f.load(); err != nil {
			fmt.Fprintln(f.errOut, err)
		}
		mux.ServeHTTP(w, r)
	})
}

func (f *vmFile) serveSet(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxVMBytes))
	if err != nil {
		http.Error(w, "the body is too large", http.StatusBadRequest)
		return
	}
	vm, err := decodeVM(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.list.Set(vm)
}
