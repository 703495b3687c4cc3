package main

import (
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Exit codes of rosemaryctl.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

const exitHelp = `Exit codes:
  0  good
  1  failed or refused
  2  a fault in the statement, the arguments or the settings; nothing was sent
  3  the configuration was at another revision; nothing was changed
  4  control has no quorum or cannot be reached`

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		statement *operator.StatementError
		usage     *cli.UsageError
		faults    settings.Faults
		conflict  *operator.ConflictError
		refusal   *verdict.Refusal
	)
	switch {
	case errors.As(err, &statement), errors.As(err, &usage), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refusal):
		return refusalCode(refusal.Reason)
	}
	return exitFailed
}

// refusalCode returns the exit code for a refusal by control.
func refusalCode(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonRevisionConflict:
		return exitConflict
	case verdict.ReasonNoQuorum, verdict.ReasonUnreachable:
		return exitUnreachable
	}
	return exitFailed
}
