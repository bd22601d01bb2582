package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxDepth bounds the nesting of a document, so that hostile input cannot
// exhaust the stack.
const maxDepth = 32

// kind is the JSON type of a node.
type kind string

const (
	kindObject kind = "object"
	kindArray  kind = "array"
	kindString kind = "string"
	kindNumber kind = "number"
	kindBool   kind = "boolean"
	kindNull   kind = "null"
)

// node is one value of a parsed document.
type node struct {
	kind     kind
	path     string
	text     string // scalar value: string contents, number literal, true or false
	members  []member
	elements []*node
}

// member is one name-value pair of an object. Members are kept in document order.
type member struct {
	name  string
	value *node
}

// displayValue returns the value of the node in the form that a Problem shows.
func (n *node) displayValue() any {
	switch n.kind {
	case kindString:
		return n.text
	case kindNumber, kindBool:
		return unquoted(n.text)
	case kindNull:
		return unquoted("null")
	}
	return unquoted("an " + string(n.kind))
}

// unquoted is text that Show leaves unquoted.
type unquoted string

// String implements fmt.Stringer.
func (r unquoted) String() string { return string(r) }

// parser builds nodes from JSON tokens and collects structural problems.
type parser struct {
	file     string
	dec      *json.Decoder
	problems Problems
}

var errTooDeep = errors.New("nested too deeply")

// parse parses data as exactly one JSON value. It returns a nil node if the text
// is not valid JSON or nested too deeply; the problems then contain the position
// of a syntax error.
func parse(file string, data []byte) (*node, Problems) {
	if p, ok := checkSyntax(file, data); !ok {
		return nil, Problems{p}
	}
	p := &parser{file: file, dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	root, err := p.value("$", 0)
	if err != nil {
		p.problems.Add(file, "$", nil, "the document must not be nested more than %d levels deep", maxDepth)
		return nil, p.problems
	}
	return root, p.problems
}

// checkSyntax reports the first syntax error of data with its line and column.
func checkSyntax(file string, data []byte) (Problem, bool) {
	var discard json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	err := dec.Decode(&discard)
	if err == nil {
		rest := dec.InputOffset()
		if _, err := dec.Token(); err == io.EOF {
			return Problem{}, true
		}
		return syntaxProblem(file, data, rest+1, "nothing may follow the JSON value"), false
	}
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return syntaxProblem(file, data, syntax.Offset, "not JSON: "+err.Error()), false
	case errors.Is(err, io.EOF):
		return Problem{File: file, Path: "$", Rule: "the document is empty"}, false
	}
	return syntaxProblem(file, data, int64(len(data)), "not JSON: the text ends too early"), false
}

func syntaxProblem(file string, data []byte, offset int64, rule string) Problem {
	at := min(max(int(offset)-1, 0), len(data))
	before := data[:at]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := at - bytes.LastIndexByte(before, '\n')
	position := " (line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column) + ")"
	return Problem{File: file, Path: "$", Rule: rule + position}
}

func (p *parser) value(path string, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	tok, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &node{path: path}
	switch t := tok.(type) {
	case json.Delim:
		if t == '{' {
			return n, p.object(n, depth)
		}
		return n, p.array(n, depth)
	case string:
		n.kind, n.text = kindString, t
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
	case bool:
		n.kind, n.text = kindBool, strconv.FormatBool(t)
	default:
		n.kind = kindNull
	}
	return n, nil
}

func (p *parser) object(n *node, depth int) error {
	n.kind = kindObject
	seen := make(map[string]bool)
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		v, err := p.value(memberPath(n.path, name), depth+1)
		if err != nil {
			return err
		}
		if seen[name] {
			p.problems.Add(p.file, v.path, nil, "the field is given twice")
			continue
		}
		seen[name] = true
		n.members = append(n.members, member{name, v})
	}
	_, err := p.dec.Token()
	return err
}

func (p *parser) array(n *node, depth int) error {
	n.kind = kindArray
	for p.dec.More() {
		v, err := p.value(Index(n.path, len(n.elements)), depth+1)
		if err != nil {
			return err
		}
		n.elements = append(n.elements, v)
	}
	_, err := p.dec.Token()
	return err
}

// Index returns the path of element i of the array at path.
func Index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// memberPath returns the path of the member name of the object at path. Names with
// characters other than ASCII letters, digits and '_' are quoted.
func memberPath(path, name string) string {
	plain := name != "" && strings.IndexFunc(name, func(r rune) bool {
		return r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9')
	}) < 0
	if plain {
		return path + "." + name
	}
	return path + "[" + strconv.Quote(name) + "]"
}
