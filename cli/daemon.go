// Package cli builds the command lines of the daemons, which differ only in their names and
// in the plug-ins that are linked into them.
package cli

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// Version is the version of every program. The build may set it with -ldflags.
var Version = "0.1.0-dev"

// Exit codes of every program.
const (
	// ExitFailure reports a failure while running.
	ExitFailure = 1
	// ExitSettings reports a fault in the settings or the arguments; nothing was started.
	ExitSettings = 2
)

// UsageError is an error in the arguments of a command. The program exits with ExitSettings.
type UsageError struct {
	// Err describes the error in the arguments.
	Err error
}

// Error returns the text of Err.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *UsageError) Unwrap() error { return e.Err }

// Daemon returns the command of a daemon called name. It runs the daemon, and has the
// subcommands check and plugins.
func Daemon(name, short string) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return kernel.Main(name, file, func() (*settings.File, error) { return readSettings(file) })
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	root.PersistentFlags().StringVarP(&file, "settings", "s", name+".json", "the JSON settings file")
	root.AddCommand(newCheckCommand(&file), newPluginsCommand())
	return root
}

// newPluginsCommand returns the command that lists the registered plug-ins.
func newPluginsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plugins",
		Short: "List the plug-ins that are built in",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(kernel.Plugins(), "\n"))
			return err
		},
	}
}

// Execute runs the command. On an error it prints the error to standard error and exits the
// process with ExitSettings or ExitFailure.
func Execute(c *cobra.Command) {
	err := c.Execute()
	if err == nil {
		return
	}
	var faults settings.Faults
	if errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%s: the settings have faults; nothing was started:\n%v\n", c.Name(), faults)
		os.Exit(ExitSettings)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name(), err)
	var usage *UsageError
	if errors.As(err, &usage) {
		os.Exit(ExitSettings)
	}
	os.Exit(ExitFailure)
}
