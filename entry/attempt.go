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
	// grantTimeout bounds the wait for a sidecar's decision on a dispatch, which does
	// not depend on the engine.
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
	e.observeHealth(c, t.endpoint.Name, err)
	return err
}

// exchange is the stream of messages with a sidecar for one attempt.
type exchange struct {
	entry    *Entry
	call     *call
	ticket   *ticket
	answer   *answer
	stream   wire.Stream
	dispatch *wire.Dispatch
	// sentAt is when the dispatch was sent.
	sentAt    time.Time
	assembler *stream.Assembler
	// load is the load in the sidecar's refusal or end message, or nil.
	load *wire.Load
}

// newExchange returns an exchange for an attempt at the ticket's endpoint. The caller must
// call close.
func (e *Entry) newExchange(c *call, t *ticket, a *answer) *exchange {
	c.lastEndpoint = t.endpoint.Name
	return &exchange{entry: e, call: c, ticket: t, answer: a}
}

// close aborts the stream unless the answer is complete, and releases the ticket.
func (x *exchange) close() {
	if x.stream != nil && (x.assembler == nil || !x.assembler.Complete()) {
		x.stream.Abort()
	}
	x.entry.dispatcher.releaseTicket(x.ticket, x.load)
}

// openStream opens the stream to the sidecar. Its error is a refusal with the verdict
// NotRun, because nothing has been sent.
func (x *exchange) openStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	s, err := x.entry.pool.Open(ctx, x.ticket.endpoint.Addr)
	if err != nil {
		return verdict.Refuse(verdict.ReasonUnreachable, lossRetryAfter, "endpoint %s is not reachable", x.ticket.endpoint.Name)
	}
	if s.Peer().Role != wire.RoleSidecar {
		s.Abort()
		return verdict.Refuse(verdict.ReasonUnreachable, lossRetryAfter, "endpoint %s has no sidecar", x.ticket.endpoint.Name)
	}
	x.stream = s
	return nil
}

// execute sends the attempt over the open stream and relays the answer to the caller. claim
// is nil unless the call runs at most once.
func (x *exchange) execute(ctx context.Context, claim *wire.Claim) error {
	x.sentAt = x.entry.clock.Now()
	x.dispatch = x.entry.dispatchOf(x.call, x.ticket, x.sentAt)
	x.dispatch.Claim = claim
	x.assembler = stream.NewAssembler(x.dispatch.Attempt, 0)
	x.logRouting()
	stop := context.AfterFunc(ctx, x.stream.Abort)
	defer stop()
	err := x.sendAndReceive()
	if err != nil && ctx.Err() != nil {
		return x.contextRefusal(ctx)
	}
	return err
}

// logRouting logs the routing decision of the attempt.
func (x *exchange) logRouting() {
	choice := &x.ticket.choice
	x.entry.log.Info("attempt routed", x.call.logFields("attempt", x.dispatch.Attempt.Number, "endpoint", x.ticket.endpoint.Name,
		"zone", x.ticket.endpoint.Zone, "class", x.call.routing.Class.String(), "prompt_tokens", x.call.routing.PromptTokens,
		"considered", choice.Considered, "reason", choice.Reason, "predicted", choice.Predicted,
		"waited", x.ticket.waited)...)
}

// contextRefusal returns the refusal for an attempt that was cut short by the request's
// deadline or by the caller closing the connection.
func (x *exchange) contextRefusal(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed at endpoint %s", x.ticket.endpoint.Name)
	}
	return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// sendAndReceive sends the dispatch and the body, waits for the grant and relays the answer.
func (x *exchange) sendAndReceive() error {
	_ = x.stream.SetDeadline(x.sentAt.Add(grantTimeout))
	if err := x.stream.Send(x.dispatch); err != nil {
		return x.noDecision()
	}
	eager := len(x.call.body) <= maxEagerBodyBytes
	if eager {
		// An error is ignored: a sidecar that refuses the attempt stops reading the body, and
		// awaitGrant returns its refusal.
		_ = x.sendBody()
	}
	granted, err := x.awaitGrant()
	if err != nil {
		return err
	}
	x.entry.dispatcher.recordGrant(x.ticket, granted.Load)
	x.entry.control.ReceivePermission(x.stream.Peer().Name, granted.Permission)
	_ = x.stream.SetDeadline(x.call.deadline.Add(refusalReadGrace))
	if !eager {
		// The body is sent while the answer is read, because an endpoint may answer before it
		// has read the whole body.
		go func() { _ = x.sendBody() }()
	}
	return x.relayAnswer()
}

// sendBody sends the request's body in chunks of at most wire.BodyChunkBytes.
func (x *exchange) sendBody() error {
	body := x.call.body
	for len(body) > wire.BodyChunkBytes {
		if err := x.stream.Send(&wire.Body{Data: body[:wire.BodyChunkBytes]}); err != nil {
			return err
		}
		body = body[wire.BodyChunkBytes:]
	}
	return x.stream.Send(&wire.Body{Data: body, Last: true})
}

// endpointLost returns the refusal for an attempt whose stream ended without a final
// message from the sidecar.
func (x *exchange) endpointLost() error {
	return verdict.Uncertain(verdict.ReasonEndpointLost, lossRetryAfter, "endpoint %s broke off", x.ticket.endpoint.Name)
}

// noDecision drops the connection of a sidecar that sent neither a grant nor a refusal,
// because its process may be gone, and returns the refusal of the attempt.
func (x *exchange) noDecision() error {
	x.entry.pool.Drop(x.ticket.endpoint.Addr)
	return x.endpointLost()
}

// awaitGrant returns the sidecar's grant, or its refusal as an error.
func (x *exchange) awaitGrant() (*wire.Grant, error) {
	m, err := x.stream.Recv()
	if err != nil {
		return nil, x.noDecision()
	}
	switch m := m.(type) {
	case *wire.Grant:
		if m.Attempt == x.dispatch.Attempt {
			return m, nil
		}
	case *wire.Refused:
		return nil, x.receiveRefusal(m)
	}
	return nil, x.unexpectedMessage(m)
}

// receiveRefusal returns the sidecar's refusal as an error, and takes over the load and the
// permission sent with it.
func (x *exchange) receiveRefusal(m *wire.Refused) error {
	if m.Attempt != x.dispatch.Attempt {
		return x.unexpectedMessage(m)
	}
	x.load = &m.Load
	x.entry.control.ReceivePermission(x.stream.Peer().Name, m.Permission)
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
		m, err := x.stream.Recv()
		if err != nil {
			return x.endpointLost()
		}
		switch m := m.(type) {
		case *wire.Head:
			err = x.receiveHead(m)
		case *wire.Chunk:
			err = x.receiveChunk(m)
		case *wire.End:
			return x.receiveEnd(m)
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

// receiveHead takes the status and headers of the answer. They must come once and first.
func (x *exchange) receiveHead(m *wire.Head) error {
	if m.Attempt != x.dispatch.Attempt || x.answer.head != nil {
		return x.unexpectedMessage(m)
	}
	x.answer.setHead(m)
	return nil
}

// receiveChunk passes the next bytes of the answer to the caller.
func (x *exchange) receiveChunk(m *wire.Chunk) error {
	if x.answer.head == nil {
		return x.unexpectedMessage(m)
	}
	first := x.assembler.Offset() == 0
	data, err := x.assembler.AcceptChunk(m)
	if err != nil || len(data) == 0 {
		return err
	}
	if first {
		x.entry.dispatcher.recordPrefix(x.call, &x.ticket.endpoint)
	}
	return x.answer.write(data)
}

// receiveEnd checks the end of the answer, records what the sidecar reported and finishes the
// answer.
func (x *exchange) receiveEnd(m *wire.End) error {
	if x.answer.head == nil {
		return x.unexpectedMessage(m)
	}
	if err := x.assembler.AcceptEnd(m); err != nil {
		return err
	}
	x.load = &m.Load
	x.call.usage = usage{prompt: m.PromptTokens, output: m.OutputTokens}
	x.entry.dispatcher.recordCompletion(x.call)
	return x.answer.finish()
}
