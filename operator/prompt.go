package operator

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/pkg/errors"
)

// Prompt reads statements from a terminal until the end of its input or the line "exit" or
// "quit".
type Prompt struct {
	// Session runs the statements.
	Session *Session
	// JSON is set if results are to be printed as JSON.
	JSON bool
	// HistoryFile is the file that stores the entered lines for later prompts; empty for none.
	HistoryFile string
	// In, Out and Err are the terminal's streams; nil stands for those of the process.
	In       io.ReadCloser
	Out, Err io.Writer
}

// Run reads and runs statements. It prints the error of a failed statement and continues.
func (p *Prompt) Run(ctx context.Context) error {
	terminal, err := readline.NewEx(&readline.Config{
		Prompt:            "rosemary> ",
		HistoryFile:       p.HistoryFile,
		HistorySearchFold: true,
		AutoComplete:      completer{p.Session},
		Stdin:             p.In,
		Stdout:            p.Out,
		Stderr:            p.Err,
	})
	if err != nil {
		return errors.Wrap(err, "open terminal")
	}
	defer func() { _ = terminal.Close() }()
	p.greet(ctx, terminal.Stderr())
	for {
		line, err := terminal.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			continue
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(err, "read statement")
		}
		if done := p.line(ctx, strings.TrimSpace(line), terminal); done {
			return nil
		}
	}
}

// greet loads the names for completion and prints how to get help.
func (p *Prompt) greet(ctx context.Context, w io.Writer) {
	if _, err := p.Session.LoadNames(ctx); err != nil {
		_, _ = fmt.Fprintf(w, "warning: %v\n", err)
	}
	_, _ = fmt.Fprintln(w, `Type a statement, "help" or "exit"; Tab completes.`)
}

// line runs a statement or a word of the prompt, such as "help", and reports whether the prompt
// ends.
func (p *Prompt) line(ctx context.Context, line string, terminal *readline.Instance) (done bool) {
	switch strings.ToLower(line) {
	case "exit", "quit":
		return true
	case "help", "?":
		_ = WriteForms(terminal.Stdout())
		return false
	}
	if blank(line) {
		return false
	}
	result, err := p.Session.Execute(ctx, line)
	if err == nil {
		err = Write(terminal.Stdout(), result, p.JSON)
	}
	if err != nil {
		_, _ = fmt.Fprintln(terminal.Stderr(), err)
	}
	return false
}

// WriteForms writes every form of statement with its meaning.
func WriteForms(w io.Writer) error {
	for _, f := range Forms {
		if _, err := fmt.Fprintf(w, "%s\n    %s\n", f.Syntax, f.Meaning); err != nil {
			return errors.Wrap(err, "write help")
		}
	}
	return nil
}

// completer completes words at the prompt with the names that the session read last.
type completer struct{ session *Session }

var _ readline.AutoCompleter = completer{}

// Do returns, for each word that completes the line at pos, the part that is still missing, and
// the length of the part that is already typed.
func (c completer) Do(line []rune, pos int) ([][]rune, int) {
	words, partial := Complete(string(line[:pos]), c.session.names)
	start := len([]rune(partial))
	suffixes := make([][]rune, len(words))
	for i, word := range words {
		suffixes[i] = append([]rune(word)[start:], ' ')
	}
	return suffixes, start
}
