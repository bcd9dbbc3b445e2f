// Package placement chooses the engine of a request. It holds the rendezvous
// hash, the placement token, the index of cached prefixes and the policies.
// The package does no I/O, starts no goroutine and takes the time as an
// argument.
package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the 64-bit hash of a name.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// ChatKey returns the key of a chat in the prefix index. Equal chat names of
// two workspaces have different keys. The key is never 0.
func ChatKey(workspace, chat string) uint64 {
	k := Mix(Hash(workspace), Hash(chat))
	if k == 0 {
		return 1
	}
	return k
}

// Mix combines two hashes with the finalizer of splitmix64, so that the ranks of
// a node under two keys are independent.
func Mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c159e3779b9)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// score returns the weighted rendezvous score of a mixed hash. Higher wins.
func score(h uint64, weight float64) float64 {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Rank returns the positions of the k nodes with the highest rendezvous score
// for key, best first. A nil weights slice gives every node the weight 1.
// Nodes without a positive weight are left out.
func Rank(key uint64, names []string, weights []float64, k int) []int {
	best := make([]int, 0, k+1)
	scores := make([]float64, 0, k+1)
	for i, name := range names {
		w := 1.0
		if weights != nil {
			w = weights[i]
		}
		if w <= 0 {
			continue
		}
		s := score(Mix(key, Hash(name)), w)
		at := len(best)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at >= k {
			continue
		}
		best = append(best, 0)
		scores = append(scores, 0)
		copy(best[at+1:], best[at:])
		copy(scores[at+1:], scores[at:])
		best[at], scores[at] = i, s
		if len(best) > k {
			best, scores = best[:k], scores[:k]
		}
	}
	return best
}
