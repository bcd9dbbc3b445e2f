package httpsend

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that is written although it must not be any more, on a new connection or on a kept one, and against one
// that counts as sent then.
func TestRequestIsNotWrittenWhenThatIsPrevented(t *testing.T) {
	var got, prevented atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer server.Close()
	errPrevented := errors.New("prevented")
	transport := NewTransport(Options{MaxIdleConnsPerHost: 1, IdleTimeout: time.Minute, BeforeRequest: func() error {
		if prevented.Load() > 0 {
			return errPrevented
		}
		return nil
	}})
	defer transport.CloseIdleConnections()
	send := func(body string) (*Exchange, error) {
		r, err := http.NewRequest(http.MethodPost, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		SetBody(r, []byte(body))
		resp, exchange, err := Send(transport, r)
		if err == nil {
			err = resp.Body.Close()
		}
		return exchange, err
	}
	long := strings.Repeat("x", 100_000)
	for _, body := range []string{"x", long, ""} {
		if exchange, err := send(body); err != nil || exchange.NotSent {
			t.Fatalf("error %v, want an answer", err)
		}
		before := got.Load()
		prevented.Store(1)
		for range 2 {
			if exchange, err := send(body); !errors.Is(err, errPrevented) || !exchange.NotSent {
				t.Errorf("%d bytes: error %v, not sent %v, want a request that was not sent", len(body), err, exchange.NotSent)
			}
		}
		prevented.Store(0)
		if got.Load() != before {
			t.Errorf("%d bytes: the server got the request", len(body))
		}
	}
}
