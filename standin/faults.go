package standin

import "time"

// faults is what is wrong with an engine at present.
type faults struct {
	slow     float64
	stalled  bool
	frozen   chan struct{}
	gap      float64
	lag      time.Duration
	eventLag time.Duration
}

// stopped reports whether the engine makes no progress.
func (f *faults) stopped() bool { return f.stalled || f.frozen != nil }

// fault changes the engine under its lock.
func (e *Engine) fault(change func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	change(now)
	e.sample(now)
}

// Crash makes the engine fall: all requests break and it starts again, cold.
func (e *Engine) Crash() { e.fault(e.fall) }

// TakeDown makes the engine fall and answer nothing for a time, as when its VM is lost.
func (e *Engine) TakeDown(d time.Duration) {
	e.fault(func(now time.Time) {
		e.fall(now)
		e.downTill = now.Add(d)
		e.coldFrom = e.downTill
	})
}

// TurnCold makes the engine cold again without a new start.
func (e *Engine) TurnCold() {
	e.fault(func(now time.Time) {
		e.coldFrom = now
		e.checkMemory(now)
	})
}

// Suspend stops the whole engine: it answers nothing until Resume.
func (e *Engine) Suspend() {
	e.fault(func(time.Time) {
		if e.faults.frozen == nil {
			e.faults.frozen = make(chan struct{})
		}
	})
}

// Resume ends Suspend.
func (e *Engine) Resume() {
	e.fault(func(time.Time) {
		if e.faults.frozen != nil {
			close(e.faults.frozen)
		}
		e.faults.frozen = nil
	})
}

// SetStalled stops all output while the engine still answers, or lets it go on.
func (e *Engine) SetStalled(stalled bool) {
	e.fault(func(time.Time) { e.faults.stalled = stalled })
}

// Slow divides the engine's speed by factor; 1 is full speed.
func (e *Engine) Slow(factor float64) {
	e.fault(func(time.Time) { e.faults.slow = max(factor, 1) })
}

// SetKVTokens sets the engine's memory in KV tokens. The engine falls over when its
// requests hold more.
func (e *Engine) SetKVTokens(tokens int64) {
	e.fault(func(now time.Time) {
		e.total = tokens
		e.checkMemory(now)
	})
}

// SetReportLag sets the age of load reports and the delay of cache events.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.fault(func(time.Time) {
		e.faults.lag = lag
		e.faults.eventLag = lag
	})
}

// SetEventLossShare sets the share of cache events that are lost, from 0 to 1.
func (e *Engine) SetEventLossShare(share float64) {
	e.fault(func(time.Time) { e.faults.gap = share })
}
