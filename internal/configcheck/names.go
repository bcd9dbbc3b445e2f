package configcheck

import (
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// byName returns the index of the last entry of each name. Of pools with the same name routers use the last one.
func byName[T any](entries []T, name func(*T) string) map[string]int {
	index := make(map[string]int, len(entries))
	for i := range entries {
		index[name(&entries[i])] = i
	}
	return index
}

func contains(index map[string]int, name string) bool {
	_, ok := index[name]
	return ok
}

// keyOwners returns the workspace for which the requests of each key count.
func keyOwners(workspaces []routing.Keyring) map[string]string {
	owners := make(map[string]string)
	for _, w := range workspaces {
		for _, key := range w.Keys {
			owners[key] = w.Workspace.Name
		}
	}
	return owners
}

func distinct(keys []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(keys)))
}
