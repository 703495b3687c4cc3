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

// TestEntryAndSidecarLearnOfEachOtherAndOfAZoneOut checks that an entry gets the endpoint that
// a sidecar announces, that both get the configuration, sidecars without client accounts, and
// that a zone taken out of service comes into force at both.
func TestEntryAndSidecarLearnOfEachOtherAndOfAZoneOut(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	entry, list := d.entry("entry-1")
	sidecar, _ := d.sidecar(wire.Endpoint{Name: "worker-1", Zone: "annex", Addr: "127.0.0.1:9", Incarnation: 1, Target: "scribe"})
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "process has a permission", func() bool { return c.Fresh() && c.View().Revision() == 1 })
	}
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	is.Equal(len(entry.View().Load().Accounts), 1)
	is.Equal(len(sidecar.View().Load().Accounts), 0) // sidecars need no accounts

	operator := d.client("operator-1", wire.RoleOperator, nil)
	var changed command.Changed
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &changed))
	is.Equal(changed.Revision, uint64(2))
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "zone is out of service", func() bool {
			return c.View().Load().EndpointState("worker-1", "annex") == config.Out
		})
	}
	eventually(t, "no process lags behind", func() bool {
		var lagging command.Lagging
		is.NoErr(operator.Do(timeoutContext(t), command.NameInForce, "", command.InForce{Revision: 2}, &lagging))
		return len(lagging.Processes) == 0
	})
}

// TestRetryGetsTheFirstAnswerAndAConflictNamesTheOtherSender checks that a command sent twice with
// the same identifier takes effect once, and that a change which expects an old revision is
// refused with the name of the operator who made the newer one.
func TestRetryGetsTheFirstAnswerAndAConflictNamesTheOtherSender(t *testing.T) {
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
	eventually(t, "endpoint removed", func() bool { return !list.has("worker-1") })
}

// TestLossOfTheLeaderLosesNoChangeAndNoPermission stops the leader after a change. The next
// leader must have the change and accept another one, the processes must get both and keep
// their permission and endpoint list, and the restarted replica must catch up.
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
		eventually(t, "both changes are applied", func() bool { return c.View().Revision() == 3 && c.Fresh() })
	}
	is.Equal(entry.View().Load().Zones["annex"].State, config.Out)
	is.True(list.has("worker-1"))

	d.start(leader)
	eventually(t, "restarted replica has caught up", func() bool {
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

// TestWithoutAQuorumCommandsAreRefusedAndNothingRuns stops two of three replicas. Claims must
// be refused as not run, and permissions must expire until there is a quorum again.
func TestWithoutAQuorumCommandsAreRefusedAndNothingRuns(t *testing.T) {
	d := deploy(t, 3, shortGrace)
	entry, _ := d.entry("entry-1")
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	eventually(t, "process has a permission", entry.Fresh)
	d.stop((leader + 1) % 3)
	d.stop((leader + 2) % 3)
	eventually(t, "claims are refused", func() bool {
		_, err := entry.Claim(timeoutContext(t), session.NewID(), command.Claim{Account: "parish", Key: "k"})
		refusal := verdict.From(err)
		return refusal != nil && refusal.Reason == verdict.ReasonNoQuorum && refusal.Verdict == verdict.NotRun
	})
	eventually(t, "permission has expired", func() bool { return !entry.Fresh() })
	d.start((leader + 1) % 3)
	eventually(t, "permission is back", entry.Fresh)
}

func TestOnlyReplicaRestartsWithItsState(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	entry, _ := d.entry("entry-1")
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	eventually(t, "process has a permission", entry.Fresh)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))
	d.stop(0)
	eventually(t, "permission has expired", func() bool { return !entry.Fresh() })
	d.start(0)
	eventually(t, "permission is back", entry.Fresh)
	is.Equal(entry.View().Revision(), uint64(2))
	var again command.Changed
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), &again))
	is.Equal(again.Revision, uint64(2)) // a retry after the restart gets the first answer
}

// TestLostReplicaIsReplacedAndAnotherLossSurvived replaces a lost replica by a new one through
// operators' commands. Afterwards the group must survive the loss of another replica.
func TestLostReplicaIsReplacedAndAnotherLossSurvived(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	leader := d.leader(operator)
	lost, second := (leader+1)%3, (leader+2)%3
	d.stop(lost)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))

	addr := d.join("control-4")
	var info command.ReplicaInfo
	newcomer := d.client("operator-2", wire.RoleOperator, func(o *session.Options) { o.Replicas = []string{addr} })
	is.NoErr(newcomer.Do(timeoutContext(t), command.NameReplicaInfo, "", nil, &info))
	member := func(action string, id uint64) error {
		return operator.Do(timeoutContext(t), command.NameMember, session.NewID(), command.Member{Action: action, ID: id, Addr: addr}, nil)
	}
	is.NoErr(member("add", info.ID))
	eventually(t, "new replica has caught up and votes", func() bool { return member("promote", info.ID) == nil })
	is.NoErr(member("remove", uint64(lost+1)))
	eventually(t, "group has three caught-up voters", func() bool {
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, "", nil, &view))
		caughtUp := 0
		for _, r := range view.Replicas {
			if r.CaughtUp && r.Voter {
				caughtUp++
			}
		}
		return caughtUp == 3
	})
	d.stop(second)
	is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c2", zoneOut(2, "hall"), nil))
}

func TestMemberCommandRefusesInvalidChanges(t *testing.T) {
	d := deploy(t, 1, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	tests := map[string]command.Member{
		"unknown action":      {Action: "crown", ID: 2},
		"last voter":          {Action: "remove", ID: 1},
		"promote a nonmember": {Action: "promote", ID: 7},
		"add a member again":  {Action: "add", ID: 1, Addr: "127.0.0.1:1"},
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

// The removal of a replica was refused when the command came again after its answer was lost, or when the
// steward had already removed the replica.
func TestRemovalThatTookEffectIsAcknowledgedAgain(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	is.NoErr(operator.Do(timeoutContext(t), command.NameMember, session.NewID(), command.Member{Action: "remove", ID: 7}, nil))
}

// TestSettingsThatDropLiveEndpointsAreRefused checks that the grace time must be longer than the
// lease. Otherwise the endpoint of a sidecar that lost its replica would be removed before the
// sidecar could detect the loss.
func TestSettingsThatDropLiveEndpointsAreRefused(t *testing.T) {
	is := is.New(t)
	p := &control.Plugin{Lease: settings.Duration(3 * time.Second), Grace: settings.Duration(3 * time.Second)}
	is.True(p.Validate() != nil)
	p.Grace++
	is.NoErr(p.Validate())
}
