package declare

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// ListDelta is the change of one named list.
type ListDelta[T any] struct {
	Put  []T      `cbor:"1,keyasint,omitempty"` // items added or replaced, whole
	Drop []string `cbor:"2,keyasint,omitempty"` // names of items removed
}

// Delta turns one set of declarations into another. It is the short form in
// which a change travels to processes that hold the set before it.
type Delta struct {
	From     string                   `cbor:"1,keyasint"` // digest of the set to apply it to
	To       string                   `cbor:"2,keyasint"` // digest of the result
	Teams    ListDelta[model.Team]    `cbor:"3,keyasint,omitempty"`
	Keys     ListDelta[model.Key]     `cbor:"4,keyasint,omitempty"`
	Queues   ListDelta[model.Queue]   `cbor:"5,keyasint,omitempty"`
	Services ListDelta[model.Service] `cbor:"6,keyasint,omitempty"`
	// Prices replaces the whole table when NewPrices is set.
	Prices    []model.PricePoint `cbor:"7,keyasint,omitempty"`
	NewPrices bool               `cbor:"8,keyasint,omitempty"`
}

// MismatchError says that a delta does not lead from the set that is held, or
// not to the set that was meant. The holder needs a whole copy.
type MismatchError struct {
	Want, Have string // digests
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("declarations have digest %.12s, expected %.12s", e.Have, e.Want)
}

// DeltaOf returns the delta that leads from before to after. Neither needs to
// be normalized.
func DeltaOf(before, after *model.Declarations) Delta {
	a, b := *before, *after
	Normalize(&a)
	Normalize(&b)
	d := Delta{
		From:     Digest(&a),
		To:       Digest(&b),
		Teams:    listDelta(a.Teams, b.Teams, teamName),
		Keys:     listDelta(a.Keys, b.Keys, keyName),
		Queues:   listDelta(a.Queues, b.Queues, queueName),
		Services: listDelta(a.Services, b.Services, serviceName),
	}
	if !slices.Equal(a.Prices, b.Prices) {
		d.NewPrices, d.Prices = true, b.Prices
	}
	return d
}

// Apply returns the set to which delta leads from d, normalized. It leaves d
// as it is, so that readers of d are not disturbed. The error is a
// *MismatchError.
func Apply(d *model.Declarations, delta Delta) (model.Declarations, error) {
	if have := Digest(d); have != delta.From {
		return model.Declarations{}, &MismatchError{Want: delta.From, Have: have}
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

func byName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

func listDelta[T any](before, after []T, name func(*T) string) ListDelta[T] {
	var d ListDelta[T]
	old := byName(before, name)
	for i := range after {
		was, ok := old[name(&after[i])]
		if !ok || !equalItems(was, &after[i]) {
			d.Put = append(d.Put, after[i])
		}
	}
	kept := byName(after, name)
	for i := range before {
		if n := name(&before[i]); kept[n] == nil {
			d.Drop = append(d.Drop, n)
		}
	}
	return d
}

// equalItems compares two items of a list field by field; empty and missing
// maps and lists are the same.
func equalItems[T any](a, b *T) bool {
	va, vb := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range va.NumField() {
		if !equalFields(va.Field(i), vb.Field(i)) {
			return false
		}
	}
	return true
}

func equalFields(a, b reflect.Value) bool {
	if k := a.Kind(); (k == reflect.Map || k == reflect.Slice) && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

func applyList[T any](list []T, d ListDelta[T], name func(*T) string) []T {
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
