package state

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in ascending order, so that no result
// depends on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
