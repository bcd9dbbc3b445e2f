package httpsend

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a malformed status line or field name that is missed, and against a sound answer that is rejected, wherever the
// bytes of the head are split.
func TestMalformedHeads(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		answer    string
		malformed bool
	}{
		"sound":                        {"HTTP/1.1 200 OK\r\nA: 1\r\nB:2\r\n\r\nx y: z\r\n a: b\r\n", false},
		"bare line feeds":              {"HTTP/1.1 200 OK\nA: 1\n\nx y: z\n", false},
		"no fields":                    {"HTTP/1.1 200 OK\r\n\r\nx y: z\r\n", false},
		"no reason":                    {"HTTP/1.1 200\r\nA: 1\r\n\r\nx y: z\r\n", false},
		"short status line":            {"HTTP/1\r\nA: 1\r\n\r\n", true},
		"no status line":               {"\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"two blanks before the status": {"HTTP/1.1  200 OK\r\n\r\n", true},
		"status 000":                   {"HTTP/1.1 000 OK\r\n\r\n", true},
		"status 600":                   {"HTTP/1.1 600 OK\r\n\r\n", true},
		"status of four digits":        {"HTTP/1.1 2000 OK\r\n\r\n", true},
		"later minor version":          {"HTTP/1.2 200 OK\r\n\r\n", false},
		"continuation":                 {"HTTP/1.1 200 OK\r\nA: 1,\r\n  2: 3\r\n\tx\r\n\r\n", true},
		"continuation with blanks":     {"HTTP/1.1 200 OK\r\nA: 1,\r\n  2 3: 4\r\n \r\n\tx\r\n\r\n", false},
		"continuation without a name":  {"HTTP/1.1 200 OK\r\nA: 1,\r\n : 4\r\n\r\n", false},
		"blank in a name":              {"HTTP/1.1 200 OK\r\nA: 1\r\nB c: 2\r\n\r\n", true},
		"blank before the colon":       {"HTTP/1.1 200 OK\r\nA : 1\r\n\r\n", true},
		"control byte in a name":       {"HTTP/1.1 200 OK\r\nA\x00: 1\r\n\r\n", true},
		"byte beyond ASCII in a name":  {"HTTP/1.1 200 OK\r\nA\xc3: 1\r\n\r\n", true},
		"in an interim answer":         {"HTTP/1.1 103 Early\r\nA b: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"after an interim answer":      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nA b: 1\r\n\r\n", true},
		"after a switch of protocols":  {"HTTP/1.1 101 Switch\r\nA: 1\r\n\r\nx y: z\r\n", false},
		"after a final answer":         {"HTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\nA b: 1\r\n\r\n", false},
		"another protocol version":     {"HTTP/2.0 200 OK\r\nA: 1\r\n\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				var s headScanner
				var err error
				for rest := []byte(c.answer); len(rest) > 0 && err == nil; {
					n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
					err = s.scan(rest[:n])
					rest = rest[n:]
				}
				if errors.Is(err, errMalformedHead) != c.malformed {
					t.Fatalf("malformed %v, want %v", err, c.malformed)
				}
			})
		})
	}
}

// Guards against an answer on a kept connection whose head is not examined.
func TestEachAnswerOfAConnectionIsExamined(t *testing.T) {
	t.Parallel()
	c := &conn{}
	for range 2 {
		c.begin(&Exchange{})
		if err := c.head.scan([]byte("HTTP/1.1 200 OK\r\nA: 1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	c.begin(&Exchange{})
	if err := c.head.scan([]byte("HTTP/1.1 200 OK\r\nA b: 1\r\n\r\n")); err == nil {
		t.Error("a malformed name in the third answer is not found")
	}
}
