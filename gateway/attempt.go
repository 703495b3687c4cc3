package gateway

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// errReplaced is the cause with which an attempt is cancelled when another one has gone on.
var errReplaced = errors.New("another attempt has gone on")

// attempt is one try of a call at endpoints. It runs on a goroutine of its own and tells its call
// what comes from the endpoint. Of the call it reads only what does not change while attempts run.
type attempt struct {
	c *call
	// ctx ends when the call no longer wants the attempt, and sendCtx also when its endpoint has been
	// found to have ended.
	ctx     context.Context
	cancel  context.CancelCauseFunc
	sendCtx context.Context
	giveUp  context.CancelCauseFunc
	// request is the input for the choice of endpoints.
	request assign.Request
	// lastEvent is the last event that the caller has, and resumes is set if the answer to the
	// caller has begun.
	lastEvent string
	resumes   bool
	// sends and runs are those of the call when the attempt began, for the log.
	sends, runs int
	// placed is nil until endpoints have been chosen.
	placed *placement
	// sentAt is when the request was sent.
	sentAt time.Time
	timer  *silenceTimer
	// begun is set once an event or a complete answer has come from the endpoint, and ran once
	// the endpoint may have executed the request.
	begun, ran bool
	// counted is set once the attempt is part of its client account's usage.
	counted bool
	// complete is set once all of the answer has been read.
	complete bool
	// immediate is set if the attempt is to be refused instead of waiting for endpoints.
	immediate bool
	// booked are the endpoints that were booked for the attempt before it began; nil if it has to find
	// some. It waits for the release of the memory of earlier attempts.
	booked  *placement
	earlier []*attempt
	// released is closed once the release of the memory reservations has been tried.
	released chan struct{}
	// excluded are endpoints at fault other than the primary one.
	excluded []string
	// permitHolder identifies the permit of the attempt; empty if it needs none. interrupted is
	// set once the attempt ended without a complete answer, so that its permit is returned only
	// when the endpoint proves to be running.
	permitHolder string
	interrupted  bool
	// permitted is the content or part that the permit is for, and trialOf a convicted part of the
	// prompt for which control is asked for a trial.
	permitted, trialOf uint64
	// permitWait is how long to wait before a permit is requested again.
	permitWait time.Duration
	// usedMemory is set once an engine has said that a request uses the memory reservations, and loggedLost
	// once it was logged that none does. They belong to the renewal of the reservations.
	usedMemory, loggedLost bool
	// taken is sent to when the call has dealt with a message. It is buffered for it.
	taken chan struct{}
	// done is closed at the end.
	done chan struct{}

	// sent is set once the call has agreed that the request is sent, and toldSilent once its silence
	// was logged. spent is when the attempt was granted a retry, zero if it needed none. They
	// belong to the call.
	sent, toldSilent bool
	spent            time.Time
	// withdrawn is set if the call has not agreed that the request is sent.
	withdrawn bool
}

// message is what an attempt tells its call. Exactly one of sending, event, ended and err is set.
type message struct {
	from *attempt
	// sending is set when the request is about to be sent.
	sending bool
	// event is an event of a stream; more is set if the next one has been read, too.
	event *event
	more  bool
	// ended is set when the answer is complete; body is that of an answer that is no stream.
	ended bool
	body  []byte
	// head is the head of the answer that the event or the end belongs to.
	head *http.Response
	// err is why the attempt failed, and failure the endpoint's error answer if there is one.
	err     error
	failure *failureAnswer
}

// failureAnswer is an error answer of an endpoint.
type failureAnswer struct {
	head *http.Response
	body []byte
}

// newAttempt returns an attempt that goes on after what the caller has of the answer.
func (c *call) newAttempt(ctx context.Context) *attempt {
	a := &attempt{
		c: c, request: c.placementRequest, lastEvent: c.LastEvent, resumes: c.committed, sends: c.sends, runs: c.runs,
		taken: make(chan struct{}, 1), done: make(chan struct{}), released: make(chan struct{}),
	}
	a.request.Tried = slices.Clone(c.placementRequest.Tried)
	a.request.Kept = c.keptTokens()
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.sendCtx, a.giveUp = context.WithCancelCause(a.ctx)
	a.timer = newSilenceTimer(a)
	return a
}

// run places and sends the request and tells the call how that ended.
func (a *attempt) run() {
	defer close(a.done)
	defer a.cancel(nil)
	failure, err := a.tryRecovering()
	a.endPermit(err)
	if err != nil {
		a.tell(message{err: err, failure: failure})
	}
}

// tryRecovering is try, and turns a panic into the failure of the attempt.
func (a *attempt) tryRecovering() (failure *failureAnswer, err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		a.ran = a.ran || !a.sentAt.IsZero()
		a.log().Warn("attempt panicked", "panic", p, "stack", string(debug.Stack()))
		failure, err = nil, verdict.Uncertain(verdict.ReasonInternal, 0, "the attempt at endpoint %q failed in the entry", a.endpoint())
	}()
	return a.try()
}

// tell sends a message to the call and waits until the call has dealt with it. It returns false if
// the attempt has been cancelled.
func (a *attempt) tell(m message) bool {
	m.from = a
	if a.ctx.Err() != nil {
		return false
	}
	select {
	case a.c.messages <- m:
	case <-a.ctx.Done():
		return false
	}
	select {
	case <-a.taken:
		return true
	case <-a.ctx.Done():
		select {
		case <-a.taken: // before the end of the context
			return true
		default:
			return false
		}
	}
}

// endpoint returns the name of the primary endpoint, "" before the attempt is placed.
func (a *attempt) endpoint() string {
	if a.placed == nil {
		return ""
	}
	return a.placed.Primary.Name
}

// log returns a logger that adds the fields of the request and the attempt to each line.
func (a *attempt) log() logger { return a.c.logFor(a.endpoint(), a.sends, a.runs) }

// try places the request and sends it. It returns the endpoint's error answer, if there is one, with
// the refusal.
func (a *attempt) try() (failure *failureAnswer, err error) {
	if err := a.place(); err != nil {
		return nil, err
	}
	defer func() { a.placed.release(!a.begun) }()
	p, left, permission := a.placed, a.c.deadline.Sub(a.c.g.clock.Now()), a.c.g.client.Permission()
	a.log().Info("request placed", "addr", p.Primary.Addr, "zone", p.Primary.Zone, "helpers", len(p.Helpers), "helper_names", helperNames(p.Assignment), "considered", p.Candidates,
		"prompt_tokens", a.request.PromptTokens, "output_tokens", a.request.OutputTokens, "expected_tokens", a.c.ExpectedTokens, "predicted", p.PredictedPrefill, "left", left, "queued", a.c.g.clock.Now().Sub(a.c.started), "due_in", a.c.dueIn(),
		"placer", p.placer, "placer_revision", p.revision, "revision", permission.Revision, "version", a.c.version, "permission_left", permission.Left)
	return a.send()
}

// place waits for endpoints and, if the request is suspect, for its permit.
func (a *attempt) place() error {
	for {
		if err := a.checkQuarantine(); err != nil {
			a.releaseBooked()
			return err
		}
		p, err := a.findEndpoints()
		if err != nil {
			return err
		}
		permitted, err := a.mayRun(p.Assignment)
		if permitted {
			a.placed = p
			return nil
		}
		p.release(true)
		if err == nil {
			err = a.awaitPermit()
		}
		if err != nil {
			return err
		}
	}
}

// findEndpoints returns the endpoints that are booked for the attempt, or waits for some.
func (a *attempt) findEndpoints() (*placement, error) {
	p := a.booked
	if p == nil {
		return a.waitForEndpoints()
	}
	a.booked = nil
	for _, o := range a.earlier {
		select {
		case <-o.released:
		case <-a.ctx.Done():
			p.release(true)
			return nil, context.Cause(a.ctx)
		}
	}
	return p, nil
}

// waitForEndpoints waits for endpoints, as long as the request is not known to crash them.
func (a *attempt) waitForEndpoints() (*placement, error) {
	ctx, end := a.c.g.placing.begin(a)
	defer end()
	p, err := a.c.g.place(ctx, a)
	var convicted *verdict.Refusal
	if err != nil && errors.As(context.Cause(ctx), &convicted) {
		return nil, convicted
	}
	return p, err
}

// releaseBooked ends the booking that was made for the attempt, if it has not been used.
func (a *attempt) releaseBooked() {
	if a.booked != nil {
		a.booked.release(true)
	}
}

// send sends the request to the placed endpoints and tells the call what comes back.
func (a *attempt) send() (failure *failureAnswer, err error) {
	helpers, free, err := a.reserve()
	defer free()
	if err == nil {
		err = a.checkSend()
	}
	if err != nil {
		return nil, err
	}
	if !a.tell(message{sending: true}) {
		return nil, context.Cause(a.ctx)
	}
	if a.withdrawn {
		return nil, errStopping
	}
	a.sentAt = a.c.g.clock.Now()
	defer a.timer.stop()
	a.timer.reset(a.firstEventTimeout())
	res, err := a.c.g.http.RoundTrip(a.endpointRequest(helpers))
	if err != nil {
		return nil, a.handleTransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	return a.handleAnswer(res)
}

// endpointRequest returns the HTTP request for the primary endpoint.
func (a *attempt) endpointRequest(helpers []Helper) *http.Request {
	c := a.c
	header := c.r.Header.Clone()
	for _, name := range connectionHeaders(header) {
		header.Del(name)
	}
	header.Del("Authorization")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	c.g.dialect.WriteDispatch(header, &Dispatch{
		Instance: a.endpoint(), Account: c.account, Deadline: c.deadline.Sub(c.g.clock.Now()), Priority: c.enginePriority(),
		Helpers: helpers, LastEvent: a.lastEvent,
	})
	out := (&http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           targetURL(a.placed.Primary.Addr, c.r),
		ContentLength: int64(len(c.body)),
	}).WithContext(a.sendCtx)
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// targetURL returns the URL with which net/http sends the request target of r to addr unchanged. For an
// opaque part that begins with two slashes it would put the scheme before it.
func targetURL(addr string, r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: addr, Opaque: r.RequestURI}
	}
	return &url.URL{Scheme: "http", Host: addr, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// checkTarget refuses a request whose target net/http would change, which happens to characters that a
// path must not have, after two slashes at its beginning.
func (c *call) checkTarget() error {
	if targetURL("", c.r).RequestURI() != c.r.RequestURI {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "request target %q cannot be forwarded unchanged", c.r.RequestURI)
	}
	return nil
}

// handleTransportError returns the refusal for an attempt that got no answer.
func (a *attempt) handleTransportError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		a.distrust(a.endpoint(), "connection failed", err)
		return verdict.Refuse(verdict.ReasonUnreachable, defaultRetryAfter, "endpoint %s takes no connection", a.endpoint())
	}
	a.ran = true
	return a.handleBrokenAnswer(err)
}

// handleBrokenAnswer returns the refusal for an answer that did not arrive completely.
func (a *attempt) handleBrokenAnswer(err error) error {
	cause, name := context.Cause(a.sendCtx), a.endpoint()
	if errors.Is(err, errHeldBytes) {
		a.log().Warn("answer given up for lack of memory", "error", err)
		return verdict.Uncertain(verdict.ReasonTooLarge, defaultRetryAfter, "the answer of endpoint %s: %v", name, err)
	}
	// A broken connection may be the first sign that the endpoint has ended.
	a.recordInterruption(cause == nil)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		target := a.c.route.LatencyTarget
		if target > 0 && a.c.g.clock.Now().Sub(a.sentAt) > latencyTimeoutFactor*target && !a.begun {
			a.distrust(name, "silent until the deadline", err)
		}
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", name)
	case errors.Is(cause, errEndpointReplaced):
		err = cause
	case cause != nil:
		return cause
	}
	a.distrust(name, "answer broken off", err)
	return verdict.Uncertain(verdict.ReasonEndpointLost, defaultRetryAfter, "endpoint %s: %v", name, err)
}

// distrust excludes a failed endpoint from placements for a while. The argument failure
// describes the failure in the log.
func (a *attempt) distrust(name, failure string, err error) {
	g := a.c.g
	g.mu.Lock()
	duration := g.fleet.MarkFailed(g.clock.Now(), name)
	g.mu.Unlock()
	g.metrics.distrusts.Inc()
	a.log().Warn("endpoint distrusted", "suspect", name, "what", failure, "content", a.c.contentField(), "for", duration, "error", err)
}

// handleAnswer classifies the head of the answer and tells the call what follows.
func (a *attempt) handleAnswer(res *http.Response) (failure *failureAnswer, err error) {
	outcome, at := a.c.g.dialect.ClassifyAnswer(res, a.c.ID)
	if outcome == Answered || outcome == NotRun {
		a.observeHead(res)
	}
	switch outcome {
	case NotRun, Misdirected:
		return nil, a.handleNotRun(outcome, at, res.StatusCode)
	case Mismatched:
		a.ran = true
		return nil, a.handleBrokenAnswer(errors.Errorf("an answer with status %d that is none to this request", res.StatusCode))
	}
	a.ran = true
	if res.StatusCode < http.StatusMultipleChoices && a.c.route.Stream {
		return nil, a.readStream(res)
	}
	if !a.c.route.Stream { // a stream begins to run with its first event, another request as it arrives
		a.countRun(a.c.g.clock.Now().Sub(a.sentAt))
	}
	return a.readComplete(res)
}

// handleNotRun records an endpoint's statement that it has not executed the request,
// and returns the refusal. The argument at is the address of the endpoint at fault, if
// the answer names one.
func (a *attempt) handleNotRun(outcome Outcome, at string, status int) error {
	g, primary := a.c.g, a.endpoint()
	name := primary
	g.mu.Lock()
	if at != "" {
		if other, ok := g.fleet.AtAddr(at); ok {
			name = other.Name
		}
	}
	if outcome == NotRun && name == primary {
		g.fleet.MarkBusy(g.clock.Now(), name)
	}
	g.mu.Unlock()
	if name != primary {
		a.recordHelperInterruption(name)
	}
	if outcome == Misdirected || name != primary {
		a.distrust(name, "refused the request", errors.Errorf("status %d", status))
		a.excluded = append(a.excluded, name)
	}
	return verdict.Refuse(verdict.ReasonEndpointBusy, defaultRetryAfter, "endpoint %s turned the request away with status %d", name, status)
}

// readComplete reads a complete answer.
func (a *attempt) readComplete(res *http.Response) (failure *failureAnswer, err error) {
	held := a.c.holdAnswer(maxAnswerBytes)
	defer held.reset()
	progress := &progressReader{r: res.Body, progressed: func() { a.timer.reset(a.firstEventTimeout()) }}
	body, err := io.ReadAll(&heldReader{progress, held})
	if err != nil {
		return nil, a.handleBrokenAnswer(err)
	}
	a.timer.stop()
	name := a.endpoint()
	switch {
	case a.resumes:
		return nil, verdict.Uncertain(verdict.ReasonStreamBroken, 0, "endpoint %s did not resume the stream: status %d", name, res.StatusCode)
	case impliesNotRun(res.StatusCode):
		return nil, verdict.Uncertain(verdict.ReasonEngineError, 0, "endpoint %s answered %d without saying that it has not run the request", name, res.StatusCode)
	case res.StatusCode >= http.StatusInternalServerError && a.c.route.Kind == Repeatable:
		return &failureAnswer{head: res, body: body}, verdict.Uncertain(verdict.ReasonEngineError, defaultRetryAfter, "endpoint %s answered %d", name, res.StatusCode)
	}
	a.begun = true
	a.markAlive()
	a.recordPrefix()
	if !a.tell(message{ended: true, head: res, body: body}) {
		return nil, context.Cause(a.ctx)
	}
	return nil, nil
}

// readStream reads a stream event by event.
func (a *attempt) readStream(res *http.Response) error {
	held := a.c.holdAnswer(maxEventBytes)
	defer held.reset()
	events := newEventReader(res.Body, held)
	var firstEvent time.Time
	pastBeginning := false
	for {
		ev, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && a.resumes && !a.begun && !mayBeEndOfStream(res):
			return a.handleBrokenAnswer(errors.New("an answer without an event does not show the end of the stream"))
		case errors.Is(err, io.EOF):
			a.complete = true
			a.timer.stop()
			if !a.tell(message{ended: true, head: res}) {
				return context.Cause(a.ctx)
			}
			return nil
		case err != nil:
			return a.handleBrokenAnswer(err)
		case ev.hasData:
			a.begun = true
			a.countRun(0)
			a.timer.hold() // a slow caller is no silence of the endpoint
			a.markAlive()
			if now := a.c.g.clock.Now(); firstEvent.IsZero() {
				firstEvent = now
				a.recordPrefix()
			} else if !pastBeginning && now.Sub(firstEvent) > beginningTime {
				pastBeginning = true
				a.c.recordPartCompletions()
			}
		}
		if !a.tell(message{event: &ev, more: events.hasBuffered(), head: res}) {
			return a.handleBrokenAnswer(context.Cause(a.ctx))
		}
		if ev.hasData {
			a.timer.reset(a.eventGapTimeout())
		}
	}
}

// mayBeEndOfStream reports whether an answer without an event may say that the stream had ended before it was
// resumed: it is a stream of events, and has another end than that of its connection.
func mayBeEndOfStream(res *http.Response) bool {
	raw := res.Header.Get("Content-Type")
	kind, _, err := mime.ParseMediaType(raw)
	events := raw == "" || err == nil && kind == "text/event-stream"
	return events && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
}

// impliesNotRun reports whether callers take the status as a statement that the request
// was not executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
