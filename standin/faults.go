package standin

import "time"

// faults are the faults injected into an engine at present.
type faults struct {
	// slowdown divides the token rates.
	slowdown float64
	stalled  bool
	// resumed is closed when the engine resumes; nil while it is not suspended.
	resumed chan struct{}
	// eventLossShare is the share of cache events that are lost.
	eventLossShare float64
	// lag is the age of published load reports.
	lag time.Duration
	// eventLag is the delay of cache events.
	eventLag time.Duration
}

// stopped reports whether the engine makes no progress.
func (f *faults) stopped() bool { return f.stalled || f.resumed != nil }

// applyFault runs change under the engine's lock and records the resulting load.
func (e *Engine) applyFault(change func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	change(now)
	e.sampleLoad(now)
}

// Crash aborts all requests and restarts the engine, cold, after RestartDelay.
func (e *Engine) Crash() { e.applyFault(e.crash) }

// TakeDown crashes the engine and keeps it unreachable for the duration d, as when
// its VM is lost.
func (e *Engine) TakeDown(d time.Duration) {
	e.applyFault(func(now time.Time) {
		e.crash(now)
		e.downUntil = now.Add(d)
		e.warmUpStart = e.downUntil
	})
}

// TurnCold makes the engine warm up again without a restart. The engine crashes when
// its requests exceed the capacity of a cold engine.
func (e *Engine) TurnCold() {
	e.applyFault(func(now time.Time) {
		e.warmUpStart = now
		e.checkMemory(now)
	})
}

// Suspend stops the engine and its HTTP interface until Resume. Connections stay open.
func (e *Engine) Suspend() {
	e.applyFault(func(time.Time) {
		if e.faults.resumed == nil {
			e.faults.resumed = make(chan struct{})
		}
	})
}

// Resume resumes a suspended engine.
func (e *Engine) Resume() {
	e.applyFault(func(time.Time) {
		if e.faults.resumed != nil {
			close(e.faults.resumed)
		}
		e.faults.resumed = nil
	})
}

// SetStalled stops or resumes the processing of requests. A stalled engine still
// answers on its HTTP interface.
func (e *Engine) SetStalled(stalled bool) {
	e.applyFault(func(time.Time) { e.faults.stalled = stalled })
}

// Slow divides the engine's token rates by factor; 1 is full speed.
func (e *Engine) Slow(factor float64) {
	e.applyFault(func(time.Time) { e.faults.slowdown = max(factor, 1) })
}

// SetKVTokens sets the size of the engine's memory in KV tokens. The engine crashes
// when its requests use more.
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
