package lease

import "time"

// maxPeers bounds the peers whose stamps an Exchange remembers.
const maxPeers = 8192

// TimestampEcho dates what peers state in messages that answer nothing. Each message
// carries a stamp of the sender's clock and repeats the newest stamp that the
// sender has seen from the receiver. A statement was made after the receiver
// stamped what it repeats, however long the message was on its way.
//
// Stamps begin at a random number, so that one from before a restart falls
// outside those given out since. TimestampEcho does no locking.
type TimestampEcho struct {
	began time.Time
	first uint64
	seen  map[string]uint64
}

// NewTimestampEcho returns an exchange that begins at now; random must be new for each
// start of the process.
func NewTimestampEcho(now time.Time, random uint64) *TimestampEcho {
	return &TimestampEcho{began: now, first: random, seen: map[string]uint64{}}
}

// Stamp returns the stamp of a message that is sent at now.
func (e *TimestampEcho) Stamp(now time.Time) uint64 { return e.first + uint64(now.Sub(e.began)) }

// Observe remembers the newest stamp of a peer.
func (e *TimestampEcho) Observe(peer string, stamp uint64) {
	if _, ok := e.seen[peer]; !ok && len(e.seen) == maxPeers {
		clear(e.seen)
	}
	e.seen[peer] = stamp
}

// Echo returns the stamp to repeat to the peer; zero when none was seen.
func (e *TimestampEcho) Echo(peer string) uint64 { return e.seen[peer] }

// NotBefore returns a moment before the peer made its statement, from the stamp that
// came with it, or false when the stamp is none of ours.
func (e *TimestampEcho) NotBefore(now time.Time, repeated uint64) (time.Time, bool) {
	age := repeated - e.first
	if repeated == 0 || age > uint64(now.Sub(e.began)) {
		return time.Time{}, false
	}
	return e.began.Add(time.Duration(age)), true
}
