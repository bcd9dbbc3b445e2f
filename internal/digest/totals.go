package digest

import (
	"cmp"
	"slices"
)

// mostLoaded returns the n servers with the most requests in flight. A server that
// is left out counts as idle, which keeps the load bound of the others low.
func mostLoaded(totals map[uint32]int, n int) []Load {
	list := make([]Load, 0, len(totals))
	for server, inFlight := range totals {
		list = append(list, Load{Server: server, InFlight: inFlight})
	}
	if len(list) > n {
		slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(b.InFlight, a.InFlight) })
		list = list[:n]
	}
	return list
}
