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

// Fault is one event of a part's schedule.
type Fault struct {
	// At is when it happens, from the part's start.
	At settings.Duration `json:"at"`
	// Kind is what happens.
	Kind string `json:"kind" validate:"oneof=crash down cold slow stall freeze shrink lag gaps crash_before crash_after lose_answer zone_out zone_in"`
	// Target is the name of a stand-in, or of a zone for all stand-ins there.
	Target string `json:"target" validate:"required"`
	// For is how long "down", "slow", "stall" and "freeze" last.
	For settings.Duration `json:"for,omitempty"`
	// Factor is by how much "slow" slows an engine down.
	Factor float64 `json:"factor,omitempty"`
	// Tokens is the memory that "shrink" leaves.
	Tokens int64 `json:"tokens,omitempty"`
	// Share is the part of cache events that "gaps" loses.
	Share float64 `json:"share,omitempty"`
	// Lag is the age of load reports and cache events after "lag", and the time
	// that "slow" adds to each call of a worker.
	Lag settings.Duration `json:"lag,omitempty"`
	// Count is of how many calls the faults of a worker are.
	Count int `json:"count,omitempty"`
}

// Kinds of fault that are orders to the system.
const (
	zoneOut = "zone_out"
	zoneIn  = "zone_in"
)

// InjectedFault is a fault that took place.
type InjectedFault struct {
	At     time.Duration
	Kind   string
	Target string
	// Error is set when an order failed or nothing has the target's name.
	Error string `json:",omitempty"`
}

// faultStep is one thing to do at a time of the run.
type faultStep struct {
	at    time.Duration
	apply func(context.Context) error
	// starts starts set for the start of a fault.
	starts *Fault
}

// faultSteps orders the starts and ends of all faults by time.
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

type action = func(context.Context) error

// actions returns what starts a fault and what ends it, which may be nil.
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

// inject applies a fault that has no end of its own.
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

// stopTargets stops engines and workers alike, as when their VMs are lost.
func (f *Fault) stopTargets(d time.Duration, b *bench) action {
	engines := f.onEngines(b, func(e *standin.Engine) { e.TakeDown(d) })
	workers := f.onWorkers(b, func(w *standin.Worker) { w.TakeDown(d) })
	return func(ctx context.Context) error {
		noEngine, noWorker := engines(ctx), workers(ctx)
		if noEngine != nil && noWorker != nil {
			return noEngine
		}
		return nil
	}
}

func (f *Fault) workerFault() standin.WorkerFault {
	switch f.Kind {
	case "crash_before":
		return standin.CrashBefore
	case "crash_after":
		return standin.CrashAfter
	}
	return standin.LoseAnswer
}

// matches reports whether the fault is for e: by its name or by its zone.
func (f *Fault) matches(e *Endpoint) bool { return e.Name == f.Target || e.Zone == f.Target }

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

func (f *Fault) requireMatch(n int) error {
	if n == 0 {
		return errors.Errorf("no stand-in is called %s or stands in such a zone", f.Target)
	}
	return nil
}

func (f *Fault) zoneOrder(sys *System) action {
	return func(ctx context.Context) error {
		if sys.SetZone == nil {
			return errors.New("the system takes no zone orders")
		}
		return sys.SetZone(ctx, f.Target, f.Kind == zoneIn)
	}
}
