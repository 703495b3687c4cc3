package replica

// maxInflight bounds the unanswered appends to one follower.
const maxInflight = 64

// stallHeartbeats is after how many heartbeats an unanswered append counts as lost.
const stallHeartbeats = 3

// progressState is how a leader sends to one follower.
type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to agree.
	stateProbe progressState = iota
	// stateReplicate sends ahead of the replies, up to the window.
	stateReplicate
	// stateSnapshot streams a snapshot and sends no entries.
	stateSnapshot
)

// progress is what a leader knows of one follower.
//
// Invariant: match < next; match never falls within a leader's term.
type progress struct {
	state             progressState
	match             uint64 // highest index known to be on the follower's disk
	next              uint64 // next index to send
	probeSent         bool
	caughtUpIndex     uint64   // what a whole follower holds: all committed a heartbeat ago
	ticksSinceContact int      // ticks since the follower was last heard from
	inflight          []uint64 // last index of each unanswered append, ascending
	oldest            uint64   // first of inflight at the last heartbeat
	stalledHeartbeats int      // heartbeats since oldest became the first
	readSeq           uint64   // highest round of leadership confirmation answered
	snapshot          uint64   // index of the snapshot being streamed
	offset            uint64   // next byte of the snapshot that the follower wants
	chunkAge          int      // heartbeats since the chunk at offset went out
}

func newProgress(last uint64) *progress {
	return &progress{next: last + 1, caughtUpIndex: last}
}

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

func (p *progress) become(s progressState) {
	p.state = s
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.oldest = 0
	p.stalledHeartbeats = 0
}

// sent records that entries up to last went out.
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

// acked takes in that the follower holds everything up to index.
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

// rejected takes in that the follower's log does not hold the entry at index, and
// that the logs may agree at agree. A stale rejection is ignored.
func (p *progress) rejected(index, agree uint64) bool {
	if index <= p.match || p.state == stateProbe && index != p.next-1 {
		return false
	}
	p.next = max(p.match, min(index-1, agree)) + 1
	p.become(stateProbe)
	return true
}

// stalled says, once a heartbeat, whether the oldest unanswered append is the same
// as stallHeartbeats heartbeats ago: it, or its answer, was lost.
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
