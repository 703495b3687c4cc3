package control

import (
	"context"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// stewardInterval is the time between two checks of the membership.
	stewardInterval = 250 * time.Millisecond
	// joinInterval is the time between two requests to join.
	joinInterval = 500 * time.Millisecond
	// announceInterval is the time between two announcements to the seeds that are not members.
	announceInterval = time.Second
)

// steward is the state of the automatic membership management, which Plugin.Steward turns on.
// A replica with a new disk asks to join the group. The leader changes the membership as its policy
// says.
type steward struct {
	policy membershipPolicy
	// rejoinAfter is the time without a leader after which a member asks to join: it may have been
	// removed while it was unreachable.
	rejoinAfter time.Duration
	// missing holds the time since when a member has been silent or behind. It is used on the
	// leader only.
	missing map[replica.ID]time.Time
	// tolerant is whether the group bore the loss of one more voter at the last check, nil if this
	// replica did not lead then.
	tolerant *bool
	// leaderSeen is when a leader was last known. joinRequested is when this replica last
	// asked to join.
	leaderSeen, joinRequested time.Time
	// lastAnnounced is when this replica last announced itself to the seeds.
	lastAnnounced time.Time
}

// newSteward returns the steward of a replica that has just started.
func newSteward(catchUp time.Duration, now time.Time) *steward {
	return &steward{
		policy: newMembershipPolicy(catchUp), rejoinAfter: time.Duration(rejoinFraction * float64(catchUp)),
		missing: map[replica.ID]time.Time{}, leaderSeen: now,
	}
}

// runSteward manages the membership until ctx ends.
func (s *Server) runSteward(ctx context.Context) {
	w := newSteward(s.catchUp, s.clock.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(stewardInterval):
		}
		now := s.clock.Now()
		status := s.node.Status()
		if status.Leader != 0 {
			w.leaderSeen = now
		}
		switch {
		case status.Leader == status.ID:
			s.reconcile(ctx, w, now)
		case w.wantsToJoin(now, status.ID, s.members()):
			w.joinRequested = now
			s.askToJoin(ctx, w, status.ID)
		default:
			clear(w.missing)
		}
		if status.Leader != status.ID {
			w.tolerant = nil
		}
		if now.Sub(w.lastAnnounced) >= announceInterval {
			w.lastAnnounced = now
			s.announce(ctx)
		}
	}
}

// announce sends the address of this replica to the seeds that are not members, with a request
// for their replica info. Seeds that are relays have no other way to find the group after all
// processes were restarted.
func (s *Server) announce(ctx context.Context) {
	members := s.memberAddrs()
	for _, addr := range *s.seeds.Load() {
		if addr == s.transport.self() || slices.Contains(members, addr) {
			continue
		}
		s.running.Go(func() {
			if _, err := askReplicaInfo(ctx, s.transport.dialer, s.transport.self(), addr); err != nil {
				s.log.Debug("announcement to seed failed", "seed", addr, "error", err)
			}
		})
	}
}

// wantsToJoin reports whether the replica is not a member, or may have been removed without
// knowing. It returns false for joinInterval after this replica has asked to join.
func (w *steward) wantsToJoin(now time.Time, self replica.ID, members []replica.MemberStatus) bool {
	if now.Sub(w.joinRequested) < joinInterval {
		return false
	}
	for _, m := range members {
		if m.ID == self {
			return now.Sub(w.leaderSeen) > w.rejoinAfter
		}
	}
	return true
}

// askToJoin sends a request to join to the known replicas, one after the other, until the
// leader has accepted it.
func (s *Server) askToJoin(ctx context.Context, w *steward, self replica.ID) {
	raw, err := wire.Marshal(&command.Member{Action: memberJoin, ID: uint64(self), Addr: s.transport.self()})
	if err != nil {
		s.log.Error("encoding the join request failed", "error", err)
		return
	}
	c := &wire.Command{ID: session.NewID(), Name: command.NameMember, Body: raw}
	for _, addr := range s.joinAddrs() {
		bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
		answer, err := session.Exchange(bounded, s.transport.dialer, addr, c)
		for range session.MaxRedirects {
			if err == nil && answer.Leader != "" {
				answer, err = session.Exchange(bounded, s.transport.dialer, answer.Leader, c)
			}
		}
		cancel()
		if err == nil && answer.Leader == "" && answer.Refused == nil {
			s.log.Info("replica joins the group", "id", uint64(self), "asked", addr)
			return
		}
	}
}

// joinAddrs returns the addresses of other replicas and of seeds, which may know the leader.
func (s *Server) joinAddrs() []string {
	self := s.transport.self()
	seen := map[string]bool{self: true}
	var out []string
	for _, addr := range append(s.memberAddrs(), *s.seeds.Load()...) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// reconcile changes the membership until the policy has no further change. A change that fails is
// tried again at the next call.
func (s *Server) reconcile(ctx context.Context, w *steward, now time.Time) {
	for ctx.Err() == nil {
		action, id := w.policy.next(s.observeMembers(w, now))
		if action == "" || !s.changeMember(ctx, action, id, now.Sub(w.missingSince(id, now))) {
			return
		}
	}
}

// missingSince returns since when a member has been silent or behind, or now if it is not.
func (w *steward) missingSince(id replica.ID, now time.Time) time.Time {
	if since, ok := w.missing[id]; ok {
		return since
	}
	return now
}

// observeMembers returns the state of all members, and records and logs which are missing.
func (s *Server) observeMembers(w *steward, now time.Time) []memberState {
	var states []memberState
	voters, caughtUp := 0, 0
	for _, m := range s.members() {
		since, missing := w.missing[m.ID]
		present := m.CaughtUp || m.ID == s.node.Status().ID
		switch {
		case present:
			if missing {
				s.log.Info("replica caught up again", "replica", uint64(m.ID), "addr", m.Addr, "voter", m.Voter, "after", now.Sub(since))
			}
			delete(w.missing, m.ID)
		case !missing:
			w.missing[m.ID] = now
			s.log.Warn("replica silent or behind", "replica", uint64(m.ID), "addr", m.Addr, "voter", m.Voter, "match", m.Match)
		default:
			// Its silence may have begun under another leader.
			if heard, ok := s.transport.lastHeard(m.ID); ok && heard.Before(since) {
				w.missing[m.ID] = heard
			}
		}
		if m.Voter {
			voters++
		}
		if m.Voter && m.CaughtUp {
			caughtUp++
		}
		states = append(states, memberState{id: m.ID, voter: m.Voter, caughtUp: m.CaughtUp, missing: now.Sub(w.missingSince(m.ID, now))})
	}
	s.reportTolerance(w, voters, caughtUp)
	return states
}

// reportTolerance logs when the group begins or ceases to bear the loss of one more voter.
func (s *Server) reportTolerance(w *steward, voters, caughtUp int) {
	tolerant := s.node.Status().FaultTolerant
	if w.tolerant != nil && *w.tolerant == tolerant {
		return
	}
	w.tolerant = &tolerant
	if tolerant {
		s.log.Info("loss of another replica tolerated", "voters", voters, "caught_up", caughtUp)
		return
	}
	s.log.Warn("loss of another replica not tolerated", "voters", voters, "caught_up", caughtUp)
}

// changeMember promotes or removes a member on the steward's decision, logs the outcome and reports
// whether the change was made.
func (s *Server) changeMember(ctx context.Context, action string, id replica.ID, missing time.Duration) bool {
	node, ok := s.node.(membershipChanger)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	change := node.Remove
	if action == memberPromote {
		change = node.Promote
	}
	if err := change(ctx, id); err != nil {
		s.log.Warn("membership not changed", "action", action, "replica", uint64(id), "missing", missing, "error", err)
		return false
	}
	s.log.Info("membership changed", "action", action, "replica", uint64(id), "missing", missing)
	return true
}

// join adds a replica that asked to join. It first removes a member with another ID at the same
// address: a process has one disk, so the other member's disk is lost. A connection to that
// member, or one that was being opened while its VM was down, would hold up the new replica.
func (s *Server) join(ctx context.Context, node membershipChanger, id replica.ID, addr string) error {
	for _, m := range s.members() {
		if m.ID == id {
			return nil
		}
	}
	for _, m := range s.members() {
		if m.Addr != addr {
			continue
		}
		if err := node.Remove(ctx, m.ID); err != nil {
			return err
		}
		s.log.Info("membership changed", "action", memberRemove, "replica", uint64(m.ID), "reason", "another disk at its address")
	}
	s.transport.updateAddrs([]replica.MemberStatus{{Member: replica.Member{ID: id, Addr: addr}}})
	s.transport.dialer.Drop(addr)
	return node.AddLearner(ctx, id, addr)
}

// memberAddrs returns the addresses of all members.
func (s *Server) memberAddrs() []string {
	var out []string
	for _, m := range s.members() {
		out = append(out, m.Addr)
	}
	return out
}
