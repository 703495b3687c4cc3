package operator

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/pkg/errors"
)

// Prompt reads statements from a terminal until its end or "exit".
type Prompt struct {
	// Session runs the statements.
	Session *Session
	// JSON prints results as JSON.
	JSON bool
	// HistoryFile keeps the statements of earlier prompts; empty keeps none.
	HistoryFile string
	// In, Out and Err are the terminal; nil stands for the process's own.
	In       io.ReadCloser
	Out, Err io.Writer
}

// Run reads and runs statements. A failed statement is printed and does not end
// the prompt.
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

// greet loads the names for completion and says how to get help.
func (p *Prompt) greet(ctx context.Context, w io.Writer) {
	if _, err := p.Session.LoadNames(ctx); err != nil {
		_, _ = fmt.Fprintf(w, "warning: %v\n", err)
	}
	_, _ = fmt.Fprintln(w, `Type a statement, "help" or "exit"; Tab completes.`)
}

// line runs one line and reports whether it ends the prompt.
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

// completer completes words at the prompt.
type completer struct{ session *Session }

var _ readline.AutoCompleter = completer{}

// Do returns the rests of the words that fit and the length of their shared start.
func (c completer) Do(line []rune, pos int) ([][]rune, int) {
	words, partial := Complete(string(line[:pos]), c.session.names)
	start := len([]rune(partial))
	suffixes := make([][]rune, len(words))
	for i, word := range words {
		suffixes[i] = append([]rune(word)[start:], ' ')
	}
	return suffixes, start
}
