package router_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a success that nobody gave, in answer to requests which net/http answers
// by itself or which have no route.
func TestRequestsWithoutARouteGetNoSuccess(t *testing.T) {
	r, err := startBed(t, nil).StartRouter()
	if err != nil {
		t.Fatal(err)
	}
	const host = "Host: h.example\r\n"
	for name, request := range map[string]string{
		"options of all resources": "OPTIONS * HTTP/1.1\r\n" + host,
		"target of all resources":  "GET * HTTP/1.1\r\n" + host,
		"start of HTTP/2":          "PRI * HTTP/2.0\r\n\r\nSM\r\n",
		"tunnel":                   "CONNECT h.example:80 HTTP/1.1\r\n" + host,
		"trace":                    "TRACE /v1/chat/completions HTTP/1.1\r\n" + host,
		"options":                  "OPTIONS /v1/chat/completions HTTP/1.1\r\n" + host,
		"head of a page for POST":  "HEAD /v1/chat/completions HTTP/1.1\r\n" + host,
		"method of no route":       "MOVE /services/p/x HTTP/1.1\r\n" + host,
		"no workspace":             "GET /services/p/x HTTP/1.1\r\n" + host,
		"unknown expectation":      "GET /services/p/x HTTP/1.1\r\nExpect: other\r\n" + host,
		"no HTTP":                  "hello\r\n",
	} {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, _ = io.WriteString(conn, request+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: strings.Fields(request)[0]})
		if err != nil {
			t.Errorf("%s: no answer: %v", name, err)
			continue
		}
		if resp.StatusCode < 400 {
			t.Errorf("%s: status %d, headers %v; want a failure", name, resp.StatusCode, resp.Header)
		}
	}
}
