package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// fields are the values that the platform fills into a settings template.
type fields map[string]any

// render fills in the template of a settings file: placeholders {{a}}, {{a.b}}, {{a.0}} and
// {{a|json}}, sections {{#a}}..{{/a}} and {{^a}}..{{/a}}.
func render(text string, f fields) (string, error) {
	var out strings.Builder
	for {
		open := strings.Index(text, "{{")
		if open < 0 {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:open])
		end := strings.Index(text[open:], "}}")
		if end < 0 {
			return "", fmt.Errorf("unclosed placeholder")
		}
		name := text[open+2 : open+end]
		text = text[open+end+2:]
		if name[0] == '#' || name[0] == '^' {
			closing := "{{/" + name[1:] + "}}"
			at := strings.Index(text, closing)
			if at < 0 {
				return "", fmt.Errorf("section %s is not closed", name)
			}
			if present(lookup(f, name[1:])) == (name[0] == '#') {
				inner, err := render(text[:at], f)
				if err != nil {
					return "", err
				}
				out.WriteString(inner)
			}
			text = text[at+len(closing):]
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		v := lookup(f, name)
		switch {
		case asJSON:
			b, err := json.Marshal(v)
			if err != nil {
				return "", err
			}
			out.Write(b)
		case v != nil:
			fmt.Fprint(&out, v)
		}
	}
}

func present(v any) bool {
	switch x := v.(type) {
	case nil:
		return false
	case bool:
		return x
	}
	return true
}

func lookup(v any, name string) any {
	for _, part := range strings.Split(name, ".") {
		switch x := v.(type) {
		case fields:
			v = x[part]
		case []int:
			var i int
			fmt.Sscan(part, &i)
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

func sortedNames[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
