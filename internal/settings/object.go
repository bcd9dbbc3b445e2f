package settings

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// object reads the fields of a JSON object, each once. Problems are added to the
// list, and the default replaces an invalid value.
type object struct {
	list   *findings.List
	path   string
	fields map[string]json.RawMessage
	// names holds the field names in the order of the file.
	names []string
	used  map[string]bool
	// skipMissing is set when the object is absent or has a wrong type. Its missing
	// fields are not reported, because the object already is.
	skipMissing bool
}

// newObject splits a valid JSON value into its fields.
func newObject(list *findings.List, path string, raw json.RawMessage) *object {
	o := &object{list: list, path: path, fields: map[string]json.RawMessage{}, used: map[string]bool{}}
	dec := json.NewDecoder(bytes.NewReader(raw))
	start, err := dec.Token()
	if err != nil || start != json.Delim('{') {
		list.Add(path, findings.CodeInvalid, "must be an object")
		o.skipMissing = true
		return o
	}
	for dec.More() {
		if !o.readField(dec) {
			break
		}
	}
	return o
}

func (o *object) readField(dec *json.Decoder) bool {
	token, err := dec.Token()
	name, isName := token.(string)
	var value json.RawMessage
	if err == nil && isName {
		err = dec.Decode(&value)
	}
	if err != nil || !isName {
		o.list.Add(o.path, findings.CodeSyntax, "cannot be read")
		o.skipMissing = true
		return false
	}
	if _, dup := o.fields[name]; dup {
		o.add(name, findings.CodeConflict, "appears more than once")
		return true
	}
	o.fields[name] = value
	o.names = append(o.names, name)
	return true
}

func (o *object) add(name string, code findings.Code, format string, args ...any) {
	o.list.Add(o.path+"."+name, code, format, args...)
}

// rawValue returns the raw value of a field and marks the field as known.
func (o *object) rawValue(name string) (json.RawMessage, bool) {
	o.used[name] = true
	raw, ok := o.fields[name]
	return raw, ok
}

// has reports whether the field is present. It does not mark it as known.
func (o *object) has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// read decodes a field into target. It returns false when the field is absent
// or has a wrong type.
func (o *object) read(name, typeName string, target any) bool {
	raw, ok := o.rawValue(name)
	if !ok {
		return false
	}
	isNull := string(raw) == "null"
	if isNull || json.Unmarshal(raw, target) != nil {
		o.add(name, findings.CodeInvalid, "must be %s", typeName)
		return false
	}
	return true
}

func (o *object) reportMissing(name string) {
	if o.skipMissing {
		return
	}
	o.add(name, findings.CodeMissing, "is required")
}

// child returns the object in a field, or an empty object if the field is absent.
func (o *object) child(name string) *object {
	raw, ok := o.rawValue(name)
	if !ok {
		raw = json.RawMessage("{}")
	}
	c := newObject(o.list, o.path+"."+name, raw)
	c.skipMissing = c.skipMissing || o.skipMissing
	return c
}

// requiredChild is child for a field that must be present.
func (o *object) requiredChild(name string) *object {
	present := o.has(name)
	c := o.child(name)
	if !present {
		o.reportMissing(name)
		c.skipMissing = true
	}
	return c
}

// optionalText returns a string that, when present, is not empty.
func (o *object) optionalText(name string) string {
	var s string
	if o.read(name, "a string", &s) && s == "" {
		o.add(name, findings.CodeInvalid, "must not be empty")
	}
	return s
}

// text returns a required string that is not empty.
func (o *object) text(name string) string {
	if !o.has(name) {
		o.rawValue(name)
		o.reportMissing(name)
		return ""
	}
	return o.optionalText(name)
}

func (o *object) boolean(name string, fallback bool) bool {
	value := fallback
	o.read(name, "true or false", &value)
	return value
}

func (o *object) integer(name string, fallback, low, high int) int {
	var value int
	if !o.read(name, "a whole number", &value) {
		return fallback
	}
	if value < low || value > high {
		o.add(name, findings.CodeRange, "must be from %d to %d", low, high)
		return fallback
	}
	return value
}

func (o *object) number(name string, fallback, low, high float64) float64 {
	var value float64
	if !o.read(name, "a number", &value) {
		return fallback
	}
	if value < low || value > high {
		o.add(name, findings.CodeRange, "must be from %g to %g", low, high)
		return fallback
	}
	return value
}

// duration reads a duration written with its unit, such as "2s".
func (o *object) duration(name string, fallback, low, high time.Duration) time.Duration {
	const typeName = `a duration with its unit, such as "1500ms"`
	var text string
	if !o.read(name, typeName, &text) {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		o.add(name, findings.CodeInvalid, "must be %s", typeName)
		return fallback
	}
	if value < low || value > high {
		o.add(name, findings.CodeRange, "must be from %s to %s", low, high)
		return fallback
	}
	return value
}

func (o *object) choice(name, fallback string, allowed ...string) string {
	var value string
	if !o.read(name, "a string", &value) {
		return fallback
	}
	if !slices.Contains(allowed, value) {
		o.add(name, findings.CodeInvalid, "must be one of %s", strings.Join(allowed, ", "))
		return fallback
	}
	return value
}

// reportUnknown reports the fields that were not read.
func (o *object) reportUnknown() {
	for _, name := range o.names {
		if !o.used[name] {
			o.add(name, findings.CodeUnknownField, "is not a known field")
		}
	}
}
