package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// maxResends bounds how often an order is sent again after a lost answer.
	maxResends = 4
	// initialResendPause is the first pause before a resend; each further one is doubled.
	initialResendPause = 100 * time.Millisecond
	// resendLookback bounds how many audit entries are searched for an order.
	resendLookback = 1000
	// maxWinners bounds how many entries a lost race lists.
	maxWinners = 10
)

// order plans an order and sends it.
func (s *Session) order(ctx context.Context, t *CompiledStatement) (Result, error) {
	if s.fixedID != "" {
		before, err := s.acceptedBefore(ctx, t)
		if before != nil || err != nil {
			return before, err
		}
	}
	v, err := s.view(ctx)
	if err != nil {
		return nil, err
	}
	p, err := makePlan(t.order, v)
	if err != nil {
		return nil, err
	}
	return s.send(ctx, s.orderID(), p, s.expectedRevision(t, v))
}

func (s *Session) orderID() string {
	if s.fixedID != "" {
		return s.fixedID
	}
	return uuid.NewString()
}

// expectedRevision is the revision that an order compares with: the one that it names,
// else the one that the operator saw last, else the one it was planned against.
func (s *Session) expectedRevision(t *CompiledStatement, v *command.View) uint64 {
	switch {
	case t.expect != nil:
		return *t.expect
	case s.seenRevision != nil:
		return *s.seenRevision
	}
	return v.Document.Revision
}

// acceptedBefore looks for an earlier sending of the session's order. It returns
// no result when there was none.
func (s *Session) acceptedBefore(ctx context.Context, t *CompiledStatement) (Result, error) {
	if _, ok := t.order.(*addKeyOrder); ok {
		return nil, &StatementError{Problem: "an order that makes a key cannot be sent again, since its key was not kept; look for it in \"history\", drop the key and add another"}
	}
	v, err := s.view(ctx)
	if err != nil {
		return nil, err
	}
	from := v.Document.Revision - min(v.Document.Revision, resendLookback)
	entries, err := s.audit(ctx, command.History{From: from, Limit: 2 * resendLookback})
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.ID != s.fixedID {
			continue
		}
		a := &Accepted{ID: e.ID, Revision: e.Revision, AcceptedBefore: true, Summary: entryText(&e)}
		if e.Order != nil {
			a.Fence = e.Order.Fence
		}
		return a, nil
	}
	return nil, nil
}

// send sends a plan and remembers what was accepted.
func (s *Session) send(ctx context.Context, id string, p *Plan, expect uint64) (Result, error) {
	a := &Accepted{ID: id}
	switch {
	case p.Engine != nil:
		var answer command.Ordered
		err := s.do(ctx, command.NameOrder, id, *p.Engine, &answer)
		a.Fence = answer.Fence
		return accepted(a, err)
	case p.Member != nil:
		return accepted(a, s.do(ctx, command.NameMember, id, *p.Member, nil))
	}
	var answer command.Changed
	err := s.do(ctx, command.NameChange, id, command.Change{Expect: expect, Changes: p.Changes}, &answer)
	if isConflict(err) {
		return nil, s.conflict(ctx, expect, err)
	}
	if err == nil {
		s.recordSeen(answer.Revision)
		s.accepted = answer.Revision
	}
	a.Revision, a.Key = answer.Revision, p.Key
	return accepted(a, err)
}

func accepted(a *Accepted, err error) (Result, error) {
	if err != nil {
		return nil, err
	}
	return a, nil
}

// do sends a command and sends it again under the same identifier while its
// outcome is not known.
func (s *Session) do(ctx context.Context, name, id string, body, out any) error {
	pause := initialResendPause
	for sent := 1; ; sent++ {
		err := s.control.Do(ctx, name, id, body, out)
		if err == nil {
			return nil
		}
		if verdict.From(err).Verdict != verdict.MayHaveRun {
			return errors.Wrap(err, "the order was refused")
		}
		if sent > maxResends || s.pause(ctx, pause) != nil {
			return &UncertainError{ID: id, Err: err}
		}
		pause *= 2
	}
}

func isConflict(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.ReasonRevisionConflict
}

// conflict describes a race that another operator won. The operator then has seen
// the winning revisions, so that the order can be given again.
func (s *Session) conflict(ctx context.Context, expect uint64, refusal error) error {
	conflict := &ConflictError{Expected: expect, Err: refusal}
	entries, err := s.audit(ctx, command.History{From: expect + 1, Limit: maxWinners})
	if err != nil || len(entries) == 0 {
		return conflict
	}
	conflict.Winners = entries
	conflict.More = len(entries) == maxWinners
	if !conflict.More {
		s.recordSeen(entries[len(entries)-1].Revision)
	}
	return conflict
}

// UncertainError says that an order may have been accepted: no answer came.
type UncertainError struct {
	// ID is the identifier under which the order can be sent again.
	ID string
	// Err is the last failure.
	Err error
}

// Error says how to find out.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("no answer to order %s; it may have been accepted: look for it in \"history\", or give it again with --id %s (%v)", e.ID, e.ID, e.Err)
}

// Unwrap returns the last failure.
func (e *UncertainError) Unwrap() error { return e.Err }

// ConflictError says that the configuration was no longer at the revision that
// the operator saw. Nothing was changed.
type ConflictError struct {
	// Expected is the revision that the order compared with.
	Expected uint64
	// Winners are the orders that were accepted after it, oldest first.
	Winners []command.AuditEntry
	// More is set when further orders may have been accepted.
	More bool
	// Err is control's refusal.
	Err error
}

// Error names the orders that came first.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("refused, nothing was changed: the configuration is no longer at revision %d", e.Expected)
	if len(e.Winners) == 0 {
		return fmt.Sprintf("%s (%v)", text, e.Err)
	}
	for i := range e.Winners {
		w := &e.Winners[i]
		text += fmt.Sprintf("\n  revision %d by %s: %s", w.Revision, w.Who, entryText(w))
	}
	if e.More {
		return text + "\n  and more; look at the configuration again before the next order"
	}
	return text + "\ngive the order again if it is still wanted"
}

// Unwrap returns control's refusal.
func (e *ConflictError) Unwrap() error { return e.Err }

// NotInForceError says that a wait ended before its revision was in force.
type NotInForceError struct {
	Revision uint64
	Waited   time.Duration
	// Lagging lists the processes that had not reached the revision.
	Lagging []command.Process
	// Err is the last failure to ask; nil when control answered.
	Err error
}

// Error lists the processes that lag.
func (e *NotInForceError) Error() string {
	text := fmt.Sprintf("revision %d is not in force everywhere after %s", e.Revision, e.Waited)
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", text, e.Err)
	}
	for _, p := range e.Lagging {
		text += fmt.Sprintf("\n  %s (%s, zone %s) has revision %d and was last heard %s ago", p.Name, p.Role, p.Zone, p.Revision, p.Silent.Round(time.Millisecond))
	}
	return text
}

// Unwrap returns the last failure to ask.
func (e *NotInForceError) Unwrap() error { return e.Err }
