package declare

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/model"
)

// canonical encodes a value in one way only: map keys sorted, shortest integers.
var canonical = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Normalize sorts every list of d by name, keys by digest and prices by
// patience, and drops empty lists. It changes only d's own slices, never ones
// that d shares with a copy.
func Normalize(d *model.Declarations) {
	d.Teams = sorted(d.Teams, teamName)
	d.Keys = sorted(d.Keys, keyName)
	d.Queues = sorted(d.Queues, queueName)
	d.Services = sorted(d.Services, serviceName)
	d.Prices = sortedPrices(d.Prices)
	for i := range d.Queues {
		d.Queues[i].Teams = sortedNames(d.Queues[i].Teams)
	}
	for i := range d.Services {
		d.Services[i].Teams = sortedNames(d.Services[i].Teams)
	}
}

// Digest returns the SHA-256 digest, in hex, of the canonical CBOR form of d
// once normalized. It leaves d as it is.
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

// sorted returns a copy of list in the order of name, nil when empty.
func sorted[T any](list []T, name func(*T) string) []T {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	return out
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
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b model.PricePoint) int { return cmp.Compare(a.Patience, b.Patience) })
	return out
}
