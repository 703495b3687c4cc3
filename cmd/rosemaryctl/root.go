package main

import (
	"context"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
)

const rootHelp = `Ask what is running where and give orders, in the operator language. The words
after the flags are one statement:

  rosemaryctl show endpoints where zone = lesneven-annex and state = cold
  rosemaryctl explain take zone lesneven-annex out
  rosemaryctl take zone lesneven-annex out expecting revision 41
  rosemaryctl wait for 15s

Quote a statement with < or > or quoted names for the shell:

  rosemaryctl 'show endpoints where free_tokens < 10000'

"rosemaryctl statements" lists every form of statement. A statement is sent to
the replicas of control at --control, under the operator's certificate. Both
may also stand in a JSON file:

  {"control": ["127.0.0.1:7000"],
   "tls": {"ca": "keys/ca.pem", "cert": "keys/operator.pem", "key": "keys/operator.key"}}

` + exitHelp

// completionTimeout is how long shell completion waits for names from control.
const completionTimeout = 500 * time.Millisecond

// newRoot returns the root command with all its subcommands.
func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "rosemaryctl [flags] [statement]",
		Short:         "Ask what is running where and give orders",
		Long:          rootHelp,
		Version:       cli.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, words []string) error {
			if len(words) == 0 {
				return c.Help()
			}
			return o.runStatement(c, statement(words))
		},
		ValidArgsFunction: o.complete,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &cli.UsageError{Err: err} })
	o.addFlags(root)
	root.AddCommand(
		newRun(o), newPrompt(o), newStatements(), newKeys(), newKey(), newExample(),
		newVersion(), cli.SettingsReference(),
	)
	return root
}

// statement joins the words of the command line to a statement. A single word is a whole
// statement that was quoted for the shell and stays unchanged.
func statement(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	joined := make([]string, len(words))
	for i, word := range words {
		joined[i] = word
		if word == "" || strings.ContainsAny(word, " \t\"#") {
			joined[i] = operator.Quote(word)
		}
	}
	return strings.Join(joined, " ")
}

// runStatement runs one statement and prints its result. Faults in the syntax and values are
// reported before a connection to control is opened.
func (o *options) runStatement(c *cobra.Command, source string) error {
	if _, err := operator.Compile(source); err != nil {
		return err
	}
	session, closeSession, err := o.session()
	if err != nil {
		return err
	}
	defer closeSession()
	result, err := session.Execute(c.Context(), source)
	if err != nil {
		return err
	}
	return operator.Write(c.OutOrStdout(), result, o.json)
}

// session returns a session with control and a function that closes its connections.
func (o *options) session() (*operator.Session, func(), error) {
	control, closeControl, err := o.connect()
	if err != nil {
		return nil, nil, err
	}
	s := operator.NewSession(control, kernel.SystemClock{})
	s.Timeout = o.timeout
	if o.orderID == "" {
		return s, closeControl, nil
	}
	if err := s.SetOrderID(o.orderID); err != nil {
		closeControl()
		return nil, nil, err
	}
	return s, closeControl, nil
}

// complete completes the words of a statement for the shell. Names are offered only if control
// answers within completionTimeout.
func (o *options) complete(c *cobra.Command, words []string, partial string) ([]string, cobra.ShellCompDirective) {
	// The word "x" stands for the unfinished word, which must not be quoted.
	line := statement(append(append([]string{}, words...), "x"))
	line = strings.TrimSuffix(line, "x") + partial
	completed, _ := operator.Complete(line, o.names(c.Context()))
	return completed, cobra.ShellCompDirectiveNoFileComp
}

// names returns the names for completion, or nil if control does not answer.
func (o *options) names(ctx context.Context) operator.CompletionNames {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	session, closeSession, err := o.session()
	if err != nil {
		return nil
	}
	defer closeSession()
	names, _ := session.LoadNames(ctx)
	return names
}
