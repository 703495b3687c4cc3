package operator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Session runs statements one after another. It remembers the configuration
// revision that its operator saw last, which orders then expect. A Session is
// not safe for concurrent use.
type Session struct {
	// Timeout bounds the time of one statement, beside the time that a wait names
	// itself; zero is no bound.
	Timeout time.Duration

	control Control
	clock   kernel.Clock
	// fixedID is the identifier of every order; empty makes a new one for each.
	fixedID string
	// seenRevision is the revision that the operator saw last; nil before the first.
	seenRevision *uint64
	// accepted is the revision of the session's last accepted change.
	accepted uint64
	names    CompletionNames
}

// NewSession returns a session that has seen no revision yet.
func NewSession(control Control, clock kernel.Clock) *Session {
	return &Session{control: control, clock: clock}
}

// SetOrderID makes the session send its order under the identifier id of an earlier
// sending whose answer was lost.
func (s *Session) SetOrderID(id string) error {
	if _, err := uuid.Parse(id); err != nil {
		return &StatementError{Problem: "want the order's identifier as it was printed, such as " + uuid.Nil.String()}
	}
	s.fixedID = id
	return nil
}

// Execute parses, checks, plans and runs one statement.
func (s *Session) Execute(ctx context.Context, source string) (Result, error) {
	task, err := Compile(source)
	if err != nil {
		return nil, err
	}
	result, err := s.run(ctx, task)
	return result, withSource(err, source)
}

// Compile parses and checks a statement.
func Compile(source string) (*CompiledStatement, error) {
	statement, err := Parse(source)
	if err != nil {
		return nil, err
	}
	return Check(source, statement)
}

func (s *Session) run(ctx context.Context, t *CompiledStatement) (Result, error) {
	ctx, cancel := s.withTimeout(ctx, t)
	defer cancel()
	switch {
	case t.query != nil:
		v, err := s.viewAndRecord(ctx)
		if err != nil {
			return nil, err
		}
		return t.query.run(v), nil
	case t.history != nil:
		return s.history(ctx, t.history)
	case t.wait != nil:
		return s.wait(ctx, *t.wait)
	case t.explain:
		return s.explain(ctx, t)
	}
	return s.order(ctx, t)
}

// withTimeout returns the context of one statement.
func (s *Session) withTimeout(ctx context.Context, t *CompiledStatement) (context.Context, context.CancelFunc) {
	if s.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	limit := s.Timeout
	if t.wait != nil {
		limit += t.wait.Timeout
	}
	return context.WithTimeout(ctx, limit)
}

// view reads what is running where.
func (s *Session) view(ctx context.Context) (*command.View, error) {
	v := &command.View{}
	if err := s.control.Do(ctx, command.NameView, uuid.NewString(), nil, v); err != nil {
		return nil, errors.Wrap(err, "read what is running")
	}
	if v.Document == nil {
		return nil, errors.New("control answered without a configuration")
	}
	s.names = namesInView(v)
	return v, nil
}

// viewAndRecord reads a view that the operator gets to see.
func (s *Session) viewAndRecord(ctx context.Context) (*command.View, error) {
	v, err := s.view(ctx)
	if err == nil {
		s.recordSeen(v.Document.Revision)
	}
	return v, err
}

func (s *Session) recordSeen(revision uint64) { s.seenRevision = &revision }

func (s *Session) explain(ctx context.Context, t *CompiledStatement) (Result, error) {
	v, err := s.viewAndRecord(ctx)
	if err != nil {
		return nil, err
	}
	p, err := makePlan(t.order, v)
	if err != nil {
		return nil, err
	}
	return explain(v, p)
}

// history lists accepted orders: those from a revision on, or the newest ones.
func (s *Session) history(ctx context.Context, h *historyQuery) (Result, error) {
	if h.From != nil {
		entries, err := s.audit(ctx, command.History{From: *h.From, Limit: h.Limit})
		return &AuditLog{Entries: entries}, err
	}
	v, err := s.viewAndRecord(ctx)
	if err != nil {
		return nil, err
	}
	from := v.Document.Revision - min(v.Document.Revision, uint64(h.Limit))
	entries, err := s.audit(ctx, command.History{From: from})
	entries = entries[max(0, len(entries)-h.Limit):]
	return &AuditLog{Entries: entries}, err
}

func (s *Session) audit(ctx context.Context, h command.History) ([]command.AuditEntry, error) {
	var audit command.Audit
	err := s.control.Do(ctx, command.NameHistory, uuid.NewString(), h, &audit)
	return audit.Entries, errors.Wrap(err, "read the audit listing")
}

const pollInterval = 200 * time.Millisecond

// wait asks until every process has reached a revision.
func (s *Session) wait(ctx context.Context, w waitQuery) (Result, error) {
	if w.Revision == 0 {
		w.Revision = s.accepted
	}
	if w.Revision == 0 {
		v, err := s.view(ctx)
		if err != nil {
			return nil, err
		}
		w.Revision = v.Document.Revision
	}
	deadline := s.clock.Now().Add(w.Timeout)
	for {
		lagging, err := s.lagging(ctx, w.Revision)
		if err == nil && len(lagging) == 0 {
			return &InForce{Revision: w.Revision}, nil
		}
		if err != nil && !transient(err) {
			return nil, err
		}
		if !s.clock.Now().Before(deadline) {
			return nil, &NotInForceError{Revision: w.Revision, Waited: w.Timeout, Lagging: lagging, Err: err}
		}
		if err := s.pause(ctx, pollInterval); err != nil {
			return nil, err
		}
	}
}

func (s *Session) lagging(ctx context.Context, revision uint64) ([]command.Process, error) {
	var answer command.Lagging
	err := s.control.Do(ctx, command.NameInForce, uuid.NewString(), command.InForce{Revision: revision}, &answer)
	return answer.Processes, errors.Wrap(err, "ask what is in force")
}

// transient reports whether asking again later may succeed.
func transient(err error) bool {
	switch verdict.From(err).Reason {
	case verdict.ReasonNoQuorum, verdict.ReasonUnreachable, verdict.ReasonStopping, verdict.ReasonStaleConfiguration:
		return true
	}
	return false
}

func (s *Session) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait")
	case <-s.clock.After(d):
		return nil
	}
}
