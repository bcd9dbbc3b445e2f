package forward

import "testing"

// Guards against a request whose path or query is changed on the way to the server.
func TestTargetIsKeptByteForByte(t *testing.T) {
	for target, want := range map[string]string{
		"/a":                           "/a",
		"/a%2Fb%20c/../d//e?q=1%20&e=": "/a%2Fb%20c/../d//e?q=1%20&e=",
		`/a|b"c[d]\e`:                  `/a|b"c[d]\e`,
		"/a?":                          "/a?",
		"/a?b?c":                       "/a?b?c",
		"//a%2Fb%20c?q=%20":            "//a%2Fb%20c?q=%20",
		"//a?":                         "//a?",
		"//a%41":                       "//a%41",
		"http://h.example/a%2Fb?q=%20": "/a%2Fb?q=%20",
		"http://h.example//a%2Fb":      "//a%2Fb",
		"http://h.example/":            "/",
		"http://h.example":             "/",
		"http://h.example?q=/a":        "/?q=/a",
	} {
		if got := targetURL(target, "127.0.0.1:1").RequestURI(); got != want {
			t.Errorf("%s: the server gets %s, want %s", target, got, want)
		}
	}
}
