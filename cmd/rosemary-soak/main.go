// Command rosemary-soak runs a deployment of the daemons on one machine, injects random
// faults and checks what callers and endpoints observe.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	platform "github.com/rosemaryproxy/rosemaryproxy/platform/soak"
	"github.com/rosemaryproxy/rosemaryproxy/soak"
)

// defaultFaultPeriod is the default time during which faults are injected into a deployment.
const defaultFaultPeriod = 20 * time.Second

func main() { cli.Execute(command()) }

func command() *cobra.Command {
	o := platform.Options{CheckTimeBounds: true}
	var first, seeds uint64
	var out string
	c := &cobra.Command{
		Use:           "rosemary-soak",
		Short:         "Run the deployed programs under random faults and check what callers and endpoints see",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			reports, err := runSeeds(ctx, o, first, seeds)
			fmt.Fprintln(c.OutOrStdout(), soak.Table(reports))
			if writeErr := writeReports(out, reports); writeErr != nil {
				fmt.Fprintln(c.ErrOrStderr(), writeErr)
				err = cmp.Or(err, writeErr)
			}
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&o.Programs, "programs", "target", "folder with the built programs")
	f.StringVar(&o.Dir, "dir", "", "folder for settings, disks and logs; by default a new one that is kept when a seed fails")
	f.Uint64Var(&first, "seed", 1, "first seed")
	f.Uint64Var(&seeds, "seeds", 1, "how many seeds, one after the other")
	f.DurationVar(&o.FaultPeriod, "span", defaultFaultPeriod, "for how long faults are injected")
	f.StringSliceVar(&o.Faults, "faults", nil, "kinds of fault to inject; by default all")
	f.IntVar(&o.VMs, "vms", 5, "VMs, with an entry each")
	f.IntVar(&o.Replicas, "replicas", 3, "VMs with a replica of control")
	f.IntVar(&o.Relays, "relays", 1, "further VMs with a relay of control")
	f.IntVar(&o.Endpoints, "endpoints", 4, "endpoints of each of the three services")
	f.BoolVar(&o.CheckTimeBounds, "timed", true, "check the promises that hold within a time; a busy machine breaks them by itself")
	f.BoolVar(&o.LongReads, "long-reads", true, "have slow readers ask for streams that are larger than what the operating system holds")
	f.StringVar(&out, "json", "", "file for the report as JSON")
	return c
}

// runSeeds runs one deployment for each seed, one after the other, and returns their
// reports. It returns an error if a run has findings; the folders of such runs are kept.
func runSeeds(ctx context.Context, o platform.Options, first, seeds uint64) ([]soak.Report, error) {
	base := o.Dir
	if base == "" {
		var err error
		if base, err = os.MkdirTemp("", "rosemary-soak-"); err != nil {
			return nil, errors.Wrap(err, "create folder for runs")
		}
	}
	var reports []soak.Report
	findings := 0
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		o.Seed, o.Dir = seed, filepath.Join(base, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return reports, errors.Wrap(err, "create folder for run")
		}
		r, err := platform.Run(ctx, o)
		if err != nil {
			return reports, errors.Wrapf(err, "seed %d", seed)
		}
		reports = append(reports, r)
		findings += len(r.Findings)
		if len(r.Findings) == 0 {
			if err := os.RemoveAll(o.Dir); err != nil {
				return reports, errors.Wrap(err, "remove folder of settings and logs")
			}
		}
	}
	if findings > 0 {
		return reports, errors.Errorf("%d findings; settings and logs are in %s", findings, base)
	}
	return reports, nil
}

// writeReports writes the reports to a file as JSON. It does nothing if file is empty.
func writeReports(file string, reports []soak.Report) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(file, append(raw, '\n'), 0o600), "write report")
}
