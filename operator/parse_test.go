package operator

import (
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestFaultsHavePositions(t *testing.T) {
	tests := []struct {
		source  string
		column  int
		problem string
	}{
		{"", 1, `expected "show", "history", "wait", "explain", "take", "bring", "load", "set", "mark", "unmark", "add", "drop", "promote" or "remove", found the end of the statement`},
		{"shwo zones", 1, `found "shwo"; did you mean "show"?`},
		{"show zone", 6, `found "zone"; did you mean "zones"?`},
		{"show endpoints where zone", 27, `expected "=", "!=", "<=", ">=", "<" or ">", found the end of the statement`},
		{"show endpoints where zone = a or", 31, `expected "and", found "or"`},
		{"show endpoints where colour = red", 22, `no column "colour"; columns: endpoint, zone, `},
		{"show endpoints where stat = cold", 22, `no column "stat"; did you mean "state"?`},
		{"show endpoints where running = many", 32, `want a number, found "many"`},
		{"show endpoints where in_service = perhaps", 35, `want yes or no, found "perhaps"`},
		{"show endpoints where zone < b", 29, `column "zone" is compared by = and != only`},
		{"show accounts where held > big", 28, `want a size such as 4MB, found "big"`},
		{"show processes where silent > long", 31, `want a duration such as 30s, found "long"`},
		{"take zone hall", 16, `expected "out", found the end of the statement`},
		{"take zone hall in", 16, `expected "out", found "in"`},
		{"take zone hall out now", 20, `expected "expecting", found "now"`},
		{"take zone hall out expecting revision soon", 39, `want a revision such as 12, found "soon"`},
		{"take zone hall out  # why", 0, ""},
		{`take zone "hall`, 11, `the quoted string has no end`},
		{`take zone "\q" out`, 11, `an escape other than`},
		{`take zone "a\"b\\" out`, 0, ""},
		{"show zones where state ! in", 24, `unexpected character`},
		{"load model m on e expecting revision 4", 38, `this order changes no configuration`},
		{"set route r to model m deadline soon", 33, `want a duration such as 30s, found "soon"`},
		{"set route r to model m deadline 3s deadline 4s", 45, `the deadline is set twice`},
		{"set route r to model m accounts a, a", 36, `"a" is listed twice`},
		{"set route r to model m accounts a,", 36, `expected a name or value, found the end of the statement`},
		{"set route r to model m max output -1", 35, `want a whole number such as 8, found "-1"`},
		{"set account a limits", 22, `expected "requests", "tokens", "concurrent" or "held", found the end of the statement`},
		{"set account a limits requests 10", 31, `want a rate such as 10/s, found "10"`},
		{"set account a limits held 4MB held 5MB", 36, `the limit of held is set twice`},
		{"mark route r FETCH /seal non-idempotent", 14, `want an HTTP method such as POST, found "FETCH"`},
		{"mark route r POST seal non-idempotent", 19, `want a path such as /seal, found "seal"`},
		{"drop key zz from account a", 10, `want at least 8 hexadecimal digits`},
		{"add replica 4", 13, `want the new replica's address too`},
		{"add replica 4 at localhost:7000", 18, `want an IP address and port such as 127.0.0.1:7000, found "localhost:7000"`},
		{"promote replica 4 at 127.0.0.1:1", 22, `only "add replica" takes an address`},
		{"explain show zones", 9, `expected "take", "bring"`},
		{"history limit some", 15, `want a whole number such as 8, found "some"`},
		{"wait for -1s", 10, `want a duration such as 30s, found "-1s"`},
		{"take zone\nhall out", 0, "a statement stands on one line"},
		{strings.Repeat("x", maxStatementBytes+1), 0, "a statement has at most 4096 bytes"},
	}
	for _, test := range tests {
		t.Run(test.source[:min(40, len(test.source))], func(t *testing.T) {
			is := is.New(t)
			_, err := Compile(test.source)
			if test.problem == "" {
				is.NoErr(err)
				return
			}
			var fault *StatementError
			is.True(errors.As(err, &fault))
			is.Equal(fault.Column, test.column)
			if !strings.Contains(fault.Problem, test.problem) {
				t.Errorf("got %q, want %q", fault.Problem, test.problem)
			}
		})
	}
}

func TestFaultHasCaretBelowItsColumn(t *testing.T) {
	is := is.New(t)
	_, err := Compile("take\tzone hall in")
	is.Equal(err.Error(), "column 16: expected \"out\", found \"in\"\n    take\tzone hall in\n        \t          ^")
}

var (
	optional    = regexp.MustCompile(`[\[\]]`)
	placeholder = regexp.MustCompile(`<[a-z /]+>`)
)

// examples returns a statement for each of Forms, with its optional parts.
func examples() []string {
	replace := strings.NewReplacer(
		"endpoints|requests|zones|models|routes|accounts|processes|replicas|leases [where <column> = <value> [and ...]]", "zones where zone = hall and cold >= 1",
		"<METHOD> </path>", "POST /seal", "<number>", "3", "<address>", "127.0.0.1:1", "<digest>", "0123456789ab",
		"model|route|account|endpoint", "route", "<limit> ...", "tokens 5/s", "<a>", "one", "<b>", "two", "<revision>", "4", "<count>", "5",
		"<order>", "take zone hall out",
	)
	var list []string
	for _, f := range Forms {
		source := optional.ReplaceAllString(replace.Replace(f.Syntax), "")
		list = append(list, placeholder.ReplaceAllString(source, "thing"))
	}
	return list
}

func TestEveryFormInTheHelpCompiles(t *testing.T) {
	is := is.New(t)
	for _, source := range examples() {
		_, err := Compile(source)
		is.NoErr(err)
	}
}

func TestWordsOfTheLanguageAreNotCaseSensitive(t *testing.T) {
	is := is.New(t)
	is.Equal(mustRun(t, newTestSession(newFakeControl()), "TAKE Zone hall OUT").(*Accepted).Revision, uint64(8))
	_, err := Compile("SHOW Zones WHERE Zone = hall")
	is.NoErr(err)
}

// accepts reports whether the grammar with which faults are explained accepts all words as one
// statement.
func accepts(words []lexer.Token) bool {
	accepted := false
	w := &grammarWalk{rules: grammar, words: words}
	w.expression(grammar["Statement"], 0, func(at int) { accepted = accepted || at == len(words) })
	return accepted
}

// FuzzCompile checks that no statement causes a panic, and that the grammar with which faults
// are explained accepts the same statements as the parser.
func FuzzCompile(f *testing.F) {
	for _, source := range examples() {
		f.Add(source)
	}
	f.Add(`take zone "\q" out`)
	f.Add(`take zone "a\"b\\" out`)
	f.Fuzz(func(t *testing.T, source string) {
		is := is.New(t)
		_, err := Parse(source)
		words, fault := scan(source)
		if !strings.ContainsAny(source, "\n\r") && len(source) <= maxStatementBytes {
			is.Equal(err == nil, fault == nil && accepts(words))
		}
		if _, err := Compile(source); err != nil {
			var fault *StatementError
			is.True(errors.As(err, &fault))
			is.True(fault.Error() != "")
		}
		Complete(source, CompletionNames{"zone": {"a b"}})
	})
}
