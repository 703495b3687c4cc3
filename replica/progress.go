package replica

// maxInflight bounds the appends sent to one follower and not answered yet.
const maxInflight = 64

// stallHeartbeats is the number of heartbeats after which an unanswered append counts
// as lost.
const stallHeartbeats = 3

// progressState is the mode in which a leader sends to one follower.
type progressState uint8

const (
	// stateProbe sends one append at a time until a match index is known.
	stateProbe progressState = iota
	// stateReplicate pipelines appends, up to maxInflight without a reply.
	stateReplicate
	// stateSnapshot streams a snapshot and sends no entries.
	stateSnapshot
)

// progress is the state that a leader keeps for one member, itself included.
//
// Invariant: match < next; match never falls within a leader's term.
type progress struct {
	state             progressState
	match             uint64 // highest index known to match the leader's log and to be on the follower's disk
	next              uint64 // index of the next entry to send
	probeSent         bool
	caughtUpIndex     uint64   // match from which the member counts as caught up: the commit index at the last heartbeat
	ticksSinceContact int      // ticks since the last reply of the follower
	inflight          []uint64 // last index of each unanswered append, ascending
	oldest            uint64   // first of inflight at the last heartbeat; zero for none
	stalledHeartbeats int      // heartbeats for which oldest has stayed unanswered
	readSeq           uint64   // highest read index round that the follower has confirmed
	snapshot          uint64   // index of the snapshot being streamed
	offset            uint64   // offset of the next byte that the follower lacks
	chunkAge          int      // heartbeats since the chunk at offset was sent
}

func newProgress(last uint64) *progress {
	return &progress{next: last + 1, caughtUpIndex: last}
}

// paused reports whether no append may be sent before a reply arrives.
func (p *progress) paused() bool {
	switch p.state {
	case stateProbe:
		return p.probeSent
	case stateReplicate:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// become changes the state and forgets unanswered appends.
func (p *progress) become(s progressState) {
	p.state = s
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.oldest = 0
	p.stalledHeartbeats = 0
}

// sent records an append with the given number of entries, of which last is the index
// of the final one.
func (p *progress) sent(last uint64, entries int) {
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acked records that the follower has all entries up to index on disk. It reports
// whether match moved.
func (p *progress) acked(index uint64) bool {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// rejected handles a follower's rejection of an append after index, with agree as the
// highest index at which the logs may match. It switches to probing from there and
// reports whether it did: a stale rejection is ignored.
func (p *progress) rejected(index, agree uint64) bool {
	if index <= p.match || p.state == stateProbe && index != p.next-1 {
		return false
	}
	p.next = max(p.match, min(index-1, agree)) + 1
	p.become(stateProbe)
	return true
}

// stalled reports whether the oldest unanswered append has been the same for
// stallHeartbeats heartbeats, which means that the append or its reply was lost. A probe
// counts as stalled at the first heartbeat without a reply. It is called once a
// heartbeat.
func (p *progress) stalled() bool {
	if p.state == stateProbe {
		return p.probeSent
	}
	if len(p.inflight) == 0 || p.inflight[0] != p.oldest {
		p.oldest = 0
		p.stalledHeartbeats = 0
		if len(p.inflight) > 0 {
			p.oldest = p.inflight[0]
		}
		return false
	}
	p.stalledHeartbeats++
	return p.stalledHeartbeats >= stallHeartbeats
}
