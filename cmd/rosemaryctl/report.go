package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// failure is the JSON form of the error of a command.
type failure struct {
	// Code is the exit code.
	Code    int    `json:"code"`
	Message string `json:"message"`
	// Line is the line of the failure in a script, and Column the column of a fault in a
	// statement.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Verdict and Reason are those of control's refusal, if control refused the command.
	Verdict string `json:"verdict,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// ID is the identifier of an order whose outcome is unknown.
	ID string `json:"id,omitempty"`
	// Winners are the orders that were accepted before an order that was refused because it
	// expected an older revision.
	Winners []command.AuditEntry `json:"winners,omitempty"`
}

// newFailure returns the JSON form of err.
func newFailure(err error) failure {
	f := failure{Code: exitCode(err), Message: err.Error()}
	var (
		fault     *operator.StatementError
		script    *operator.ScriptError
		conflict  *operator.ConflictError
		uncertain *operator.UncertainError
		refusal   *verdict.Refusal
	)
	if errors.As(err, &fault) {
		f.Line, f.Column, f.Message = fault.Line, fault.Column, fault.Problem
	}
	if errors.As(err, &script) {
		f.Line = script.Line
	}
	if errors.As(err, &conflict) {
		f.Winners = conflict.Winners
	}
	if errors.As(err, &uncertain) {
		f.ID = uncertain.ID
	}
	if errors.As(err, &refusal) {
		f.Verdict, f.Reason = refusal.Verdict.String(), string(refusal.Reason)
	}
	return f
}

// report writes an error to w, as JSON or as text.
func report(w io.Writer, err error, asJSON bool) {
	if !asJSON {
		_, _ = fmt.Fprintf(w, "rosemaryctl: %v\n", err)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]failure{"error": newFailure(err)})
}
