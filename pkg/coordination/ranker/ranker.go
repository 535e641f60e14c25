// Package ranker ranks processes for a key by rendezvous hashing (Thaler and Ravishankar,
// 1998). All processes that know the same names compute the same order, and few keys change
// their first name when a name is added or removed.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in the order of their weights for the key, the highest first.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Weight returns the weight of a name for the key.
func Weight(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key + "\x00" + name) // never fails, as documented by hash.Hash
	return digest.Sum64()
}
