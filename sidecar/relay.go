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

// chunkBytes is the most of an answer that is read from the engine at once.
const chunkBytes = 16 << 10

// refusalGrace is the time after the deadline in which a refusal is still sent.
const refusalGrace = time.Second

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
	if err := s.decide(now, d); err != nil {
		s.refuse(st, d, err)
		return
	}
	defer s.gate.release(d)
	if err := st.Send(&wire.Grant{Attempt: d.Attempt, Load: s.gate.load(), Permission: s.control.Permission(now)}); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.Deadline)
	defer cancel()
	if err := s.relay(ctx, cancel, st, d); err != nil {
		s.refuse(st, d, err)
	}
}

func (s *Sidecar) decide(now time.Time, d *wire.Dispatch) error {
	if d.Deadline <= 0 {
		return verdict.Refuse(verdict.ReasonDeadline, 0, "the deadline has passed")
	}
	if err := permitted(s.control.Config(), s.control.Permission(now), d.Permission, s.node.Name, s.node.Zone); err != nil {
		return err
	}
	return s.gate.admit(d)
}

func (s *Sidecar) refuse(st wire.Stream, d *wire.Dispatch, err error) {
	r := verdict.From(err)
	s.metrics.refused(r)
	s.log.Info("attempt refused", "request", hex.EncodeToString(d.Attempt.Request[:]), "attempt", d.Attempt.Number,
		"account", d.Account, "verdict", r.Verdict.String(), "reason", string(r.Reason), "detail", r.Detail)
	m := wire.NewRefused(d.Attempt, r)
	m.Load, m.Permission = s.gate.load(), s.control.Permission(s.clock.Now())
	_ = st.Send(m)
}

// relay sends the request to the endpoint and its answer to the entry.
func (s *Sidecar) relay(ctx context.Context, cancel context.CancelFunc, st wire.Stream, d *wire.Dispatch) error {
	body, feed := io.Pipe()
	go s.receive(st, feed, cancel)
	res, err := s.engine.call(ctx, d, body)
	_ = body.CloseWithError(io.ErrClosedPipe)
	if err != nil {
		return s.callFailed(d, err)
	}
	defer func() { _ = res.Body.Close() }()
	if !s.Service && res.StatusCode >= http.StatusInternalServerError {
		return verdict.Uncertain(verdict.ReasonEngineError, retryElsewhere, "the engine of %s answered %d", s.node.Name, res.StatusCode)
	}
	if err := st.Send(head(d.Attempt, res)); err != nil {
		s.abandon(d)
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "the entry is gone")
	}
	return s.copyAnswer(ctx, st, d, res)
}

// receive feeds the request's body to the engine and then waits for the entry to
// cancel or go, which cancels the attempt.
func (s *Sidecar) receive(st wire.Stream, feed *io.PipeWriter, cancel context.CancelFunc) {
	for {
		m, err := st.Recv()
		if err != nil {
			// A broken stream also breaks the body, so that the engine never takes
			// a part of it for the whole.
			_ = feed.CloseWithError(errors.Wrap(err, "the entry is gone"))
			cancel()
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
			cancel()
			return
		}
	}
}

// callFailed says what a failed call means. Only a connection that was never
// made proves that the endpoint has not run the request.
func (s *Sidecar) callFailed(d *wire.Dispatch, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return verdict.Refuse(verdict.ReasonUnreachable, retryElsewhere, "endpoint %s takes no connection", s.node.Name)
	}
	s.abandon(d)
	return verdict.Uncertain(verdict.ReasonEndpointLost, time.Second, "endpoint %s broke off before an answer", s.node.Name)
}

// abandon cancels an attempt at the engine, so that its memory is freed.
func (s *Sidecar) abandon(d *wire.Dispatch) {
	if s.Service {
		return
	}
	if err := s.engine.cancel(context.Background(), d.Attempt); err != nil {
		s.log.Warn("cancel failed", "request", engineRequestID(d.Attempt), "error", err)
	}
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
func (s *Sidecar) copyAnswer(ctx context.Context, st wire.Stream, d *wire.Dispatch, res *http.Response) error {
	buffer := stream.NewBuffer(s.budget.Account(d.Account))
	defer buffer.Close()
	go s.pull(ctx, buffer, d, res)
	var seq uint64
	offset := d.ResumeFrom
	for {
		part, err := buffer.Read(ctx)
		if errors.Is(err, io.EOF) {
			s.metrics.finished()
			return st.Send(&wire.End{Attempt: d.Attempt, Chunks: seq, Bytes: offset, Load: s.gate.load()})
		}
		if err != nil {
			s.abandon(d)
			return s.answerBroken(err)
		}
		seq++
		_ = st.SetSendDeadline(s.clock.Now().Add(s.ReaderTimeout.Std()))
		if err := st.Send(&wire.Chunk{Attempt: d.Attempt, Seq: seq, Offset: offset, Data: part}); err != nil {
			s.abandon(d)
			s.metrics.slowReader()
			return verdict.Uncertain(verdict.ReasonSlowReader, 0, "the reader took nothing for %s", s.ReaderTimeout.Std())
		}
		offset += int64(len(part))
	}
}

func (s *Sidecar) answerBroken(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the deadline passed during the answer")
	}
	return verdict.Uncertain(verdict.ReasonEndpointLost, time.Second, "endpoint %s broke off within its answer", s.node.Name)
}

// pull reads the engine's answer into buffer until it is whole or broken.
func (s *Sidecar) pull(ctx context.Context, buffer *stream.Buffer, d *wire.Dispatch, res *http.Response) {
	events := newEventCheck(res)
	part := make([]byte, chunkBytes)
	for {
		n, err := res.Body.Read(part)
		if n > 0 {
			events.write(part[:n])
			if werr := buffer.Write(ctx, part[:n]); werr != nil {
				buffer.Finish(werr)
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = events.end()
		}
		buffer.Finish(err)
		return
	}
}
