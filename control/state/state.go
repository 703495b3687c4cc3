// Package state is the state that control replicates: the configuration with its
// audit listing, the fencing numbers with the standing orders, and the records
// of calls that run at most once.
//
// It is one deterministic state machine without I/O, clock or goroutine: the
// leader stamps each command with a time, and every replica applies the same
// commands in the same order. It does no locking.
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
	// maxRevised bounds the changes kept for sessions that catch up; a session
	// further behind gets the whole document.
	maxRevised = 512
	// maxAudit bounds the audit listing.
	maxAudit = 10000
	// maxAnswers bounds the answers kept for resends.
	maxAnswers = 4096
)

// Entry is one command in the log of the replicas.
type Entry struct {
	// ID makes the command idempotent. It is unique among those of the sender.
	ID string `cbor:"1,keyasint"`
	// Name is the command's name in package command, or NameBootstrap.
	Name string `cbor:"2,keyasint"`
	// Who is the sender, as its certificate says.
	Who string `cbor:"3,keyasint"`
	// At is the leader's time in nanoseconds since 1970. The machine never takes
	// a time that is lower than one it has seen.
	At int64 `cbor:"4,keyasint"`
	// Body is the command's type in CBOR.
	Body []byte `cbor:"5,keyasint"`
}

// NameBootstrap takes a command.Change that applies to the empty state only.
const NameBootstrap = "bootstrap"

// Machine is the replicated state.
type Machine struct {
	doc     *config.Document
	revised []config.ChangeSet
	audit   []command.AuditEntry
	answers *answers
	orders  *orders
	claims  *once.Ledger
	// suspects are requests that may crash endpoints.
	suspects *suspects
	// now is the highest time of a command, in nanoseconds since 1970.
	now int64
}

// New returns the empty state.
func New() *Machine {
	return &Machine{
		doc:      config.NewDocument(),
		answers:  newAnswers(maxAnswers),
		orders:   newOrders(),
		claims:   once.NewLedger(once.DefaultLimits(), time.Time{}),
		suspects: newSuspects(),
	}
}

// Apply carries out one Entry in CBOR and returns a wire.Answer in CBOR. A
// command that is damaged or unknown changes nothing.
func (m *Machine) Apply(_ uint64, raw []byte) []byte {
	var e Entry
	if err := wire.Unmarshal(raw, &e); err != nil {
		return encode(refuse(internal(err)))
	}
	m.now = max(m.now, e.At)
	// Claims carry their identifier in their records, so that their number does
	// not push out the answers to operators.
	if e.Name == command.NameClaim || e.Name == command.NameSettle {
		return encode(m.apply(&e))
	}
	if e.ID == "" {
		return encode(m.apply(&e))
	}
	if kept, ok := m.answers.get(e.key()); ok {
		return kept
	}
	answer := encode(m.apply(&e))
	m.answers.put(e.key(), answer)
	return answer
}

// key names the command over all senders: nobody gets the answer to another's.
func (e *Entry) key() string { return e.Who + " " + e.ID }

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
		return m.suspect(e)
	case command.NamePermit:
		return m.permit(e)
	case command.NameEnded:
		return m.ended(e)
	}
	return refuse(internal(errors.Errorf("unknown command %q", e.Name)))
}

// Document returns the configuration. The caller must not change it; the machine
// replaces it whole on a change.
func (m *Machine) Document() *config.Document { return m.doc }

// ChangesSince returns the changes after revision, or false when they are no longer kept.
func (m *Machine) ChangesSince(revision uint64) ([]config.ChangeSet, bool) {
	if revision >= m.doc.Revision {
		return nil, true
	}
	missing := m.doc.Revision - revision
	if missing > uint64(len(m.revised)) {
		return nil, false
	}
	return m.revised[uint64(len(m.revised))-missing:], true
}

// Audit returns up to limit accepted orders from revision from on, oldest first.
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

// UpdateVersion changes with everything that sessions are told.
func (m *Machine) UpdateVersion() uint64 {
	return m.doc.Revision + m.orders.version + m.suspects.version
}
