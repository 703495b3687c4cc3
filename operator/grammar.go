package operator

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/ebnf"
	"github.com/alecthomas/participle/v2/lexer"
)

// expectation is a token that may come next: a literal word, or any token of a
// type.
type expectation struct {
	literal string
	token   string
}

// text describes the expectation in an error.
func (e expectation) text() string {
	switch {
	case e.literal != "":
		return `"` + e.literal + `"`
	case e.token == "Comma":
		return `","`
	}
	return "a name or value"
}

// rules is the parser's own grammar, walked to find what may come next.
type rules map[string]*ebnf.Expression

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

// firstUnexpected returns the index of the first word that no statement has there, and
// what may stand there instead.
func (g rules) firstUnexpected(words []lexer.Token) (int, []expectation) {
	w := &grammarWalk{rules: g, words: words}
	// The end of a statement is noted too, as an expectation of nothing more.
	w.expression(g["Statement"], 0, func(at int) { w.record(at, expectation{}) })
	expected := slices.DeleteFunc(w.expected, func(e expectation) bool { return e == expectation{} })
	return w.deepest, expected
}

// next returns what may follow on words, or nothing when words start no statement.
func (g rules) next(words []lexer.Token) []expectation {
	at, expected := g.firstUnexpected(words)
	if at < len(words) {
		return nil
	}
	return expected
}

// grammarWalk matches words against the grammar and notes what was expected at
// the deepest place that it reached.
type grammarWalk struct {
	rules    rules
	words    []lexer.Token
	deepest  int
	expected []expectation
}

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

// repeated matches a term as often as its repetition allows.
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

func (w *grammarWalk) token(e expectation, at int, then func(int)) {
	w.record(at, e)
	if at < len(w.words) && e.matches(w.words[at]) {
		then(at + 1)
	}
}

func (e expectation) matches(word lexer.Token) bool {
	if e.literal != "" {
		return strings.EqualFold(e.literal, word.Value)
	}
	return strings.EqualFold(e.token, typeNames[word.Type])
}

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

// alternatives lists the expectations for an error.
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
