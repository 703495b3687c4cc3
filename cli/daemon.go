// Package cli builds the command lines of the daemons, which differ only in
// their name and in the plug-ins linked into them.
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

// Version is the version of every program; the build may set it.
var Version = "0.1.0-dev"

// Exit codes of every program.
const (
	// ExitFailure is a failure while running.
	ExitFailure = 1
	// ExitSettings is a fault in the settings or the arguments; nothing started.
	ExitSettings = 2
)

// UsageError is a fault in the arguments of a command.
type UsageError struct {
	// Err is the fault.
	Err error
}

// Error returns the fault.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the fault.
func (e *UsageError) Unwrap() error { return e.Err }

// Daemon returns the command of a daemon: run, check and plugins.
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
			return kernel.Main(name, file, func() (*settings.File, error) { return load(file) })
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	root.PersistentFlags().StringVarP(&file, "settings", "s", name+".json", "the JSON settings file")
	root.AddCommand(check(&file), plugins())
	return root
}

func plugins() *cobra.Command {
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

// Execute runs the command and exits the process with the right code.
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
