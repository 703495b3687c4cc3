package gateway

import (
	"context"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// unsent holds the reasons of attempts that are given up before the request is sent.
var unsent = map[verdict.Reason]bool{
	verdict.ReasonUnreachable: true, verdict.ReasonEndpointLost: true, verdict.ReasonEndpointRestarted: true, verdict.ReasonZoneOut: true,
	verdict.ReasonEndpointLeaving: true, verdict.ReasonNoEndpoint: true, verdict.ReasonOverloaded: true,
}

// mayNotRepeat holds the reasons after which another attempt is of no use.
var mayNotRepeat = map[verdict.Reason]bool{
	verdict.ReasonStaleConfiguration: true, verdict.ReasonQuarantined: true, verdict.ReasonStopping: true,
}

// checkSend returns a refusal if the request must not be sent as it was placed. Time has passed since
// then: the permission of this entry may have lapsed, or an endpoint may have been taken out of
// service.
func (a *attempt) checkSend() error {
	c := a.c
	if err := a.checkQuarantine(); err != nil {
		return err
	}
	if c.needsPermission && !c.awaitPermission(a.ctx) {
		return verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the entry's permission has lapsed at revision %d", c.g.client.Permission().Revision)
	}
	if a.tooLateToSend() {
		return c.g.refuseToSend()
	}
	c.g.mu.Lock()
	endpoint, reason := c.g.fleet.Withdrawn(c.g.clock.Now(), a.placed.Assignment, &a.request)
	c.g.mu.Unlock()
	if reason == "" {
		return nil
	}
	c.g.metrics.placementsRejected.Inc()
	return verdict.Refuse(reason, defaultRetryAfter, "endpoint %s was withdrawn before the request was sent", endpoint)
}

// awaitPermission waits for up to maxStaleWait until this entry has a valid permission, and reports
// whether it has.
func (c *call) awaitPermission(ctx context.Context) bool {
	for limit := c.g.clock.Now().Add(maxStaleWait); !c.g.client.Fresh(); {
		if c.g.clock.Now().After(limit) || ctx.Err() != nil {
			return false
		}
		<-c.g.clock.After(stalePollInterval)
	}
	return true
}
