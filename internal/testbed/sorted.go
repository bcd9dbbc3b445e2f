package testbed

import "sort"

// SortedByKey returns the values of a map in the order of their keys.
func SortedByKey[T any](m map[string]T) []T {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	values := make([]T, len(keys))
	for i, k := range keys {
		values[i] = m[k]
	}
	return values
}
