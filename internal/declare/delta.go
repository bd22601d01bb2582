package declare

import (
	"fmt"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// ListDelta is the difference between two versions of one list of named items.
type ListDelta[T any] struct {
	Put  []T      `cbor:"1,keyasint,omitempty"` // complete items, added or replaced
	Drop []string `cbor:"2,keyasint,omitempty"` // names of items removed
}

// Delta turns one set of declarations into another. A change is sent as a delta
// to processes that hold the declarations before it.
type Delta struct {
	From     string                   `cbor:"1,keyasint"` // digest of the set to apply it to
	To       string                   `cbor:"2,keyasint"` // digest of the result
	Teams    ListDelta[model.Team]    `cbor:"3,keyasint,omitempty"`
	Keys     ListDelta[model.Key]     `cbor:"4,keyasint,omitempty"`
	Queues   ListDelta[model.Queue]   `cbor:"5,keyasint,omitempty"`
	Services ListDelta[model.Service] `cbor:"6,keyasint,omitempty"`
	// Prices replaces the whole price table if NewPrices is set.
	Prices    []model.PricePoint `cbor:"7,keyasint,omitempty"`
	NewPrices bool               `cbor:"8,keyasint,omitempty"`
}

// MismatchError reports that a delta does not apply to the given declarations, or
// that its result is not the intended one. The receiver needs a full copy.
type MismatchError struct {
	Want, Have string // digests
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("declarations have digest %.12s, expected %.12s", e.Have, e.Want)
}

// DeltaOf returns the delta from before to after. Neither needs to be normalized.
func DeltaOf(before, after *model.Declarations) Delta {
	a, b := *before, *after
	Normalize(&a)
	Normalize(&b)
	return DeltaBetween(&a, &b, Digest(&a), Digest(&b))
}

// DeltaBetween is DeltaOf for normalized declarations whose digests are known.
// The digests are most of the cost of DeltaOf.
func DeltaBetween(before, after *model.Declarations, from, to string) Delta {
	d := Delta{
		From:     from,
		To:       to,
		Teams:    listDelta(before.Teams, after.Teams, teamName, sameTeam),
		Keys:     listDelta(before.Keys, after.Keys, keyName, sameKey),
		Queues:   listDelta(before.Queues, after.Queues, queueName, sameQueue),
		Services: listDelta(before.Services, after.Services, serviceName, sameService),
	}
	if !slices.Equal(before.Prices, after.Prices) {
		d.NewPrices, d.Prices = true, after.Prices
	}
	return d
}

// Apply returns the normalized result of applying delta to d, whose digest is the given
// one. It does not modify d, which others may be reading. The result has the digest
// delta.To. The error is a *MismatchError.
func Apply(d *model.Declarations, digest string, delta Delta) (model.Declarations, error) {
	if digest != delta.From {
		return model.Declarations{}, &MismatchError{Want: delta.From, Have: digest}
	}
	out := model.Declarations{
		Teams:    applyList(d.Teams, delta.Teams, teamName),
		Keys:     applyList(d.Keys, delta.Keys, keyName),
		Queues:   applyList(d.Queues, delta.Queues, queueName),
		Services: applyList(d.Services, delta.Services, serviceName),
		Prices:   d.Prices,
	}
	if delta.NewPrices {
		out.Prices = delta.Prices
	}
	Normalize(&out)
	if have := Digest(&out); have != delta.To {
		return model.Declarations{}, &MismatchError{Want: delta.To, Have: have}
	}
	return out, nil
}

// listDelta returns the difference between two lists that are sorted by name.
func listDelta[T any](before, after []T, name func(*T) string, same func(a, b *T) bool) ListDelta[T] {
	var d ListDelta[T]
	i := 0
	for j := range after {
		n := name(&after[j])
		for i < len(before) && name(&before[i]) < n {
			d.Drop = append(d.Drop, name(&before[i]))
			i++
		}
		if i == len(before) || name(&before[i]) != n {
			d.Put = append(d.Put, after[j])
			continue
		}
		if !same(&before[i], &after[j]) {
			d.Put = append(d.Put, after[j])
		}
		i++
	}
	for ; i < len(before); i++ {
		d.Drop = append(d.Drop, name(&before[i]))
	}
	return d
}

func applyList[T any](list []T, d ListDelta[T], name func(*T) string) []T {
	if len(d.Put) == 0 && len(d.Drop) == 0 {
		return list
	}
	changed := make(map[string]bool, len(d.Put)+len(d.Drop))
	for i := range d.Put {
		changed[name(&d.Put[i])] = true
	}
	for _, n := range d.Drop {
		changed[n] = true
	}
	out := make([]T, 0, len(list)+len(d.Put))
	for i := range list {
		if !changed[name(&list[i])] {
			out = append(out, list[i])
		}
	}
	return append(out, d.Put...)
}
