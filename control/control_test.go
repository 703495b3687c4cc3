package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

func TestEntryAndSidecarLearnOfEachOtherAndOfAZoneOut(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	entry, list := d.entry("entry-1")
	sidecar, _ := d.sidecar(wire.Endpoint{Name: "worker-1", Zone: "annex", Addr: "127.0.0.1:9", Incarnation: 1, Target: "scribe"})
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "permitted", func() bool { return c.Fresh() && c.View().Revision() == 1 })
	}
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	is.Equal(len(entry.View().Load().Accounts), 1)
	is.Equal(len(sidecar.View().Load().Accounts), 0) // sidecars need no accounts

	operator := d.client("operator-1", wire.RoleOperator, nil)
	var changed command.Changed
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &changed))
	is.Equal(changed.Revision, uint64(2))
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "zone out in force", func() bool {
			return c.View().Load().EndpointState("worker-1", "annex") == config.Out
		})
	}
	eventually(t, "nobody lags", func() bool {
		var lagging command.Lagging
		is.NoErr(operator.Do(timeoutContext(t), command.NameInForce, "", command.InForce{Revision: 2}, &lagging))
		return len(lagging.Processes) == 0
	})
}

func TestResendGetsTheFirstAnswerAndTheLoserIsToldTheWinner(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	var first, again command.Changed
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &first))
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &again))
	is.Equal(first, again)

	rival := d.client("operator-2", wire.RoleOperator, nil)
	refusal := verdict.From(rival.Do(timeoutContext(t), command.NameChange, "c2", zoneOut(1, "hall"), nil))
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(refusal.Reason, verdict.ReasonRevisionConflict)
	is.Equal(refusal.Detail, "revision 1 was expected and is now 2: operator-1 changed it first, by command c1")
}

func TestCommandsAreRefusedToTheWrongRole(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	entry := d.client("entry-1", wire.RoleEntry, nil)
	refusal := verdict.From(entry.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))
	is.Equal(refusal.Reason, verdict.ReasonUnauthenticated)
	is.Equal(refusal.Verdict, verdict.NotRun)
}

func TestSilentEndpointLeavesTheList(t *testing.T) {
	d := deploy(t, 1, shortGrace)
	_, list := d.entry("entry-1")
	_, stop := d.sidecar(wire.Endpoint{Name: "worker-1", Incarnation: 1})
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	stop()
	eventually(t, "endpoint gone", func() bool { return !list.has("worker-1") })
}

func TestLossOfTheLeaderLosesNoChangeAndNoPermission(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, longGrace)
	entry, list := d.entry("entry-1")
	sidecar, _ := d.sidecar(wire.Endpoint{Name: "worker-1", Zone: "annex", Incarnation: 1})
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))
	d.stop(leader)

	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c2", zoneOut(2, "hall"), nil))
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "both changes in force", func() bool { return c.View().Revision() == 3 && c.Fresh() })
	}
	is.Equal(entry.View().Load().Zones["annex"].State, config.Out)
	is.True(list.has("worker-1"))

	d.start(leader)
	eventually(t, "restarted replica is whole", func() bool {
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, "", nil, &view))
		for _, r := range view.Replicas {
			if !r.CaughtUp {
				return false
			}
		}
		return len(view.Replicas) == 3
	})
}

func TestWithoutAQuorumCommandsAreRefusedAndNothingRuns(t *testing.T) {
	d := deploy(t, 3, shortGrace)
	entry, _ := d.entry("entry-1")
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	eventually(t, "permitted", entry.Fresh)
	d.stop((leader + 1) % 3)
	d.stop((leader + 2) % 3)
	eventually(t, "claims are refused", func() bool {
		_, err := entry.Claim(timeoutContext(t), session.NewID(), command.Claim{Account: "parish", Key: "k"})
		refusal := verdict.From(err)
		return refusal != nil && refusal.Reason == verdict.ReasonNoQuorum && refusal.Verdict == verdict.NotRun
	})
	eventually(t, "permission lapses", func() bool { return !entry.Fresh() })
	d.start((leader + 1) % 3)
	eventually(t, "permission is back", entry.Fresh)
}

func TestOnlyReplicaRestartsWithItsState(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	entry, _ := d.entry("entry-1")
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	eventually(t, "permitted", entry.Fresh)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))
	d.stop(0)
	eventually(t, "permission lapses", func() bool { return !entry.Fresh() })
	d.start(0)
	eventually(t, "permission is back", entry.Fresh)
	is.Equal(entry.View().Revision(), uint64(2))
	var again command.Changed
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &again))
	is.Equal(again.Revision, uint64(2)) // a resend after the restart gets the first answer
}

func TestLostReplicaIsReplacedAndAnotherLossSurvived(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	lost, second := (leader+1)%3, (leader+2)%3
	d.stop(lost)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))

	addr := d.join("control-4")
	var standing command.ReplicaInfo
	newcomer := d.client("operator-2", wire.RoleOperator, func(o *session.Options) { o.Replicas = []string{addr} })
	is.NoErr(newcomer.Do(timeoutContext(t), command.NameReplicaInfo, "", nil, &standing))
	member := func(action string, id uint64) error {
		return operator.Do(timeoutContext(t), command.NameMember, session.NewID(), command.Member{Action: action, ID: id, Addr: addr}, nil)
	}
	is.NoErr(member("add", standing.ID))
	eventually(t, "the new replica is whole and votes", func() bool { return member("promote", standing.ID) == nil })
	is.NoErr(member("remove", uint64(lost+1)))
	eventually(t, "repair is done", func() bool {
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, "", nil, &view))
		whole := 0
		for _, r := range view.Replicas {
			if r.CaughtUp && r.Voter {
				whole++
			}
		}
		return whole == 3
	})
	d.stop(second)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c2", zoneOut(2, "hall"), nil))
}

func TestMemberCommandRefusesInvalidChanges(t *testing.T) {
	d := deploy(t, 1, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	tests := map[string]command.Member{
		"unknown action":     {Action: "crown", ID: 2},
		"the last voter":     {Action: "remove", ID: 1},
		"promote a stranger": {Action: "promote", ID: 7},
		"add a member":       {Action: "add", ID: 1, Addr: "127.0.0.1:1"},
	}
	for name, member := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refusal := verdict.From(operator.Do(timeoutContext(t), command.NameMember, session.NewID(), member, nil))
			is.Equal(refusal.Verdict, verdict.NotRun)
			is.Equal(refusal.Reason, verdict.ReasonBadRequest)
		})
	}
}

func TestSettingsThatDropLiveEndpointsAreRefused(t *testing.T) {
	is := is.New(t)
	p := &control.Plugin{Lease: settings.Duration(3 * time.Second), Grace: settings.Duration(3 * time.Second)}
	is.True(p.Validate() != nil)
	p.Grace++
	is.NoErr(p.Validate())
}
