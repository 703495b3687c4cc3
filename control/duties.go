package control

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
)

// Leader reports whether this replica leads the group, as far as it knows.
func (p *Plugin) Leader() bool {
	status := p.server.node.Status()
	return status.Leader == status.ID
}

// AcquireDuty acquires or renews the right of this process to a duty for the time ttl. The holder counts
// ttl from before the call. It does not have the duty after an error, but others may be refused it for the
// time ttl.
func (p *Plugin) AcquireDuty(ctx context.Context, duty string, ttl time.Duration) (command.DutyGrant, error) {
	var grant command.DutyGrant
	err := p.server.submitCommand(ctx, "", command.NameDuty, &command.AcquireDuty{
		Duty: duty, Holder: p.server.name, TTL: ttl,
	}, &grant)
	return grant, err
}

// CloseWindow fixes the counts of a usage window and returns them once they are committed. Number is that of
// the valid grant of command.DutyUsage; any other is refused with verdict.ReasonFenced. A repeated call
// returns the same counts, until ReportWindow drops them.
func (p *Plugin) CloseWindow(ctx context.Context, number, window uint64) (command.ClosedWindow, error) {
	var closed command.ClosedWindow
	err := p.server.submitCommand(ctx, "", command.NameCloseWindow, &command.CloseWindow{
		Number: number, Window: window,
	}, &closed)
	return closed, err
}

// ReportWindow drops the counts of a closed window, which were reported. Number is that of the valid grant
// of command.DutyUsage.
func (p *Plugin) ReportWindow(ctx context.Context, number, window uint64) error {
	return p.server.submitCommand(ctx, "", command.NameReportedWindow, &command.ReportedWindow{
		Number: number, Window: window,
	}, nil)
}

// Usage returns the usage windows that are not reported yet. The read is linearizable, so it fails without
// a quorum. The caller must not modify the counts.
func (p *Plugin) Usage(ctx context.Context) (command.UsageState, error) {
	if err := p.server.node.Barrier(ctx); err != nil {
		return command.UsageState{}, noQuorum()
	}
	var usage command.UsageState
	p.server.store.read(func(m *state.Machine) { usage = m.Usage() })
	return usage, nil
}

// logDroppedUsage logs on the leader what usage the state machine has dropped since the last call, because a
// bound was reached. The other replicas only record it.
func (s *Server) logDroppedUsage() {
	before := s.usageDropped
	s.store.read(func(m *state.Machine) { s.usageDropped = m.DroppedUsage() })
	status := s.node.Status()
	if s.usageDropped == before || status.Leader != status.ID {
		return
	}
	s.log.Error("usage dropped", "windows", s.usageDropped.Windows-before.Windows,
		"last_window", s.usageDropped.LastWindow, "counts", s.usageDropped.Counts-before.Counts)
}
