package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// maxStatementBytes bounds the length of a statement in bytes.
const maxStatementBytes = 4096

// tokens is the lexer of the language. The parser skips tokens whose names are in lower case.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\["\\]|[^"\\])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s,=!<>"#]+`},
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(participle.MaxLookahead),
)

// StatementError is a fault in a statement, with its position.
type StatementError struct {
	// Source is the statement as written.
	Source string
	// Line is the line in a script, from 1; zero if the statement is not from a script.
	Line int
	// Column is the position in Source, counted in characters from 1; zero if the fault has no
	// position.
	Column int
	// Problem is what is wrong and what was expected.
	Problem string
}

var _ error = (*StatementError)(nil)

// Error returns the position, the problem, and the statement with a caret below it.
func (e *StatementError) Error() string {
	where := ""
	if e.Line > 0 {
		where = fmt.Sprintf("line %d, ", e.Line)
	}
	if e.Column == 0 {
		return where + e.Problem
	}
	return fmt.Sprintf("%scolumn %d: %s\n    %s\n    %s^", where, e.Column, e.Problem, e.Source, indent(e.Source, e.Column))
}

// indent returns the whitespace that places a caret below a column of source. It keeps the tabs
// of source.
func indent(source string, column int) string {
	var b strings.Builder
	for i, r := range []rune(source) {
		if i >= column-1 {
			break
		}
		if r != '\t' {
			r = ' '
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Parse returns the syntax tree of one statement on one line. Its error is a
// *StatementError.
func Parse(source string) (*Statement, error) {
	if len(source) > maxStatementBytes {
		return nil, &StatementError{Problem: fmt.Sprintf("a statement has at most %d bytes", maxStatementBytes)}
	}
	if strings.ContainsAny(source, "\n\r") {
		return nil, &StatementError{Problem: "a statement stands on one line"}
	}
	s, err := parser.ParseString("", source)
	if err == nil {
		return s, nil
	}
	return nil, explainSyntax(source, err)
}

// explainSyntax returns an error that lists the tokens expected at the first unexpected word of
// source. It stands in for the parser's error err.
func explainSyntax(source string, err error) *StatementError {
	words, bad := scan(source)
	if bad != nil {
		return bad
	}
	at, expected := grammar.firstUnexpected(words)
	column := endColumn(words)
	found := "the end of the statement"
	if at < len(words) {
		column = words[at].Pos.Column
		found = fmt.Sprintf("%q", words[at].Value)
	}
	if len(expected) == 0 {
		return &StatementError{Source: source, Column: column, Problem: fmt.Sprintf("did not expect %s", found)}
	}
	problem := fmt.Sprintf("expected %s, found %s", alternatives(expected), found)
	if at < len(words) {
		problem += suggestion(words[at].Value, literals(expected))
	}
	return &StatementError{Source: source, Column: column, Problem: problem}
}

// endColumn returns the column for a fault at the end of a statement: one blank after its last
// word.
func endColumn(words []lexer.Token) int {
	if len(words) == 0 {
		return 1
	}
	last := words[len(words)-1]
	return last.Pos.Column + len([]rune(last.Value)) + 1
}

// scan splits a statement into its tokens and leaves out blanks and comments.
func scan(source string) ([]lexer.Token, *StatementError) {
	lex, err := tokens.LexString("", source)
	if err != nil {
		return nil, &StatementError{Source: source, Problem: err.Error()}
	}
	var words []lexer.Token
	for {
		token, err := lex.Next()
		if err != nil {
			return nil, scanError(source, err)
		}
		if token.EOF() {
			return words, nil
		}
		switch token.Type {
		case tokenTypes["comment"], tokenTypes["space"]:
		default:
			words = append(words, token)
		}
	}
}

// tokenTypes maps the names of tokens to their types.
var tokenTypes = tokens.Symbols()

// scanError converts an error of the lexer to a fault with its position.
func scanError(source string, err error) *StatementError {
	e := &StatementError{Source: source, Problem: "unexpected character"}
	var positioned participle.Error
	if errors.As(err, &positioned) {
		e.Column = positioned.Position().Column
	}
	if e.Column > 0 && e.Column <= len([]rune(source)) && []rune(source)[e.Column-1] == '"' {
		e.Problem = `the quoted string has no end, or an escape other than \" and \\`
	}
	return e
}

// suggestion returns a hint with the known name that is most similar to word, or an empty string
// if none is similar enough.
func suggestion(word string, known []string) string {
	if near := settings.Nearest(word, known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}
