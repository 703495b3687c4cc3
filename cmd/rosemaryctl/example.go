package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/examples"
)

func newExample() *cobra.Command {
	names := slices.Sorted(maps.Keys(examples.All()))
	return &cobra.Command{
		Use:   "example " + strings.Join(names, "|") + " FOLDER",
		Short: "Write the settings and keys of an example deployment",
		Long: `Write the settings of every process of an example deployment to FOLDER, with its
first configuration, keys and the settings of rosemaryctl. Keys that are there
already are kept. All addresses are loopback addresses, one for each VM, so the
whole deployment runs on one machine. Start each process in FOLDER:

  rosemary-control  -s control-1.json     and the other replicas
  rosemary-standin  -s scribe-1-standin.json
  rosemary-sidecar  -s scribe-1.json
  rosemary-entry    -s entry-1.json
  rosemaryctl show endpoints

The keys of the client accounts, "demo-" and the account's name, are for
demonstration only.`,
		ValidArgs: names,
		Args:      exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			d, ok := examples.All()[args[0]]
			if !ok {
				return &cli.UsageError{Err: errors.Errorf("no example %q; there are %s", args[0], strings.Join(names, " and "))}
			}
			if err := d.Write(args[1]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "wrote %s; start the processes in that folder\n", args[1])
			return err
		},
	}
}
