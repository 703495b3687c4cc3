package gateway

// usesMemory reports whether the endpoints may still work on the request of the attempt. Progress within
// MaxSignOfLifeAge shows that they do. After that the engines with its memory are asked, because an engine
// whose answer was lost on the way has finished, but answers health checks. Without an answer the
// endpoints may work on it.
func (a *attempt) usesMemory(reserved []ticket) bool {
	if a.timer.quietFor(a.c.g.clock.Now()) < MaxSignOfLifeAge {
		return true
	}
	for _, t := range reserved[:min(len(reserved), maxHoldersAsked)] {
		if used, err := a.c.g.engines.TicketUsed(t.Addr, t.Ticket); err == nil {
			a.usedMemory = a.usedMemory || used
			return used || a.mayBeQueued()
		}
	}
	return true
}

// mayBeQueued reports whether the request may wait at the primary endpoint: it uses no memory before it
// runs, and while the engine has preempted it.
func (a *attempt) mayBeQueued() bool {
	queued, err := a.c.g.engines.Queued(a.placed.Primary.Addr)
	return err != nil || queued > 0
}

// declareLost tells the call that nothing more will come from the endpoint if its engines have used the
// memory before: else the request may still be on its way to them. Nor does it if there has been progress
// since, the caller has yet to take what came, or the request must not be sent to another endpoint.
func (a *attempt) declareLost(since int) {
	if a.timer.isHeld() || a.timer.progress() != since {
		return
	}
	if !a.loggedLost {
		a.loggedLost = true
		a.log().Info("memory reservation not needed", "quiet", a.timer.quietFor(a.c.g.clock.Now()), "used_before", a.usedMemory)
	}
	if a.usedMemory && a.c.route.Kind == Repeatable {
		a.timer.declareSilent(since)
	}
}
