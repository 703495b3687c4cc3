package quarantine

import (
	"slices"
	"time"
)

const (
	// interruptionTTL is for how long an interrupted attempt counts as in flight at an
	// endpoint whose end is not known. An endpoint that has failed silently shows its end by
	// starting again.
	interruptionTTL = time.Minute
	// checkInterval is the minimum time between two checks if an endpoint has ended.
	checkInterval = time.Second
	// activityDelay is how long the answers that an endpoint has sent before it failed may
	// still arrive. Later ones show that it is running.
	activityDelay = 250 * time.Millisecond
	// maxTrackedInstances and maxInterruptions are the most instances in a Tracker, and the
	// most interrupted attempts for each.
	maxTrackedInstances = 1024
	maxInterruptions    = 256
)

// Instance is one incarnation of a direct endpoint. Addr is its address, at which another
// endpoint may start later.
type Instance struct {
	Endpoint    string
	Addr        string
	Incarnation uint64
}

// Attempt is one attempt of a request. It may run on several endpoints at once, of which each
// prefills a part of the prompt.
type Attempt struct {
	Digest uint64
	// Parts are the parts of its prompt that other requests may have too.
	Parts []uint64
	// Holder is the holder of the permit of the attempt, or empty if it needed none. Permitted is what the
	// permit is for: Digest or one of Parts.
	Holder    string
	Permitted uint64
	// counted is set once the end of one endpoint has been counted against the request.
	counted bool
}

// interruption is the end of an attempt without a complete answer.
type interruption struct {
	*Attempt
	at time.Time
}

// Tracker finds out under which requests direct endpoints ended. An attempt that was
// interrupted may have been in flight when its endpoint ended, but the endpoint may also have
// broken off this attempt alone, and so may the network. Only the end of the instance counts:
// its address refuses connections, or a later incarnation has taken its name or address.
type Tracker struct {
	instances map[Instance]*trackedInstance
}

// trackedInstance is what a Tracker knows of one instance.
type trackedInstance struct {
	interruptions []interruption
	ended         bool
	leaving       bool
	// lastCheck is the time of the last check if the instance has ended.
	lastCheck time.Time
	// touched is the time of the last interruption.
	touched time.Time
	// reported are the requests that were returned by TakeEnded.
	reported []uint64
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{instances: map[Instance]*trackedInstance{}} }

// Interrupt records that an attempt at an instance was interrupted. It does nothing if the
// instance is leaving, because its end is planned.
func (t *Tracker) Interrupt(now time.Time, at Instance, a *Attempt, leaving bool) {
	i := t.instances[at]
	if i == nil {
		if leaving || !t.makeRoom(now) {
			return
		}
		i = &trackedInstance{}
		t.instances[at] = i
	}
	if i.leaving || leaving || len(i.interruptions) >= maxInterruptions {
		return
	}
	i.touched = now
	i.interruptions = append(i.interruptions, interruption{Attempt: a, at: now})
}

// BeginCheck reports whether the caller should check now if the instance has ended.
func (t *Tracker) BeginCheck(now time.Time, at Instance) bool {
	i := t.instances[at]
	if i == nil || i.ended || i.leaving || now.Sub(i.lastCheck) < checkInterval {
		return false
	}
	i.lastCheck = now
	return true
}

// makeRoom drops instances that are too old, and reports whether there is room for one more.
func (t *Tracker) makeRoom(now time.Time) bool {
	if len(t.instances) >= maxTrackedInstances {
		t.Expire(now)
	}
	return len(t.instances) < maxTrackedInstances
}

// Expire drops the interruptions that are older than interruptionTTL, and the instances that
// have had none since.
func (t *Tracker) Expire(now time.Time) {
	for at, i := range t.instances {
		i.interruptions = slices.DeleteFunc(i.interruptions, func(n interruption) bool { return now.Sub(n.at) > interruptionTTL })
		if now.Sub(i.touched) > interruptionTTL {
			delete(t.instances, at)
		}
	}
}

// Active records that an instance has sent something, which shows that it did not end at the
// interruptions before. It returns the attempts that hold permits, which are to be returned.
func (t *Tracker) Active(now time.Time, at Instance) (released []*Attempt) {
	i := t.instances[at]
	if i == nil || i.ended {
		return nil
	}
	i.interruptions = slices.DeleteFunc(i.interruptions, func(n interruption) bool {
		active := now.Sub(n.at) > activityDelay
		if active && n.Holder != "" {
			released = append(released, n.Attempt)
		}
		return active
	})
	if len(i.interruptions) == 0 {
		delete(t.instances, at)
	}
	return released
}

// Leaving records that an endpoint is about to end as planned. The attempts at it are then no
// evidence against their requests.
func (t *Tracker) Leaving(endpoint string) {
	for at, i := range t.instances {
		if at.Endpoint == endpoint && !i.ended {
			i.leaving = true
			i.interruptions = nil
		}
	}
}

// Started records that an endpoint has announced an incarnation. Earlier incarnations with its
// name or address have ended.
func (t *Tracker) Started(started Instance) {
	for at := range t.instances {
		if at.Incarnation < started.Incarnation && (at.Endpoint == started.Endpoint || at.Addr == started.Addr) {
			t.End(at)
		}
	}
}

// End records that an instance has ended.
func (t *Tracker) End(at Instance) {
	if i := t.instances[at]; i != nil && !i.leaving {
		i.ended = true
	}
}

// Ended is an instance that has ended and the requests that were in flight, each once, with the parts
// of their prompts.
type Ended struct {
	Instance
	Digests []uint64
	Parts   []PartReport
}

// addParts adds the parts of an attempt, up to maxPartsPerFailure.
func (e *Ended) addParts(a *Attempt) {
	for _, part := range a.Parts {
		i := slices.IndexFunc(e.Parts, func(p PartReport) bool { return p.Digest == part })
		if i < 0 && len(e.Parts) < maxPartsPerFailure {
			i = len(e.Parts)
			e.Parts = append(e.Parts, PartReport{Digest: part})
		}
		if i >= 0 && len(e.Parts[i].Carriers) < MaxPartCarriers && !slices.Contains(e.Parts[i].Carriers, a.Digest) {
			e.Parts[i].Carriers = append(e.Parts[i].Carriers, a.Digest)
		}
	}
}

// TakeEnded returns the ended instances with requests that it has not returned before. An attempt
// counts at one of its endpoints only: endpoints that end at once do so for the same reason.
func (t *Tracker) TakeEnded() []Ended {
	var out []Ended
	for at, i := range t.instances {
		if !i.ended || len(i.interruptions) == 0 {
			continue
		}
		e := Ended{Instance: at}
		for _, n := range i.interruptions {
			if !n.counted && !slices.Contains(i.reported, n.Digest) {
				n.counted = true
				i.reported = append(i.reported, n.Digest)
				e.Digests = append(e.Digests, n.Digest)
				e.addParts(n.Attempt)
			}
		}
		i.interruptions = nil
		if len(e.Digests) > 0 {
			out = append(out, e)
		}
	}
	return out
}
