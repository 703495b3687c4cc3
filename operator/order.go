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
	// maxRetries is how often an order is retried while its outcome is unknown.
	maxRetries = 4
	// initialBackoff is the pause before the first retry. It doubles with each retry.
	initialBackoff = 100 * time.Millisecond
	// retryLookback is the number of revisions before the current one in which acceptedBefore
	// looks for an order that was sent before. It reads at most twice as many entries of the
	// audit log.
	retryLookback = 1000
	// maxWinners is how many of the orders that caused a conflict are listed.
	maxWinners = 10
)

// order plans an order and sends it. An order under a given identifier is first looked up in
// the audit log, so that it is not planned against the changes that it made itself.
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

// orderID returns the identifier for the next order.
func (s *Session) orderID() string {
	if s.fixedID != "" {
		return s.fixedID
	}
	return uuid.NewString()
}

// expectedRevision returns the configuration revision at which control is to accept an order:
// the revision that the statement names, else the one that the operator saw last, else the one
// from which the order was planned.
func (s *Session) expectedRevision(t *CompiledStatement, v *command.View) uint64 {
	switch {
	case t.expect != nil:
		return *t.expect
	case s.seenRevision != nil:
		return *s.seenRevision
	}
	return v.Document.Revision
}

// acceptedBefore searches the audit log for the order with the session's fixed identifier. It
// returns a nil result if the searched entries do not contain the order.
func (s *Session) acceptedBefore(ctx context.Context, t *CompiledStatement) (Result, error) {
	if _, ok := t.order.(*addKeyOrder); ok {
		return nil, &StatementError{Problem: "an order that makes a key cannot be sent again, since its key was not kept; look for it in \"history\", drop the key and add another"}
	}
	v, err := s.view(ctx)
	if err != nil {
		return nil, err
	}
	from := v.Document.Revision - min(v.Document.Revision, retryLookback)
	entries, err := s.audit(ctx, command.History{From: from, Limit: 2 * retryLookback})
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

// send sends a plan to control under the identifier id. It records the revision of an accepted
// change in the session. The error of a change whose expected revision is outdated is a
// *ConflictError.
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

// accepted returns a as the result, or err if it is not nil.
func accepted(a *Accepted, err error) (Result, error) {
	if err != nil {
		return nil, err
	}
	return a, nil
}

// do sends a command. While the outcome is unknown, do sends the command again under the same
// identifier, up to maxRetries times, and then returns an *UncertainError.
func (s *Session) do(ctx context.Context, name, id string, body, out any) error {
	pause := initialBackoff
	for sent := 1; ; sent++ {
		err := s.control.Do(ctx, name, id, body, out)
		if err == nil {
			return nil
		}
		if verdict.From(err).Verdict != verdict.MayHaveRun {
			return errors.Wrap(err, "the order was refused")
		}
		if sent > maxRetries || s.pause(ctx, pause) != nil {
			return &UncertainError{ID: id, Err: err}
		}
		pause *= 2
	}
}

func isConflict(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.ReasonRevisionConflict
}

// conflict returns the *ConflictError of a change that control refused because the configuration
// was no longer at revision expect. The error lists the orders accepted since then. If the list
// is complete, the session records the revision of the last listed order as seen, so that the
// operator can give the order again.
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

// UncertainError is the failure of an order whose outcome is unknown, usually because no answer
// came. Control may have accepted the order.
type UncertainError struct {
	// ID is the identifier under which the order can be retried.
	ID string
	// Err is the error of the last attempt.
	Err error
}

// Error names the order and the ways to find out whether it was accepted.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("no answer to order %s; it may have been accepted: look for it in \"history\", or give it again with --id %s (%v)", e.ID, e.ID, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UncertainError) Unwrap() error { return e.Err }

// ConflictError is the refusal of an order because the configuration was no longer at the
// revision that the order expected. Nothing was changed.
type ConflictError struct {
	// Expected is the revision that the order expected.
	Expected uint64
	// Winners are the orders that were accepted after Expected, oldest first.
	Winners []command.AuditEntry
	// More is set if orders after the last of Winners may have been accepted.
	More bool
	// Err is control's refusal.
	Err error
}

// Error lists Winners, or gives control's refusal if there are none.
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

// NotInForceError is the failure of a wait statement that timed out before its revision was
// applied in every process.
type NotInForceError struct {
	Revision uint64
	// Waited is the timeout of the statement.
	Waited time.Duration
	// Lagging lists the processes that may still work with an older revision.
	Lagging []command.Process
	// Err is the error of the last query; nil if control answered it.
	Err error
}

// Error lists the lagging processes, or gives the error of the last query.
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

// Unwrap returns the error of the last query.
func (e *NotInForceError) Unwrap() error { return e.Err }
