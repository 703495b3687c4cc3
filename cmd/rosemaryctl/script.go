package main

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
)

func newRun(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Run the statements of a file, one a line",
		Long: `Run the statements of a file, one a line; "-" reads standard input. Blank lines
and everything from # on are skipped. The whole file is checked before its first
statement runs. The run stops at the first failure and names its line.

` + exitHelp,
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.refuseOrderID(); err != nil {
				return err
			}
			script, closeScript, err := openScript(c, args[0])
			if err != nil {
				return err
			}
			defer closeScript()
			return o.runScript(c, script)
		},
	}
}

// refuseOrderID refuses --id in commands that run more than one statement, because a second order
// under the same identifier would get the answer to the first one.
func (o *options) refuseOrderID() error {
	if o.orderID != "" {
		return &cli.UsageError{Err: errors.New("--id goes with a single order")}
	}
	return nil
}

// openScript opens a script, or standard input if the name is "-". It returns the script and a
// function that closes it.
func openScript(c *cobra.Command, name string) (io.Reader, func(), error) {
	if name == "-" {
		return c.InOrStdin(), func() {}, nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, &cli.UsageError{Err: errors.Wrap(err, "open script")}
	}
	return f, func() { _ = f.Close() }, nil
}

func (o *options) runScript(c *cobra.Command, script io.Reader) error {
	session, closeSession, err := o.session()
	if err != nil {
		return err
	}
	defer closeSession()
	return session.RunScript(c.Context(), script, func(r operator.Result) error {
		return operator.Write(c.OutOrStdout(), r, o.json)
	})
}

func newPrompt(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "prompt",
		Short: "Read statements from the terminal, with history and completion",
		Long: `Read statements from the terminal until "exit". The arrow keys bring back earlier
statements and Tab completes words and names. An order expects the revision that
the prompt showed last: after another operator's change it is refused, and the
refusal shows that change.`,
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.refuseOrderID(); err != nil {
				return err
			}
			session, closeSession, err := o.session()
			if err != nil {
				return err
			}
			defer closeSession()
			p := &operator.Prompt{Session: session, JSON: o.json, HistoryFile: historyFile()}
			return p.Run(c.Context())
		},
	}
}

// historyFile returns the file for the prompt's history, or an empty string if its folder cannot
// be created.
func historyFile() string {
	folder, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	folder = filepath.Join(folder, "rosemaryctl")
	if os.MkdirAll(folder, folderMode) != nil {
		return ""
	}
	return filepath.Join(folder, "history")
}

func newStatements() *cobra.Command {
	return &cobra.Command{
		Use:   "statements",
		Short: "List every form of statement of the operator language",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return operator.WriteForms(c.OutOrStdout())
		},
	}
}

// exactArgs returns a check for exactly n arguments, whose error is a *cli.UsageError.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return &cli.UsageError{Err: err}
		}
		return nil
	}
}
