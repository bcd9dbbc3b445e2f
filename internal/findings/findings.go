// Package findings collects the problems found in a settings file or a record,
// each with its location, so that they are reported together.
package findings

import (
	"bytes"
	"fmt"
	"strings"
)

// Code is the kind of a finding. Codes are stable, so that scripts can rely on
// them.
type Code string

// Codes that several packages share.
const (
	CodeSyntax       Code = "syntax"
	CodeUnknownField Code = "unknown_field"
	CodeMissing      Code = "missing"
	CodeRange        Code = "out_of_range"
	CodeInvalid      Code = "invalid"
	CodeConflict     Code = "conflict"
	CodeDuplicate    Code = "duplicate"
	// CodeIgnored is a value that is not used, or not as it is written.
	CodeIgnored Code = "ignored_value"
	// CodeNeverMatches is an entry that no request can reach.
	CodeNeverMatches Code = "never_matches"
	// CodeDifference is a difference between two versions of a configuration.
	CodeDifference Code = "difference"
	CodeUnreadable Code = "unreadable_schema"
)

// Finding is one problem.
type Finding struct {
	// File is the file or stream in which the problem was found.
	File string `json:"file,omitempty"`
	// Line is the line in the file, from 1 on; 0 when it is unknown.
	Line int `json:"line,omitempty"`
	// Path is the JSON path of the value, such as "$.limits.queue".
	Path    string `json:"path"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	location := f.Path
	switch {
	case f.File != "" && f.Line > 0:
		location = fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Path)
	case f.File != "":
		location = f.File + ": " + f.Path
	}
	return fmt.Sprintf("%s: %s (%s)", location, f.Message, f.Code)
}

// List collects findings. The zero value is ready to use. It is not safe for
// concurrent use.
type List struct {
	file  string
	items []Finding
}

// NewList returns an empty list whose findings name file.
func NewList(file string) *List {
	return &List{file: file}
}

// Add appends a finding at a JSON path.
func (l *List) Add(path string, code Code, format string, args ...any) {
	l.items = append(l.items, Finding{File: l.file, Path: path, Code: code, Message: fmt.Sprintf(format, args...)})
}

// Append copies the findings of another list.
func (l *List) Append(items []Finding) {
	l.items = append(l.items, items...)
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding {
	return l.items
}

// Empty reports whether there is no finding.
func (l *List) Empty() bool {
	return len(l.items) == 0
}

// Err returns nil for an empty list, and an *Error otherwise.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.items}
}

// LineAndColumn returns the line and the column of the last of the first n bytes of a text, such as the offset of a
// json.SyntaxError. Both begin at 1; the column counts bytes.
func LineAndColumn(text []byte, n int64) (line, column int) {
	head := text[:min(max(n, 0), int64(len(text)))]
	line = 1 + bytes.Count(head, []byte("\n"))
	column = len(head) - 1 - bytes.LastIndexByte(head, '\n')
	return line, max(column, 1)
}

// Error is the error that carries a list of findings.
type Error struct {
	Findings []Finding
}

// Error formats all findings, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
