package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Retry delays given with the refusals.
const (
	noEndpointRetryAfter = 2 * time.Second
	zoneOutRetryAfter    = 5 * time.Second
	memoryRetryAfter     = 500 * time.Millisecond
	coldRetryAfter       = 500 * time.Millisecond
	leavingRetryAfter    = time.Second
	backlogRetryAfter    = 500 * time.Millisecond
)

// fitness says whether an endpoint can take a request and, if not, why not. Values are
// ordered: a higher one is closer to taking the request. refuse gives the reason of
// the highest value.
type fitness uint8

const (
	isOut      fitness = iota // out of service
	isUnknown                 // has not reported a load
	isTooSmall                // the request exceeds the KV memory of the engine
	isLeaving                 // takes no new work
	isTried                   // an earlier attempt of the request went there
	isCold                    // the request exceeds the slow-start allowance
	isFull                    // too little free KV memory
	isSuspect                 // would fit, but is suspect
	fits
)

// fitness returns whether e can take the request now, as far as this entry knows.
func (e *Endpoint) fitness(req *Request) fitness {
	needs := req.RequiredTokens()
	switch {
	case e.OutOfService:
		return isOut
	case e.Load.CapacityTokens <= 0:
		return isUnknown
	case e.Load.CapacityTokens < needs:
		return isTooSmall
	case e.Load.Leaving:
		return isLeaving
	case wasTried(req, e.Name):
		return isTried
	case !e.rampAllows(req):
		return isCold
	case e.AvailableTokens() < needs:
		return isFull
	case e.Suspect:
		return isSuspect
	}
	return fits
}

// rampAllows reports whether the request fits into the endpoint's slow-start allowance. A
// warm endpoint has no such limit. An idle endpoint takes a request of any size: otherwise
// endpoints that are all cold could never warm up on prompts larger than their first
// allowance.
func (e *Endpoint) rampAllows(req *Request) bool {
	if e.Load.RampTokens < 0 {
		return true
	}
	if e.Load.Running == 0 && e.InFlight == 0 {
		return true
	}
	return e.Load.RampTokens-e.UnreportedTokens >= req.RequiredTokens()
}

func wasTried(req *Request, name string) bool {
	for _, tried := range req.Tried {
		if tried == name {
			return true
		}
	}
	return false
}

// refuse returns the refusal of a request that no endpoint of the view takes. Its reason
// is that of the endpoint with the highest fitness.
func refuse(req *Request, view []Endpoint) *verdict.Refusal {
	closest := isOut
	largest := int64(0)
	for i := range view {
		closest = max(closest, view[i].fitness(req))
		if !view[i].OutOfService {
			largest = max(largest, view[i].Load.CapacityTokens)
		}
	}
	if len(view) == 0 {
		return verdict.Refuse(verdict.ReasonNoEndpoint, noEndpointRetryAfter, "no endpoint serves %s", req.Target)
	}
	switch closest {
	case isOut:
		return verdict.Refuse(verdict.ReasonZoneOut, zoneOutRetryAfter, "every endpoint of %s is out of service", req.Target)
	case isTooSmall:
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0,
			"the request needs %d KV tokens and the largest endpoint of %s holds %d", req.RequiredTokens(), req.Target, largest)
	case isLeaving:
		return verdict.Refuse(verdict.ReasonEndpointLeaving, leavingRetryAfter, "every endpoint of %s is leaving", req.Target)
	case isCold:
		return verdict.Refuse(verdict.ReasonEndpointCold, coldRetryAfter, "every endpoint of %s is starting", req.Target)
	case isFull:
		return verdict.Refuse(verdict.ReasonEndpointMemory, memoryRetryAfter, "no endpoint of %s has %d KV tokens free", req.Target, req.RequiredTokens())
	case fits:
		return verdict.Refuse(verdict.ReasonOverloaded, backlogRetryAfter, "every endpoint of %s has enough work waiting", req.Target)
	}
	return verdict.Refuse(verdict.ReasonNoEndpoint, noEndpointRetryAfter, "no other endpoint of %s is ready", req.Target)
}
