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
// control. It does nothing if the update has none.
func (s *Suspects) Update(u *wire.Update) {
	if !u.HasQuarantine {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Update(u.Suspects, u.Quarantine)
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

// RecordCompletion records that a request got a complete answer. It reports whether control has
// to be informed, because the request is not clear.
func (s *Suspects) RecordCompletion(digest uint64) (inform bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.RecordCompletion(now, digest)
}

// Report informs control that endpoints were lost, in one command, and returns the status of each
// request of the reports. There must be at least one.
func (s *Suspects) Report(ctx context.Context, losses ...command.Suspect) (map[uint64]quarantine.Status, error) {
	all := losses[0]
	all.More = losses[1:]
	var answer command.SuspectStatuses
	if err := s.do(ctx, command.NameSuspect, all, &answer); err != nil {
		return nil, err
	}
	statuses := map[uint64]quarantine.Status{}
	for _, loss := range losses {
		n := min(len(answer.Statuses), len(loss.Digests))
		for i, digest := range loss.Digests[:n] {
			status := quarantine.Status(answer.Statuses[i])
			statuses[digest] = status
			// The loss of one direct endpoint leaves a request clear, but is remembered.
			if !loss.Direct || status != quarantine.Clear {
				s.setStatus(digest, status)
			}
		}
		answer.Statuses = answer.Statuses[n:]
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
