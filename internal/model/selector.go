package model

import (
	"fmt"
	"slices"
	"strings"
)

// Labels is a set of key=value pairs on a worker, a job or a queue.
type Labels map[string]string

// SelectorOp is the operator of one requirement.
type SelectorOp uint8

// The operators of a requirement.
const (
	OpEquals SelectorOp = iota
	OpNotEquals
	OpIn
	OpNotIn
	OpExists
	OpNotExists
)

// Requirement is one term of a selector.
type Requirement struct {
	Key    string
	Op     SelectorOp
	Values []string // sorted; one for OpEquals and OpNotEquals, none for OpExists and OpNotExists
}

// Selector is a conjunction of requirements. The empty selector matches everything.
type Selector []Requirement

// SelectorError describes a syntax error in a selector.
type SelectorError struct {
	Input  string
	Offset int // byte offset of the syntax error
	Reason string
}

// Error implements error.
func (e *SelectorError) Error() string {
	return fmt.Sprintf("selector %q, position %d: %s", e.Input, e.Offset+1, e.Reason)
}

// Matches reports whether labels satisfy every requirement of s.
func (s Selector) Matches(labels Labels) bool {
	for i := range s {
		if !s[i].Matches(labels) {
			return false
		}
	}
	return true
}

// Matches reports whether labels satisfy r. As is customary, != and notin also match
// labels without the key.
func (r *Requirement) Matches(labels Labels) bool {
	v, ok := labels[r.Key]
	switch r.Op {
	case OpEquals, OpIn:
		return ok && slices.Contains(r.Values, v)
	case OpNotEquals, OpNotIn:
		return !ok || !slices.Contains(r.Values, v)
	case OpExists:
		return ok
	default:
		return !ok
	}
}

// String formats s in the syntax of ParseSelector.
func (s Selector) String() string {
	terms := make([]string, len(s))
	for i, r := range s {
		terms[i] = r.String()
	}
	return strings.Join(terms, ",")
}

// String formats r in the syntax of ParseSelector.
func (r Requirement) String() string {
	switch r.Op {
	case OpEquals:
		return r.Key + "=" + r.Values[0]
	case OpNotEquals:
		return r.Key + "!=" + r.Values[0]
	case OpIn:
		return r.Key + " in (" + strings.Join(r.Values, ",") + ")"
	case OpNotIn:
		return r.Key + " notin (" + strings.Join(r.Values, ",") + ")"
	case OpExists:
		return r.Key
	default:
		return "!" + r.Key
	}
}

// ParseSelector parses a selector such as "gpu=a100,zone in (a,b),!spot". The
// error is a *SelectorError.
func ParseSelector(input string) (Selector, error) {
	p := selectorParser{input: input}
	return p.parse()
}

// selectorParser is a recursive descent parser with its position in the input.
type selectorParser struct {
	input string
	pos   int
}

func (p *selectorParser) parse() (Selector, error) {
	p.skipSpace()
	if p.atEnd() {
		return nil, nil
	}
	var out Selector
	for {
		r, err := p.requirement()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
		p.skipSpace()
		if p.atEnd() {
			return out, nil
		}
		if !p.accept(",") {
			return nil, p.syntaxError("expected a comma or the end")
		}
	}
}

func (p *selectorParser) requirement() (Requirement, error) {
	p.skipSpace()
	if p.accept("!") {
		key, err := p.token("label key")
		return Requirement{Key: key, Op: OpNotExists}, err
	}
	key, err := p.token("label key")
	if err != nil {
		return Requirement{}, err
	}
	p.skipSpace()
	switch {
	case p.accept("!="):
		return p.singleValue(key, OpNotEquals)
	case p.accept("=="), p.accept("="):
		return p.singleValue(key, OpEquals)
	case p.acceptKeyword("notin"):
		return p.valueList(key, OpNotIn)
	case p.acceptKeyword("in"):
		return p.valueList(key, OpIn)
	}
	return Requirement{Key: key, Op: OpExists}, nil
}

func (p *selectorParser) singleValue(key string, op SelectorOp) (Requirement, error) {
	v, err := p.token("value")
	return Requirement{Key: key, Op: op, Values: []string{v}}, err
}

func (p *selectorParser) valueList(key string, op SelectorOp) (Requirement, error) {
	p.skipSpace()
	if !p.accept("(") {
		return Requirement{}, p.syntaxError("expected (")
	}
	r := Requirement{Key: key, Op: op}
	for {
		v, err := p.token("value")
		if err != nil {
			return r, err
		}
		r.Values = append(r.Values, v)
		p.skipSpace()
		if p.accept(")") {
			slices.Sort(r.Values)
			r.Values = slices.Compact(r.Values)
			return r, nil
		}
		if !p.accept(",") {
			return r, p.syntaxError("expected a comma or )")
		}
	}
}

func (p *selectorParser) token(what string) (string, error) {
	p.skipSpace()
	start := p.pos
	for p.pos < len(p.input) && isLabelByte(p.input[p.pos]) {
		p.pos++
	}
	if p.pos == start {
		return "", p.syntaxError("expected a " + what)
	}
	return p.input[start:p.pos], nil
}

func (p *selectorParser) acceptKeyword(w string) bool {
	end := p.pos + len(w)
	if !strings.HasPrefix(p.input[p.pos:], w) || (end < len(p.input) && isLabelByte(p.input[end])) {
		return false
	}
	p.pos = end
	return true
}

func (p *selectorParser) accept(s string) bool {
	if !strings.HasPrefix(p.input[p.pos:], s) {
		return false
	}
	p.pos += len(s)
	return true
}

func (p *selectorParser) skipSpace() {
	for p.pos < len(p.input) && (p.input[p.pos] == ' ' || p.input[p.pos] == '\t') {
		p.pos++
	}
}

func (p *selectorParser) atEnd() bool { return p.pos == len(p.input) }

func (p *selectorParser) syntaxError(reason string) error {
	return &SelectorError{Input: p.input, Offset: p.pos, Reason: reason}
}

func isLabelByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.' || c == '/'
}
