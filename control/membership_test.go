package control

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

func TestMembershipPolicy(t *testing.T) {
	policy := newMembershipPolicy(defaultCatchUp)
	voter := func(id replica.ID) memberState { return memberState{id: id, voter: true, caughtUp: true} }
	silent := func(id replica.ID, missing time.Duration) memberState {
		return memberState{id: id, voter: true, missing: missing}
	}
	ready := func(id replica.ID) memberState { return memberState{id: id, caughtUp: true} }
	learner := func(id replica.ID, missing time.Duration) memberState {
		return memberState{id: id, missing: missing}
	}
	tests := map[string]struct {
		members []memberState
		action  string
		id      replica.ID
	}{
		"three voters":                              {[]memberState{voter(1), voter(2), voter(3)}, "", 0},
		"a first learner waits":                     {[]memberState{voter(1), voter(2), voter(3), ready(4)}, "", 0},
		"two learners vote":                         {[]memberState{voter(1), voter(2), voter(3), ready(4), ready(5)}, memberPromote, 5},
		"one voter and a learner":                   {[]memberState{voter(1), ready(2)}, memberPromote, 2},
		"two voters and a learner":                  {[]memberState{voter(1), voter(2), ready(3)}, memberPromote, 3},
		"four voters and a learner":                 {[]memberState{voter(1), voter(2), voter(3), voter(4), ready(5)}, memberPromote, 5},
		"a learner that lags":                       {[]memberState{voter(1), voter(2), learner(3, time.Second)}, "", 0},
		"a learner that is lost":                    {[]memberState{voter(1), voter(2), voter(3), learner(4, time.Minute)}, memberRemove, 4},
		"a lost voter of three":                     {[]memberState{voter(1), voter(2), silent(3, time.Minute)}, "", 0},
		"a silent voter of three and a learner":     {[]memberState{voter(1), voter(2), silent(3, 1100*time.Millisecond), ready(4)}, memberRemove, 3},
		"a voter that is silent for a moment":       {[]memberState{voter(1), voter(2), silent(3, time.Second), ready(4)}, "", 0},
		"a silent voter and a learner that lags":    {[]memberState{voter(1), voter(2), silent(3, time.Minute), learner(4, time.Second)}, "", 0},
		"a silent voter of four":                    {[]memberState{voter(1), voter(2), voter(3), silent(4, 1100*time.Millisecond)}, memberRemove, 4},
		"two of four are lost":                      {[]memberState{voter(1), voter(2), silent(3, time.Minute), silent(4, 2*time.Minute), ready(5)}, memberPromote, 5},
		"two of four are lost without a learner":    {[]memberState{voter(1), voter(2), silent(3, time.Minute), silent(4, 2*time.Minute)}, memberRemove, 4},
		"two of three are lost":                     {[]memberState{voter(1), silent(2, time.Minute), silent(3, time.Minute), ready(4)}, "", 0},
		"a lost voter of five":                      {[]memberState{voter(1), voter(2), voter(3), voter(4), silent(5, time.Minute)}, "", 0},
		"two voters of five cut off for a moment":   {[]memberState{voter(1), voter(2), voter(3), silent(4, 5*time.Second), silent(5, 5*time.Second)}, "", 0},
		"two lost voters of five":                   {[]memberState{voter(1), voter(2), voter(3), silent(4, time.Minute), silent(5, 2*time.Minute)}, memberRemove, 5},
		"two silent voters of five and one learner": {[]memberState{voter(1), voter(2), voter(3), silent(4, 3*time.Second), silent(5, 2*time.Second), ready(6)}, memberRemove, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			action, id := policy.next(test.members)
			is.Equal(action, test.action)
			is.Equal(id, test.id)
		})
	}
}

// formerPolicy promoted a replica before it removed a lost one, which it did after 8 s.
func formerPolicy(members []memberState) (action string, id replica.ID) {
	voters, caughtUp := 0, 0
	for _, m := range members {
		if m.voter {
			voters++
		}
		if m.voter && m.caughtUp {
			caughtUp++
		}
	}
	for _, m := range members {
		lost := m.missing > 8*time.Second
		switch {
		case !m.voter && m.caughtUp:
			return memberPromote, m.id
		case lost && !m.voter, lost && voters > 3 && caughtUp >= 3:
			return memberRemove, m.id
		}
	}
	return "", 0
}

// Times of the simulation, in milliseconds.
const (
	simStep     = 50
	simSteward  = int(stewardInterval / time.Millisecond)
	simNoticed  = 300
	simElection = 1200
	simSpan     = 120_000
)

// simVM is a VM with a disk. A VM that is replaced leaves the simulation; its successor is another.
type simVM struct {
	addr int
	// id identifies the disk.
	id replica.ID
	// downUntil is the time until which the VM is lost: down, frozen or cut off. silentSince is when
	// that began. readyAt is when a learner has caught up, and joinAt when it asks to join next.
	downUntil, silentSince, readyAt, joinAt int
}

// simulation is a group of replicas under losses, no more of them at once than it has to bear. A VM
// counts as lost until catchUp after it is back.
type simulation struct {
	rng                 *rand.Rand
	next                func([]memberState) (string, replica.ID)
	now, bears, catchUp int
	vms                 []*simVM
	// members holds whether a member votes, and addrs its VM.
	members map[replica.ID]bool
	addrs   map[replica.ID]int
	missing map[replica.ID]int
	// goneSince holds when a disk was lost.
	goneSince                    map[replica.ID]int
	lastID                       replica.ID
	lastAddr                     int
	leader                       replica.ID
	electAt, leaderSince, events int
}

func newSimulation(seed uint64, vms, bears int, catchUp time.Duration, next func([]memberState) (string, replica.ID)) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), next: next, bears: bears, catchUp: int(catchUp / time.Millisecond),
		members: map[replica.ID]bool{}, addrs: map[replica.ID]int{}, missing: map[replica.ID]int{}, goneSince: map[replica.ID]int{},
	}
	for i := range vms {
		v := s.newVM()
		if i < minVoters {
			s.members[v.id], s.addrs[v.id] = true, v.addr
		}
	}
	return s
}

func (s *simulation) newVM() *simVM {
	s.lastID++
	s.lastAddr++
	v := &simVM{addr: s.lastAddr, id: s.lastID}
	s.vms = append(s.vms, v)
	return v
}

func (s *simulation) up(v *simVM) bool { return s.now >= v.downUntil }

// vmOf returns the VM with a disk, or nil if the disk is lost.
func (s *simulation) vmOf(id replica.ID) *simVM {
	for _, v := range s.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// lost counts the VMs that count as lost.
func (s *simulation) lost() int {
	n := 0
	for _, v := range s.vms {
		if v.downUntil > 0 && s.now < v.downUntil+s.catchUp {
			n++
		}
	}
	return n
}

// memberIDs returns the members in order, so that a run repeats.
func (s *simulation) memberIDs() []replica.ID { return slices.Sorted(maps.Keys(s.members)) }

// voters counts the voters, those whose disks exist, and those that are up.
func (s *simulation) voters() (all, withDisk, up int) {
	for _, id := range s.memberIDs() {
		if !s.members[id] {
			continue
		}
		all++
		if v := s.vmOf(id); v != nil {
			withDisk++
			if s.up(v) {
				up++
			}
		}
	}
	return all, withDisk, up
}

func (s *simulation) down(v *simVM, span int) { v.silentSince, v.downUntil = s.now, s.now+span }

// lose takes a VM out in one of the ways that the group has to bear.
func (s *simulation) lose(v *simVM) {
	s.events++
	switch s.rng.IntN(4) {
	case 0: // killed, frozen or cut off
		s.down(v, 300+s.rng.IntN(3000))
	case 1: // cut off for long
		s.down(v, 5000+s.rng.IntN(10_000))
	case 2: // back at its address with an empty disk
		s.down(v, 300+s.rng.IntN(3000))
		s.goneSince[v.id] = s.now
		s.lastID++
		v.id = s.lastID
	case 3:
		s.replaceVM(v, s.rng.IntN(2000))
	}
}

// replaceVM removes a VM for good. Its successor starts after the pause.
func (s *simulation) replaceVM(v *simVM, pause int) {
	s.goneSince[v.id] = s.now
	for i := range s.vms {
		if s.vms[i] == v {
			s.vms = append(s.vms[:i], s.vms[i+1:]...)
			break
		}
	}
	s.down(s.newVM(), max(pause, 1))
}

// disturb draws losses, restarts of all VMs, and changes of the leader without a loss.
func (s *simulation) disturb() {
	switch n := s.rng.IntN(400); {
	case n == 0:
		for _, v := range s.vms {
			if s.up(v) {
				s.down(v, 500+s.rng.IntN(500))
			}
		}
	case n == 1:
		s.leader, s.electAt = 0, s.now+s.rng.IntN(simElection)
	case n < 30 && s.lost() < s.bears:
		v := s.vms[s.rng.IntN(len(s.vms))]
		if leader := s.vmOf(s.leader); leader != nil && n < 12 {
			v = leader
		}
		if s.up(v) {
			s.lose(v)
		}
	}
}

// elect ends the leadership of a replica that is lost or has no quorum, and elects another one.
func (s *simulation) elect() {
	all, _, up := s.voters()
	leader := s.vmOf(s.leader)
	switch {
	case 2*up <= all:
		s.leader, s.electAt = 0, s.now+300+s.rng.IntN(simElection-300)
	case s.leader != 0 && (leader == nil || !s.up(leader) || !s.members[s.leader]):
		s.leader, s.electAt = 0, s.now+300+s.rng.IntN(simElection-300)
	case s.leader == 0 && s.now >= s.electAt:
		for _, id := range s.memberIDs() {
			if v := s.vmOf(id); s.members[id] && v != nil && s.up(v) {
				s.leader, s.leaderSince = id, s.now
			}
		}
		clear(s.missing)
	}
}

// states returns what the leader knows of the members.
func (s *simulation) states() []memberState {
	var out []memberState
	for _, id := range s.memberIDs() {
		v, votes := s.vmOf(id), s.members[id]
		present := v != nil && s.up(v) && (votes || s.now >= v.readyAt)
		// The leader knows when its process, or that of the member, was last heard.
		silentSince := max(s.goneSince[id], s.vmOf(s.leader).downUntil)
		if v != nil {
			silentSince = max(silentSince, v.silentSince)
		}
		if v != nil && s.up(v) {
			silentSince = s.now // behind, not silent
		}
		switch _, missing := s.missing[id]; {
		case present:
			delete(s.missing, id)
		case !missing && s.now-s.leaderSince >= simNoticed && (s.now-silentSince >= simNoticed || silentSince == s.now):
			s.missing[id] = silentSince
		}
		m := memberState{id: id, voter: votes, caughtUp: present}
		if since, ok := s.missing[id]; ok {
			m.missing = time.Duration(s.now-since) * time.Millisecond
		}
		out = append(out, m)
	}
	return out
}

// remove removes a member if the change can commit.
func (s *simulation) remove(id replica.ID) bool {
	votes := s.members[id]
	delete(s.members, id)
	if all, _, up := s.voters(); 2*up <= all {
		s.members[id] = votes
		return false
	}
	delete(s.missing, id)
	return true
}

func (s *simulation) steward() {
	for range 10 {
		action, id := s.next(s.states())
		switch {
		case action == memberPromote:
			s.members[id] = true
		case action == "" || !s.remove(id):
			return
		}
	}
}

// join lets replicas that are not members ask to join, as Server.join does.
func (s *simulation) join() {
	for _, v := range s.vms {
		if _, member := s.members[v.id]; member || !s.up(v) || s.now < v.joinAt {
			continue
		}
		v.joinAt = s.now + int(joinInterval/time.Millisecond)
		for _, id := range s.memberIDs() {
			if s.addrs[id] == v.addr && !s.remove(id) {
				return
			}
		}
		s.members[v.id], s.addrs[v.id] = false, v.addr
		v.readyAt = s.now + 200 + s.rng.IntN(600)
	}
}

// step advances the time and returns a fault of the group, or an empty string.
func (s *simulation) step(losses bool) string {
	s.now += simStep
	if losses {
		s.disturb()
	}
	s.elect()
	if s.leader != 0 {
		s.join()
		if s.now%simSteward == 0 {
			s.steward()
		}
	}
	all, withDisk, up := s.voters()
	switch {
	case 2*withDisk <= all:
		return fmt.Sprintf("at %d ms %d of %d voters have their disks, after %d losses", s.now, withDisk, all, s.events)
	case 2*up <= all && s.lost() <= s.bears:
		return fmt.Sprintf("at %d ms %d of %d voters are up, though %d of %d VMs count as lost", s.now, up, all, s.lost(), len(s.vms))
	}
	return ""
}

// simulatedRuns is the number of seeds of each simulated group.
var simulatedRuns = flag.Uint64("simulated-runs", 100, "seeds of each simulated group of replicas")

var simulatedGroups = []struct{ vms, bears int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {8, 2}}

// After each loss that the group has to bear, a quorum of VMs with their disks is left.
func TestGroupKeepsAQuorumUnderAllLossesThatItHasToBear(t *testing.T) {
	policies := map[string]struct {
		next  func([]memberState) (string, replica.ID)
		fails bool
	}{"former": {formerPolicy, true}, "policy": {newMembershipPolicy(defaultCatchUp).next, false}}
	for name, policy := range policies {
		for _, group := range simulatedGroups {
			t.Run(fmt.Sprintf("%s, %d VMs", name, group.vms), func(t *testing.T) {
				faults, events := 0, 0
				for seed := range *simulatedRuns {
					s := newSimulation(seed, group.vms, group.bears, defaultCatchUp, policy.next)
					fault := ""
					for fault == "" && s.now < simSpan {
						fault = s.step(s.now > 5000)
					}
					events += s.events
					if fault != "" {
						faults++
						if !policy.fails {
							t.Errorf("seed %d: %s", seed, fault)
						}
					}
				}
				t.Logf("%d of %d runs of %d s end the group, %d losses", faults, *simulatedRuns, simSpan/1000, events)
				if policy.fails && faults == 0 {
					t.Error("the simulation does not show the fault of the former policy")
				}
			})
		}
	}
}

// A replaced VM no longer counts as lost catchUp after its successor has started.
func TestGroupBearsTheNextLossWithinCatchUp(t *testing.T) {
	for _, catchUp := range []time.Duration{4 * time.Second, 6 * time.Second} {
		for name, next := range map[string]func([]memberState) (string, replica.ID){"former": formerPolicy, "policy": newMembershipPolicy(catchUp).next} {
			for _, group := range simulatedGroups {
				t.Run(fmt.Sprintf("%s, %v, %d VMs", name, catchUp, group.vms), func(t *testing.T) {
					longest, fromLoss := 0, 0
					for seed := range *simulatedRuns {
						s := newSimulation(seed, group.vms, group.bears, catchUp, next)
						for s.now < 5000 {
							s.step(false)
						}
						v, pause := s.vms[s.rng.IntN(len(s.vms))], s.rng.IntN(2000)
						if seed%2 == 0 {
							v = s.vmOf(s.leader)
						}
						lostAt, bears := s.now, false
						s.replaceVM(v, pause)
						for !bears && s.now < lostAt+60_000 {
							s.step(false)
							all, _, up := s.voters()
							bears = s.leader != 0 && up-(all/2+1) >= group.bears
						}
						longest, fromLoss = max(longest, s.now-lostAt-pause), max(fromLoss, s.now-lostAt)
					}
					t.Logf("bears the next loss %d ms after the successor has started at the latest, %d ms after the loss", longest, fromLoss)
					if name == "policy" && time.Duration(longest)*time.Millisecond > catchUp {
						t.Errorf("the group bears the next loss only after %d ms", longest)
					}
				})
			}
		}
	}
}
