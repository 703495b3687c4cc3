package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Times after which a refused request is worth trying again.
const (
	retryNoEndpoint = 2 * time.Second
	retryZoneOut    = 5 * time.Second
	retryMemory     = 500 * time.Millisecond
	retryCold       = 500 * time.Millisecond
	retryLeaving    = time.Second
	retryBacklog    = 500 * time.Millisecond
)

// fitness says whether an endpoint can take a request, and if not why not. The
// higher the value, the closer the endpoint is to taking the request.
type fitness uint8

const (
	isOut fitness = iota
	isUnknown
	isTooSmall
	isLeaving
	isTried
	isCold
	isFull
	isSuspect
	fits
)

// fitness returns whether e can take the request now, by what this entry knows.
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
	case !e.bears(req):
		return isCold
	case e.AvailableTokens() < needs:
		return isFull
	case e.Suspect:
		return isSuspect
	}
	return fits
}

// bears reports whether a cold endpoint has room in its ramp. An idle one bears
// any one request: otherwise a fleet that is cold as a whole could never warm up
// on prompts larger than its first allowance.
func (e *Endpoint) bears(req *Request) bool {
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

// refuse explains why none of the endpoints takes the request: by the endpoint
// that came closest to taking it.
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
		return verdict.Refuse(verdict.ReasonNoEndpoint, retryNoEndpoint, "no endpoint serves %s", req.Target)
	}
	switch closest {
	case isOut:
		return verdict.Refuse(verdict.ReasonZoneOut, retryZoneOut, "every endpoint of %s is out of service", req.Target)
	case isTooSmall:
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0,
			"the request needs %d KV tokens and the largest endpoint of %s holds %d", req.RequiredTokens(), req.Target, largest)
	case isLeaving:
		return verdict.Refuse(verdict.ReasonEndpointLeaving, retryLeaving, "every endpoint of %s is leaving", req.Target)
	case isCold:
		return verdict.Refuse(verdict.ReasonEndpointCold, retryCold, "every endpoint of %s is starting", req.Target)
	case isFull:
		return verdict.Refuse(verdict.ReasonEndpointMemory, retryMemory, "no endpoint of %s has %d KV tokens free", req.Target, req.RequiredTokens())
	case fits:
		return verdict.Refuse(verdict.ReasonOverloaded, retryBacklog, "every endpoint of %s has enough work waiting", req.Target)
	}
	return verdict.Refuse(verdict.ReasonNoEndpoint, retryNoEndpoint, "no other endpoint of %s is ready", req.Target)
}
