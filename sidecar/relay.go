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
	// chunkBytes is the most of an answer that is read from the engine at once.
	chunkBytes = 16 << 10
	// refusalGrace is the time after the deadline in which a refusal is still sent.
	refusalGrace = time.Second
)

// passedHeaders are the headers of an endpoint's answer that callers see.
var passedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Location", "Etag", "Last-Modified"}

// engineRequestID names an attempt at the engine.
func engineRequestID(a wire.Attempt) string {
	return hex.EncodeToString(a.Request[:]) + "-" + strconv.FormatUint(uint64(a.Number), 10)
}

// run decides on one attempt and carries it out.
func (s *Sidecar) run(st wire.Stream, d *wire.Dispatch) {
	now := s.clock.Now()
	_ = st.SetDeadline(now.Add(d.Deadline + refusalGrace))
	a, err := s.decide(now, st.Peer().Name, d)
	if err != nil {
		s.refuse(st, d, s.sealed(d, err))
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
		s.refuse(st, d, s.sealed(d, err))
	}
}

func (s *Sidecar) decide(now time.Time, owner string, d *wire.Dispatch) (*admission, error) {
	if d.Deadline <= 0 {
		return nil, verdict.Refuse(verdict.ReasonDeadline, 0, "the deadline has passed")
	}
	s.control.ReceivePermission(owner, d.Permission)
	err := permitted(s.control.Config(), s.control.Permission(), s.node.Name, s.node.Zone)
	if err != nil {
		return nil, err
	}
	return s.gate.admit(now, d, owner)
}

// sealed keeps a refusal true: a claimed call that is refused as not run must not
// pass later under a copy of its dispatch.
func (s *Sidecar) sealed(d *wire.Dispatch, err error) error {
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

// exchange is one granted attempt between the entry and the endpoint.
type exchange struct {
	s      *Sidecar
	st     wire.Stream
	d      *wire.Dispatch
	a      *admission
	ctx    context.Context
	cancel context.CancelFunc
	// freed is set once the engine holds nothing of the attempt any more, and output
	// is the tokens of output of a whole answer.
	freed  bool
	output int64
}

// relay sends the request to the endpoint and its answer to the entry.
func (x *exchange) relay() error {
	body, feed := io.Pipe()
	go x.receive(feed)
	// The body stays open for as long as the answer comes: an endpoint may answer
	// before it has read the whole body, and net/http breaks the connection of a
	// body that fails.
	defer func() { _ = body.CloseWithError(io.ErrClosedPipe) }()
	res, err := x.s.engine.call(x.ctx, x.d, body)
	if err != nil {
		return x.callFailed(err)
	}
	defer func() { _ = res.Body.Close() }()
	if !x.s.Service && res.StatusCode >= http.StatusInternalServerError {
		x.abandon()
		return verdict.Uncertain(verdict.ReasonEngineError, retryElsewhere, "the engine of %s answered %d", x.s.node.Name, res.StatusCode)
	}
	if err := x.st.Send(head(x.d.Attempt, res)); err != nil {
		x.abandon()
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "the entry is gone")
	}
	return x.copyAnswer(res)
}

// receive feeds the request's body to the engine and then waits for the entry to
// cancel or go, which cancels the attempt.
func (x *exchange) receive(feed *io.PipeWriter) {
	for {
		m, err := x.st.Recv()
		if err != nil {
			// A broken stream also breaks the body, so that the engine never takes
			// a part of it for the whole.
			_ = feed.CloseWithError(errors.Wrap(err, "the entry is gone"))
			x.cancel()
			return
		}
		switch m := m.(type) {
		case *wire.Body:
			// An endpoint may answer before it has read the whole body; what it does
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

// neverSent notes that no byte of the attempt has left for the endpoint.
func (x *exchange) neverSent() {
	x.freed = true
	if x.d.Claim != nil {
		x.s.gate.unused(x.d.Claim)
	}
}

// callFailed says what a failed call means. Only a connection that was never
// made proves that the endpoint has not run the request.
func (x *exchange) callFailed(err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		x.neverSent()
		return verdict.Refuse(verdict.ReasonUnreachable, retryElsewhere, "endpoint %s takes no connection", x.s.node.Name)
	}
	x.abandon()
	return x.broken(err, "before an answer")
}

// abandon cancels an attempt at the engine, so that its memory is freed. An engine
// that cannot be asked keeps the memory booked; sweep asks it again.
func (x *exchange) abandon() {
	if x.s.Service {
		return
	}
	if err := x.s.engine.cancel(context.Background(), x.a.id); err != nil {
		x.s.log.Warn("cancel failed", "request", x.a.id, "error", err)
		return
	}
	x.freed = true
}

// broken says why the endpoint gave no whole answer.
func (x *exchange) broken(err error, when string) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed %s", when)
	case x.ctx.Err() != nil:
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "the entry went %s", when)
	}
	x.s.gate.broke()
	return verdict.Uncertain(verdict.ReasonEndpointLost, time.Second, "endpoint %s broke off %s", x.s.node.Name, when)
}

func head(a wire.Attempt, res *http.Response) *wire.Head {
	h := &wire.Head{Attempt: a, Status: res.StatusCode, Header: map[string]string{}}
	for _, k := range passedHeaders {
		if v := res.Header.Get(k); v != "" {
			h.Header[k] = v
		}
	}
	return h
}

// copyAnswer reads the answer into a bounded buffer, so that a slow reader does
// not hold the engine before the budget is used, and sends it to the entry.
func (x *exchange) copyAnswer(res *http.Response) error {
	buffer := stream.NewBuffer(x.s.budget.Account(x.d.Account))
	defer buffer.Close()
	tail := newTail(res)
	go x.pull(buffer, tail, res)
	var seq uint64
	var offset int64
	for {
		part, err := buffer.Read(x.ctx)
		if errors.Is(err, io.EOF) {
			return x.end(tail, seq, offset)
		}
		if err != nil {
			x.abandon()
			return x.broken(err, "within its answer")
		}
		seq++
		_ = x.st.SetSendDeadline(x.s.clock.Now().Add(x.s.ReaderTimeout.Std()))
		if err := x.st.Send(&wire.Chunk{Attempt: x.d.Attempt, Seq: seq, Offset: offset, Data: part}); err != nil {
			x.abandon()
			x.s.metrics.slowReader()
			return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the reader took nothing for %s", x.s.ReaderTimeout.Std())
		}
		offset += int64(len(part))
	}
}

// end sends the end mark of a whole answer.
func (x *exchange) end(tail *tail, seq uint64, offset int64) error {
	x.freed = true
	prompt, output := tail.usage()
	x.output = int64(output)
	x.s.metrics.finished()
	return x.st.Send(&wire.End{
		Attempt: x.d.Attempt, Chunks: seq, Bytes: offset, Load: x.s.gate.load(x.s.clock.Now()),
		PromptTokens: prompt, OutputTokens: output,
	})
}

// pull reads the engine's answer into buffer until it is whole or broken.
func (x *exchange) pull(buffer *stream.Buffer, tail *tail, res *http.Response) {
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
			err = tail.end()
		}
		buffer.Finish(err)
		return
	}
}
