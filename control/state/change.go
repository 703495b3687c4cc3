package state

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// bootstrap sets the initial configuration. Every new leader that finds the state empty sends
// this command, so all but the first one change nothing.
func (m *Machine) bootstrap(e *Entry) *wire.Answer {
	if m.doc.Revision != 0 {
		return accepted(command.Changed{Revision: m.doc.Revision})
	}
	answer := m.change(e)
	if m.doc.Revision != 0 {
		// Calls that ran before the state was created are not in the ledger, so the ledger
		// must not report them as not run.
		m.claims = once.NewLedger(once.DefaultLimits(), m.time())
	}
	return answer
}

// change carries out a command.Change.
func (m *Machine) change(e *Entry) *wire.Answer {
	var c command.Change
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Expect != command.AnyRevision && c.Expect != m.doc.Revision {
		return refused(m.conflict(c.Expect))
	}
	return m.applyChanges(e, c.Changes)
}

// applyChanges checks the changes and applies them as the next revision of the configuration.
func (m *Machine) applyChanges(e *Entry, changes []config.Change) *wire.Answer {
	if err := m.doc.Check(changes); err != nil {
		return refused(badRequest(err))
	}
	next := m.doc.Clone()
	revised := config.ChangeSet{Revision: next.Revision + 1, Changes: changes}
	if err := next.Apply(revised); err != nil {
		return refused(internalError(err))
	}
	m.doc = next
	m.recordChange(revised)
	m.recordAudit(command.AuditEntry{
		Revision: revised.Revision, Who: e.Who, When: m.time(), ID: e.ID, Changes: withoutContent(changes),
	})
	return accepted(command.Changed{Revision: revised.Revision})
}

// publish applies a publication, unless the applied version is the same or higher.
func (m *Machine) publish(e *Entry) *wire.Answer {
	var p command.Publish
	if err := wire.Unmarshal(e.Body, &p); err != nil {
		return refused(badRequest(err))
	}
	if p.Publication.Version <= m.doc.PublishedVersion() {
		return accepted(command.Changed{Revision: m.doc.Revision})
	}
	return m.applyChanges(e, []config.Change{{Publication: &p.Publication}})
}

// withoutContent returns the changes without the content of publications. The audit log has
// thousands of entries, so the content would take too much memory.
func withoutContent(changes []config.Change) []config.Change {
	out := slices.Clone(changes)
	for i := range out {
		if p := out[i].Publication; p != nil {
			out[i].Publication = &config.Publication{Version: p.Version}
		}
	}
	return out
}

// conflict returns the refusal of a change that expects an older revision. It names the sender
// and the command that changed that revision, if the audit log still has them.
func (m *Machine) conflict(expect uint64) *verdict.Refusal {
	for _, a := range m.audit {
		if a.Order == nil && a.Revision == expect+1 {
			return verdict.Refuse(verdict.ReasonRevisionConflict, 0,
				"revision %d was expected and is now %d: %s changed it first, by command %s",
				expect, m.doc.Revision, a.Who, a.ID)
		}
	}
	return verdict.Refuse(verdict.ReasonRevisionConflict, 0,
		"revision %d was expected and is now %d", expect, m.doc.Revision)
}

// badRequest returns the refusal of a command that is invalid.
func badRequest(err error) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
}

// recordChange stores a change for sessions that catch up. The newest change stays, whatever its size.
func (m *Machine) recordChange(r config.ChangeSet) {
	if len(m.recentChanges) == maxRecentChanges {
		m.dropOldestChange()
	}
	m.recentChanges = append(m.recentChanges, r)
	m.recentBytes += r.Size()
	for m.recentBytes > maxRecentChangeBytes && len(m.recentChanges) > 1 {
		m.dropOldestChange()
	}
}

// dropOldestChange drops the oldest of recentChanges. Readers with an earlier slice of the list still see it there.
func (m *Machine) dropOldestChange() {
	m.recentBytes -= m.recentChanges[0].Size()
	m.recentChanges = m.recentChanges[1:]
}

// recordAudit appends an entry to the audit log.
func (m *Machine) recordAudit(a command.AuditEntry) {
	m.audit = appendBounded(m.audit, a, maxAuditEntries)
}

// appendBounded appends item to list and drops the oldest item if the list has limit items. It
// does not modify items that a reader with an earlier slice of the list can see.
func appendBounded[T any](list []T, item T, limit int) []T {
	if len(list) == limit {
		list = list[1:]
	}
	return append(list, item)
}

// time returns the time of the newest command.
func (m *Machine) time() time.Time { return time.Unix(0, m.now).UTC() }

// Time returns the highest time of a command so far.
func (m *Machine) Time() time.Time { return m.time() }
