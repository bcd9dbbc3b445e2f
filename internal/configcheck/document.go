package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxDepth bounds the depth of the values whose places are recorded. A configuration has five levels; deeper values would make
// the paths long.
const maxDepth = 8

// Document has the places of the values in a JSON text. It is immutable.
type Document struct {
	// Fields are the members of objects in the order of the text, down to a fixed depth.
	Fields []DocumentField
	lines  map[string]int
	starts []start
}

// DocumentField is a member of an object.
type DocumentField struct {
	// Path is the path of the member, such as "$.routes[2].name", and Pattern the same without the indexes: "$.routes[].name".
	Path, Pattern string
	Name          string
	// Repeated is set when the object has an earlier member of the same name.
	Repeated bool
}

// start is where the first token of a value ends.
type start struct {
	offset int64
	path   string
}

// ParseDocument finds the places of the values in data, which must be valid JSON.
func ParseDocument(data []byte) *Document {
	s := scanner{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1, document: &Document{lines: make(map[string]int)}}
	s.decoder.UseNumber()
	s.value("$", "$", 0)
	return s.document
}

// Line returns the line, from 1 on, of the value at a path, or of the closest value around it that the text has; 0 for none.
func (d *Document) Line(path string) int {
	for end := len(path); end > 0; end-- {
		if line, ok := d.lines[path[:end]]; ok {
			return line
		}
	}
	return 0
}

// Has reports whether the text has a value at a path.
func (d *Document) Has(path string) bool { return d.lines[path] > 0 }

// PathAt returns the path of the last value whose first token ends at or before an offset in bytes.
func (d *Document) PathAt(offset int64) string {
	path := "$"
	for _, s := range d.starts {
		if s.offset > offset {
			break
		}
		path = s.path
	}
	return path
}

// scanner reads a JSON text and records the places of its values.
type scanner struct {
	data     []byte
	decoder  *json.Decoder
	document *Document
	// line is the line of the offset counted.
	line    int
	counted int64
}

// value reads one value and reports whether the text went on.
func (s *scanner) value(path, pattern string, depth int) bool {
	token, err := s.decoder.Token()
	if err != nil {
		return false
	}
	if depth <= maxDepth {
		s.recordStart(path)
	}
	switch token {
	case json.Delim('{'):
		return s.object(path, pattern, depth)
	case json.Delim('['):
		return s.array(path, pattern, depth)
	}
	return true
}

func (s *scanner) recordStart(path string) {
	offset := s.decoder.InputOffset()
	s.line += bytes.Count(s.data[s.counted:offset], []byte("\n"))
	s.counted = offset
	s.document.lines[path] = s.line
	s.document.starts = append(s.document.starts, start{offset, path})
}

func (s *scanner) object(path, pattern string, depth int) bool {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return false
		}
		memberPath, memberPattern := path, pattern
		if depth < maxDepth {
			memberPath, memberPattern = path+"."+name, pattern+"."+name
			s.document.Fields = append(s.document.Fields, DocumentField{Path: memberPath, Pattern: memberPattern, Name: name, Repeated: seen[name]})
			seen[name] = true
		}
		if !s.value(memberPath, memberPattern, depth+1) {
			return false
		}
	}
	_, err := s.decoder.Token()
	return err == nil
}

func (s *scanner) array(path, pattern string, depth int) bool {
	for i := 0; s.decoder.More(); i++ {
		elementPath, elementPattern := path, pattern
		if depth < maxDepth {
			elementPath, elementPattern = fmt.Sprintf("%s[%d]", path, i), pattern+"[]"
		}
		if !s.value(elementPath, elementPattern, depth+1) {
			return false
		}
	}
	_, err := s.decoder.Token()
	return err == nil
}
