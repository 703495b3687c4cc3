package session

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// suspectsTimeout bounds each command to control about suspect requests.
const suspectsTimeout = time.Second

// Commander sends commands to the leader of control.
type Commander interface {
	// Do sends a command and decodes the answer into out; see Client.Do.
	Do(ctx context.Context, name, id string, body, out any) error
}

var _ Commander = (*Client)(nil)

// Suspects holds what a process knows about requests that may crash endpoints, and sends the
// commands about them. It is safe for concurrent use. kernel.LockOrder lists its lock as
// "session.Suspects".
type Suspects struct {
	control Commander
	clock   kernel.Clock

	mu   sync.Mutex
	view *quarantine.LocalView
}

// NewSuspects returns a record without suspect requests.
func NewSuspects(control Commander, clock kernel.Clock) *Suspects {
	return &Suspects{control: control, clock: clock, view: quarantine.NewLocalView()}
}

// Update replaces the lists of suspect and quarantined requests by those in an update from
// control. It does nothing if the update has none. It returns what is listed although it got a complete
// answer lately, so that control has to be informed.
func (s *Suspects) Update(u *wire.Update) (completed []uint64) {
	if !u.HasQuarantine {
		return nil
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Update(now, u.Suspects, u.Quarantine)
}

// WorstStatus returns the least trusted status among a request and the parts of its prompt, and the
// digest of what has it.
func (s *Suspects) WorstStatus(request uint64, parts []uint64) (status quarantine.Status, digest uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	status, digest = s.view.Status(now, request), request
	for _, part := range parts {
		if worse := s.view.PartStatus(now, part); worse > status {
			status, digest = worse, part
		}
	}
	return status, digest
}

// ClearableFor returns for how long requests with a convicted part are still held back before they are
// refused.
func (s *Suspects) ClearableFor(part uint64) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.ClearableFor(now, part)
}

// TrialDue reports whether control is to be asked now if a request with a convicted part may be tried.
func (s *Suspects) TrialDue(part uint64) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.TrialDue(now, part)
}

// NextTrial returns the time until a request with a convicted part may be tried.
func (s *Suspects) NextTrial(part uint64) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.NextTrial(now, part)
}

// Status returns the quarantine status of the request with the digest.
func (s *Suspects) Status(digest uint64) quarantine.Status {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Status(now, digest)
}

// RecordLoss records that an endpoint was lost while the request was in flight there. From then
// on the request needs a permit to run, even if no report reaches control.
func (s *Suspects) RecordLoss(digest uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.RecordLoss(now, digest)
}

// RecordDirectLosses records that a direct endpoint was lost while requests were in flight
// there, and returns those of them that may have caused it.
func (s *Suspects) RecordDirectLosses(digests []uint64) (suspects []uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		if s.view.CompletedLately(now, digest) {
			continue
		}
		s.view.RecordDirectLoss(now, digest)
		suspects = append(suspects, digest)
	}
	return suspects
}

// RecordPartLosses records that a direct endpoint was lost while requests with these parts were in flight
// there, and returns the parts that may have caused it.
func (s *Suspects) RecordPartLosses(parts []quarantine.PartReport) (suspects []command.Part) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if s.view.CompletedLately(now, part.Digest) {
			continue
		}
		s.view.RecordDirectLoss(now, part.Digest)
		suspects = append(suspects, command.Part{Digest: part.Digest, Carriers: part.Carriers})
	}
	return suspects
}

// RecordPartCompletions records that an answer to a request with these parts went on past its beginning.
// It returns the parts of which control has to be informed.
func (s *Suspects) RecordPartCompletions(parts []uint64) (inform []uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if s.view.RecordPartCompletion(now, part) {
			inform = append(inform, part)
		}
	}
	return inform
}

// RecordCompletion records that a request got a complete answer. It reports whether control has
// to be informed, because the request is not clear.
func (s *Suspects) RecordCompletion(digest uint64) (inform bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.RecordCompletion(now, digest)
}

// Report informs control that endpoints were lost, in one command, and returns the status of each
// request and part of the reports. There must be at least one report.
func (s *Suspects) Report(ctx context.Context, losses ...command.Suspect) (map[uint64]quarantine.Status, error) {
	all := losses[0]
	all.More = losses[1:]
	var answer command.SuspectStatuses
	if err := s.do(ctx, command.NameSuspect, all, &answer); err != nil {
		return nil, err
	}
	statuses := map[uint64]quarantine.Status{}
	record := func(digest uint64, status quarantine.Status, direct bool) {
		statuses[digest] = status
		// The loss of one direct endpoint leaves a request clear, but is remembered.
		if !direct || status != quarantine.Clear {
			s.setStatus(digest, status)
		}
	}
	for _, loss := range losses {
		n := min(len(answer.Statuses), len(loss.Digests))
		for i, digest := range loss.Digests[:n] {
			record(digest, quarantine.Status(answer.Statuses[i]), loss.Direct)
		}
		answer.Statuses = answer.Statuses[n:]
		n = min(len(answer.PartStatuses), len(loss.Parts))
		for i, part := range loss.Parts[:n] {
			record(part.Digest, quarantine.Status(answer.PartStatuses[i]), true)
		}
		answer.PartStatuses = answer.PartStatuses[n:]
	}
	return statuses, nil
}

// RequestPermit asks control for the right to run a suspect request once.
func (s *Suspects) RequestPermit(ctx context.Context, request command.Permit) (command.Permitted, error) {
	var answer command.Permitted
	if err := s.do(ctx, command.NamePermit, request, &answer); err != nil {
		return answer, err
	}
	s.setStatus(request.Digest, quarantine.Status(answer.Status))
	if quarantine.Status(answer.Status) == quarantine.Convicted {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.view.SetNextTrial(s.clock.Now(), request.Digest, answer.RetryAfter)
	}
	return answer, nil
}

// End informs control that a run ended without a lost endpoint. A complete answer clears the
// request of suspicion.
func (s *Suspects) End(ctx context.Context, ended command.Ended) error {
	if err := s.do(ctx, command.NameEnded, ended, nil); err != nil {
		return err
	}
	if ended.Completed {
		s.setStatus(ended.Digest, quarantine.Clear)
	}
	return nil
}

// do sends a command to control and decodes the answer into out.
func (s *Suspects) do(ctx context.Context, name string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	return s.control.Do(ctx, name, NewID(), body, out)
}

// setStatus records the status that control returned for a request.
func (s *Suspects) setStatus(digest uint64, status quarantine.Status) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetStatus(now, digest, status)
}
