package gateway

import "time"

// usesMemory reports whether the endpoints may still work on the request of the attempt. Progress within
// MaxSignOfLifeAge shows that they do. After that the engines with its memory are asked, because an engine
// whose answer was lost on the way has finished, but answers health checks, and then the primary endpoint.
// Where they do not say, the endpoints may work on it while their silence is expected.
func (a *attempt) usesMemory(reserved []ticket) bool {
	if a.quiet() < MaxSignOfLifeAge {
		return true
	}
	for _, t := range reserved[:min(len(reserved), maxHoldersAsked)] {
		if used, err := a.c.g.engines.TicketUsed(t.Addr, t.Ticket); err == nil {
			a.usedMemory = a.usedMemory || used
			return used || a.mayBeQueued()
		}
	}
	return a.mayBeAtPrimary()
}

// mayBeQueued reports whether the request may wait at the primary endpoint: it uses no memory before it
// runs, and while the engine has preempted it.
func (a *attempt) mayBeQueued() bool {
	_, waiting, err := a.c.g.engines.Requests(a.placed.Primary.Addr)
	if err != nil {
		return a.expectedQuiet()
	}
	return waiting > 0
}

// mayBeAtPrimary reports whether the request may wait or run at the primary endpoint. Requests that run there may be others,
// so that they are no sign of this one.
func (a *attempt) mayBeAtPrimary() bool {
	running, waiting, err := a.c.g.engines.Requests(a.placed.Primary.Addr)
	switch {
	case err == nil && waiting > 0:
		return true
	case err == nil && running == 0:
		return false
	}
	return a.expectedQuiet()
}

// expectedQuiet reports whether the endpoint may be silent for as long as it has been and work on the request. Without
// a sign that it does, the memory is not renewed for longer, as the end of the request may not have been heard of.
func (a *attempt) expectedQuiet() bool {
	if a.timer.progress() <= progressSent {
		return a.quiet() < a.maxFirstEventWait()
	}
	return a.quiet() < a.maxEventGap()
}

// quiet returns the time since the last progress of the attempt.
func (a *attempt) quiet() time.Duration { return a.timer.quietFor(a.c.g.clock.Now()) }

// declareLost tells the call that nothing more will come from the endpoint if its engines have used the
// memory before: else the request may still be on its way to them. Nor does it if there has been progress
// since, the caller has yet to take what came, or the request must not be sent to another endpoint.
func (a *attempt) declareLost(since int) {
	if a.timer.isHeld() || a.timer.progress() != since {
		return
	}
	if !a.loggedLost {
		a.loggedLost = true
		a.log().Info("memory reservation not needed", "quiet", a.quiet(), "predicted", a.placed.PredictedPrefill, "used_before", a.usedMemory)
	}
	if a.usedMemory && a.c.route.Kind == Repeatable {
		a.timer.declareSilent(since)
	}
}
