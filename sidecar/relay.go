package sidecar

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// chunkBytes is the size of the buffer for one read of the engine's answer.
	chunkBytes = 16 << 10
	// refusalGrace is how long after the deadline a refusal can still be sent.
	refusalGrace = time.Second
)

// forwardedHeaders are the headers of an endpoint's answer that are passed to the caller.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Location", "Etag", "Last-Modified"}

// engineRequestID returns the ID of an attempt at the engine.
func engineRequestID(a wire.Attempt) string {
	return hex.EncodeToString(a.Request[:]) + "-" + strconv.FormatUint(uint64(a.Number), 10)
}

// run admits or refuses one attempt, and relays an admitted one.
func (s *Sidecar) run(st wire.Stream, d *wire.Dispatch) {
	now := s.clock.Now()
	_ = st.SetDeadline(now.Add(d.Deadline + refusalGrace))
	a, err := s.decide(now, st.Peer().Name, d)
	if err != nil {
		s.refuse(st, d, s.sealRefused(d, err))
		return
	}
	s.metrics.granted()
	s.log.Debug("attempt granted", "request", a.id, "account", d.Account, "tokens", a.tokens)
	ctx, cancel := context.WithTimeout(context.Background(), d.Deadline)
	defer cancel()
	x := &exchange{s: s, st: st, d: d, a: a, ctx: ctx, cancel: cancel}
	err = st.Send(&wire.Grant{Attempt: d.Attempt, Load: s.gate.load(now), Permission: s.control.PermissionFor(st.Peer().Name)})
	if err == nil {
		err = x.relay()
	} else {
		x.neverSent()
	}
	s.gate.finish(s.clock.Now(), a, x.freed, x.output)
	if err != nil {
		s.refuse(st, d, s.sealRefused(d, err))
	}
}

// decide adopts the permission in the dispatch and admits the attempt or returns a
// refusal.
func (s *Sidecar) decide(now time.Time, owner string, d *wire.Dispatch) (*admission, error) {
	if d.Deadline <= 0 {
		return nil, verdict.Refuse(verdict.ReasonDeadline, 0, "the deadline has passed")
	}
	s.control.ReceivePermission(owner, d.Permission)
	own := s.control.Permission()
	if err := checkPermitted(s.control.Config(), own, s.node.Name, s.node.Zone); err != nil {
		return nil, err
	}
	if err := checkEntry(d.Permission, own, owner); err != nil {
		return nil, err
	}
	return s.gate.admit(now, d, owner)
}

// sealRefused seals the claim of a call that is refused with the verdict NotRun, so that a
// copy of the dispatch that arrives later is not admitted. If the verdict cannot be
// proven, the result is a refusal with an uncertain outcome.
func (s *Sidecar) sealRefused(d *wire.Dispatch, err error) error {
	r := verdict.From(err)
	if d.Claim == nil || r.Verdict != verdict.NotRun {
		return r
	}
	proven := s.gate.seal(d.Claim, d.Incarnation)
	if proven == verdict.NotRun {
		return r
	}
	return verdict.Uncertain(r.Reason, r.RetryAfter, "%s", r.Detail)
}

// refuse logs a refusal and sends it to the entry.
func (s *Sidecar) refuse(st wire.Stream, d *wire.Dispatch, err error) {
	r := verdict.From(err)
	s.metrics.refused(r)
	s.log.Info("attempt refused", "request", hex.EncodeToString(d.Attempt.Request[:]), "attempt", d.Attempt.Number,
		"account", d.Account, "verdict", r.Verdict.String(), "reason", string(r.Reason), "detail", r.Detail)
	now := s.clock.Now()
	m := wire.NewRefused(d.Attempt, r)
	m.Load, m.Permission = s.gate.load(now), s.control.PermissionFor(st.Peer().Name)
	_ = st.Send(m)
}

// exchange relays one admitted attempt between the entry and the endpoint. st is the
// stream of the entry, d its dispatch and a the admission.
type exchange struct {
	s      *Sidecar
	st     wire.Stream
	d      *wire.Dispatch
	a      *admission
	ctx    context.Context
	cancel context.CancelFunc
	// freed is set once the engine holds no memory for the attempt, and output is the
	// number of output tokens of a complete answer.
	freed  bool
	output int64
}

// relay sends the request to the endpoint and its answer to the entry.
func (x *exchange) relay() error {
	body, feed := io.Pipe()
	go x.receive(feed)
	// The body stays open while the answer is read: an endpoint may answer before it has
	// read the complete body, and net/http closes the connection if reading the body fails.
	defer func() { _ = body.CloseWithError(io.ErrClosedPipe) }()
	res, err := x.s.engine.call(x.ctx, x.d, body)
	if err != nil {
		return x.classifyCallError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if !x.s.Service && res.StatusCode >= http.StatusInternalServerError {
		x.cancelAtEngine()
		return verdict.Uncertain(verdict.ReasonEngineError, elsewhereRetryAfter, "the engine of %s answered %d", x.s.node.Name, res.StatusCode)
	}
	if err := x.st.Send(newHead(x.d.Attempt, res)); err != nil {
		x.cancelAtEngine()
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "the entry is gone")
	}
	return x.copyAnswer(res)
}

// receive passes the request body to the engine. It cancels the attempt when the entry
// asks for that or the stream ends.
func (x *exchange) receive(feed *io.PipeWriter) {
	for {
		m, err := x.st.Recv()
		if err != nil {
			// A broken stream also breaks the body, so that the engine never treats a
			// part of the body as complete.
			_ = feed.CloseWithError(errors.Wrap(err, "the entry is gone"))
			x.cancel()
			return
		}
		switch m := m.(type) {
		case *wire.Body:
			// An endpoint may answer before it has read the complete body. Data that it does
			// not read is dropped.
			_, _ = feed.Write(m.Data)
			if m.Last {
				_ = feed.Close()
			}
		case *wire.Cancel:
			_ = feed.CloseWithError(context.Canceled)
			x.cancel()
			return
		}
	}
}

// neverSent records that no byte of the attempt was sent to the endpoint.
func (x *exchange) neverSent() {
	x.freed = true
	if x.d.Claim != nil {
		x.s.gate.markUnsent(x.d.Claim)
	}
}

// classifyCallError returns the refusal for a failed call. Only a connection that could
// not be established proves that the endpoint has not run the request.
func (x *exchange) classifyCallError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		x.neverSent()
		return verdict.Refuse(verdict.ReasonUnreachable, elsewhereRetryAfter, "endpoint %s takes no connection", x.s.node.Name)
	}
	x.cancelAtEngine()
	return x.incompleteAnswer(err, "before an answer")
}

// cancelAtEngine cancels the attempt at the engine, which frees its memory. If the engine
// cannot be reached, the memory stays reserved and sweep retries.
func (x *exchange) cancelAtEngine() {
	if x.s.Service {
		return
	}
	if err := x.s.engine.cancel(context.Background(), x.a.id); err != nil {
		x.s.log.Warn("cancelling attempt at engine failed", "request", x.a.id, "error", err)
		return
	}
	x.freed = true
}

// incompleteAnswer returns the refusal for an answer that is missing or incomplete. when
// says in the detail how far the answer got.
func (x *exchange) incompleteAnswer(err error, when string) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed %s", when)
	case x.ctx.Err() != nil:
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "the entry went %s", when)
	}
	x.s.gate.markDown()
	return verdict.Uncertain(verdict.ReasonEndpointLost, time.Second, "endpoint %s broke off %s", x.s.node.Name, when)
}

// newHead returns the message with the status and the forwarded headers of an answer.
func newHead(a wire.Attempt, res *http.Response) *wire.Head {
	h := &wire.Head{Attempt: a, Status: res.StatusCode, Header: map[string]string{}}
	for _, k := range forwardedHeaders {
		if v := res.Header.Get(k); v != "" {
			h.Header[k] = v
		}
	}
	return h
}

// copyAnswer reads the answer into a buffer and sends it from there to the entry. A slow
// reader therefore delays the engine only once the memory budget is used up.
func (x *exchange) copyAnswer(res *http.Response) error {
	buffer := stream.NewBuffer(x.s.budget.Account(x.d.Account))
	defer buffer.Close()
	tail := newTail(res)
	go x.readAnswer(buffer, tail, res)
	var seq uint64
	var offset int64
	for {
		part, err := buffer.Read(x.ctx)
		if errors.Is(err, io.EOF) {
			return x.sendEnd(tail, seq, offset)
		}
		if err != nil {
			x.cancelAtEngine()
			return x.incompleteAnswer(err, "within its answer")
		}
		seq++
		_ = x.st.SetSendDeadline(x.s.clock.Now().Add(x.s.ReaderTimeout.Std()))
		if err := x.st.Send(&wire.Chunk{Attempt: x.d.Attempt, Seq: seq, Offset: offset, Data: part}); err != nil {
			x.cancelAtEngine()
			x.s.metrics.slowReader()
			return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the reader took nothing for %s", x.s.ReaderTimeout.Std())
		}
		offset += int64(len(part))
	}
}

// sendEnd sends the message that marks a complete answer.
func (x *exchange) sendEnd(tail *tail, seq uint64, offset int64) error {
	x.freed = true
	prompt, output := tail.usage()
	x.output = int64(output)
	x.s.metrics.finished()
	return x.st.Send(&wire.End{
		Attempt: x.d.Attempt, Chunks: seq, Bytes: offset, Load: x.s.gate.load(x.s.clock.Now()),
		PromptTokens: prompt, OutputTokens: output,
	})
}

// readAnswer reads the engine's answer into buffer until the answer is complete or fails.
func (x *exchange) readAnswer(buffer *stream.Buffer, tail *tail, res *http.Response) {
	part := make([]byte, chunkBytes)
	for {
		n, err := res.Body.Read(part)
		if n > 0 {
			x.s.gate.firstToken(x.s.clock.Now(), x.a)
			tail.write(part[:n])
			if werr := buffer.Write(x.ctx, part[:n]); werr != nil {
				buffer.Finish(werr)
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = tail.endError()
		}
		buffer.Finish(err)
		return
	}
}
