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
	// answerWindowBytes is what a sidecar may send ahead of a caller's reading.
	answerWindowBytes = 32 << 10
	// connectTimeout bounds the opening of a stream to a sidecar.
	connectTimeout = time.Second
	// grantTimeout bounds the wait for a sidecar's decision, which needs no engine.
	grantTimeout = time.Second
	// maxEagerBodyBytes is the longest body that is sent before the grant.
	maxEagerBodyBytes = 16 << 10
	// refusalReadGrace is how long after the deadline a refusal is still read.
	refusalReadGrace = 500 * time.Millisecond
	// lossRetryAfter is when a request that lost its endpoint is worth another try.
	lossRetryAfter = time.Second
)

// runAttempt carries out one try at the ticket's endpoint. It returns nil once the
// caller has the whole answer.
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

// exchange is the conversation with a sidecar about one attempt.
type exchange struct {
	entry    *Entry
	call     *call
	ticket   *ticket
	answer   *answer
	stream   wire.Stream
	dispatch *wire.Dispatch
	// sentAt is when the dispatch left.
	sentAt    time.Time
	assembler *stream.Assembler
	// load is the newest load that the sidecar sent.
	load *wire.Load
}

func (e *Entry) newExchange(c *call, t *ticket, a *answer) *exchange {
	c.lastEndpoint = t.endpoint.Name
	return &exchange{entry: e, call: c, ticket: t, answer: a}
}

func (x *exchange) close() {
	if x.stream != nil && (x.assembler == nil || !x.assembler.Complete()) {
		x.stream.Abort()
	}
	x.entry.dispatcher.releaseTicket(x.ticket, x.load)
}

// openStream opens the stream. A stream that never opened proves that nothing has run.
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

// execute sends the attempt over the open stream and passes its answer on.
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

// logRouting writes the line of the routing decision.
func (x *exchange) logRouting() {
	choice := &x.ticket.choice
	x.entry.log.Info("attempt routed", x.call.logFields("attempt", x.dispatch.Attempt.Number, "endpoint", x.ticket.endpoint.Name,
		"zone", x.ticket.endpoint.Zone, "class", x.call.routing.Class.String(), "prompt_tokens", x.call.routing.PromptTokens,
		"considered", choice.Considered, "reason", choice.Reason, "predicted", choice.Predicted,
		"waited", x.ticket.waited)...)
}

// contextRefusal says how an attempt ended whose deadline passed or whose caller went.
func (x *exchange) contextRefusal(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed at endpoint %s", x.ticket.endpoint.Name)
	}
	return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// sendAndReceive sends the attempt and reads its answer.
func (x *exchange) sendAndReceive() error {
	_ = x.stream.SetDeadline(x.sentAt.Add(grantTimeout))
	if err := x.stream.Send(x.dispatch); err != nil {
		return x.noDecision()
	}
	eager := len(x.call.body) <= maxEagerBodyBytes
	if eager {
		// A sidecar that refuses stops reading the body, and its refusal counts.
		_ = x.sendBody()
	}
	granted, err := x.awaitGrant()
	if err != nil {
		return err
	}
	x.entry.dispatcher.recordGrant(x.ticket, granted.Load)
	x.entry.control.Learn(x.stream.Peer().Name, granted.Permission)
	_ = x.stream.SetDeadline(x.call.deadline.Add(refusalReadGrace))
	if !eager {
		// The answer is read at the same time, because an endpoint may answer before
		// it has read the whole body.
		go func() { _ = x.sendBody() }()
	}
	return x.relayAnswer()
}

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

// endpointLost is the refusal of an attempt whose sidecar broke off without a word.
func (x *exchange) endpointLost() error {
	return verdict.Uncertain(verdict.ReasonEndpointLost, lossRetryAfter, "endpoint %s broke off", x.ticket.endpoint.Name)
}

// noDecision is the refusal of an attempt whose sidecar gave no decision. Its
// connection is dropped, because the process behind it may be gone.
func (x *exchange) noDecision() error {
	x.entry.pool.Drop(x.ticket.endpoint.Addr)
	return x.endpointLost()
}

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

func (x *exchange) receiveRefusal(m *wire.Refused) error {
	if m.Attempt != x.dispatch.Attempt {
		return x.unexpectedMessage(m)
	}
	x.load = &m.Load
	x.entry.control.Learn(x.stream.Peer().Name, m.Permission)
	return m.Refusal()
}

func (x *exchange) unexpectedMessage(m wire.Message) error {
	return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "message %T out of order", m)
}

// relayAnswer passes the answer on until its end mark has come and matched.
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

func (x *exchange) receiveHead(m *wire.Head) error {
	if m.Attempt != x.dispatch.Attempt || x.answer.head != nil {
		return x.unexpectedMessage(m)
	}
	x.answer.setHead(m)
	return nil
}

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
