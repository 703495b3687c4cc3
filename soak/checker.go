// Package soak holds the parts of soak tests that inject random faults into a deployment of
// real processes and check what its callers and endpoints observe. The package does not
// depend on the kind of deployment. It has the checker, the proxies and processes into
// which faults are injected, the seeded plan of faults, and the report.
package soak

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// The promises of a deployment that a Checker checks. The texts appear in reports.
const (
	PromiseAtMostOnce = "runs at most once"
	PromiseNotRun     = "a refusal that says not run is true"
	PromiseAnswer     = "whole answers, of the right request"
	PromiseOrder      = "events in order, without gaps"
	PromiseUnaltered  = "endpoints get what callers sent"
	PromiseRoute      = "requests run only where a configuration sends them"
	PromiseNoRollback = "an acknowledged configuration is not followed by an older one"
	PromiseValid      = "an invalid configuration is refused"
	PromiseRevoked    = "a key that was taken away stops in time"
	PromiseDrained    = "a drained endpoint or zone gets nothing new"
	PromiseCold       = "a cold endpoint gets no more than it bears"
	PromiseMemory     = "memory that was set aside is given back, and serves one request"
	PromiseDurable    = "nothing acknowledged is lost"
	PromiseRecovered  = "service comes back after the faults"
	PromiseAnswered   = "a whole request gets its answer or a refusal"
	PromiseCrashing   = "a request that crashed three endpoints is not sent on"
	PromiseInnocent   = "no request is refused for crashes that it did not cause"
	PromiseSoundPart  = "requests that share a route, key and part with crashing ones are served"
	PromiseRetries    = "retries stay within the budget of all entries"
	PromiseLimit      = "an endpoint gets no more than the limit that it names"
	PromisePause      = "an entry that an endpoint asked for a pause sends it nothing"
	PromiseEvacuated  = "a zone that was taken out gets nothing, from processes that are cut off either"
	PromiseEnds       = "a stopped process ends before its grace time does"
)

// Promises lists all promises.
var Promises = []string{
	PromiseAtMostOnce, PromiseNotRun, PromiseAnswer, PromiseOrder, PromiseUnaltered, PromiseRoute, PromiseNoRollback, PromiseRevoked,
	PromiseDrained, PromiseCold, PromiseMemory, PromiseDurable, PromiseRecovered, PromiseAnswered,
	PromiseCrashing, PromiseInnocent, PromiseSoundPart, PromiseRetries, PromiseLimit, PromisePause, PromiseEvacuated,
	PromiseEnds,
}

// Bounds holds the time bounds of a deployment's promises.
type Bounds struct {
	// Revoke is the time within which a removed key stops working.
	Revoke time.Duration
	// Drain is the time after which a draining endpoint or zone gets no more requests.
	Drain time.Duration
	// Release is the time within which a memory reservation is released after its last use.
	Release time.Duration
	// Apply is the time within which an acknowledged configuration is applied.
	Apply time.Duration
	// Reconnect is the time after a fault within which processes reconnect. Bounds apply
	// only after it.
	Reconnect time.Duration
	// CatchUp is the time after the start of a replica with an empty disk within which the group
	// bears the next loss.
	CatchUp time.Duration
	// Evacuate is the time after which a zone that was taken out of service gets nothing from any
	// process, cut off or not.
	Evacuate time.Duration
	// Retries limits repeated arrivals of requests. A zero Window disables the check.
	Retries RetryBounds
}

// Request is a request as its caller sent it.
type Request struct {
	ID      string
	Path    string
	Body    []byte
	Account string
	Key     string
	// Deadline is the time from its sending to its deadline, or to the time-out of its route.
	Deadline time.Duration
	// AtMostOnce is set for a request that must not run more than once.
	AtMostOnce bool
	// Services are all services to which any configuration of the run routes the request.
	Services map[string]bool
	// Late is set if the last byte of the request is sent later than its first. Checker.Whole then tells when.
	Late bool
	// Entry names the entry that the request was sent to.
	Entry string
	// Prefix lists the parts of the prompt as callers and endpoints write them.
	Prefix string
	// Crashes is set if the request crashes each endpoint that runs it. Content then
	// identifies the requests with the same account, path and body or, if PartCrashes is set,
	// those with the same crashing part in their prompts.
	Crashes     bool
	PartCrashes bool
	Content     string
	// Beside is set for a sound request with the account and route of crashing requests, and
	// with the other parts of their prompts. It is the Content of those.
	Beside string
}

// Arrival is a request as an endpoint received it.
type Arrival struct {
	ID       string
	Path     string
	Body     []byte
	Account  string
	Service  string
	Endpoint string
	Zone     string
	Prefix   string
	// KeyPassed is set if the request contained the caller's key.
	KeyPassed bool
}

// Finding is a broken promise.
type Finding struct {
	Promise string `json:"promise"`
	// At is the time since the start of the run.
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// trackedRequest is a request and what the checker knows about its execution.
type trackedRequest struct {
	Request
	sent time.Time
	// whole is when its last byte was sent; zero if it was not.
	whole time.Time
	runs  int
	// working counts the endpoints that are at work on it, and workEnded is when the last one ended.
	working   int
	workEnded time.Time
	// unanswered is set when it ended with neither an answer nor a refusal.
	unanswered bool
	// arrivals counts the arrivals at endpoints, including those that did not run.
	arrivals int
	// endpoints are those that ran the request.
	endpoints []string
	// answers are the bodies that endpoints sent as answers to the request, by seal.
	answers map[string][]byte
	// refused is set when the caller got an answer that states that the request has not
	// run.
	refused bool
	// share counts a sound request beside crashing ones; nil if it is not counted.
	share *share
}

// Checker records what callers and endpoints observe and finds broken promises. Its
// methods may be called concurrently.
type Checker struct {
	bounds Bounds
	start  time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	requests map[string]*trackedRequest
	// boundsSuspended is the time until which time bounds do not apply, and answersSuspended the time
	// until which requests may end without an answer.
	boundsSuspended, answersSuspended time.Time
	// revoked holds when the removal of a key was acknowledged, by key.
	revoked map[string]time.Time
	// drained holds when an endpoint or zone was drained, by the name given to Drained.
	drained map[string]time.Time
	// ackedVersion is the newest acknowledged version, first acknowledged at ackedAt.
	ackedVersion uint64
	ackedAt      time.Time
	// crashing holds the requests that crash endpoints, by content, and retries the
	// arrivals by service.
	crashing map[string]*crashingContent
	// ended holds the endpoints whose incarnation has ended.
	ended map[string]bool
	// lastEnd is when the last one ended, and stops are the planned stops, by entry.
	lastEnd  time.Time
	stops    map[string][]plannedStop
	retries  map[string]*arrivalTimes
	findings []Finding
	// The counts of the report.
	sent, served, refusals, broken, runs int
}

// NewChecker returns a checker without requests. The argument now is the start of the run.
func NewChecker(now time.Time, b Bounds) *Checker {
	return &Checker{
		bounds: b, start: now, requests: map[string]*trackedRequest{}, revoked: map[string]time.Time{}, drained: map[string]time.Time{},
		crashing: map[string]*crashingContent{}, ended: map[string]bool{}, stops: map[string][]plannedStop{}, retries: map[string]*arrivalTimes{},
	}
}

// AddFinding records a broken promise.
func (c *Checker) AddFinding(now time.Time, promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFinding(now, promise, format, args...)
}

// addFinding is AddFinding for callers that hold mu.
func (c *Checker) addFinding(now time.Time, promise, format string, args ...any) {
	c.findings = append(c.findings, Finding{Promise: promise, At: now.Sub(c.start), Detail: fmt.Sprintf(format, args...)})
}

// SuspendBounds records a fault that lasts until the given time. Time bounds do not apply
// until Bounds.Reconnect after it, and requests may end without an answer.
func (c *Checker) SuspendBounds(until time.Time) { c.suspend(until, true) }

// SuspendBoundsOnly is SuspendBounds for a fault that ends no request.
func (c *Checker) SuspendBoundsOnly(until time.Time) { c.suspend(until, false) }

func (c *Checker) suspend(until time.Time, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := until.Add(c.bounds.Reconnect)
	if end.After(c.boundsSuspended) {
		c.boundsSuspended = end
	}
	if answers && end.After(c.answersSuspended) {
		c.answersSuspended = end
	}
}

// ContactTime is the time after a fault, or after a new fact became known, from which bounds apply.
func (c *Checker) ContactTime() time.Duration { return c.bounds.Reconnect }

// BoundsApply reports whether time bounds apply at the time now.
func (c *Checker) BoundsApply(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.After(c.boundsSuspended)
}

// Sent records a request. The caller calls it before it sends the request.
func (c *Checker) Sent(now time.Time, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	tracked := &trackedRequest{Request: r, sent: now, answers: map[string][]byte{}, share: c.shareOf(now, r)}
	if !r.Late {
		tracked.whole = now
	}
	c.requests[r.ID] = tracked
	if service, ok := r.onlyService(); ok {
		c.recordSent(now, service)
	}
}

// EntryOf returns the entry that a request was sent to, or an empty string for an unknown request.
func (c *Checker) EntryOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		return r.Entry
	}
	return ""
}

// Ran records that an endpoint begins to execute a request, and checks the arrival.
func (c *Checker) Ran(now time.Time, a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	r := c.requests[a.ID]
	switch {
	case r == nil:
		c.addFinding(now, PromiseUnaltered, "endpoint %s ran %q, which no caller sent", a.Endpoint, a.ID)
		return
	case a.Path != r.Path || !bytes.Equal(a.Body, r.Body) || a.Account != r.Account || a.Prefix != r.Prefix || a.KeyPassed:
		c.addFinding(now, PromiseUnaltered, "request %s reached endpoint %s with path %q, account %q, parts %q, %d bytes of body, key passed %v; sent were %q, %q, %q, %d bytes",
			a.ID, a.Endpoint, a.Path, a.Account, a.Prefix, len(a.Body), a.KeyPassed, r.Path, r.Account, r.Prefix, len(r.Body))
	}
	c.checkCrashing(now, r, a.Endpoint)
	r.recordBegin()
	r.runs++
	r.working++
	r.endpoints = append(r.endpoints, a.Endpoint)
	if r.AtMostOnce && r.runs > 1 {
		c.addFinding(now, PromiseAtMostOnce, "request %s ran %d times, the last at endpoint %s", a.ID, r.runs, a.Endpoint)
	}
	if r.AtMostOnce && r.refused {
		c.addFinding(now, PromiseNotRun, "request %s was refused as not run and ran later at endpoint %s", a.ID, a.Endpoint)
	}
	if !r.Services[a.Service] {
		c.addFinding(now, PromiseRoute, "request %s to %q ran at service %s", a.ID, r.Path, a.Service)
	}
	if at, ok := c.revoked[r.Key]; ok && r.sent.Sub(at) > c.bounds.Revoke {
		c.addFinding(now, PromiseRevoked, "request %s ran with a key that was taken away %v before", a.ID, r.sent.Sub(at))
	}
	for _, name := range []string{"endpoint " + a.Endpoint, "zone " + a.Zone} {
		if at, ok := c.drained[name]; ok && now.Sub(at) > c.bounds.Drain && now.After(c.boundsSuspended) {
			c.addFinding(now, PromiseDrained, "request %s reached %s %v after it had left", a.ID, name, now.Sub(at))
		}
	}
	if at, ok := c.drained["zone "+a.Zone]; ok && c.bounds.Evacuate > 0 && now.Sub(at) > c.bounds.Evacuate {
		c.addFinding(now, PromiseEvacuated, "request %s from entry %s reached endpoint %s in zone %s %v after the zone was taken out", a.ID, r.Entry, a.Endpoint, a.Zone, now.Sub(at))
	}
}

// AnswerSent records the complete body that an endpoint sends as the answer to a request,
// and its seal.
func (c *Checker) AnswerSent(id, seal string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.answers[seal] = body
	}
}

// Served checks a complete successful answer that the caller of request id received. The
// arguments echo and seal are the request ID and the seal in the answer.
func (c *Checker) Served(now time.Time, id, echo, seal string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	r := c.requests[id]
	want, ok := r.answers[seal]
	switch {
	case echo != id:
		c.addFinding(now, PromiseAnswer, "request %s got the answer to %q", id, echo)
	case !ok:
		c.addFinding(now, PromiseAnswer, "request %s got seal %q, which no endpoint gave it", id, seal)
	case !bytes.Equal(want, body):
		c.addFinding(now, PromiseAnswer, "request %s got %d bytes under seal %s; the endpoint sent %d", id, len(body), seal, len(want))
	}
	delete(r.answers, seal)
}

// Streamed checks a stream that ended without an error at the caller of request id. The
// argument events holds the received event numbers; 1 to want are expected.
func (c *Checker) Streamed(now time.Time, id, echo string, events []int, want int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	if echo != id {
		c.addFinding(now, PromiseAnswer, "request %s got the stream of %q", id, echo)
	}
	for i := range max(len(events), want) {
		if i >= len(events) || events[i] != i+1 || i >= want {
			c.addFinding(now, PromiseOrder, "stream %s ended as complete with events %v; %d are due", id, events, want)
			return
		}
	}
}

// Refused records and checks an answer that states that the request has not run.
func (c *Checker) Refused(now time.Time, id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals++
	r := c.requests[id]
	r.refused = true
	if r.AtMostOnce && r.runs > 0 {
		c.addFinding(now, PromiseNotRun, "request %s was answered %d and has run", id, status)
	}
}

// BrokenOff counts a request without a complete answer, or with an answer that does not
// state whether the request has run.
func (c *Checker) BrokenOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

// Acked records that control acknowledged a configuration, which removes the keys revoked.
func (c *Checker) Acked(now time.Time, version uint64, revoked []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.ackedVersion {
		c.ackedVersion, c.ackedAt = version, now
	}
	for _, key := range revoked {
		if _, ok := c.revoked[key]; !ok {
			c.revoked[key] = now
		}
	}
}

// ReadBack checks the version that a node answered to a read that began at asked.
func (c *Checker) ReadBack(now, asked time.Time, node string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.ackedVersion && asked.Sub(c.ackedAt) > c.bounds.Apply {
		c.addFinding(now, PromiseNoRollback, "%s answered version %d, %v after %d was acknowledged", node, version, asked.Sub(c.ackedAt), c.ackedVersion)
	}
}

// AckedVersion returns the newest acknowledged version.
func (c *Checker) AckedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedVersion
}

// FinalVersion checks a version that was read at the end, after all faults; acked is the newest version that had
// been acknowledged when the read was sent. Version 0 means that no configuration was read.
func (c *Checker) FinalVersion(now time.Time, version, acked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < acked {
		c.addFinding(now, PromiseDurable, "at the end version %d is in force; %d was acknowledged", version, acked)
	}
}

// Drained records that control acknowledged that an endpoint ("endpoint X") or zone
// ("zone X") gets no more requests. Restored cancels it.
func (c *Checker) Drained(now time.Time, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drained[name]; !ok {
		c.drained[name] = now
	}
}

// Restored records that the endpoint or zone may get requests again.
func (c *Checker) Restored(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drained, name)
}

// CheckRecovery checks that at least a quarter of the requests sent after the faults were
// served.
func (c *Checker) CheckRecovery(now time.Time, sent, served int) {
	if served*4 < sent {
		c.addFinding(now, PromiseRecovered, "%d of %d requests were served after the faults; a quarter is required", served, sent)
	}
}

// Findings returns a copy of the findings so far.
func (c *Checker) Findings() []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Finding(nil), c.findings...)
}
