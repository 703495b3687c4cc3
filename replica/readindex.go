package replica

// readRequest is a read index request. from is the replica that sent it, and read is the
// number that this replica gave it.
type readRequest struct {
	from ID
	read uint64
}

// readQueue batches read index requests at a leader: one round of heartbeats confirms the
// leadership for all requests that were waiting when the round began.
//
// Invariant: a request joins only a round that starts after the request arrived, so the
// index of the round covers everything that was committed at its arrival.
type readQueue struct {
	round    uint64 // number of the latest round in this term
	running  bool
	index    uint64        // commit index at the start of the round
	current  []readRequest // answered when the running round is confirmed
	waiting  []readRequest // join the next round
	deferred []readRequest // arrived before the leader had committed an entry of its term
}

func (q *readQueue) clear() { *q = readQueue{} }

// admitDeferred lets the deferred requests join the next round, once the leader has
// committed an entry of its term and so knows the commit index of its predecessors.
func (q *readQueue) admitDeferred() {
	q.waiting = append(q.waiting, q.deferred...)
	q.deferred = nil
}

// maxWaitingReads bounds the requests that wait at a leader; more are dropped and
// retried by their replicas. One request stands for all waiting callers of a replica.
const maxWaitingReads = 4096

// readIndex asks the leader for the index that a linearizable read has to wait for. The
// number read identifies the request. The answer is a readState in a later ready; if the
// leader or a message is lost there is none, and the host retries.
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

// startReadRound starts a round for the waiting requests unless a round is running.
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

// finishReadRound answers the requests of the running round once a quorum has confirmed
// it, and starts the next round.
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
