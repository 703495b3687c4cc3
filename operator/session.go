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

// Session runs the statements of one operator. It records the configuration revision that the
// operator saw last. An order that names no revision is refused if the configuration has changed
// since then. A Session is not safe for concurrent use.
type Session struct {
	// Timeout limits the time of one statement; zero means no limit. The timeout of a wait
	// statement is added to it.
	Timeout time.Duration

	control Control
	clock   kernel.Clock
	// fixedID is the identifier of every order; if it is empty, each order gets a new one.
	fixedID string
	// seenRevision is the revision that the operator saw last; nil if there is none yet.
	seenRevision *uint64
	// accepted is the revision after the session's last accepted change; zero if there is none.
	accepted uint64
	// names are the names in the view that was read last.
	names CompletionNames
}

// NewSession returns a session whose operator has seen no revision yet.
func NewSession(control Control, clock kernel.Clock) *Session {
	return &Session{control: control, clock: clock}
}

// SetOrderID makes the session use the identifier id for its orders. With the identifier of an
// order whose answer was lost, this order can be retried without taking effect twice.
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

// run plans and runs a compiled statement.
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

// withTimeout returns the context for one statement, with Timeout as its limit.
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

// view reads the current view from control and updates the names for completion.
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

// viewAndRecord reads a view that is shown to the operator and records its revision as seen.
func (s *Session) viewAndRecord(ctx context.Context) (*command.View, error) {
	v, err := s.view(ctx)
	if err == nil {
		s.recordSeen(v.Document.Revision)
	}
	return v, err
}

// recordSeen records the revision that the operator saw last.
func (s *Session) recordSeen(revision uint64) { s.seenRevision = &revision }

// explain returns the effects that an order would have, without sending it.
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

// history returns accepted orders: those from a revision on, or the newest ones.
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

// audit reads entries of the audit log.
func (s *Session) audit(ctx context.Context, h command.History) ([]command.AuditEntry, error) {
	var audit command.Audit
	err := s.control.Do(ctx, command.NameHistory, uuid.NewString(), h, &audit)
	return audit.Entries, errors.Wrap(err, "read the audit listing")
}

// pollInterval is the pause between two queries of a wait statement.
const pollInterval = 200 * time.Millisecond

// wait queries control until a revision is applied in every process, or returns a
// *NotInForceError after the statement's timeout.
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

// lagging returns the processes that may still work with a configuration older than revision.
func (s *Session) lagging(ctx context.Context, revision uint64) ([]command.Process, error) {
	var answer command.Lagging
	err := s.control.Do(ctx, command.NameInForce, uuid.NewString(), command.InForce{Revision: revision}, &answer)
	return answer.Processes, errors.Wrap(err, "ask what is in force")
}

// transient reports whether the command that failed with err may succeed later.
func transient(err error) bool {
	switch verdict.From(err).Reason {
	case verdict.ReasonNoQuorum, verdict.ReasonUnreachable, verdict.ReasonStopping, verdict.ReasonStaleConfiguration:
		return true
	}
	return false
}

// pause waits for d or until ctx is done.
func (s *Session) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait")
	case <-s.clock.After(d):
		return nil
	}
}
