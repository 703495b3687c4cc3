package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// ScriptError is the failure that stopped a script, unless the failure is a *StatementError.
type ScriptError struct {
	// Line is the line of the statement that failed, from 1.
	Line int
	// Statement is the statement as written.
	Statement string
	// Err is the failure.
	Err error
}

// Error returns the line, the statement and the failure.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Statement, e.Err)
}

// Unwrap returns the failure.
func (e *ScriptError) Unwrap() error { return e.Err }

// scriptLine is one statement of a script.
type scriptLine struct {
	number    int
	source    string
	statement *CompiledStatement
}

// RunScript runs the statements of a script, one per line, and passes each result to emit. Blank
// lines and comments, which start with #, are skipped. The syntax and values of all statements
// are checked before the first one runs. The script stops at the first failure, which is a
// *StatementError with its line, a *ScriptError, or an error of emit.
func (s *Session) RunScript(ctx context.Context, script io.Reader, emit func(Result) error) error {
	lines, err := compileScript(script)
	if err != nil {
		return err
	}
	for _, line := range lines {
		result, err := s.run(ctx, line.statement)
		if err != nil {
			return withLine(line, withSource(err, line.source))
		}
		if err := emit(result); err != nil {
			return err
		}
	}
	return nil
}

// compileScript parses and checks the statements of a script.
func compileScript(script io.Reader) ([]scriptLine, error) {
	var lines []scriptLine
	scanner := bufio.NewScanner(script)
	for number := 1; scanner.Scan(); number++ {
		source := strings.TrimRight(scanner.Text(), "\r")
		if blank(source) {
			continue
		}
		statement, err := Compile(source)
		line := scriptLine{number: number, source: source, statement: statement}
		if err != nil {
			return nil, withLine(line, err)
		}
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "read script")
}

// blank reports whether a line has no statement because it is empty or a comment.
func blank(source string) bool {
	trimmed := strings.TrimSpace(source)
	return trimmed == "" || trimmed[0] == '#'
}

// withLine sets the line of a *StatementError in err's chain, or wraps err in a *ScriptError.
func withLine(line scriptLine, err error) error {
	var fault *StatementError
	if errors.As(err, &fault) {
		fault.Line = line.number
		return fault
	}
	return &ScriptError{Line: line.number, Statement: strings.TrimSpace(line.source), Err: err}
}
