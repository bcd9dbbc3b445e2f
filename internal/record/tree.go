package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// errHasFinding stops the decoding once a finding was added.
var errHasFinding = errors.New("JSON value is invalid")

// treeDecoder decodes JSON into map[string]any, []any, string, json.Number,
// bool and nil. Unlike json.Unmarshal it rejects repeated field names and
// limits the depth.
type treeDecoder struct {
	dec  *json.Decoder
	list *findings.List
}

// parseTree decodes the one JSON value in data. Problems are added to list; the
// result is valid only if there are none.
func parseTree(data []byte, list *findings.List) any {
	if len(data) > MaxBytes {
		list.Add("$", findings.CodeRange, "record has %d bytes, the limit is %d", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		list.Add("$", findings.CodeSyntax, "record is not valid UTF-8")
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	d := treeDecoder{dec: dec, list: list}
	root, err := d.value("$", 1)
	if err == nil {
		_, err = dec.Token()
		if errors.Is(err, io.EOF) {
			return root
		}
		if err == nil {
			err = errors.New("more than one JSON value")
		}
	}
	if !errors.Is(err, errHasFinding) {
		list.Add("$", findings.CodeSyntax, "JSON syntax near byte %d: %v", dec.InputOffset(), err)
	}
	return nil
}

func (d *treeDecoder) value(path string, depth int) (any, error) {
	token, err := d.dec.Token()
	if err != nil {
		return nil, err
	}
	delim, compound := token.(json.Delim)
	if !compound {
		return d.scalar(path, token)
	}
	if depth > maxDepth {
		d.list.Add(path, findings.CodeRange, "nested more than %d levels deep", maxDepth)
		return nil, errHasFinding
	}
	if delim == '[' {
		return d.array(path, depth)
	}
	return d.object(path, depth)
}

func (d *treeDecoder) scalar(path string, token json.Token) (any, error) {
	// The decoder replaces invalid escapes such as "\ud800" with U+FFFD.
	if s, ok := token.(string); ok && strings.ContainsRune(s, utf8.RuneError) {
		d.list.Add(path, findings.CodeSyntax, "string is not valid Unicode")
		return nil, errHasFinding
	}
	return token, nil
}

func (d *treeDecoder) array(path string, depth int) (any, error) {
	items := []any{}
	for d.dec.More() {
		item, err := d.value(fmt.Sprintf("%s[%d]", path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := d.dec.Token()
	return items, err
}

func (d *treeDecoder) object(path string, depth int) (any, error) {
	fields := map[string]any{}
	for d.dec.More() {
		token, err := d.dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		if _, repeated := fields[name]; repeated {
			d.list.Add(path, findings.CodeInvalid, "field %q occurs twice", name)
			return nil, errHasFinding
		}
		item, err := d.value(path+"."+name, depth+1)
		if err != nil {
			return nil, err
		}
		fields[name] = item
	}
	_, err := d.dec.Token()
	return fields, err
}

// fields reads the fields of one JSON object and records which were read, so that
// reportUnknown can report the others.
type fields struct {
	list  *findings.List
	path  string
	items map[string]any
	read  map[string]bool
}

func newFields(list *findings.List, path string, value any) *fields {
	items, ok := value.(map[string]any)
	if !ok {
		list.Add(path, findings.CodeInvalid, "must be an object")
		return nil
	}
	return &fields{list: list, path: path, items: items, read: map[string]bool{}}
}

func (f *fields) pathOf(name string) string {
	return f.path + "." + name
}

func (f *fields) get(name string) (any, bool) {
	f.read[name] = true
	v, ok := f.items[name]
	return v, ok
}

// required returns the value of a field that must be present.
func (f *fields) required(name string) (any, bool) {
	v, ok := f.get(name)
	if !ok {
		f.list.Add(f.pathOf(name), findings.CodeMissing, "value is required")
	}
	return v, ok
}

func (f *fields) text(name string, maxBytes int) string {
	v, ok := f.get(name)
	if !ok {
		return ""
	}
	return textValue(f.list, f.pathOf(name), v, maxBytes)
}

func (f *fields) requiredText(name string, maxBytes int) string {
	v, ok := f.required(name)
	if !ok {
		return ""
	}
	s := textValue(f.list, f.pathOf(name), v, maxBytes)
	if v == "" {
		f.list.Add(f.pathOf(name), findings.CodeMissing, "value is empty")
	}
	return s
}

func (f *fields) boolean(name string) bool {
	v, ok := f.get(name)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		f.list.Add(f.pathOf(name), findings.CodeInvalid, "must be true or false")
	}
	return b
}

func (f *fields) integer(name string, low, high, defaultValue int) int {
	v, ok := f.get(name)
	if !ok {
		return defaultValue
	}
	number, _ := v.(json.Number)
	n, err := number.Int64()
	if err != nil {
		f.list.Add(f.pathOf(name), findings.CodeInvalid, "must be a whole number")
		return defaultValue
	}
	if n < int64(low) || n > int64(high) {
		f.list.Add(f.pathOf(name), findings.CodeRange, "must be %d to %d", low, high)
		return defaultValue
	}
	return int(n)
}

func (f *fields) number(name string, low, high, defaultValue float64) float64 {
	v, ok := f.get(name)
	if !ok {
		return defaultValue
	}
	number, _ := v.(json.Number)
	x, err := number.Float64()
	if err != nil {
		f.list.Add(f.pathOf(name), findings.CodeInvalid, "must be a number")
		return defaultValue
	}
	if x < low || x > high {
		f.list.Add(f.pathOf(name), findings.CodeRange, "must be %g to %g", low, high)
		return defaultValue
	}
	return x
}

// texts reads a list of distinct strings.
func (f *fields) texts(name string, maxItems, maxBytes int) []string {
	v, ok := f.get(name)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok || len(items) > maxItems {
		f.list.Add(f.pathOf(name), findings.CodeInvalid, "must be a list of at most %d strings", maxItems)
		return nil
	}
	var out []string
	seen := map[string]bool{}
	for i, item := range items {
		path := fmt.Sprintf("%s[%d]", f.pathOf(name), i)
		s := textValue(f.list, path, item, maxBytes)
		if seen[s] {
			f.list.Add(path, findings.CodeInvalid, "value occurs twice")
		}
		seen[s] = true
		out = append(out, s)
	}
	return out
}

// reportUnknown reports the fields that were not read.
func (f *fields) reportUnknown() {
	for _, name := range slices.Sorted(maps.Keys(f.items)) {
		if !f.read[name] {
			f.list.Add(f.pathOf(name), findings.CodeUnknownField, "field is not known")
		}
	}
}

func textValue(list *findings.List, path string, v any, maxBytes int) string {
	s, ok := v.(string)
	if !ok {
		list.Add(path, findings.CodeInvalid, "must be a string")
		return ""
	}
	if len(s) > maxBytes {
		list.Add(path, findings.CodeRange, "must have at most %d bytes", maxBytes)
		return ""
	}
	if strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		list.Add(path, findings.CodeInvalid, "must have no control characters")
		return ""
	}
	return s
}
