package operator

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/ebnf"
	"github.com/alecthomas/participle/v2/lexer"
)

// expectation is a token that the grammar allows at a position. The zero value stands for the
// end of the statement.
type expectation struct {
	// literal is the only word allowed; empty if any token of the type is allowed.
	literal string
	// token is the name of the allowed token type, if literal is empty.
	token string
}

// text returns the description of the expectation for error messages.
func (e expectation) text() string {
	switch {
	case e.literal != "":
		return `"` + e.literal + `"`
	case e.token == "Comma":
		return `","`
	}
	return "a name or value"
}

// rules maps the name of a production to its expression.
type rules map[string]*ebnf.Expression

// grammar is the parser's own grammar in EBNF. Walking it yields the tokens that are allowed
// at a position, which the parser's errors do not name.
var grammar = loadGrammar()

func loadGrammar() rules {
	parsed, err := ebnf.ParseString(parser.String())
	if err != nil {
		panic("operator: grammar: " + err.Error())
	}
	g := rules{}
	for _, p := range parsed.Productions {
		g[p.Production] = p.Expression
	}
	return g
}

// firstUnexpected returns the index of the first word at which no statement continues, and the
// tokens that are allowed there. The index is len(words) if every word is allowed.
func (g rules) firstUnexpected(words []lexer.Token) (int, []expectation) {
	w := &grammarWalk{rules: g, words: words}
	// A complete statement records the zero expectation, which advances w.deepest to the
	// index after the statement and is not an alternative to list.
	w.expression(g["Statement"], 0, func(at int) { w.record(at, expectation{}) })
	expected := slices.DeleteFunc(w.expected, func(e expectation) bool { return e == expectation{} })
	return w.deepest, expected
}

// next returns the tokens that are allowed after words, or nil if no statement starts with words.
func (g rules) next(words []lexer.Token) []expectation {
	at, expected := g.firstUnexpected(words)
	if at < len(words) {
		return nil
	}
	return expected
}

// grammarWalk matches words against the grammar, trying every alternative.
//
// Its methods match a part of the grammar from the word with index at on. For each way to match
// they call then with the index of the word after the match, so that the walk continues there.
type grammarWalk struct {
	rules rules
	words []lexer.Token
	// deepest is the highest index at which a token was expected.
	deepest int
	// expected lists the tokens that were expected at deepest.
	expected []expectation
}

// record notes that e is allowed at the word with index at.
func (w *grammarWalk) record(at int, e expectation) {
	if at > w.deepest {
		w.deepest, w.expected = at, nil
	}
	if at == w.deepest && !slices.Contains(w.expected, e) {
		w.expected = append(w.expected, e)
	}
}

func (w *grammarWalk) expression(e *ebnf.Expression, at int, then func(int)) {
	for _, s := range e.Alternatives {
		w.sequence(s.Terms, at, then)
	}
}

func (w *grammarWalk) sequence(terms []*ebnf.Term, at int, then func(int)) {
	if len(terms) == 0 {
		then(at)
		return
	}
	w.repeated(terms[0], at, func(after int) { w.sequence(terms[1:], after, then) })
}

// repeated matches a term as often as its repetition mark allows: "?", "*", "+" or none.
func (w *grammarWalk) repeated(t *ebnf.Term, at int, then func(int)) {
	switch t.Repetition {
	case "?":
		w.term(t, at, then)
		then(at)
	case "*":
		w.oneOrMore(t, at, then)
		then(at)
	case "+":
		w.oneOrMore(t, at, then)
	default:
		w.term(t, at, then)
	}
}

// oneOrMore matches a term one or more times. It stops at an empty match, which could be
// repeated forever.
func (w *grammarWalk) oneOrMore(t *ebnf.Term, at int, then func(int)) {
	w.term(t, at, func(after int) {
		if after == at {
			return
		}
		then(after)
		w.oneOrMore(t, after, then)
	})
}

func (w *grammarWalk) term(t *ebnf.Term, at int, then func(int)) {
	switch {
	case t.Name != "":
		w.expression(w.rules[t.Name], at, then)
	case t.Group != nil:
		w.expression(t.Group.Expr, at, then)
	default:
		w.token(expectation{literal: strings.Trim(t.Literal, `"`), token: t.Token}, at, then)
	}
}

// token matches one word against e and records e as expected.
func (w *grammarWalk) token(e expectation, at int, then func(int)) {
	w.record(at, e)
	if at < len(w.words) && e.matches(w.words[at]) {
		then(at + 1)
	}
}

// matches reports whether a token meets the expectation. Words are compared without case.
func (e expectation) matches(word lexer.Token) bool {
	if e.literal != "" {
		return strings.EqualFold(e.literal, word.Value)
	}
	return strings.EqualFold(e.token, typeNames[word.Type])
}

// typeNames maps token types to their names in the grammar.
var typeNames = lexer.SymbolsByRune(tokens)

// literals returns the literal words among the expectations.
func literals(expected []expectation) []string {
	var words []string
	for _, e := range expected {
		if e.literal != "" {
			words = append(words, e.literal)
		}
	}
	return words
}

// alternatives joins the descriptions of the expectations for an error message.
func alternatives(expected []expectation) string {
	var texts []string
	for _, e := range expected {
		if text := e.text(); !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
	}
	if len(texts) == 1 {
		return texts[0]
	}
	last := len(texts) - 1
	return strings.Join(texts[:last], ", ") + " or " + texts[last]
}
