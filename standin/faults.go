package standin

import "time"

// faults is what is wrong with an engine at present.
type faults struct {
	slowdown     float64
	stalled  bool
	resumed   chan struct{}
	eventLossShare      float64
	lag      time.Duration
	eventLag time.Duration
}

// stopped reports whether the engine makes no progress.
func (f *faults) stopped() bool { return f.stalled || f.resumed != nil }

// applyFault changes the engine under its lock.
func (e *Engine) applyFault(change func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	change(now)
	e.sampleLoad(now)
}

// Crash makes the engine fall: all requests break and it starts again, cold.
func (e *Engine) Crash() { e.applyFault(e.crash) }

// TakeDown makes the engine fall and answer nothing for a time, as when its VM is lost.
func (e *Engine) TakeDown(d time.Duration) {
	e.applyFault(func(now time.Time) {
		e.crash(now)
		e.downUntil = now.Add(d)
		e.warmUpStart = e.downUntil
	})
}

// TurnCold makes the engine cold again without a new start.
func (e *Engine) TurnCold() {
	e.applyFault(func(now time.Time) {
		e.warmUpStart = now
		e.checkMemory(now)
	})
}

// Suspend stops the whole engine: it answers nothing until Resume.
func (e *Engine) Suspend() {
	e.applyFault(func(time.Time) {
		if e.faults.resumed == nil {
			e.faults.resumed = make(chan struct{})
		}
	})
}

// Resume ends Suspend.
func (e *Engine) Resume() {
	e.applyFault(func(time.Time) {
		if e.faults.resumed != nil {
			close(e.faults.resumed)
		}
		e.faults.resumed = nil
	})
}

// SetStalled stops all output while the engine still answers, or lets it go on.
func (e *Engine) SetStalled(stalled bool) {
	e.applyFault(func(time.Time) { e.faults.stalled = stalled })
}

// Slow divides the engine's speed by factor; 1 is full speed.
func (e *Engine) Slow(factor float64) {
	e.applyFault(func(time.Time) { e.faults.slowdown = max(factor, 1) })
}

// SetKVTokens sets the engine's memory in KV tokens. The engine falls over when its
// requests hold more.
func (e *Engine) SetKVTokens(tokens int64) {
	e.applyFault(func(now time.Time) {
		e.total = tokens
		e.checkMemory(now)
	})
}

// SetReportLag sets the age of load reports and the delay of cache events.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.applyFault(func(time.Time) {
		e.faults.lag = lag
		e.faults.eventLag = lag
	})
}

// SetEventLossShare sets the share of cache events that are lost, from 0 to 1.
func (e *Engine) SetEventLossShare(share float64) {
	e.applyFault(func(time.Time) { e.faults.eventLossShare = share })
}
