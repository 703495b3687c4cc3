package control_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// TestLoadReportsReachTheLeaderOnly guards against reports that other replicas take, where no counts are
// decided, that need a quorum, or that operators send.
func TestLoadReportsReachTheLeaderOnly(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	report := command.LoadReport{Source: "entry-1", Loads: []command.ServiceLoad{{Service: "scribe", Zone: "hall", Busy: 3}}}
	refusal := verdict.From(operator.Do(timeoutContext(t), command.NameLoad, "", report, nil))
	is.Equal(refusal.Reason, verdict.ReasonUnauthenticated)

	var before, after command.Audit
	is.NoErr(operator.Do(timeoutContext(t), command.NameHistory, "", command.History{Limit: 1000}, &before))
	entry := d.client("entry-1", wire.RoleEntry, nil)
	is.NoErr(entry.Do(timeoutContext(t), command.NameLoad, "", report, nil))
	is.NoErr(operator.Do(timeoutContext(t), command.NameHistory, "", command.History{Limit: 1000}, &after))
	is.Equal(len(after.Entries), len(before.Entries)) // not replicated

	d.stop(leader)
	is.NoErr(entry.Do(timeoutContext(t), command.NameLoad, "", report, nil)) // answered by the next one
}
