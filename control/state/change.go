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

// bootstrap sets the first configuration. Every new leader of an empty state
// sends it, so all but the first find that it is done.
func (m *Machine) bootstrap(e *Entry) *wire.Answer {
	if m.doc.Revision != 0 {
		return accept(command.Changed{Revision: m.doc.Revision})
	}
	answer := m.change(e)
	if m.doc.Revision != 0 {
		// What ran before this state began is unknown to it.
		m.claims = once.NewLedger(once.DefaultLimits(), m.time())
	}
	return answer
}

func (m *Machine) change(e *Entry) *wire.Answer {
	var c command.Change
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	if c.Expect != command.AnyRevision && c.Expect != m.doc.Revision {
		return refuse(m.conflict(c.Expect))
	}
	return m.revise(e, c.Changes)
}

// revise checks the changes and makes them the next revision.
func (m *Machine) revise(e *Entry, changes []config.Change) *wire.Answer {
	if err := m.doc.Check(changes); err != nil {
		return refuse(badRequest(err))
	}
	next := m.doc.Clone()
	revised := config.ChangeSet{Revision: next.Revision + 1, Changes: changes}
	if err := next.Apply(revised); err != nil {
		return refuse(internal(err))
	}
	m.doc = next
	m.keepRevised(revised)
	m.keepAudit(command.AuditEntry{
		Revision: revised.Revision, Who: e.Who, When: m.time(), ID: e.ID, Changes: withoutContent(changes),
	})
	return accept(command.Changed{Revision: revised.Revision})
}

// publish puts a publication in force unless a version as high is.
func (m *Machine) publish(e *Entry) *wire.Answer {
	var p command.Publish
	if err := wire.Unmarshal(e.Body, &p); err != nil {
		return refuse(badRequest(err))
	}
	if p.Publication.Version <= m.doc.PublishedVersion() {
		return accept(command.Changed{Revision: m.doc.Revision})
	}
	return m.revise(e, []config.Change{{Publication: &p.Publication}})
}

// withoutContent leaves the content of publications out of the audit listing, which
// keeps thousands of entries.
func withoutContent(changes []config.Change) []config.Change {
	out := slices.Clone(changes)
	for i := range out {
		if p := out[i].Publication; p != nil {
			out[i].Publication = &config.Publication{Version: p.Version}
		}
	}
	return out
}

// conflict tells the loser of a race who won it.
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

func badRequest(err error) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
}

func (m *Machine) keepRevised(r config.ChangeSet) {
	m.revised = keep(m.revised, r, maxRevised)
}

func (m *Machine) keepAudit(a command.AuditEntry) {
	m.audit = keep(m.audit, a, maxAudit)
}

// keep appends item to list and drops the oldest over limit. Readers that hold
// an earlier slice of the list are not disturbed.
func keep[T any](list []T, item T, limit int) []T {
	if len(list) == limit {
		list = list[1:]
	}
	return append(list, item)
}

func (m *Machine) time() time.Time { return time.Unix(0, m.now).UTC() }
