package findings

import (
	"errors"
	"testing"
)

// Guards against an error that drops all but the first finding.
func TestErrReportsEveryFinding(t *testing.T) {
	l := NewList("router.json")
	if l.Err() != nil {
		t.Fatal("an empty list returns an error")
	}
	l.Add("$.a", CodeMissing, "value is required")
	l.Add("$.b", CodeRange, "must be at most %d", 3)
	var e *Error
	if !errors.As(l.Err(), &e) || len(e.Findings) != 2 {
		t.Fatalf("got %v, want two findings", l.Err())
	}
	want := "router.json: $.a: value is required (missing)\nrouter.json: $.b: must be at most 3 (out_of_range)"
	if got := l.Err().Error(); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// Guards against a line that is printed where none is known, or left out where it is.
func TestFindingNamesItsLine(t *testing.T) {
	f := Finding{File: "config.json", Line: 7, Path: "$.a", Code: CodeRange, Message: "too large"}
	if got, want := f.String(), "config.json:7: $.a: too large (out_of_range)"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	f.Line = 0
	if got, want := f.String(), "config.json: $.a: too large (out_of_range)"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a place that is off by one line or one byte, and against an offset outside the text.
func TestLineAndColumnOfAnOffset(t *testing.T) {
	for _, c := range []struct {
		n            int64
		line, column int
	}{{-1, 1, 1}, {0, 1, 1}, {1, 1, 1}, {3, 1, 3}, {4, 2, 1}, {5, 2, 1}, {6, 2, 2}, {99, 2, 2}} {
		if line, column := LineAndColumn([]byte("abc\nde"), c.n); line != c.line || column != c.column {
			t.Errorf("offset %d is at line %d, column %d, want %d, %d", c.n, line, column, c.line, c.column)
		}
	}
}
