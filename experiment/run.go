package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

// progressPause is the interval between two lines of progress.
const progressPause = 2 * time.Second

// Experiment runs a scenario with some variants and seeds.
type Experiment struct {
	Scenario *Scenario
	Variants []Variant
	Seeds    []uint64
	// Parts names the parts to run; if empty, all parts run.
	Parts []string
	// FirstPort is the first of the consecutive ports of the stand-ins; 0 uses free
	// ports.
	FirstPort int
	// Progress receives a line of progress every few seconds; nil disables them.
	Progress io.Writer
	// Command is the command line, which is copied into the report.
	Command string

	// done and total count runs.
	done  int
	total int
}

// Run runs every part with every variant and seed, one after the other. The variants
// of a part run in direct succession, and their order rotates with the seed, so that
// disturbances of the machine affect all of them. When ctx ends, the report is partial
// and covers the finished runs.
func (x *Experiment) Run(ctx context.Context) (*Report, error) {
	parts, err := x.parts()
	if err != nil {
		return nil, err
	}
	x.total = len(parts) * len(x.Variants) * len(x.Seeds)
	report := &Report{Scenario: x.Scenario.Name, Command: x.Command, Seeds: x.Seeds,
		TimeScale: x.Scenario.TimeScale, TokenScale: x.Scenario.TokenScale, scenario: x.Scenario}
	for i, seed := range x.Seeds {
		for _, p := range parts {
			for j := range x.Variants {
				v := x.Variants[(i+j)%len(x.Variants)]
				run, err := x.runPart(ctx, v, p, seed)
				if ctx.Err() != nil {
					report.Partial = true
					report.summarize()
					return report, nil
				}
				if err != nil {
					return nil, errors.Wrapf(err, "part %s, variant %s, seed %d", p.Name, v.Name, seed)
				}
				report.Runs = append(report.Runs, run)
				x.done++
			}
		}
	}
	report.summarize()
	return report, nil
}

// parts returns the parts to run.
func (x *Experiment) parts() ([]*Part, error) {
	var parts []*Part
	for _, name := range x.Parts {
		p := x.Scenario.part(name)
		if p == nil {
			return nil, errors.Errorf("the scenario has no part %q", name)
		}
		parts = append(parts, p)
	}
	if len(parts) > 0 {
		return parts, nil
	}
	for i := range x.Scenario.Parts {
		parts = append(parts, &x.Scenario.Parts[i])
	}
	return parts, nil
}

// showProgress writes lines of progress until stop is called.
func (x *Experiment) showProgress(d *driver) (stop func()) {
	if x.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		start := d.clock.Now()
		for {
			select {
			case <-done:
				x.progressLine(d, start)
				return
			case <-kernel.SystemClock{}.After(progressPause):
				x.progressLine(d, start)
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

func (x *Experiment) progressLine(d *driver, start time.Time) {
	p := d.record.progress()
	ended := 0
	for _, o := range outcomes {
		ended += p.total[o]
	}
	_, _ = fmt.Fprintf(x.Progress, "run %d/%d part=%s variant=%s seed=%d passed=%s sent=%d in_flight=%d completed=%d refused=%d failed=%d wrong=%d late=%d\n",
		x.done+1, x.total, d.part.Name, d.run.Variant, d.seed, d.clock.Now().Sub(start).Round(time.Second),
		p.sent, p.sent-ended, p.total[Completed], p.total[Refused], p.total[Failed], p.total[Wrong], p.total[Late])
}
