package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"radishshed.example/radishshed/pkg/coordination/ranker"
)

// Guards against orders that depend on the order of the names, and against keys that change
// their first name though another name was removed.
func TestRankIsStable(t *testing.T) {
	var names []string
	for i := range 24 {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	firsts := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprintf("target-%d", i)
		ranked := ranker.Rank(key, names)
		firsts[ranked[0]]++
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		if !slices.Equal(ranked, ranker.Rank(key, reversed)) {
			t.Fatalf("the order for %s depends on the order of the names", key)
		}
		rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == ranked[5] })
		if ranker.Rank(key, rest)[0] != ranked[0] {
			t.Fatalf("%s has another first name since %s was removed", key, ranked[5])
		}
	}
	for name, n := range firsts {
		if n < 15 || n > 85 {
			t.Errorf("%s is first for %d of 1000 keys, about 42 are expected", name, n)
		}
	}
}
