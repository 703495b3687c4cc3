// Command rosemary-load measures a serving system under open-loop load. It hosts the
// stand-ins of the endpoints itself.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/experiment"
)

func main() { cli.Execute(rootCommand()) }

// options are the flags of the command run.
type options struct {
	variants  []string
	targets   []string
	parts     []string
	seeds     []uint
	out       string
	timeScale float64
	load      float64
	firstPort int
	quiet     bool
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rosemary-load",
		Short:         "Measure a serving system under open-loop load",
		Version:       cli.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), variantsCommand())
	return root
}

func runCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use:   "run SCENARIO.json",
		Short: "Run a scenario with each variant and seed, and report the measures",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	f := c.Flags()
	f.StringSliceVar(&o.variants, "variants", []string{"least-requests"}, "variants to compare; see the command variants")
	f.StringSliceVar(&o.targets, "target", nil, "base URLs of the entries of a running system, as the variant \"target\"")
	f.StringSliceVar(&o.parts, "parts", nil, "parts of the scenario to run; all when empty")
	f.UintSliceVar(&o.seeds, "seeds", []uint{1}, "seeds of the arrivals")
	f.StringVar(&o.out, "out", "", "folder for report.txt, report.json and the plots; none when empty")
	f.Float64Var(&o.timeScale, "time-scale", 0, "seconds of model time in a second, in place of the scenario's")
	f.Float64Var(&o.load, "load", 0, "share of the engines' capacity, in place of the scenario's")
	f.IntVar(&o.firstPort, "first-port", 0, "first loopback port of the stand-ins; free ports when 0")
	f.BoolVar(&o.quiet, "quiet", false, "show no progress")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO.json...",
		Short: "Check scenarios and show the capacity of their engines",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, name := range args {
				s, err := experiment.ReadScenario(name)
				if err != nil {
					return errors.Wrap(err, name)
				}
				if _, err := fmt.Fprintf(c.OutOrStdout(), "%s: %s is good; its engines serve %.2f requests a second\n", name, s.Name, s.Capacity()); err != nil {
					return errors.Wrap(err, "write")
				}
			}
			return nil
		},
	}
}

func variantsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "variants",
		Short: "List the variants that are built in",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(experiment.Variants(), "\n"))
			return errors.Wrap(err, "write")
		},
	}
}

func (o *options) run(c *cobra.Command, file string) error {
	x, err := o.experiment(c, file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := x.Run(ctx)
	if err != nil {
		return err
	}
	if err := report.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	return o.save(c, report)
}

// experiment returns the experiment that the flags and the scenario file describe.
func (o *options) experiment(c *cobra.Command, file string) (*experiment.Experiment, error) {
	s, err := experiment.ReadScenario(file)
	if err != nil {
		return nil, err
	}
	if o.timeScale > 0 {
		s.SetTimeScale(o.timeScale)
	}
	if o.load > 0 {
		s.Load, s.Rate = o.load, 0
	}
	x := &experiment.Experiment{Scenario: s, Parts: o.parts, FirstPort: o.firstPort, Command: strings.Join(os.Args, " ")}
	for _, seed := range o.seeds {
		x.Seeds = append(x.Seeds, uint64(seed))
	}
	if !o.quiet {
		x.Progress = c.ErrOrStderr()
	}
	return x, o.addVariants(x)
}

// addVariants adds the variants to compare, or only the running system if there are
// targets.
func (o *options) addVariants(x *experiment.Experiment) error {
	if len(o.targets) > 0 {
		x.Variants = append(x.Variants, experiment.Remote("target", o.targets))
		return nil
	}
	for _, name := range o.variants {
		v, err := experiment.Lookup(name)
		if err != nil {
			return err
		}
		x.Variants = append(x.Variants, v)
	}
	return nil
}

// save writes the report and the plots into the output directory, if there is one.
func (o *options) save(c *cobra.Command, r *experiment.Report) error {
	if o.out == "" {
		return nil
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	for name, write := range map[string]func(io.Writer) error{"report.txt": r.WriteTable, "report.json": r.WriteJSON} {
		if err := writeFile(filepath.Join(o.out, name), write); err != nil {
			return err
		}
	}
	files, err := r.WritePlots(o.out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.ErrOrStderr(), "wrote report.txt, report.json and %d plots to %s\n", len(files), o.out)
	return errors.Wrap(err, "write")
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "close report")
}
