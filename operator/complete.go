package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

// CompletionNames maps a word of the language to the names that completion offers after it.
type CompletionNames map[string][]string

// namesInView collects the names that a view contains.
func namesInView(v *command.View) CompletionNames {
	n := CompletionNames{
		"zone":    sortedKeys(v.Document.Zones),
		"model":   sortedKeys(v.Document.Models),
		"route":   sortedKeys(v.Document.Routes),
		"account": sortedKeys(v.Document.Accounts),
		"replica": replicaNumbers(v),
	}
	for _, m := range v.Document.Models {
		n.add("version", m.Versions...)
		n.add("adapter", m.Adapters...)
	}
	for _, z := range v.Document.Zones {
		n.add("region", z.Region)
	}
	for _, e := range v.Endpoints {
		n.add("endpoint", e.Name)
		n.add("target", e.Target)
		if e.Service {
			n.add("service", e.Target)
		}
	}
	n.add("state", "cold", "in", "leaving", "out", "warm")
	n["on"] = n["endpoint"]
	n["accounts"] = n["account"]
	return n
}

func (n CompletionNames) add(word string, names ...string) {
	for _, name := range names {
		if name != "" && !slices.Contains(n[word], name) {
			n[word] = append(n[word], name)
		}
	}
	slices.Sort(n[word])
}

// LoadNames reads the current names for completion from control.
func (s *Session) LoadNames(ctx context.Context) (CompletionNames, error) {
	ctx, cancel := s.withTimeout(ctx, &CompiledStatement{})
	defer cancel()
	_, err := s.view(ctx)
	return s.names, err
}

// Complete returns the words and names that may replace the unfinished word at the end of line,
// and this unfinished word as partial. It is empty after a space.
func Complete(line string, names CompletionNames) (words []string, partial string) {
	before, fault := scan(line)
	if fault != nil {
		return nil, ""
	}
	if len(before) > 0 && !strings.HasSuffix(line, " ") && before[len(before)-1].Type == tokenTypes["Word"] {
		partial = before[len(before)-1].Value
		before = before[:len(before)-1]
	}
	for _, candidate := range candidates(before, names) {
		if strings.HasPrefix(strings.ToLower(candidate), strings.ToLower(partial)) && !slices.Contains(words, candidate) {
			words = append(words, candidate)
		}
	}
	return words, partial
}

// candidates returns the words and names that the grammar allows after the tokens before.
func candidates(before []lexer.Token, names CompletionNames) []string {
	expected := grammar.next(before)
	words := literals(expected)
	if slices.ContainsFunc(expected, func(e expectation) bool { return strings.EqualFold(e.token, "Word") }) {
		words = append(words, namesAfter(before, names)...)
	}
	return words
}

// namesAfter returns the names or columns that may follow the tokens before. They depend on the
// last word. In a comma-separated list this is the word before the list, and after a comparison
// operator the column.
func namesAfter(before []lexer.Token, names CompletionNames) []string {
	if len(before) == 0 {
		return nil
	}
	last := len(before) - 1
	switch before[last].Type {
	case tokenTypes["Comma"]:
		for last >= 2 && before[last].Type == tokenTypes["Comma"] {
			last -= 2
		}
	case tokenTypes["Operator"]:
		last--
	}
	word := strings.ToLower(before[last].Value)
	if word == "where" || word == "and" {
		return columnNames(before)
	}
	return quoteAll(names[word])
}

// columnNames returns the columns of the table in a show statement, whose second word is the
// table's name. It returns nil if there is no such table.
func columnNames(before []lexer.Token) []string {
	if len(before) < 2 {
		return nil
	}
	t, ok := tables[strings.ToLower(before[1].Value)]
	if !ok {
		return nil
	}
	names := make([]string, len(t.columns))
	for i, c := range t.columns {
		names[i] = c.name
	}
	return names
}

// quoteAll applies Quote to each name.
func quoteAll(names []string) []string {
	list := make([]string, len(names))
	for i, name := range names {
		list[i] = Quote(name)
	}
	return list
}

// escapes replaces the characters that need a backslash in a quoted string.
var escapes = strings.NewReplacer(`"`, `\"`, `\`, `\\`)

// Quote returns name as written in a statement: unchanged if it is a single word of the
// language, otherwise in double quotes.
func Quote(name string) string {
	words, fault := scan(name)
	if fault == nil && len(words) == 1 && words[0].Type == tokenTypes["Word"] && words[0].Value == name {
		return name
	}
	return `"` + escapes.Replace(name) + `"`
}
