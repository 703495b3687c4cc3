package replica

// readRequest is a read that waits for its leader to be confirmed.
type readRequest struct {
	from ID
	read uint64
}

// readQueue batches linearizable reads at a leader: one round of heartbeats confirms
// the leadership for all reads that were waiting when it began.
//
// Invariant: a read joins only a round that starts after the read arrived, so the
// round's index is no older than what was committed at that time.
type readQueue struct {
	round    uint64 // number of the latest round in this term
	running  bool
	index    uint64        // commit index when the round began
	current  []readRequest // confirmed by the running round
	waiting  []readRequest // join the next round
	deferred []readRequest // came before the leader committed an entry of its term
}

func (q *readQueue) clear() { *q = readQueue{} }

func (q *readQueue) admitDeferred() {
	q.waiting = append(q.waiting, q.deferred...)
	q.deferred = nil
}

// maxWaitingReads bounds the reads that wait at a leader; each stands for all
// callers of one replica.
const maxWaitingReads = 4096

// readIndex asks for a linearizable read under the caller's number. The answer comes
// as a readState; none comes if the leader is lost, so the caller asks again.
func (c *core) readIndex(read uint64) {
	if c.role == roleLeader {
		c.queueRead(readRequest{from: c.id, read: read})
		return
	}
	if c.leader != 0 {
		c.send(Message{Type: MsgReadIndex, To: c.leader, Read: read})
	}
}

func (c *core) handleReadIndex(m *Message) {
	if c.role == roleLeader {
		c.queueRead(readRequest{from: m.From, read: m.Read})
	}
}

func (c *core) handleReadIndexReply(m *Message) {
	c.readDone = append(c.readDone, readState{read: m.Read, index: m.Index})
}

func (c *core) queueRead(r readRequest) {
	q := &c.reads
	if len(q.waiting)+len(q.deferred) >= maxWaitingReads {
		return
	}
	if !c.committedInTerm() {
		q.deferred = append(q.deferred, r)
		return
	}
	q.waiting = append(q.waiting, r)
	c.startReadRound()
}

// startReadRound begins a round for the waiting reads unless one is running.
func (c *core) startReadRound() {
	q := &c.reads
	if q.running || len(q.waiting) == 0 {
		return
	}
	q.round++
	q.running = true
	q.index = c.log.committed
	q.current, q.waiting = q.waiting, nil
	if !c.opts.disableReadRound {
		c.broadcastHeartbeat()
	}
	c.finishReadRound()
}

// finishReadRound answers the reads of the running round once a quorum has confirmed it.
func (c *core) finishReadRound() {
	q := &c.reads
	if !q.running {
		return
	}
	confirmed := c.hasQuorum(func(id ID) bool {
		return id == c.id || c.progress[id] != nil && c.progress[id].readSeq >= q.round
	})
	if !confirmed && !c.opts.disableReadRound {
		return
	}
	for _, r := range q.current {
		c.answerRead(r, q.index)
	}
	q.running = false
	q.current = nil
	c.startReadRound()
}

func (c *core) answerRead(r readRequest, index uint64) {
	if r.from == c.id {
		c.readDone = append(c.readDone, readState{read: r.read, index: index})
		return
	}
	c.send(Message{Type: MsgReadIndexReply, To: r.from, Read: r.read, Index: index})
}
