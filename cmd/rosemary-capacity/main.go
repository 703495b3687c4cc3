// Command rosemary-capacity measures how the cost of each role grows with the size
// of a deployment.
package main

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/capacity"
	"github.com/rosemaryproxy/rosemaryproxy/cli"
)

func main() {
	root := &cobra.Command{
		Use:           "rosemary-capacity",
		Short:         "Measure how the cost of each role grows with the size of a deployment",
		Version:       cli.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(slopes())
	cli.Execute(root)
}

func slopes() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:       "slopes [series...]",
		Short:     "Measure the slopes of docs/CAPACITY.md in this process, all in about three minutes",
		Args:      cobra.OnlyValidArgs,
		ValidArgs: capacity.Names(),
		RunE: func(c *cobra.Command, names []string) error {
			report, err := capacity.Run(c.OutOrStdout(), capacity.DefaultOptions(), names...)
			if err != nil {
				return err
			}
			return write(c, report, file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "file for the tables as JSON (default: after the tables)")
	return c
}

func write(c *cobra.Command, report *capacity.Report, file string) error {
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	raw = append(raw, '\n')
	if file != "" {
		return errors.Wrap(os.WriteFile(file, raw, 0o644), "write report")
	}
	_, err = c.OutOrStdout().Write(raw)
	return errors.Wrap(err, "write report")
}
