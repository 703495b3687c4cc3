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
	// eagerBodyBytes is the longest body that is sent before the grant.
	eagerBodyBytes = 16 << 10
	// answerGrace is how long after the deadline a refusal is still read.
	answerGrace = 500 * time.Millisecond
	// retryAfterLoss is when a request that lost its endpoint is worth another try.
	retryAfterLoss = time.Second
)

// attempt carries out one try at the ticket's endpoint. It returns nil once the
// caller has the whole answer.
func (e *Entry) attempt(ctx context.Context, c *call, t *ticket, a *answer) error {
	x := e.newExchange(c, t, a)
	defer x.finish()
	if err := x.open(ctx); err != nil {
		return err
	}
	err := x.carry(ctx, nil)
	e.observe(c, t.endpoint.Name, err)
	return err
}

// exchange is the conversation with a sidecar about one attempt.
type exchange struct {
	e *Entry
	c *call
	t *ticket
	a *answer
	s wire.Stream
	d *wire.Dispatch
	// sent is when the dispatch left.
	sent  time.Time
	order *stream.Assembler
	// load is the newest load that the sidecar sent.
	load *wire.Load
}

func (e *Entry) newExchange(c *call, t *ticket, a *answer) *exchange {
	c.endpoint = t.endpoint.Name
	return &exchange{e: e, c: c, t: t, a: a}
}

func (x *exchange) finish() {
	if x.s != nil && (x.order == nil || !x.order.Complete()) {
		x.s.Abort()
	}
	x.e.fleet.finished(x.t, x.load)
}

// open opens the stream. A stream that never opened proves that nothing has run.
func (x *exchange) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	s, err := x.e.pool.Open(ctx, x.t.endpoint.Addr)
	if err != nil {
		return verdict.Refuse(verdict.ReasonUnreachable, retryAfterLoss, "endpoint %s is not reachable", x.t.endpoint.Name)
	}
	if s.Peer().Role != wire.RoleSidecar {
		s.Abort()
		return verdict.Refuse(verdict.ReasonUnreachable, retryAfterLoss, "endpoint %s has no sidecar", x.t.endpoint.Name)
	}
	x.s = s
	return nil
}

// carry sends the attempt over the open stream and passes its answer on.
func (x *exchange) carry(ctx context.Context, claim *wire.Claim) error {
	x.sent = x.e.clock.Now()
	x.d = x.e.dispatchOf(x.c, x.t, x.sent)
	x.d.Claim = claim
	x.order = stream.NewAssembler(x.d.Attempt, 0)
	x.log()
	stop := context.AfterFunc(ctx, x.s.Abort)
	defer stop()
	err := x.run()
	if err != nil && ctx.Err() != nil {
		return x.interrupted(ctx)
	}
	return err
}

// log writes the line of the routing decision.
func (x *exchange) log() {
	choice := &x.t.choice
	x.e.log.Info("attempt routed", x.c.fields("attempt", x.d.Attempt.Number, "endpoint", x.t.endpoint.Name,
		"zone", x.t.endpoint.Zone, "class", x.c.want.Class.String(), "prompt_tokens", x.c.want.PromptTokens,
		"considered", choice.Considered, "reason", choice.Reason, "predicted", choice.Predicted,
		"waited", x.t.waited)...)
}

// interrupted says how an attempt ended whose deadline passed or whose caller went.
func (x *exchange) interrupted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed at endpoint %s", x.t.endpoint.Name)
	}
	return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// run sends the attempt and reads its answer.
func (x *exchange) run() error {
	_ = x.s.SetDeadline(x.sent.Add(grantTimeout))
	if err := x.s.Send(x.d); err != nil {
		return x.silent()
	}
	eager := len(x.c.body) <= eagerBodyBytes
	if eager {
		// A sidecar that refuses stops reading the body, and its refusal counts.
		_ = x.sendBody()
	}
	granted, err := x.awaitGrant()
	if err != nil {
		return err
	}
	x.e.fleet.granted(x.t, granted.Load)
	x.e.control.ReceivePermission(x.s.Peer().Name, granted.Permission)
	_ = x.s.SetDeadline(x.c.deadline.Add(answerGrace))
	if !eager {
		// The answer is read at the same time, because an endpoint may answer before
		// it has read the whole body.
		go func() { _ = x.sendBody() }()
	}
	return x.readAnswer()
}

func (x *exchange) sendBody() error {
	body := x.c.body
	for len(body) > wire.BodyChunkBytes {
		if err := x.s.Send(&wire.Body{Data: body[:wire.BodyChunkBytes]}); err != nil {
			return err
		}
		body = body[wire.BodyChunkBytes:]
	}
	return x.s.Send(&wire.Body{Data: body, Last: true})
}

// lost is the refusal of an attempt whose sidecar broke off without a word.
func (x *exchange) lost() error {
	return verdict.Uncertain(verdict.ReasonEndpointLost, retryAfterLoss, "endpoint %s broke off", x.t.endpoint.Name)
}

// silent is the refusal of an attempt whose sidecar gave no decision. Its
// connection is dropped, because the process behind it may be gone.
func (x *exchange) silent() error {
	x.e.pool.Drop(x.t.endpoint.Addr)
	return x.lost()
}

func (x *exchange) awaitGrant() (*wire.Grant, error) {
	m, err := x.s.Recv()
	if err != nil {
		return nil, x.silent()
	}
	switch m := m.(type) {
	case *wire.Grant:
		if m.Attempt == x.d.Attempt {
			return m, nil
		}
	case *wire.Refused:
		return nil, x.refused(m)
	}
	return nil, x.unexpected(m)
}

func (x *exchange) refused(m *wire.Refused) error {
	if m.Attempt != x.d.Attempt {
		return x.unexpected(m)
	}
	x.load = &m.Load
	x.e.control.ReceivePermission(x.s.Peer().Name, m.Permission)
	return m.Refusal()
}

func (x *exchange) unexpected(m wire.Message) error {
	return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "message %T out of order", m)
}

// readAnswer passes the answer on until its end mark has come and matched.
func (x *exchange) readAnswer() error {
	for {
		m, err := x.s.Recv()
		if err != nil {
			return x.lost()
		}
		switch m := m.(type) {
		case *wire.Head:
			err = x.begin(m)
		case *wire.Chunk:
			err = x.pass(m)
		case *wire.End:
			return x.end(m)
		case *wire.Refused:
			return x.refused(m)
		default:
			return x.unexpected(m)
		}
		if err != nil {
			return err
		}
	}
}

func (x *exchange) begin(m *wire.Head) error {
	if m.Attempt != x.d.Attempt || x.a.head != nil {
		return x.unexpected(m)
	}
	x.a.begin(m)
	return nil
}

func (x *exchange) pass(m *wire.Chunk) error {
	if x.a.head == nil {
		return x.unexpected(m)
	}
	first := x.order.Offset() == 0
	data, err := x.order.AcceptChunk(m)
	if err != nil || len(data) == 0 {
		return err
	}
	if first {
		x.e.fleet.served(x.c, &x.t.endpoint)
	}
	return x.a.write(data)
}

func (x *exchange) end(m *wire.End) error {
	if x.a.head == nil {
		return x.unexpected(m)
	}
	if err := x.order.AcceptEnd(m); err != nil {
		return err
	}
	x.load = &m.Load
	x.c.usage = usage{prompt: m.PromptTokens, output: m.OutputTokens}
	x.e.fleet.completed(x.c)
	return x.a.end()
}
