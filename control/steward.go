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
	// stewardInterval is the time between two looks at the membership.
	stewardInterval = 250 * time.Millisecond
	// joinInterval is the time between two requests to join.
	joinInterval = 500 * time.Millisecond
	// announceInterval is the time between two words to the seeds that are no members.
	announceInterval = time.Second
	// leaderLostAfter is after how long without a leader a replica asks to join: it may
	// have been removed while it was away.
	leaderLostAfter = 2 * time.Second
	// voterLostAfter is after how long a silent voter is removed, if enough others are left.
	voterLostAfter = 8 * time.Second
	// minVoters is the number of voters below which no silent one is removed: with
	// two, both would be needed.
	minVoters = 3
)

// steward keeps the membership of the group in order where no operator does: disks
// that are new ask to join, and members whose disk is gone are removed.
type steward struct {
	// missing is since when a voter has not been whole, as seen by the leader.
	missing map[replica.ID]time.Time
	// leaderSeen is when a leader was last known, and joinRequested when joining was last joinRequested for.
	leaderSeen, joinRequested time.Time
	// lastAnnounced is when the seeds were last told of this replica.
	lastAnnounced time.Time
}

// runSteward works until ctx ends.
func (s *Server) runSteward(ctx context.Context) {
	w := &steward{missing: map[replica.ID]time.Time{}, leaderSeen: s.clock.Now()}
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
		if now.Sub(w.lastAnnounced) >= announceInterval {
			w.lastAnnounced = now
			s.announce(ctx)
		}
	}
}

// announce tells the seeds that are no members that there is a replica here. Relays
// among them know no other way to the group after all processes were restarted.
func (s *Server) announce(ctx context.Context) {
	members := s.memberAddrs()
	for _, addr := range *s.seeds.Load() {
		if addr == s.transport.self() || slices.Contains(members, addr) {
			continue
		}
		s.running.Go(func() {
			if _, err := askStanding(ctx, s.transport.dialer, s.transport.self(), addr); err != nil {
				s.log.Debug("seed not told of this replica", "seed", addr, "error", err)
			}
		})
	}
}

// wantsToJoin reports whether the replica is no member, or may be none any more.
func (w *steward) wantsToJoin(now time.Time, self replica.ID, members []replica.MemberStatus) bool {
	if now.Sub(w.joinRequested) < joinInterval {
		return false
	}
	for _, m := range members {
		if m.ID == self {
			return now.Sub(w.leaderSeen) > leaderLostAfter
		}
	}
	return true
}

// askToJoin asks every known replica until one passes the request to the leader.
func (s *Server) askToJoin(ctx context.Context, w *steward, self replica.ID) {
	raw, err := wire.Marshal(&command.Member{Action: memberJoin, ID: uint64(self), Addr: s.transport.self()})
	if err != nil {
		s.log.Error("request to join not made", "error", err)
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

// joinAddrs lists the other replicas that may know the leader.
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

// reconcile promotes learners that hold everything and removes voters that stay away
// while enough others are left. One step at a time; a step that fails is tried again.
func (s *Server) reconcile(ctx context.Context, w *steward, now time.Time) {
	members := s.members()
	voters, whole := 0, 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
		if m.Voter && m.CaughtUp {
			whole++
		}
		if m.CaughtUp || m.ID == s.node.Status().ID {
			delete(w.missing, m.ID)
		} else if _, ok := w.missing[m.ID]; !ok {
			w.missing[m.ID] = now
		}
	}
	for _, m := range members {
		if action := s.actionFor(w, now, m, voters, whole); action != "" {
			s.changeMember(ctx, action, m.ID)
			return
		}
	}
}

// actionFor says what is to be done with a member: "" for nothing.
func (s *Server) actionFor(w *steward, now time.Time, m replica.MemberStatus, voters, whole int) string {
	since, missing := w.missing[m.ID]
	lost := missing && now.Sub(since) > voterLostAfter
	switch {
	case !m.Voter && m.CaughtUp:
		return memberPromote
	case !m.Voter && lost:
		return memberRemove
	case m.Voter && lost && voters > minVoters && whole >= minVoters:
		return memberRemove
	}
	return ""
}

func (s *Server) changeMember(ctx context.Context, action string, id replica.ID) {
	node, ok := s.node.(membershipChanger)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	change := node.Remove
	if action == memberPromote {
		change = node.Promote
	}
	if err := change(ctx, id); err != nil {
		s.log.Warn("membership not changed", "action", action, "replica", uint64(id), "error", err)
		return
	}
	s.log.Info("membership changed", "action", action, "replica", uint64(id))
}

// join adds a replica that asked for it. A member with another disk at the same
// address is removed first: a process has one disk, so the earlier one is gone.
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
	return node.AddLearner(ctx, id, addr)
}

func (s *Server) memberAddrs() []string {
	var out []string
	for _, m := range s.members() {
		out = append(out, m.Addr)
	}
	return out
}
