package experiment

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// Fault is a scheduled fault of stand-ins, or an order to the system about a zone.
type Fault struct {
	// At is when the fault starts, from the part's start.
	At settings.Duration `json:"at"`
	// Kind says what happens. "zone_out" and "zone_in" are orders to the system, all
	// others are faults of stand-ins.
	Kind string `json:"kind" validate:"oneof=crash down cold slow stall freeze shrink lag gaps crash_before crash_after lose_answer zone_out zone_in"`
	// Target is the name of a stand-in, or of a zone for all its stand-ins.
	Target string `json:"target" validate:"required"`
	// For is how long "down", "slow", "stall" and "freeze" last.
	For settings.Duration `json:"for,omitempty"`
	// Factor is by how much "slow" slows an engine down.
	Factor float64 `json:"factor,omitempty"`
	// Tokens is the engine memory that "shrink" leaves, in KV tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Share is the fraction of cache events that "gaps" loses.
	Share float64 `json:"share,omitempty"`
	// Lag is the age of load reports and cache events after "lag", and the time
	// that "slow" adds to each call of a worker.
	Lag settings.Duration `json:"lag,omitempty"`
	// Count is how many calls "crash_before", "crash_after" and "lose_answer" affect;
	// 0 means 1.
	Count int `json:"count,omitempty"`
}

// Kinds of fault that are orders to the system and not faults of stand-ins.
const (
	zoneOut = "zone_out"
	zoneIn  = "zone_in"
)

// InjectedFault is a fault or order that the run has carried out. At is in model time
// from the part's start.
type InjectedFault struct {
	At     time.Duration
	Kind   string
	Target string
	// Error is set when an order failed or no stand-in matched the target.
	Error string `json:",omitempty"`
}

// faultStep starts or ends a fault.
type faultStep struct {
	// at is in real time from the part's start.
	at    time.Duration
	apply func(context.Context) error
	// starts is the fault that the step starts; nil if the step ends one.
	starts *Fault
}

// faultSteps returns the starts and ends of all faults of a part, by time.
func faultSteps(s *Scenario, p *Part, b *bench, sys *System) []faultStep {
	var steps []faultStep
	for i := range p.Faults {
		f := &p.Faults[i]
		begin, end := f.actions(s, b, sys)
		steps = append(steps, faultStep{at: s.real(f.At.Std()), apply: begin, starts: f})
		if end != nil && f.For > 0 {
			steps = append(steps, faultStep{at: s.real((f.At + f.For).Std()), apply: end})
		}
	}
	slices.SortStableFunc(steps, func(a, b faultStep) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// action starts or ends a fault.
type action = func(context.Context) error

// actions returns the functions that start and end a fault. The latter is nil for a
// fault that does not last or that stand-ins end by themselves.
func (f *Fault) actions(s *Scenario, b *bench, sys *System) (begin, end action) {
	if f.Kind == zoneOut || f.Kind == zoneIn {
		return f.zoneOrder(sys), nil
	}
	if f.Kind == "slow" && b.workers[f.Target] != nil {
		return f.onWorkers(b, func(w *standin.Worker) { w.Slow(s.real(f.Lag.Std())) }),
			f.onWorkers(b, func(w *standin.Worker) { w.Slow(0) })
	}
	switch f.Kind {
	case "down":
		return f.stopTargets(s.real(f.For.Std()), b), nil
	case "crash_before", "crash_after", "lose_answer":
		return f.onWorkers(b, func(w *standin.Worker) { w.InjectFault(f.workerFault(), max(f.Count, 1)) }), nil
	case "slow":
		return f.onEngines(b, func(e *standin.Engine) { e.Slow(f.Factor) }),
			f.onEngines(b, func(e *standin.Engine) { e.Slow(1) })
	case "stall":
		return f.onEngines(b, func(e *standin.Engine) { e.SetStalled(true) }),
			f.onEngines(b, func(e *standin.Engine) { e.SetStalled(false) })
	case "freeze":
		return f.onEngines(b, (*standin.Engine).Suspend), f.onEngines(b, (*standin.Engine).Resume)
	}
	return f.onEngines(b, func(e *standin.Engine) { f.inject(s, e) }), nil
}

// inject injects into an engine a fault that no later step of the schedule ends.
func (f *Fault) inject(s *Scenario, e *standin.Engine) {
	switch f.Kind {
	case "crash":
		e.Crash()
	case "cold":
		e.TurnCold()
	case "shrink":
		e.SetKVTokens(int64(float64(f.Tokens) * s.TokenScale))
	case "lag":
		e.SetReportLag(s.real(f.Lag.Std()))
	case "gaps":
		e.SetEventLossShare(f.Share)
	}
}

// stopTargets stops the matching engines and workers for d, as a loss of their VMs
// does.
func (f *Fault) stopTargets(d time.Duration, b *bench) action {
	engines := f.onEngines(b, func(e *standin.Engine) { e.TakeDown(d) })
	workers := f.onWorkers(b, func(w *standin.Worker) { w.TakeDown(d) })
	return func(ctx context.Context) error {
		engineErr, workerErr := engines(ctx), workers(ctx)
		if engineErr != nil && workerErr != nil {
			return engineErr
		}
		return nil
	}
}

// workerFault returns the stand-in fault for the kind.
func (f *Fault) workerFault() standin.WorkerFault {
	switch f.Kind {
	case "crash_before":
		return standin.CrashBefore
	case "crash_after":
		return standin.CrashAfter
	}
	return standin.LoseAnswer
}

// matches reports whether the target is the name or the zone of e.
func (f *Fault) matches(e *Endpoint) bool { return e.Name == f.Target || e.Zone == f.Target }

// onEngines returns an action that calls do for each matching engine.
func (f *Fault) onEngines(b *bench, do func(*standin.Engine)) action {
	return func(context.Context) error {
		n := 0
		for i := range b.endpoints {
			if e := &b.endpoints[i]; f.matches(e) && !e.IsService {
				do(b.engines[e.Name])
				n++
			}
		}
		return f.requireMatch(n)
	}
}

// onWorkers returns an action that calls do for each matching worker.
func (f *Fault) onWorkers(b *bench, do func(*standin.Worker)) action {
	return func(context.Context) error {
		n := 0
		for i := range b.endpoints {
			if e := &b.endpoints[i]; f.matches(e) && e.IsService {
				do(b.workers[e.Name])
				n++
			}
		}
		return f.requireMatch(n)
	}
}

// requireMatch returns an error if n, the number of matching stand-ins, is 0.
func (f *Fault) requireMatch(n int) error {
	if n == 0 {
		return errors.Errorf("no stand-in is called %s or stands in such a zone", f.Target)
	}
	return nil
}

// zoneOrder returns an action that gives the system the order about a zone.
func (f *Fault) zoneOrder(sys *System) action {
	return func(ctx context.Context) error {
		if sys.SetZone == nil {
			return errors.New("the system takes no zone orders")
		}
		return sys.SetZone(ctx, f.Target, f.Kind == zoneIn)
	}
}
