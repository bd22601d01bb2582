package declare

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/model"
)

// canonical encodes equal values to equal bytes: map keys are sorted and integers
// have their shortest form.
var canonical = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Normalize sorts the lists of d by name, keys by digest and prices by patience,
// and sets empty lists to nil. A list that is not sorted yet is copied before, so
// that other declarations that share it with d do not change.
func Normalize(d *model.Declarations) {
	d.Teams = sorted(d.Teams, teamName)
	d.Keys = sorted(d.Keys, keyName)
	d.Queues = sorted(withSortedTeams(d.Queues, queueTeams), queueName)
	d.Services = sorted(withSortedTeams(d.Services, serviceTeams), serviceName)
	d.Prices = sortedPrices(d.Prices)
}

// Digest returns the SHA-256 digest, in hex, of the canonical CBOR encoding of d
// in normalized form. It does not modify d.
func Digest(d *model.Declarations) string {
	n := *d
	Normalize(&n)
	data, err := canonical.Marshal(&n)
	if err != nil {
		panic("declare: declarations cannot be encoded: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func teamName(t *model.Team) string       { return t.Name }
func keyName(k *model.Key) string         { return string(k.Digest) }
func queueName(q *model.Queue) string     { return q.Name }
func serviceName(s *model.Service) string { return s.Name }

// sorted returns list sorted by name, as a copy if the order changes, or nil if
// list is empty.
func sorted[T any](list []T, name func(*T) string) []T {
	if len(list) == 0 {
		return nil
	}
	if isSorted(list, name) {
		return list
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	return out
}

func isSorted[T any](list []T, name func(*T) string) bool {
	for i := 1; i < len(list); i++ {
		if name(&list[i]) < name(&list[i-1]) {
			return false
		}
	}
	return true
}

// withSortedTeams returns list with the teams of each element sorted. It copies the list
// before a change.
func withSortedTeams[T any](list []T, teams func(*T) *[]string) []T {
	out := list
	for i := range list {
		names := *teams(&list[i])
		if namesInOrder(names) {
			continue
		}
		if &out[0] == &list[0] {
			out = slices.Clone(list)
		}
		*teams(&out[i]) = sortedNames(names)
	}
	return out
}

func queueTeams(q *model.Queue) *[]string { return &q.Teams }

func serviceTeams(s *model.Service) *[]string { return &s.Teams }

// namesInOrder reports whether list is nil, or is sorted and not empty.
func namesInOrder(list []string) bool {
	return list == nil || (len(list) > 0 && slices.IsSorted(list))
}

func sortedNames(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.Sort(out)
	return out
}

func sortedPrices(list []model.PricePoint) []model.PricePoint {
	if len(list) == 0 {
		return nil
	}
	byPatience := func(a, b model.PricePoint) int { return cmp.Compare(a.Patience, b.Patience) }
	if slices.IsSortedFunc(list, byPatience) {
		return list
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, byPatience)
	return out
}
