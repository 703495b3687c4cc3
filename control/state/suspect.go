package state

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// maxSuspects bounds the digests under suspicion; the oldest go first.
	maxSuspects = 4096
	// suspicionLife is how long a digest is remembered after its newest fall.
	suspicionLife = 24 * time.Hour
	// provenFalls is how many endpoints fall under a request before it is refused,
	// when it was never in flight alone.
	provenFalls = 3
)

// suspect is a request that was in flight on endpoints when they fell.
type suspect struct {
	// Falls names the incarnations that fell, each once.
	Falls []fallen `cbor:"1,keyasint"`
	// Alone is set once the request was the only one in flight at a fall.
	Alone bool `cbor:"2,keyasint,omitempty"`
	// At is the time of the newest fall.
	At int64 `cbor:"3,keyasint"`
}

type fallen struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// proven reports whether the request is refused everywhere: it was there when
// several endpoints fell, or at two of which one ran nothing else.
func (s *suspect) proven() bool {
	return len(s.Falls) >= provenFalls || (s.Alone && len(s.Falls) >= 2)
}

// suspects holds the requests under suspicion by their content digest.
type suspects struct {
	byDigest map[uint64]*suspect
	// version grows when what sessions are told changes.
	version uint64
}

func newSuspects() *suspects { return &suspects{byDigest: map[uint64]*suspect{}} }

func (m *Machine) suspect(e *Entry) *wire.Answer {
	var c command.Suspect
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	m.suspects.expire(m.now)
	fall := fallen{Endpoint: c.Endpoint, Incarnation: c.Incarnation}
	for _, digest := range c.Digests {
		m.suspects.add(digest, fall, len(c.Digests) == 1, m.now)
	}
	return &wire.Answer{}
}

// add counts a fall once, however many entries report it.
func (s *suspects) add(digest uint64, fall fallen, alone bool, now int64) {
	found := s.byDigest[digest]
	if found == nil {
		s.makeRoom()
		found = &suspect{}
		s.byDigest[digest] = found
	}
	if !slices.Contains(found.Falls, fall) && len(found.Falls) < provenFalls {
		found.Falls = append(found.Falls, fall)
		s.version++
	}
	if alone && !found.Alone {
		found.Alone = true
		s.version++
	}
	found.At = now
}

func (s *suspects) expire(now int64) {
	before := now - int64(suspicionLife)
	for digest, found := range s.byDigest {
		if found.At < before {
			delete(s.byDigest, digest)
			s.version++
		}
	}
}

// makeRoom drops the oldest suspect when there are too many.
func (s *suspects) makeRoom() {
	if len(s.byDigest) < maxSuspects {
		return
	}
	digests := s.sorted(func(*suspect) bool { return true })
	oldest := digests[0]
	for _, d := range digests {
		if s.byDigest[d].At < s.byDigest[oldest].At {
			oldest = d
		}
	}
	delete(s.byDigest, oldest)
	s.version++
}

func (s *suspects) sorted(keep func(*suspect) bool) []uint64 {
	var out []uint64
	for _, d := range slices.Sorted(maps.Keys(s.byDigest)) {
		if keep(s.byDigest[d]) {
			out = append(out, d)
		}
	}
	return out
}

// SuspectsVersion changes with Suspects and Quarantine.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspects lists the digests that are to run with no other request in flight.
func (m *Machine) Suspects() []uint64 {
	return m.suspects.sorted(func(s *suspect) bool { return len(s.Falls) >= 2 && !s.proven() })
}

// Quarantine lists the digests that are refused everywhere.
func (m *Machine) Quarantine() []uint64 { return m.suspects.sorted((*suspect).proven) }
