package replica

// readRetryTicks is after how many ticks an unanswered round is asked for again.
const readRetryTicks = 4

// barrierQueue batches the barriers of one replica: those that wait while a round is under
// way join the next one.
type barrierQueue struct {
	number            uint64 // of the round under way, or of the last one
	running           bool
	ticksSinceRequest int        // ticks since the round was last asked for
	waiting           []*barrier // join the next round
	round             []*barrier // wait for the round under way
	applied           []*barrier // wait for their index to be applied
}

func (r *Replica) handleBarrier(b *barrier) {
	b.claimed.Store(true)
	r.barrierQueue.waiting = append(r.barrierQueue.waiting, b)
}

// startReadIndex begins a round for the waiting barriers unless one is under way.
func (r *Replica) startReadIndex() {
	q := &r.barrierQueue
	if q.running || len(q.waiting) == 0 || r.founding.State != foundingDone {
		return
	}
	q.number++
	q.running = true
	q.ticksSinceRequest = 0
	q.round, q.waiting = q.waiting, nil
	r.core.readIndex(q.number)
}

// finishBarriers ends the barriers whose index is applied.
func (r *Replica) finishBarriers(states []readState) {
	q := &r.barrierQueue
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
		r.startReadIndex()
	}
	rest := q.applied[:0]
	for _, b := range q.applied {
		if b.index <= r.core.log.applied && r.core.pendingSnap == nil {
			b.complete(nil, nil)
		} else {
			rest = append(rest, b)
		}
	}
	q.applied = rest
}

// tickBarriers asks again for a round that found no answer, and forgets callers that left.
func (r *Replica) tickBarriers() {
	q := &r.barrierQueue
	q.waiting = dropCanceled(q.waiting)
	q.round = dropCanceled(q.round)
	q.applied = dropCanceled(q.applied)
	if !q.running {
		return
	}
	q.ticksSinceRequest++
	if q.ticksSinceRequest < readRetryTicks {
		return
	}
	q.ticksSinceRequest = 0
	// The number stays: an answer to the earlier question is as good, for the
	// callers of the round were all there when it was asked.
	r.core.readIndex(q.number)
}

func dropCanceled(barriers []*barrier) []*barrier {
	rest := barriers[:0]
	for _, b := range barriers {
		if b.ctx.Err() == nil {
			rest = append(rest, b)
		}
	}
	return rest
}

func (r *Replica) endBarriers(err error) {
	q := &r.barrierQueue
	for _, list := range [][]*barrier{q.waiting, q.round, q.applied} {
		for _, b := range list {
			b.complete(nil, err)
		}
	}
}
