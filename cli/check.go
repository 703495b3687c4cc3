package cli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// readSettings reads and checks the settings file, including the settings of every plug-in,
// so that all faults are reported together. Its error is settings.Faults for a file with
// faults and UsageError for a file that cannot be read.
func readSettings(file string) (*settings.File, error) {
	f, err := settings.ReadFile(file)
	var faults settings.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, &UsageError{Err: err}
	}
	var pluginFaults settings.Faults
	if err := kernel.Check(f); err != nil && !errors.As(err, &pluginFaults) {
		return nil, err
	}
	faults = append(faults, pluginFaults...)
	if len(faults) > 0 {
		return nil, faults
	}
	return f, nil
}

// newCheckCommand returns the command that checks the settings file and starts nothing.
func newCheckCommand(file *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings file and list every fault with its JSON path",
		Long: `Check the settings file and list every fault with its JSON path. Nothing is
started. The exit code is 0 when the settings are good and 2 when they are not.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := readSettings(*file)
			if err != nil {
				return err
			}
			lines := append([]string{"settings are good"}, kernel.Notes(f)...)
			_, err = fmt.Fprintln(c.OutOrStdout(), strings.Join(lines, "\n"))
			return err
		},
	}
}
