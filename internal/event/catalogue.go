package event

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const catalogueHeader = `# Log events

Every log line carries the number of its event in the key ` + "`event`" + `. A number is never reused for another event. This page
is written by ` + "`go test ./internal/event -update`" + `.

| number | level | text |
|---|---|---|
`

// Catalogue returns the text of docs/events.md: the registered events by number.
func Catalogue() string {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	for _, id := range slices.Sorted(maps.Keys(registry)) {
		e := registry[id]
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.ID, e.Level, strings.ReplaceAll(e.Text, "|", `\|`))
	}
	return b.String()
}
