package strict

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode decodes the JSON text in data into out, a pointer to a struct. Fields
// that the text does not contain keep their value. Unknown and duplicate fields,
// wrong types, numbers out of range and malformed durations are all reported.
// Field names are case sensitive, and null is accepted only for a list or a map,
// where it means empty. Problems at or below a field tagged secret:"true" contain
// no value.
func Decode(file string, data []byte, out any) Problems {
	root, problems := parse(file, data)
	if root == nil {
		return problems
	}
	d := decoder{file: file, problems: problems}
	d.value(root, reflect.ValueOf(out).Elem())
	return d.problems
}

// decoder assigns parsed nodes to Go values and collects the problems.
type decoder struct {
	file       string
	hideValues bool // inside a field tagged as secret
	problems   Problems
}

func (d *decoder) addProblem(n *node, format string, args ...any) {
	if d.hideValues {
		d.problems.Add(d.file, n.path, nil, format, args...)
		return
	}
	d.problems.Add(d.file, n.path, n.displayValue(), format, args...)
}

func (d *decoder) requireKind(n *node, k kind) bool {
	if n.kind == k {
		return true
	}
	article := "a "
	if k == kindObject || k == kindArray {
		article = "an "
	}
	d.addProblem(n, "must be %s", article+string(k))
	return false
}

func (d *decoder) value(n *node, v reflect.Value) {
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		d.unmarshal(n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(n, v)
	case reflect.Slice:
		d.slice(n, v)
	case reflect.Map:
		d.stringMap(n, v)
	case reflect.String:
		if d.requireKind(n, kindString) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if d.requireKind(n, kindBool) {
			v.SetBool(n.text == "true")
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		d.integer(n, v)
	default:
		panic("strict: unsupported type " + v.Type().String())
	}
}

func (d *decoder) unmarshal(n *node, u json.Unmarshaler) {
	if !d.requireKind(n, kindString) {
		return
	}
	text, err := json.Marshal(n.text)
	if err == nil {
		err = u.UnmarshalJSON(text)
	}
	if err != nil {
		d.addProblem(n, "%s", err.Error())
	}
}

func (d *decoder) integer(n *node, v reflect.Value) {
	if !d.requireKind(n, kindNumber) {
		return
	}
	i, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
	if err != nil {
		d.addProblem(n, "must be a whole number of at most %d bits", v.Type().Bits())
		return
	}
	v.SetInt(i)
}

func (d *decoder) object(n *node, v reflect.Value) {
	if !d.requireKind(n, kindObject) {
		return
	}
	fields := fieldsOf(v.Type())
	for _, m := range n.members {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == m.name })
		if i < 0 {
			d.problems.Add(d.file, m.value.path, nil, "unknown field%s", suggestion(m.name, fields))
			continue
		}
		d.field(m.value, v, fields[i])
	}
}

func (d *decoder) field(n *node, v reflect.Value, f field) {
	previous := d.hideValues
	d.hideValues = previous || f.secret
	d.value(n, v.Field(f.index))
	d.hideValues = previous
}

func (d *decoder) slice(n *node, v reflect.Value) {
	if n.kind == kindNull {
		return
	}
	if !d.requireKind(n, kindArray) {
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements))
	for i, e := range n.elements {
		d.value(e, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) stringMap(n *node, v reflect.Value) {
	if n.kind == kindNull {
		return
	}
	if !d.requireKind(n, kindObject) {
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(n.members))
	for _, m := range n.members {
		if d.requireKind(m.value, kindString) {
			out.SetMapIndex(reflect.ValueOf(m.name), reflect.ValueOf(m.value.text))
		}
	}
	v.Set(out)
}

// field is one JSON field of a struct.
type field struct {
	name   string
	index  int
	secret bool
}

// fieldsOf returns the JSON fields of a struct type in declaration order.
func fieldsOf(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out = append(out, field{name, i, t.Field(i).Tag.Get("secret") == "true"})
		}
	}
	return out
}

// suggestion returns a hint for an unknown field: the known field that differs
// only in case, or else the list of known fields.
func suggestion(name string, fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "; did you mean " + f.name + "?"
		}
		names[i] = f.name
	}
	return "; known here: " + strings.Join(names, ", ")
}
