package replica

// readRetryTicks is the number of ticks after which an unanswered read index request is
// retried.
const readRetryTicks = 4

// barrierQueue batches the Barrier calls of one replica: one read index request, called a
// round here, serves all calls that wait when it is sent. Calls that arrive while a round
// is running join the next one.
type barrierQueue struct {
	number            uint64 // number of the running round, or of the last one
	running           bool
	ticksSinceRequest int        // ticks since the request of the running round was last sent
	waiting           []*barrier // join the next round
	round             []*barrier // wait for the answer to the running round
	applied           []*barrier // have a read index, which is not applied yet
}

func (r *Replica) handleBarrier(b *barrier) {
	b.claimed.Store(true)
	r.barrierQueue.waiting = append(r.barrierQueue.waiting, b)
}

// startReadIndex starts a round for the waiting barriers unless one is running.
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

// finishBarriers handles the answers to read index requests, and completes the barriers
// whose read index is applied.
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

// tickBarriers drops calls whose context has ended, and sends an unanswered request again.
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
	// The request keeps its number: an answer to the earlier request is valid too, as
	// all callers of the round were waiting when it was sent.
	r.core.readIndex(q.number)
}

// dropCanceled returns the barriers whose context has not ended, in the same slice.
func dropCanceled(barriers []*barrier) []*barrier {
	rest := barriers[:0]
	for _, b := range barriers {
		if b.ctx.Err() == nil {
			rest = append(rest, b)
		}
	}
	return rest
}

// endBarriers completes all barriers with err.
func (r *Replica) endBarriers(err error) {
	q := &r.barrierQueue
	for _, list := range [][]*barrier{q.waiting, q.round, q.applied} {
		for _, b := range list {
			b.complete(nil, err)
		}
	}
}
