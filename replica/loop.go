package replica

import (
	"github.com/pkg/errors"
)

// tick advances the time by one tick: the core's, or that of group formation.
func (r *Replica) tick() {
	r.saveBlocked = false
	if r.diskFull && r.core.log.unstable() == nil && r.store.allocateReserve() {
		r.diskFull = false
		r.log.Info("disk has space again", "id", uint64(r.founding.ID))
	}
	if r.founding.State != foundingDone {
		r.sendHellos()
		return
	}
	r.core.tick()
	r.tickBarriers()
	r.checkTransfers()
}

// runOnce handles all waiting work, so that one sync covers all of it. An error is a fault
// that stops the replica.
func (r *Replica) runOnce() error {
	work := r.inbox.take()
	for _, m := range work.messages {
		if err := r.receive(m); err != nil {
			return err
		}
	}
	for _, o := range work.orders {
		r.handleOrder(o)
	}
	for _, p := range work.proposals {
		r.handleProposal(p)
	}
	for _, b := range work.barriers {
		r.handleBarrier(b)
	}
	r.startReadIndex()
	if err := r.processReady(); err != nil {
		return err
	}
	r.handleRoleChange()
	r.checkTransfers()
	r.publish()
	return r.maybeSnapshot()
}

// receive handles a message. A message to another ID, or to the core of a replica whose
// group has not formed, is dropped.
func (r *Replica) receive(m *Message) error {
	if m.Type == MsgHello || m.Type == MsgHelloReply {
		return r.receiveHello(m)
	}
	if r.founding.State != foundingDone || m.To != r.founding.ID {
		return nil
	}
	if r.diskFull && m.Type == MsgAppend {
		// The disk has no space for entries. The rest of the message still shows that
		// the leader is alive and advances the commit index.
		withoutEntries := *m
		withoutEntries.Entries = nil
		m = &withoutEntries
	}
	r.core.step(m)
	return nil
}

// handleProposal proposes a command; resolve completes the call once it is applied.
func (r *Replica) handleProposal(p *proposal) {
	if !p.claim() {
		return
	}
	if r.diskFull && r.core.role == roleLeader {
		p.complete(nil, ErrDiskFull)
		return
	}
	index, err := r.core.propose(p.command)
	if err != nil {
		p.complete(nil, err)
		return
	}
	p.term = r.core.term
	r.proposals[index] = p
}

// handleOrder starts an administrative call. A membership change completes once it is
// applied, a transfer in checkTransfers.
func (r *Replica) handleOrder(o *order) {
	if !o.claim() {
		return
	}
	switch {
	case o.campaign:
		r.core.campaign(false)
		o.complete(nil, nil)
	case o.transfer:
		if err := r.core.transfer(o.to); err != nil {
			o.complete(nil, err)
			return
		}
		r.transfers = append(r.transfers, o)
	default:
		index, err := r.core.proposeChange(o.change)
		if err != nil {
			o.complete(nil, err)
			return
		}
		r.orders[index] = o
	}
}

// processReady executes the effects of the core until there are none.
func (r *Replica) processReady() error {
	for {
		r.core.flush()
		rd := r.core.ready()
		saved, err := r.save(&rd)
		if err != nil {
			return err
		}
		applied := r.apply()
		r.finishBarriers(rd.reads)
		if !saved && applied == 0 && len(rd.messages) == 0 && len(rd.reads) == 0 {
			return nil
		}
	}
}

// save writes rd to the disk and sends its messages. A message that depends on the saved
// state is sent only after the write. save reports whether anything was saved.
func (r *Replica) save(rd *ready) (bool, error) {
	dirty := rd.hardDirty || rd.snapshot != nil || len(rd.entries) > 0
	if !dirty {
		r.sendAll(rd.messages, func(*Message) bool { return true })
		return false, nil
	}
	// Messages such as a leader's appends do not depend on the sender's disk, so they
	// are sent while it is being written, unless the hard state is new: then every
	// message waits for it.
	beforeSync := func(m *Message) bool { return !rd.hardDirty && canPrecedeSync(m) }
	r.sendAll(rd.messages, beforeSync)
	if r.saveBlocked {
		return false, nil
	}
	err := r.write(rd)
	if errors.Is(err, ErrDiskFull) {
		r.saveBlocked = true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.core.advance(rd)
	if rd.snapshot != nil {
		if err := r.opts.StateMachine.Restore(rd.snapshot.data); err != nil {
			return false, errors.Wrap(err, "replica: restore snapshot")
		}
		r.bytesSinceSnapshot = 0
		r.log.Info("snapshot installed", "id", uint64(r.founding.ID), "index", rd.snapshot.meta.Index)
	}
	r.sendAll(rd.messages, func(m *Message) bool { return !beforeSync(m) })
	return true, nil
}

// write saves rd. If the disk is full, write releases the reserve and retries, and
// the replica refuses commands and, if it leads, tries to transfer leadership.
func (r *Replica) write(rd *ready) error {
	err := r.store.save(rd)
	if !errors.Is(err, ErrDiskFull) {
		return err
	}
	if !r.diskFull {
		r.diskFull = true
		r.log.Error("disk full, commands are refused", "id", uint64(r.founding.ID))
		if r.core.role == roleLeader {
			r.core.transfer(0) // best effort: there may be no other active voter
		}
	}
	if r.store.releaseReserve() != nil {
		return ErrDiskFull
	}
	return r.store.save(rd)
}

// canPrecedeSync reports whether a message may be sent before the entries and snapshot of
// its batch are on the sender's disk: it acknowledges no entry and answers no vote request.
func canPrecedeSync(m *Message) bool {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgHeartbeatReply, MsgSnapshot, MsgSnapshotReply,
		MsgReadIndex, MsgReadIndexReply, MsgTimeoutNow, MsgPreVote, MsgPreVoteReply:
		return true
	case MsgAppendReply:
		return m.Reject
	default:
		return false
	}
}

// sendAll sends the messages for which include returns true.
func (r *Replica) sendAll(messages []Message, include func(*Message) bool) {
	for i := range messages {
		m := &messages[i]
		if !include(m) {
			continue
		}
		if m.Type == MsgSnapshot && !r.fillChunk(m) {
			continue
		}
		r.opts.Transport.Send(m.To, m)
	}
}

// fillChunk sets the data of a snapshot chunk from the snapshot file, and reports whether
// the file could be read.
func (r *Replica) fillChunk(m *Message) bool {
	data, err := r.store.readChunk(m.Index, m.Offset, m.Size)
	if err != nil {
		r.log.Error("snapshot chunk not read", "id", uint64(r.founding.ID), "err", err)
		return false
	}
	m.Data = data
	return true
}

// apply applies the next committed entries, completes the calls that wait for them, and
// returns the number of entries.
func (r *Replica) apply() int {
	entries := r.core.takeCommitted()
	for i := range entries {
		r.applyEntry(&entries[i])
	}
	return len(entries)
}

func (r *Replica) applyEntry(e *Entry) {
	r.bytesSinceSnapshot += e.size()
	switch e.Kind {
	case EntryCommand:
		result := r.opts.StateMachine.Apply(e.Index, e.Data)
		if p := r.proposals[e.Index]; p != nil {
			delete(r.proposals, e.Index)
			p.resolve(e, result)
		}
	case EntryMembership:
		members := r.core.membershipAt(e.Index).members
		r.log.Info("membership", "id", uint64(r.founding.ID), "index", e.Index, "members", len(members))
		if o := r.orders[e.Index]; o != nil {
			delete(r.orders, e.Index)
			o.complete(nil, nil)
		}
	}
}

// resolve completes the call when the entry at its index is applied. If the entry has
// another term, a later leader has overwritten the command.
func (p *proposal) resolve(e *Entry, result []byte) {
	if e.Term != p.term {
		p.complete(nil, ErrUncertain)
		return
	}
	p.complete(result, nil)
}

// handleRoleChange detects that this replica has gained or lost leadership, and completes
// the calls of an earlier leadership with ErrUncertain.
func (r *Replica) handleRoleChange() {
	leaderTerm := uint64(0)
	if r.core.role == roleLeader {
		leaderTerm = r.core.term
	}
	if leaderTerm == r.ledTerm {
		return
	}
	r.ledTerm = leaderTerm
	r.log.Info("role", "id", uint64(r.founding.ID), "term", r.core.term,
		"leader", uint64(r.core.leader), "leads", leaderTerm != 0)
	r.endProposals(ErrUncertain, leaderTerm)
}

// endProposals completes with err the proposals of all terms but keepTerm, and all
// membership changes.
func (r *Replica) endProposals(err error, keepTerm uint64) {
	for index, p := range r.proposals {
		if p.term != keepTerm {
			delete(r.proposals, index)
			p.complete(nil, err)
		}
	}
	for index, o := range r.orders {
		delete(r.orders, index)
		o.complete(nil, err)
	}
}

// checkTransfers completes the transfer calls once the core has no transfer in progress:
// with ErrNoQuorum if this replica still leads.
func (r *Replica) checkTransfers() {
	if len(r.transfers) == 0 || r.core.transferee != 0 {
		return
	}
	var err error
	if r.core.role == roleLeader {
		err = ErrNoQuorum
	}
	for _, o := range r.transfers {
		o.complete(nil, err)
	}
	r.transfers = nil
}

// publish stores the state that Status, Members and LastIndex return.
func (r *Replica) publish() {
	c := r.core
	applied := c.membershipAt(c.log.applied)
	v := &view{last: c.log.last(), status: Status{
		ID:            c.id,
		Term:          c.term,
		Leader:        c.leader,
		Commit:        c.log.committed,
		Applied:       c.log.applied,
		CaughtUp:      applied.isVoter(c.id),
		FaultTolerant: c.isFaultTolerant(),
	}}
	for _, m := range c.current().members {
		s := MemberStatus{Member: m}
		if p := c.progress[m.ID]; p != nil {
			s.Match = p.match
			s.CaughtUp = c.isCaughtUp(m.ID)
		}
		v.members = append(v.members, s)
	}
	r.view.Store(v)
}

// stop completes all calls, waits for a snapshot being written and closes the files.
func (r *Replica) stop() {
	rest := r.inbox.close()
	for _, p := range rest.proposals {
		if p.claim() {
			p.complete(nil, ErrStopped)
		}
	}
	for _, o := range rest.orders {
		if o.claim() {
			o.complete(nil, ErrStopped)
		}
	}
	for _, b := range rest.barriers {
		b.complete(nil, ErrStopped)
	}
	r.endProposals(ErrUncertain, 0)
	if r.job != nil {
		<-r.job.done
	}
	r.endBarriers(ErrStopped)
	for _, o := range r.transfers {
		o.complete(nil, ErrUncertain)
	}
	r.store.close()
}
