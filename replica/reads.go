package replica

// readRetryTicks is after how many ticks an unanswered round is asked for again.
const readRetryTicks = 4

// reads batches the barriers of one replica: those that wait while a round is under
// way join the next one.
type reads struct {
	number  uint64 // of the round under way, or of the last one
	running bool
	age     int        // ticks since the round was last asked for
	waiting []*barrier // join the next round
	round   []*barrier // wait for the round under way
	applied []*barrier // wait for their index to be applied
}

func (r *Replica) takeBarrier(b *barrier) {
	b.taken.Store(true)
	r.reads.waiting = append(r.reads.waiting, b)
}

// startRead begins a round for the waiting barriers unless one is under way.
func (r *Replica) startRead() {
	q := &r.reads
	if q.running || len(q.waiting) == 0 || r.founding.State != foundingDone {
		return
	}
	q.number++
	q.running = true
	q.age = 0
	q.round, q.waiting = q.waiting, nil
	r.core.readIndex(q.number)
}

// finishReads ends the barriers whose index is applied.
func (r *Replica) finishReads(states []readState) {
	q := &r.reads
	for _, s := range states {
		if !q.running || s.read != q.number {
			continue
		}
		for _, b := range q.round {
			b.index = s.index
		}
		q.applied = append(q.applied, q.round...)
		q.round = nil
		q.running = false
		r.startRead()
	}
	rest := q.applied[:0]
	for _, b := range q.applied {
		if b.index <= r.core.log.applied && r.core.pendingSnap == nil {
			b.end(nil, nil)
		} else {
			rest = append(rest, b)
		}
	}
	q.applied = rest
}

// tickReads asks again for a round that found no answer, and forgets callers that left.
func (r *Replica) tickReads() {
	q := &r.reads
	q.waiting = stillWaiting(q.waiting)
	q.round = stillWaiting(q.round)
	q.applied = stillWaiting(q.applied)
	if !q.running {
		return
	}
	q.age++
	if q.age < readRetryTicks {
		return
	}
	q.age = 0
	// The number stays: an answer to the earlier question is as good, for the
	// callers of the round were all there when it was asked.
	r.core.readIndex(q.number)
}

func stillWaiting(barriers []*barrier) []*barrier {
	rest := barriers[:0]
	for _, b := range barriers {
		if b.ctx.Err() == nil {
			rest = append(rest, b)
		}
	}
	return rest
}

func (r *Replica) endReads(err error) {
	q := &r.reads
	for _, list := range [][]*barrier{q.waiting, q.round, q.applied} {
		for _, b := range list {
			b.end(nil, err)
		}
	}
}
