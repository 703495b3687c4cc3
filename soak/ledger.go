// Package soak keeps a deployment of real processes under random faults and checks what
// its callers and endpoints see. This package is about no particular deployment: it
// holds the ledger with the checks, the proxies and processes that faults are injected
// into, the seeded plan of faults, and the report.
package soak

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// The promises that are checked.
const (
	PromiseAtMostOnce      = "runs at most once"
	PromiseNotRun    = "a refusal that says not run is true"
	PromiseAnswer    = "whole answers, of the right request"
	PromiseOrder     = "events in order, without gaps"
	PromiseUnaltered     = "endpoints get what callers sent"
	PromiseRoute     = "requests run only where a configuration sends them"
	PromiseNoRollback    = "an acknowledged configuration is not followed by an older one"
	PromiseRevoked   = "a key that was taken away stops in time"
	PromiseDrained   = "a drained endpoint or zone gets nothing new"
	PromiseCold      = "a cold endpoint gets no more than it bears"
	PromiseMemory    = "memory that was set aside is given back, and serves one request"
	PromiseDurable      = "nothing acknowledged is lost"
	PromiseRecovered = "service comes back after the faults"
	PromiseGracefulStop      = "a planned stop cuts no request"
)

// Promises lists them all, in the order of the report.
var Promises = []string{
	PromiseAtMostOnce, PromiseNotRun, PromiseAnswer, PromiseOrder, PromiseUnaltered, PromiseRoute, PromiseNoRollback, PromiseRevoked,
	PromiseDrained, PromiseCold, PromiseMemory, PromiseDurable, PromiseRecovered, PromiseGracefulStop,
}

// Bounds are the times that the deployment promises.
type Bounds struct {
	// Revoke is the time in which a key that was taken away stops working.
	Revoke time.Duration
	// Drain is the time in which an endpoint or zone that leaves is left alone.
	Drain time.Duration
	// Release is the time in which memory is given back after its last use.
	Release time.Duration
	// Apply is the time in which an acknowledged configuration is in force.
	Apply time.Duration
	// Reconnect is how long a process must have been undisturbed for bounds to hold.
	Reconnect time.Duration
}

// Request is what a caller sent.
type Request struct {
	ID      string
	Path    string
	Body    []byte
	Account string
	Key     string
	// AtMostOnce is set for a request that runs at most once.
	AtMostOnce bool
	// Services are those that a configuration ever sent it to.
	Services map[string]bool
	// Entry names the process that it was sent to.
	Entry string
}

// Arrival is a request as an endpoint got it.
type Arrival struct {
	ID       string
	Path     string
	Body     []byte
	Account  string
	Service  string
	Endpoint string
	Zone     string
	// KeyPassed is set when the caller's key came along.
	KeyPassed bool
}

// Finding is a promise that was broken.
type Finding struct {
	Promise string        `json:"promise"`
	At      time.Duration `json:"at_ns"`
	Detail  string        `json:"detail"`
}

// tracked is a request and what became of it.
type tracked struct {
	Request
	sent time.Time
	runs int
	// answers are the bodies that endpoints sent for it, by seal.
	answers map[string][]byte
	// refused is set once the caller was told that it has not run.
	refused bool
}

// Checker holds what callers and endpoints saw, and finds broken promises.
type Checker struct {
	bounds Bounds
	start  time.Time

	mu       sync.Mutex
	requests map[string]*tracked
	// disturbed is until when no bound in time holds.
	disturbed time.Time
	revoked   map[string]time.Time
	left      map[string]time.Time
	newest    uint64
	acked     time.Time
	findings  []Finding
	// Counts of the report.
	sent, served, refusals, broken, runs int
}

// NewChecker returns an empty ledger.
func NewChecker(now time.Time, b Bounds) *Checker {
	return &Checker{
		bounds: b, start: now, requests: map[string]*tracked{}, revoked: map[string]time.Time{}, left: map[string]time.Time{},
	}
}

// AddFinding notes a broken promise.
func (l *Checker) AddFinding(now time.Time, promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(now, promise, format, args...)
}

func (l *Checker) find(now time.Time, promise, format string, args ...any) {
	l.findings = append(l.findings, Finding{Promise: promise, At: now.Sub(l.start), Detail: fmt.Sprintf(format, args...)})
}

// SuspendBounds says that a fault is in force until then: bounds in time do not hold until
// the processes have been in contact again for a while.
func (l *Checker) SuspendBounds(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := until.Add(l.bounds.Reconnect); end.After(l.disturbed) {
		l.disturbed = end
	}
}

// BoundsApply reports whether bounds in time hold.
func (l *Checker) BoundsApply(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.disturbed)
}

// Sent notes a caller's request before it is sent.
func (l *Checker) Sent(now time.Time, r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.requests[r.ID] = &tracked{Request: r, sent: now, answers: map[string][]byte{}}
}

// Ran notes that an endpoint begins to run a request.
func (l *Checker) Ran(now time.Time, a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	r := l.requests[a.ID]
	switch {
	case r == nil:
		l.find(now, PromiseUnaltered, "endpoint %s ran %q, which no caller sent", a.Endpoint, a.ID)
		return
	case a.Path != r.Path || !bytes.Equal(a.Body, r.Body) || a.Account != r.Account || a.KeyPassed:
		l.find(now, PromiseUnaltered, "request %s reached endpoint %s with path %q, account %q, %d bytes of body, key passed %v; sent were %q, %q, %d bytes",
			a.ID, a.Endpoint, a.Path, a.Account, len(a.Body), a.KeyPassed, r.Path, r.Account, len(r.Body))
	}
	r.runs++
	if r.AtMostOnce && r.runs > 1 {
		l.find(now, PromiseAtMostOnce, "request %s ran %d times, the last at endpoint %s", a.ID, r.runs, a.Endpoint)
	}
	if r.AtMostOnce && r.refused {
		l.find(now, PromiseNotRun, "request %s was refused as not run and ran later at endpoint %s", a.ID, a.Endpoint)
	}
	if !r.Services[a.Service] {
		l.find(now, PromiseRoute, "request %s to %q ran at service %s", a.ID, r.Path, a.Service)
	}
	if at, ok := l.revoked[r.Key]; ok && r.sent.Sub(at) > l.bounds.Revoke {
		l.find(now, PromiseRevoked, "request %s ran with a key that was taken away %v before", a.ID, r.sent.Sub(at))
	}
	for _, name := range []string{"endpoint " + a.Endpoint, "zone " + a.Zone} {
		if at, ok := l.left[name]; ok && now.Sub(at) > l.bounds.Drain && now.After(l.disturbed) {
			l.find(now, PromiseDrained, "request %s reached %s %v after it had left", a.ID, name, now.Sub(at))
		}
	}
}

// AnswerSent notes the whole body that an endpoint answers a request with under a seal.
func (l *Checker) AnswerSent(id, seal string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.answers[seal] = body
	}
}

// Served notes a success that came whole to the caller of id. Seal and echo are what the
// answer bears.
func (l *Checker) Served(now time.Time, id, echo, seal string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	r := l.requests[id]
	want, ok := r.answers[seal]
	switch {
	case echo != id:
		l.find(now, PromiseAnswer, "request %s got the answer to %q", id, echo)
	case !ok:
		l.find(now, PromiseAnswer, "request %s got seal %q, which no endpoint gave it", id, seal)
	case !bytes.Equal(want, body):
		l.find(now, PromiseAnswer, "request %s got %d bytes under seal %s; the endpoint sent %d", id, len(body), seal, len(want))
	}
	delete(r.answers, seal)
}

// Streamed notes a stream that ended as complete with these numbers of events, of last.
func (l *Checker) Streamed(now time.Time, id, echo string, events []int, last int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	if echo != id {
		l.find(now, PromiseAnswer, "request %s got the stream of %q", id, echo)
	}
	for i := range max(len(events), last) {
		if i >= len(events) || events[i] != i+1 || i >= last {
			l.find(now, PromiseOrder, "stream %s ended as complete with events %v; %d are due", id, events, last)
			return
		}
	}
}

// Refused notes an answer that promises that the request has not run.
func (l *Checker) Refused(now time.Time, id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals++
	r := l.requests[id]
	r.refused = true
	if r.AtMostOnce && r.runs > 0 {
		l.find(now, PromiseNotRun, "request %s was answered %d and has run", id, status)
	}
}

// BrokenOff notes a request without an answer, or with one that promises nothing.
func (l *Checker) BrokenOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
}

// ConnectionClosed notes a request that was written whole and whose connection ended without an
// answer, in a planned stop of its entry with no other fault around.
func (l *Checker) ConnectionClosed(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r.runs > 0 && r.sent.After(l.disturbed) && now.After(l.disturbed) {
		l.find(now, PromiseGracefulStop, "request %s ran and entry %s closed its connection without an answer", id, r.Entry)
	}
}

// Acked notes that a configuration was acknowledged, with the keys that it takes away.
func (l *Checker) Acked(now time.Time, version uint64, revoked []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.newest {
		l.newest, l.acked = version, now
	}
	for _, key := range revoked {
		if _, ok := l.revoked[key]; !ok {
			l.revoked[key] = now
		}
	}
}

// ReadBack notes a configuration that was read back, asked for at asked.
func (l *Checker) ReadBack(now, asked time.Time, node string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.newest && asked.Sub(l.acked) > l.bounds.Apply {
		l.find(now, PromiseNoRollback, "%s answered version %d, %v after %d was acknowledged", node, version, asked.Sub(l.acked), l.newest)
	}
}

// FinalVersion notes the configuration at the end, when all faults are over; zero is none.
func (l *Checker) FinalVersion(now time.Time, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.newest {
		l.find(now, PromiseDurable, "at the end version %d is in force; %d was acknowledged", version, l.newest)
	}
}

// Drained notes that an endpoint ("endpoint X") or zone ("zone X") takes nothing more, as
// was acknowledged; Returned takes that back.
func (l *Checker) Drained(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.left[name]; !ok {
		l.left[name] = now
	}
}

// Restored notes that it takes requests again.
func (l *Checker) Restored(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.left, name)
}

// CheckRecovery judges the requests that were sent once the faults were over.
func (l *Checker) CheckRecovery(now time.Time, sent, served int) {
	if served*4 < sent {
		l.find(now, PromiseRecovered, "%d of %d requests were served after the faults; a quarter is the least", served, sent)
	}
}

// Findings returns the broken promises so far.
func (l *Checker) Findings() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Finding(nil), l.findings...)
}
