package lease

import "time"

// maxPeers bounds the number of peers whose stamps a TimestampEcho remembers.
const maxPeers = 8192

// TimestampEcho determines how old a peer's message can be when the message does not answer
// a request. Each message carries a timestamp of the sender's clock and echoes the newest
// timestamp that the sender has received from the receiver. The message was therefore
// sent after the receiver created the echoed timestamp, however long it was in transit.
// TCP timestamps (RFC 7323) work in the same way.
//
// Timestamps, called stamps, count nanoseconds from a random number, so that a stamp from
// before a restart is outside the range of the stamps since. TimestampEcho does no
// locking.
type TimestampEcho struct {
	startedAt  time.Time
	firstStamp uint64
	peerStamps map[string]uint64
}

// NewTimestampEcho returns a TimestampEcho whose stamps begin at now with the value random.
// random must differ for each start of the process.
func NewTimestampEcho(now time.Time, random uint64) *TimestampEcho {
	return &TimestampEcho{startedAt: now, firstStamp: random, peerStamps: map[string]uint64{}}
}

// Stamp returns the stamp of a message that is sent at now.
func (e *TimestampEcho) Stamp(now time.Time) uint64 {
	return e.firstStamp + uint64(now.Sub(e.startedAt))
}

// Observe records the newest stamp received from a peer. Beyond maxPeers it forgets all
// peers.
func (e *TimestampEcho) Observe(peer string, stamp uint64) {
	if _, ok := e.peerStamps[peer]; !ok && len(e.peerStamps) == maxPeers {
		clear(e.peerStamps)
	}
	e.peerStamps[peer] = stamp
}

// Echo returns the stamp to echo to the peer, or zero if none was received.
func (e *TimestampEcho) Echo(peer string) uint64 { return e.peerStamps[peer] }

// NotBefore returns a time before which the peer cannot have sent its message, from the
// stamp that the message echoes. It returns false if this TimestampEcho did not create the
// stamp.
func (e *TimestampEcho) NotBefore(now time.Time, echoed uint64) (time.Time, bool) {
	offset := echoed - e.firstStamp
	if echoed == 0 || offset > uint64(now.Sub(e.startedAt)) {
		return time.Time{}, false
	}
	return e.startedAt.Add(time.Duration(offset)), true
}
