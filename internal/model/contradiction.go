package model

import "slices"

// Contradiction returns the first key whose requirements no labels satisfy together, or "" if
// some labels satisfy s.
func (s Selector) Contradiction() string {
	for i := range s {
		if key := s[i].Key; !s.satisfiable(key) {
			return key
		}
	}
	return ""
}

// satisfiable reports whether some value of the label key, or its absence, satisfies every
// requirement for it.
func (s Selector) satisfiable(key string) bool {
	present, absent := false, false
	var allowed, excluded []string
	restricted := false
	for i := range s {
		r := &s[i]
		if r.Key != key {
			continue
		}
		switch r.Op {
		case OpEquals, OpIn:
			if restricted {
				allowed = slices.DeleteFunc(allowed, func(v string) bool { return !slices.Contains(r.Values, v) })
			} else {
				restricted, allowed = true, slices.Clone(r.Values)
			}
		case OpNotEquals, OpNotIn:
			excluded = append(excluded, r.Values...)
		case OpExists:
			present = true
		default:
			absent = true
		}
	}
	if absent && (present || restricted) {
		return false
	}
	return !restricted || slices.ContainsFunc(allowed, func(v string) bool { return !slices.Contains(excluded, v) })
}
