package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// TestDutyPassesToAnotherReplica guards against a duty that no one takes over, and committed counts that
// are lost or changed, when the holder that leads the group is lost.
func TestDutyPassesToAnotherReplica(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, longGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	entry := d.client("entry-1", wire.RoleEntry, nil)
	plugins := []*control.Plugin{d.plugins["control-1"], d.plugins["control-2"], d.plugins["control-3"]}
	first := d.leader(operator)
	holder, other := plugins[first], plugins[(first+1)%3]
	eventually(t, "one leader", func() bool {
		leaders := 0
		for _, p := range plugins {
			if p.Leader() {
				leaders++
			}
		}
		return leaders == 1
	})

	const ttl = time.Second
	ctx := timeoutContext(t)
	var grant command.DutyGrant
	// On a slow machine the grant may expire before the other replica asks, so this is repeated.
	eventually(t, "duty granted to one replica and refused to the other", func() bool {
		var err, otherErr error
		grant, err = holder.AcquireDuty(ctx, command.DutyUsage, ttl)
		taken, otherErr := other.AcquireDuty(ctx, command.DutyUsage, ttl)
		return err == nil && otherErr == nil && grant.Granted && !taken.Granted &&
			taken.Holder == grant.Holder && taken.Number == grant.Number
	})

	usage := command.Usage{Source: "entry-1/1", Windows: []command.WindowCounts{
		{Window: 7, Counts: map[string]uint64{"parish": 3}}, {Window: 8, Counts: map[string]uint64{"parish": 1}},
	}}
	var recorded command.UsageRecorded
	is.NoErr(entry.Do(ctx, command.NameUsage, "", usage, &recorded))
	// The grant may have expired on a slow machine. It is then acquired again.
	closed := closeAsHolder(t, holder, ttl, 7)
	is.Equal(closed, command.ClosedWindow{Window: 7, Counts: map[string]uint64{"parish": 3}})
	is.NoErr(entry.Do(ctx, command.NameUsage, "", usage, &recorded))
	is.Equal(recorded.OldestOpen, uint64(8))
	d.stop(first)

	again := closeAsHolder(t, other, ttl, 7)
	is.Equal(again, closed)
	next, err := other.AcquireDuty(ctx, command.DutyUsage, ttl)
	is.NoErr(err)
	is.True(next.Number > grant.Number)
	_, err = other.CloseWindow(ctx, grant.Number, 8)
	is.True(verdict.IsReason(err, verdict.ReasonFenced))
	is.True(verdict.IsReason(other.ReportWindow(ctx, grant.Number, 7), verdict.ReasonFenced))
	state, err := other.Usage(ctx)
	is.NoErr(err)
	is.Equal(state, command.UsageState{OldestOpen: 8, Open: []uint64{8}, Closed: []command.ClosedWindow{closed}})

	eventually(t, "window dropped", func() bool {
		g, err := other.AcquireDuty(ctx, command.DutyUsage, ttl)
		return err == nil && g.Granted && other.ReportWindow(ctx, g.Number, 7) == nil
	})
	state, err = other.Usage(ctx)
	is.NoErr(err)
	is.Equal(state, command.UsageState{OldestOpen: 8, Open: []uint64{8}})
}

// closeAsHolder acquires the duty and closes a window, until both succeed.
func closeAsHolder(t *testing.T, p *control.Plugin, ttl time.Duration, window uint64) (closed command.ClosedWindow) {
	t.Helper()
	eventually(t, "window closed", func() bool {
		g, err := p.AcquireDuty(timeoutContext(t), command.DutyUsage, ttl)
		if err != nil || !g.Granted {
			return false
		}
		closed, err = p.CloseWindow(timeoutContext(t), g.Number, window)
		return err == nil
	})
	return closed
}

// TestDutyCommandsAreRefusedToOtherRoles guards against an entry that closes windows and a replica that
// counts requests.
func TestDutyCommandsAreRefusedToOtherRoles(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	roles := map[string]wire.Role{
		command.NameDuty: wire.RoleEntry, command.NameCloseWindow: wire.RoleOperator,
		command.NameReportedWindow: wire.RoleEntry, command.NameUsage: wire.RoleControl,
	}
	for name, role := range roles {
		err := d.client("sender-of-"+name, role, nil).Do(timeoutContext(t), name, "", nil, nil)
		is.True(verdict.IsReason(err, verdict.ReasonUnauthenticated))
	}
}
