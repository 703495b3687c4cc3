package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// answerWindowBytes is the number of bytes that a sidecar may send before the caller
	// has read them.
	answerWindowBytes = 32 << 10
	// connectTimeout bounds the time to open a stream to a sidecar.
	connectTimeout = time.Second
	// grantTimeout is the wait for a sidecar's decision on a dispatch, which does not depend on
	// the engine, after which the call moves on to another endpoint if it may be retried.
	grantTimeout = time.Second
	// maxEagerBodyBytes is the longest body that is sent before the sidecar grants the
	// attempt.
	maxEagerBodyBytes = 16 << 10
	// refusalReadGrace is the time after the request's deadline during which a refusal is
	// still read from the sidecar.
	refusalReadGrace = 500 * time.Millisecond
	// lossRetryAfter is the retry delay for a request that failed because its endpoint was
	// lost or unreachable.
	lossRetryAfter = time.Second
)

// runAttempt runs one attempt at the ticket's endpoint and releases the ticket. It returns
// nil once the complete answer has been written to the caller.
func (e *Entry) runAttempt(ctx context.Context, c *call, t *ticket, a *answer) error {
	x := e.newExchange(c, t, a)
	defer x.close()
	if err := x.openStream(ctx); err != nil {
		return err
	}
	err := x.execute(ctx, nil)
	e.observe(c, t.endpoint.Name, err)
	return err
}

// exchange is the stream of messages with a sidecar for one attempt at the call c. t is the
// attempt's ticket, and a relays the answer to the caller.
type exchange struct {
	e *Entry
	c *call
	t *ticket
	a *answer
	// sidecarStream is nil until openStream has succeeded.
	sidecarStream wire.Stream
	dispatch      *wire.Dispatch
	// sentAt is when the dispatch was sent.
	sentAt    time.Time
	assembler *stream.Assembler
	// load is the load in the sidecar's refusal or end message, or nil.
	load *wire.Load
}

// newExchange returns an exchange for an attempt at the ticket's endpoint. The caller must
// call close.
func (e *Entry) newExchange(c *call, t *ticket, a *answer) *exchange {
	c.endpoint, c.granted, c.retryGranted = t.endpoint.Name, false, false
	return &exchange{e: e, c: c, t: t, a: a}
}

// close ends the stream and releases the ticket.
func (x *exchange) close() {
	if x.sidecarStream != nil {
		x.sidecarStream.Abort()
	}
	x.e.dispatcher.releaseTicket(x.t, x.load)
}

// openStream opens the stream to the sidecar. Its error is a refusal with the verdict
// NotRun, because nothing has been sent.
func (x *exchange) openStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	sidecarStream, err := x.e.pool.Open(ctx, x.t.endpoint.Addr)
	if err != nil {
		return verdict.Refuse(verdict.ReasonUnreachable, lossRetryAfter, "endpoint %s is not reachable", x.t.endpoint.Name)
	}
	if sidecarStream.Peer().Role != wire.RoleSidecar {
		sidecarStream.Abort()
		return verdict.Refuse(verdict.ReasonUnreachable, lossRetryAfter, "endpoint %s has no sidecar", x.t.endpoint.Name)
	}
	x.sidecarStream = sidecarStream
	return nil
}

// execute sends the attempt over the open stream and relays the answer to the caller. claim
// is nil unless the call runs at most once.
func (x *exchange) execute(ctx context.Context, claim *wire.Claim) error {
	x.sentAt = x.e.clock.Now()
	x.dispatch = x.e.newDispatch(x.c, x.t, x.sentAt)
	x.dispatch.Claim = claim
	x.assembler = stream.NewAssembler(x.dispatch.Attempt, 0)
	x.log()
	stop := context.AfterFunc(ctx, x.sidecarStream.Abort)
	defer stop()
	err := x.sendAndReceive()
	if err != nil && ctx.Err() != nil {
		return x.contextRefusal(ctx)
	}
	return err
}

// log logs the routing decision of the attempt.
func (x *exchange) log() {
	choice := &x.t.choice
	x.e.log.Info("attempt routed", x.c.logFields("attempt", x.dispatch.Attempt.Number, "endpoint", x.t.endpoint.Name,
		"zone", x.t.endpoint.Zone, "class", x.c.routing.Class.String(), "prompt_tokens", x.c.routing.PromptTokens,
		"considered", choice.Considered, "reason", choice.Reason, "predicted", choice.Predicted,
		"waited", x.t.waited)...)
}

// contextRefusal returns the refusal for an attempt that was cut short by the request's
// deadline or by the caller closing the connection.
func (x *exchange) contextRefusal(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed at endpoint %s", x.t.endpoint.Name)
	}
	return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// sendAndReceive sends the dispatch and the body, waits for the grant and relays the answer.
func (x *exchange) sendAndReceive() error {
	_ = x.sidecarStream.SetDeadline(x.c.deadline.Add(refusalReadGrace))
	if err := x.sendDispatch(); err != nil {
		x.e.pool.Replace(x.t.endpoint.Addr)
		return x.endpointLost()
	}
	eager := len(x.c.body) <= maxEagerBodyBytes
	if eager {
		// An error is ignored: a sidecar that refuses the attempt stops reading the body, and
		// awaitGrant returns its refusal.
		go func() { _ = x.sendBody() }()
	}
	granted, err := x.awaitGrant()
	if err != nil {
		return err
	}
	x.c.granted = true
	x.e.dispatcher.granted(x.t, granted.Load)
	x.e.control.ReceivePermission(x.sidecarStream.Peer().Name, granted.Permission)
	if !eager {
		// The body is sent while the answer is read, because an endpoint may answer before it
		// has read the complete body.
		go func() { _ = x.sendBody() }()
	}
	return x.relayAnswer()
}

// sendDispatch sends the dispatch within grantTimeout.
func (x *exchange) sendDispatch() error {
	_ = x.sidecarStream.SetSendDeadline(x.sentAt.Add(grantTimeout))
	if err := x.sidecarStream.Send(x.dispatch); err != nil {
		return err
	}
	return x.sidecarStream.SetSendDeadline(x.c.deadline.Add(refusalReadGrace))
}

// sendBody sends the request's body in chunks of at most wire.BodyChunkBytes.
func (x *exchange) sendBody() error {
	body := x.c.body
	for len(body) > wire.BodyChunkBytes {
		if err := x.sidecarStream.Send(&wire.Body{Data: body[:wire.BodyChunkBytes]}); err != nil {
			return err
		}
		body = body[wire.BodyChunkBytes:]
	}
	return x.sidecarStream.Send(&wire.Body{Data: body, Last: true})
}

// endpointLost returns the refusal for an attempt whose stream ended without a final
// message from the sidecar.
func (x *exchange) endpointLost() error {
	return verdict.Uncertain(verdict.ReasonEndpointLost, lossRetryAfter, "endpoint %s broke off", x.t.endpoint.Name)
}

// received is a message of the sidecar, or the error with which the stream ended.
type received struct {
	message wire.Message
	err     error
}

// awaitGrant returns the sidecar's grant, or its refusal as an error. After grantTimeout it gives the
// attempt up, but only if the call has been granted a retry: a sidecar that is silent for a while may
// go on.
func (x *exchange) awaitGrant() (*wire.Grant, error) {
	decision := make(chan received, 1)
	go func() {
		m, err := x.sidecarStream.Recv()
		decision <- received{m, err}
	}()
	select {
	case r := <-decision:
		return x.receiveGrant(r)
	case <-x.e.clock.After(grantTimeout):
	}
	if x.dispatch.Claim == nil && x.e.grantRetry(x.c) {
		x.e.log.Info("attempt given up", x.c.logFields("endpoint", x.t.endpoint.Name, "reason", "the sidecar has not decided", "after", grantTimeout)...)
		x.e.pool.Replace(x.t.endpoint.Addr)
		return nil, x.endpointLost()
	}
	return x.receiveGrant(<-decision)
}

// receiveGrant returns the grant that was received, or a refusal as an error.
func (x *exchange) receiveGrant(r received) (*wire.Grant, error) {
	if r.err != nil {
		return nil, x.endpointLost()
	}
	switch m := r.message.(type) {
	case *wire.Grant:
		if m.Attempt == x.dispatch.Attempt {
			return m, nil
		}
	case *wire.Refused:
		return nil, x.receiveRefusal(m)
	}
	return nil, x.unexpectedMessage(r.message)
}

// receiveRefusal returns the sidecar's refusal as an error. It keeps the load sent with the
// refusal for releaseTicket, and adopts the permission.
func (x *exchange) receiveRefusal(m *wire.Refused) error {
	if m.Attempt != x.dispatch.Attempt {
		return x.unexpectedMessage(m)
	}
	x.load = &m.Load
	x.e.control.ReceivePermission(x.sidecarStream.Peer().Name, m.Permission)
	return m.Refusal()
}

// unexpectedMessage returns the refusal for a message that breaks the protocol.
func (x *exchange) unexpectedMessage(m wire.Message) error {
	return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "message %T out of order", m)
}

// relayAnswer reads the messages of the answer and passes them to the caller until the end
// message has been checked.
func (x *exchange) relayAnswer() error {
	for {
		m, err := x.sidecarStream.Recv()
		if err != nil {
			return x.endpointLost()
		}
		switch m := m.(type) {
		case *wire.Head:
			err = x.acceptHead(m)
		case *wire.Chunk:
			err = x.receiveChunk(m)
		case *wire.End:
			return x.finish(m)
		case *wire.Refused:
			return x.receiveRefusal(m)
		default:
			return x.unexpectedMessage(m)
		}
		if err != nil {
			return err
		}
	}
}

// acceptHead takes the status and headers of the answer. They must come once and first.
func (x *exchange) acceptHead(m *wire.Head) error {
	if m.Attempt != x.dispatch.Attempt || x.a.head != nil {
		return x.unexpectedMessage(m)
	}
	x.a.acceptHead(m)
	return nil
}

// receiveChunk passes the next bytes of the answer to the caller.
func (x *exchange) receiveChunk(m *wire.Chunk) error {
	if x.a.head == nil {
		return x.unexpectedMessage(m)
	}
	first := x.assembler.Offset() == 0
	data, err := x.assembler.Chunk(m)
	if err != nil || len(data) == 0 {
		return err
	}
	if first {
		x.e.dispatcher.recordPrefix(x.c, &x.t.endpoint)
	}
	return x.a.write(data)
}

// finish checks the end of the answer, records what the sidecar reported and finishes the
// answer.
func (x *exchange) finish(m *wire.End) error {
	if x.a.head == nil {
		return x.unexpectedMessage(m)
	}
	if err := x.assembler.End(m); err != nil {
		return err
	}
	x.load = &m.Load
	x.c.usage = usage{prompt: m.PromptTokens, output: m.OutputTokens}
	x.e.dispatcher.recordCompletion(x.c)
	return x.a.finish()
}
