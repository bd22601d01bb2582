package declare

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Op is the kind of change of a declared item.
type Op string

// The operations of a change.
const (
	OpAdd    Op = "add"
	OpRemove Op = "remove"
	OpChange Op = "change"
)

// Change is one difference between two sets of declarations, in readable form.
type Change struct {
	Op    Op     `json:"op"`
	Kind  string `json:"kind"`            // team, key, queue, price or service
	Name  string `json:"name"`            // digests are shortened
	Field string `json:"field,omitempty"` // set for OpChange
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns c as one line of text.
func (c Change) String() string {
	switch c.Op {
	case OpAdd:
		return "+ " + c.Kind + " " + c.Name + " " + c.New
	case OpRemove:
		return "- " + c.Kind + " " + c.Name + " " + c.Old
	}
	return "~ " + c.Kind + " " + c.Name + " " + c.Field + ": " + c.Old + " -> " + c.New
}

// Diff returns the differences between before and after, ordered by kind and name.
func Diff(before, after *model.Declarations) []Change {
	a, b := *before, *after
	Normalize(&a)
	Normalize(&b)
	var out []Change
	out = append(out, diffList("team", a.Teams, b.Teams, teamName)...)
	out = append(out, diffList("key", a.Keys, b.Keys, keyName)...)
	out = append(out, diffList("queue", a.Queues, b.Queues, queueName)...)
	out = append(out, diffList("price", a.Prices, b.Prices, priceName)...)
	out = append(out, diffList("service", a.Services, b.Services, serviceName)...)
	return out
}

func priceName(p *model.PricePoint) string { return p.Patience.String() }

func byName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

func diffList[T any](kind string, before, after []T, name func(*T) string) []Change {
	old, now := byName(before, name), byName(after, name)
	names := make([]string, 0, len(old)+len(now))
	for n := range old {
		names = append(names, n)
	}
	for n := range now {
		if old[n] == nil {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	var out []Change
	for _, n := range names {
		out = append(out, diffItem(kind, n, old[n], now[n])...)
	}
	return out
}

func diffItem[T any](kind, name string, before, after *T) []Change {
	shown := name
	if kind == "key" {
		shown = ShortDigest(model.KeyDigest(name))
	}
	switch {
	case before == nil:
		return []Change{{Op: OpAdd, Kind: kind, Name: shown, New: summary(after)}}
	case after == nil:
		return []Change{{Op: OpRemove, Kind: kind, Name: shown, Old: summary(before)}}
	}
	var out []Change
	a, b := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	for i := range a.NumField() {
		if equalFields(a.Field(i), b.Field(i)) {
			continue
		}
		out = append(out, Change{
			Op: OpChange, Kind: kind, Name: shown, Field: jsonName(a.Type().Field(i)),
			Old: text(a.Field(i)), New: text(b.Field(i)),
		})
	}
	return out
}

// namingFields lists the JSON fields that name an item, one for each kind.
var namingFields = []string{"name", "digest", "patience"}

// equalFields reports whether two fields are equal. Empty and missing maps and
// lists are equal.
func equalFields(a, b reflect.Value) bool {
	if k := a.Kind(); (k == reflect.Map || k == reflect.Slice) && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// summary formats the fields of an item except its name and zero fields.
func summary[T any](item *T) string {
	v := reflect.ValueOf(item).Elem()
	var parts []string
	for i := range v.NumField() {
		name := jsonName(v.Type().Field(i))
		if slices.Contains(namingFields, name) || v.Field(i).IsZero() {
			continue
		}
		parts = append(parts, name+"="+text(v.Field(i)))
	}
	return strings.Join(parts, " ")
}

func text(v reflect.Value) string {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return "?"
	}
	return string(data)
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
