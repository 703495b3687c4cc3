package experiment

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

const (
	// settleTime bounds the wait after the last answer until engines have released
	// their memory, which is polled every settlePoll.
	settleTime = 10 * time.Second
	settlePoll = 50 * time.Millisecond
	// timelineSteps is the number of steps in a part's timeline.
	timelineSteps = 60
)

// Run is the result of one part of an experiment with one variant and one seed. Its
// exported fields are part of the report in JSON.
type Run struct {
	Variant string
	Part    string
	Seed    uint64
	// Rate is the arrival rate in requests per second of model time, and Step the
	// length of one step of the timeline.
	Rate float64
	Step time.Duration
	// Sent is the number of requests sent, without retries.
	Sent   int
	Checks Checks
	// Faults are the faults and orders carried out.
	Faults []InjectedFault `json:",omitempty"`
	// Memory and Use are the memory samples and their summary; nil without slow readers.
	Memory []MemorySample `json:",omitempty"`
	Use    *MemoryUse     `json:",omitempty"`
	// LastWork has an entry for each time that a zone was taken out of service.
	LastWork []ZoneWork `json:",omitempty"`
	record   *recorder
}

// ZoneWork says how long a zone still got requests after the order to take it out of
// service.
type ZoneWork struct {
	Zone string
	// After is the real time from the order to the last request that an engine of the
	// zone admitted before the order to put it back in service; 0 if there was none.
	After time.Duration
}

// driver runs one part with one variant and one seed.
type driver struct {
	scenario *Scenario
	part     *Part
	seed     uint64
	bench    *bench
	system   *System
	client   *client
	clock    kernel.Clock
	record   *recorder
	run      *Run
}

// runPart starts the stand-ins and the variant's system, sends the part's arrivals and
// checks the results.
func (x *Experiment) runPart(ctx context.Context, v Variant, p *Part, seed uint64) (*Run, error) {
	s := x.Scenario
	b, err := newBench(s, x.FirstPort)
	if err != nil {
		return nil, err
	}
	defer b.close()
	dir, err := os.MkdirTemp("", "rosemary-load-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys, err := v.Start(ctx, b.env(s, seed, dir))
	if err != nil {
		return nil, errors.Wrapf(err, "start variant %s", v.Name)
	}
	defer sys.Stop()
	d := newDriver(s, p, seed, sys, kernel.SystemClock{})
	d.bench = b
	d.run.Variant = v.Name
	defer d.client.close()
	stop := x.showProgress(d)
	defer stop()
	d.drive(ctx)
	d.settle(ctx)
	d.run.Checks = check(d.record, b.executionLogOrNil())
	return d.run, ctx.Err()
}

func newDriver(s *Scenario, p *Part, seed uint64, sys *System, clock kernel.Clock) *driver {
	step := max(s.duration(p)/timelineSteps, time.Millisecond)
	record := newRecorder(s, step)
	return &driver{
		scenario: s,
		part:     p,
		seed:     seed,
		system:   sys,
		client:   newClient(s, sys.Entries, clock),
		clock:    clock,
		record:   record,
		run:      &Run{Part: p.Name, Seed: seed, Rate: s.rate(p), Step: step, record: record},
	}
}

// drive sends every arrival when it is due, and waits for all answers. The load is
// open-loop: sending never waits for an answer.
func (d *driver) drive(ctx context.Context) {
	arrivals := d.scenario.Arrivals(d.part, d.seed)
	d.client.start = d.clock.Now()
	backgroundCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	d.startBackground(backgroundCtx, &background)
	var sends sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if !d.sleepUntil(ctx, d.client.due(a)) {
			break
		}
		d.record.recordSent()
		sends.Go(func() { d.record.add(d.client.send(ctx, a)) })
	}
	sends.Wait()
	d.sleepUntil(ctx, d.client.start.Add(d.scenario.real(d.scenario.duration(d.part))))
	stop()
	background.Wait()
	d.run.Sent = d.record.progress().sent
}

// sleepUntil waits until t. It reports false if ctx ends first.
func (d *driver) sleepUntil(ctx context.Context, t time.Time) bool {
	wait := t.Sub(d.clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-d.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// startBackground starts the goroutines that run beside the arrivals: injection of
// faults, slow readers and sampling of memory. They end with ctx.
func (d *driver) startBackground(ctx context.Context, group *sync.WaitGroup) {
	if len(d.part.Faults) > 0 {
		group.Go(func() { d.injectFaults(ctx) })
	}
	slow := d.part.SlowReaders
	if slow == nil {
		return
	}
	group.Go(func() {
		d.run.Memory = sampleMemory(ctx, d.scenario, d.part, d.system, d.clock)
	})
	group.Go(func() {
		d.run.Use = &MemoryUse{Readers: d.runSlowReaders(ctx, slow)}
	})
}

// injectFaults carries out the part's schedule of faults and zone orders.
func (d *driver) injectFaults(ctx context.Context) {
	outSince := map[string]time.Time{}
	for _, step := range faultSteps(d.scenario, d.part, d.bench, d.system) {
		if step.starts != nil && step.starts.Kind == zoneIn {
			d.recordZoneWork(outSince, step.starts.Target)
		}
		if !d.sleepUntil(ctx, d.client.start.Add(step.at)) {
			break
		}
		err := step.apply(ctx)
		if step.starts == nil {
			continue
		}
		h := InjectedFault{At: step.starts.At.Std(), Kind: step.starts.Kind, Target: step.starts.Target}
		if err != nil {
			h.Error = err.Error()
		}
		d.run.Faults = append(d.run.Faults, h)
		if step.starts.Kind == zoneOut && err == nil {
			outSince[step.starts.Target] = d.clock.Now()
		}
	}
	for zone := range outSince {
		d.recordZoneWork(outSince, zone)
	}
}

// recordZoneWork records how long the zone still got requests after it was ordered
// out of service. The map outSince holds the times of these orders.
func (d *driver) recordZoneWork(outSince map[string]time.Time, zone string) {
	ordered, ok := outSince[zone]
	if !ok {
		return
	}
	delete(outSince, zone)
	last := max(d.bench.lastAdmitted(zone).Sub(ordered), 0)
	d.run.LastWork = append(d.run.LastWork, ZoneWork{Zone: zone, After: last})
}

// settle waits until the engines hold no memory, at most for settleTime, and then
// summarizes the memory samples.
func (d *driver) settle(ctx context.Context) {
	for range int(settleTime / settlePoll) {
		if d.bench.leakedTokens() == 0 || ctx.Err() != nil {
			break
		}
		<-d.clock.After(settlePoll)
	}
	if d.run.Use != nil {
		use := memoryUse(d.run.Memory, d.part.SlowReaders.At.Std())
		use.Readers = d.run.Use.Readers
		d.run.Use = &use
	}
}
