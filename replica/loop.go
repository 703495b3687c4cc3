package replica

import (
	"github.com/pkg/errors"
)

// tick advances the time of the core by one tick.
func (r *Replica) tick() {
	r.blocked = false
	if r.full && r.core.log.unstable() == nil && r.store.keepReserve() {
		r.full = false
		r.log.Info("disk has room again", "id", uint64(r.founding.ID))
	}
	if r.founding.State != foundingDone {
		r.sendHellos()
		return
	}
	r.core.tick()
	r.tickReads()
	r.checkTransfers()
}

// turn takes in all waiting work, so that one sync serves it all. An error is a fault
// that stops the replica.
func (r *Replica) turn() error {
	work := r.inbox.take()
	for _, m := range work.messages {
		if err := r.receive(m); err != nil {
			return err
		}
	}
	for _, o := range work.orders {
		r.takeOrder(o)
	}
	for _, p := range work.proposals {
		r.takeProposal(p)
	}
	for _, b := range work.barriers {
		r.takeBarrier(b)
	}
	r.startRead()
	if err := r.settle(); err != nil {
		return err
	}
	r.noteRole()
	r.checkTransfers()
	r.publish()
	return r.maybeSnapshot()
}

func (r *Replica) receive(m *Message) error {
	if m.Type == MsgHello || m.Type == MsgHelloReply {
		return r.receiveHello(m)
	}
	if r.founding.State != foundingDone || m.To != r.founding.ID {
		return nil
	}
	if r.full && m.Type == MsgAppend {
		// No room for entries; the rest of the message is still a sign of life.
		bare := *m
		bare.Entries = nil
		m = &bare
	}
	r.core.step(m)
	return nil
}

func (r *Replica) takeProposal(p *proposal) {
	if !p.take() {
		return
	}
	if r.full && r.core.role == roleLeader {
		p.end(nil, ErrDiskFull)
		return
	}
	index, err := r.core.propose(p.command)
	if err != nil {
		p.end(nil, err)
		return
	}
	p.term = r.core.term
	r.proposals[index] = p
}

func (r *Replica) takeOrder(o *order) {
	if !o.take() {
		return
	}
	switch {
	case o.campaign:
		r.core.campaign(false)
		o.end(nil, nil)
	case o.transfer:
		if err := r.core.transfer(o.to); err != nil {
			o.end(nil, err)
			return
		}
		r.transfers = append(r.transfers, o)
	default:
		index, err := r.core.proposeChange(o.change)
		if err != nil {
			o.end(nil, err)
			return
		}
		r.orders[index] = o
	}
}

// settle carries out the core's effects until there are none.
func (r *Replica) settle() error {
	for {
		r.core.flush()
		rd := r.core.ready()
		saved, err := r.save(&rd)
		if err != nil {
			return err
		}
		applied := r.apply()
		r.finishReads(rd.reads)
		if !saved && applied == 0 && len(rd.messages) == 0 && len(rd.reads) == 0 {
			return nil
		}
	}
}

// save puts rd on the disk and sends its messages: those that promise something only
// after it is there. It reports whether anything was saved.
func (r *Replica) save(rd *ready) (bool, error) {
	dirty := rd.hardDirty || rd.snapshot != nil || len(rd.entries) > 0
	if !dirty {
		r.sendAll(rd.messages, func(*Message) bool { return true })
		return false, nil
	}
	// A leader's appends promise nothing of its own disk, so they need not wait.
	early := func(m *Message) bool { return !rd.hardDirty && needsNoSync(m) }
	r.sendAll(rd.messages, early)
	if r.blocked {
		return false, nil
	}
	err := r.write(rd)
	if errors.Is(err, ErrDiskFull) {
		r.blocked = true
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
		r.sinceSnap = 0
		r.log.Info("snapshot installed", "id", uint64(r.founding.ID), "index", rd.snapshot.meta.Index)
	}
	r.sendAll(rd.messages, func(m *Message) bool { return !early(m) })
	return true, nil
}

// write saves rd, if need be in the room of the reserve.
func (r *Replica) write(rd *ready) error {
	err := r.store.save(rd)
	if !errors.Is(err, ErrDiskFull) {
		return err
	}
	if !r.full {
		r.full = true
		r.log.Error("disk full, commands are refused", "id", uint64(r.founding.ID))
		if r.core.role == roleLeader {
			r.core.transfer(0) // a replica with room serves better; none may be there
		}
	}
	if r.store.release() != nil {
		return ErrDiskFull
	}
	return r.store.save(rd)
}

// needsNoSync says whether a message promises nothing about the sender's disk, beyond
// its term.
func needsNoSync(m *Message) bool {
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

func (r *Replica) sendAll(messages []Message, which func(*Message) bool) {
	for i := range messages {
		m := &messages[i]
		if !which(m) {
			continue
		}
		if m.Type == MsgSnapshot && !r.fillChunk(m) {
			continue
		}
		r.opts.Transport.Send(m.To, m)
	}
}

func (r *Replica) fillChunk(m *Message) bool {
	data, err := r.store.readChunk(m.Index, m.Offset, m.Size)
	if err != nil {
		r.log.Error("snapshot chunk not read", "id", uint64(r.founding.ID), "err", err)
		return false
	}
	m.Data = data
	return true
}

// apply carries out committed commands, in order, and answers their callers.
func (r *Replica) apply() int {
	entries := r.core.takeCommitted()
	for i := range entries {
		r.applyEntry(&entries[i])
	}
	return len(entries)
}

func (r *Replica) applyEntry(e *Entry) {
	r.sinceSnap += e.size()
	switch e.Kind {
	case EntryCommand:
		result := r.opts.StateMachine.Apply(e.Index, e.Data)
		if p := r.proposals[e.Index]; p != nil {
			delete(r.proposals, e.Index)
			p.finish(e, result)
		}
	case EntryMembership:
		members := r.core.membershipAt(e.Index).members
		r.log.Info("membership", "id", uint64(r.founding.ID), "index", e.Index, "members", len(members))
		if o := r.orders[e.Index]; o != nil {
			delete(r.orders, e.Index)
			o.end(nil, nil)
		}
	}
}

// finish answers a caller whose index was applied. Another term there means that
// another leader's command took the place.
func (p *proposal) finish(e *Entry, result []byte) {
	if e.Term != p.term {
		p.end(nil, ErrUncertain)
		return
	}
	p.end(result, nil)
}

// noteRole ends the calls of a leadership that is over.
func (r *Replica) noteRole() {
	leads := uint64(0)
	if r.core.role == roleLeader {
		leads = r.core.term
	}
	if leads == r.led {
		return
	}
	r.led = leads
	r.log.Info("role", "id", uint64(r.founding.ID), "term", r.core.term,
		"leader", uint64(r.core.leader), "leads", leads != 0)
	r.endProposals(ErrUncertain, leads)
}

// endProposals ends the calls that began in another term than keep.
func (r *Replica) endProposals(err error, keep uint64) {
	for index, p := range r.proposals {
		if p.term != keep {
			delete(r.proposals, index)
			p.end(nil, err)
		}
	}
	for index, o := range r.orders {
		delete(r.orders, index)
		o.end(nil, err)
	}
}

// checkTransfers ends the transfers that succeeded or were given up.
func (r *Replica) checkTransfers() {
	if len(r.transfers) == 0 || r.core.transferee != 0 {
		return
	}
	var err error
	if r.core.role == roleLeader {
		err = ErrNoQuorum
	}
	for _, o := range r.transfers {
		o.end(nil, err)
	}
	r.transfers = nil
}

// publish makes the state visible to other goroutines.
func (r *Replica) publish() {
	c := r.core
	applied := c.membershipAt(c.log.applied)
	v := &view{last: c.log.last(), status: Status{
		ID:            c.id,
		Term:          c.term,
		Leader:        c.leader,
		Commit:        c.log.committed,
		Applied:       c.log.applied,
		Whole:         applied.isVoter(c.id),
		FaultTolerant: c.survivesLoss(),
	}}
	for _, m := range c.current().members {
		s := MemberStatus{Member: m}
		if p := c.progress[m.ID]; p != nil {
			s.Match = p.match
			s.Whole = c.isWhole(m.ID)
		}
		v.members = append(v.members, s)
	}
	r.view.Store(v)
}

// stop ends all calls and closes the files.
func (r *Replica) stop() {
	rest := r.inbox.close()
	for _, p := range rest.proposals {
		if p.take() {
			p.end(nil, ErrStopped)
		}
	}
	for _, o := range rest.orders {
		if o.take() {
			o.end(nil, ErrStopped)
		}
	}
	for _, b := range rest.barriers {
		b.end(nil, ErrStopped)
	}
	r.endProposals(ErrUncertain, 0)
	if r.job != nil {
		<-r.job.done
	}
	r.endReads(ErrStopped)
	for _, o := range r.transfers {
		o.end(nil, ErrUncertain)
	}
	r.store.close()
}
