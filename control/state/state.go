// Package state implements the state machine that control replicates. The state consists of the
// configuration with its audit log, the fencing numbers with the orders in force, the claims of
// calls that run at most once, the requests suspected of crashing endpoints, the rights to duties
// with the usage that their holders report, and the endpoints that leave or have left.
//
// The state machine is deterministic and does no I/O, reads no clock and starts no goroutine:
// the leader adds its time to each command, and every replica applies the same commands in the
// same order. It does no locking.
package state

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// maxRecentChanges is the number of changes that are stored for sessions that catch up.
	// A session that is further behind gets the complete document.
	maxRecentChanges = 512
	// maxRecentChangeBytes bounds their size. A session that lacks more gets the complete document, which is then
	// smaller: of the publications it has the last one only.
	maxRecentChangeBytes = 2 << 20
	// maxAuditEntries is the largest number of entries in the audit log.
	maxAuditEntries = 10000
	// maxAnswers is the largest number of answers that are stored for repeated commands.
	maxAnswers = 4096
)

// Entry is one command in the replicated log.
type Entry struct {
	// ID is the identifier that makes the command idempotent. It is unique among the commands
	// of its sender.
	ID string `cbor:"1,keyasint"`
	// Name is the command's name in package command, or NameBootstrap.
	Name string `cbor:"2,keyasint"`
	// Who is the name of the sender in its certificate.
	Who string `cbor:"3,keyasint"`
	// At is the time of the leader in nanoseconds since 1970. If it is lower than that of an
	// earlier entry, the machine uses the earlier, higher time.
	At int64 `cbor:"4,keyasint"`
	// Body is the body of the command in CBOR, of the type that belongs to Name.
	Body []byte `cbor:"5,keyasint"`
}

// NameBootstrap is the name of the command that sets the initial configuration. Its body is a
// command.Change, which has an effect on the empty state only.
const NameBootstrap = "bootstrap"

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	doc           *config.Document
	recentChanges []config.ChangeSet
	// recentBytes is the size of recentChanges.
	recentBytes int
	audit       []command.AuditEntry
	answers     *answers
	orders      *orders
	claims      *once.Ledger
	// suspects holds the requests that may crash endpoints.
	suspects *suspects
	// duties holds the rights to duties and the usage that their holders report.
	duties *duties
	// departures holds the endpoints that leave or have left.
	departures *departures
	// now is the highest Entry.At so far, in nanoseconds since 1970.
	now int64
}

// New returns a machine with the empty state.
func New() *Machine {
	return &Machine{
		doc:        config.NewDocument(),
		answers:    newAnswers(maxAnswers),
		orders:     newOrders(),
		claims:     once.NewLedger(once.DefaultLimits(), time.Time{}),
		suspects:   newSuspects(),
		duties:     newDuties(),
		departures: newDepartures(),
	}
}

// Apply carries out one Entry in CBOR and returns a wire.Answer in CBOR. It refuses an invalid
// entry or an unknown command without any effect. The first parameter, the index in the log, is
// not used.
func (m *Machine) Apply(_ uint64, raw []byte) []byte {
	var e Entry
	if err := wire.Unmarshal(raw, &e); err != nil {
		return encodeAnswer(refused(internalError(err)))
	}
	m.now = max(m.now, e.At)
	// The answers to claims are not stored here, because the many claims would evict the
	// answers to operators. The ledger of claims handles repeated claims itself.
	if e.Name == command.NameClaim || e.Name == command.NameSettle {
		return encodeAnswer(m.apply(&e))
	}
	if e.ID == "" || isDutyCommand(e.Name) || e.Name == command.NameDepart {
		return encodeAnswer(m.apply(&e))
	}
	if stored, ok := m.answers.get(e.answerKey()); ok {
		return stored
	}
	answer := encodeAnswer(m.apply(&e))
	m.answers.put(e.answerKey(), answer)
	return answer
}

// answerKey identifies the command among the commands of all senders, so that no sender gets the
// answer to a command of another one.
func (e *Entry) answerKey() string { return e.Who + " " + e.ID }

// apply carries out one entry.
func (m *Machine) apply(e *Entry) *wire.Answer {
	switch e.Name {
	case NameBootstrap:
		return m.bootstrap(e)
	case command.NameChange:
		return m.change(e)
	case command.NamePublish:
		return m.publish(e)
	case command.NameOrder:
		return m.order(e)
	case command.NameFence:
		return m.fence(e)
	case command.NameClaim:
		return m.claim(e)
	case command.NameSettle:
		return m.settle(e)
	case command.NameSuspect:
		return m.reportSuspects(e)
	case command.NamePermit:
		return m.permit(e)
	case command.NameEnded:
		return m.endPermit(e)
	case command.NameDepart:
		return m.depart(e)
	}
	if isDutyCommand(e.Name) {
		return m.applyDuty(e)
	}
	return refused(internalError(errors.Errorf("unknown command %q", e.Name)))
}

// Document returns the configuration. The caller must not modify it. A change of the
// configuration replaces the document and leaves the returned one as it is.
func (m *Machine) Document() *config.Document { return m.doc }

// ChangesSince returns the changes after revision, or false if they are no longer stored.
func (m *Machine) ChangesSince(revision uint64) ([]config.ChangeSet, bool) {
	if revision >= m.doc.Revision {
		return nil, true
	}
	missing := m.doc.Revision - revision
	if missing > uint64(len(m.recentChanges)) {
		return nil, false
	}
	return m.recentChanges[uint64(len(m.recentChanges))-missing:], true
}

// Audit returns up to limit entries of the audit log, starting with revision from, oldest first.
// A limit of zero returns all.
func (m *Machine) Audit(from uint64, limit int) []command.AuditEntry {
	var found []command.AuditEntry
	for _, a := range m.audit {
		if a.Revision < from {
			continue
		}
		if limit > 0 && len(found) == limit {
			break
		}
		found = append(found, a)
	}
	return found
}

// SessionDataVersion returns a number that increases with each change of the data that sessions
// send to processes: the configuration, the orders, the suspects and the departures.
func (m *Machine) SessionDataVersion() uint64 {
	return m.doc.Revision + m.orders.version + m.suspects.version + m.departures.total
}
