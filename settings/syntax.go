package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// maxDepth is the maximum nesting depth of a settings file.
const maxDepth = 64

// checkSyntax reports whether raw is exactly one JSON value nested at most maxDepth levels
// deep. If not, it returns the fault at path.
func checkSyntax(path string, raw []byte) (Fault, bool) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	var first json.RawMessage
	err := dec.Decode(&first)
	if errors.Is(err, io.EOF) {
		return Fault{Path: path, Problem: "is empty; want a JSON object"}, false
	}
	if err != nil {
		return Fault{Path: path, Problem: describeSyntax(raw, err)}, false
	}
	rest := bytes.TrimSpace(raw[dec.InputOffset():])
	if len(rest) > 0 {
		line, column := position(raw, dec.InputOffset()+int64(bytes.Index(raw[dec.InputOffset():], rest)))
		problem := fmt.Sprintf("line %d, column %d: data after the end of the JSON value", line, column)
		return Fault{Path: path, Problem: problem}, false
	}
	if depth(raw) > maxDepth {
		return Fault{Path: path, Problem: fmt.Sprintf("is nested more than %d levels deep", maxDepth)}, false
	}
	return Fault{}, true
}

// describeSyntax describes an error of the JSON decoder with its position in raw.
func describeSyntax(raw []byte, err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		line, column := position(raw, int64(len(raw)))
		return fmt.Sprintf("line %d, column %d: the JSON ends too early", line, column)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := position(raw, max(syntax.Offset-1, 0))
		return fmt.Sprintf("line %d, column %d: not JSON: %v", line, column, syntax)
	}
	return fmt.Sprintf("not JSON: %v", err)
}

// position returns the line and column of a byte offset, counted from 1.
func position(raw []byte, offset int64) (line, column int) {
	before := raw[:min(offset, int64(len(raw)))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}

// depth returns the nesting depth of a valid JSON value.
func depth(raw []byte) int {
	deepest, level, quoted := 0, 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case !quoted && (c == '{' || c == '['):
			level++
			deepest = max(deepest, level)
		case !quoted && (c == '}' || c == ']'):
			level--
		}
	}
	return deepest
}

// member is one member of a JSON object.
type member struct {
	key   string
	value json.RawMessage
}

// members returns the members of a valid JSON object in order, including those with a
// duplicate key.
func members(raw []byte) []member {
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	var list []member
	for dec.More() {
		key, _ := dec.Token()
		m := member{key: key.(string)}
		_ = dec.Decode(&m.value)
		list = append(list, m)
	}
	return list
}

// items returns the elements of a valid JSON array in order.
func items(raw []byte) []json.RawMessage {
	var list []json.RawMessage
	_ = json.Unmarshal(raw, &list)
	return list
}

// kindOf returns the kind of a valid JSON value in the words that faults use.
func kindOf(raw []byte) string {
	switch bytes.TrimSpace(raw)[0] {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	}
	return "a number"
}
