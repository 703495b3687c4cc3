package state

import (
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// suspects holds the requests that may crash endpoints, with the version of what
// sessions are told of them.
type suspects struct {
	list    *quarantine.List
	version uint64
}

func newSuspects() *suspects {
	return &suspects{list: quarantine.NewList(quarantine.DefaultLimits())}
}

// suspect takes in that an endpoint fell and answers how each request that was in
// flight may run from now on.
func (m *Machine) suspect(e *Entry) *wire.Answer {
	var c command.Suspect
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	m.suspects.list.ReportFailure(m.time(), quarantine.FailureReport{
		Endpoint: c.Endpoint, Incarnation: c.Incarnation, Digests: c.Digests, Alone: c.Alone,
	})
	m.suspects.version++
	judged := command.SuspectStatuses{}
	for _, digest := range c.Digests {
		judged.Statuses = append(judged.Statuses, uint8(m.suspects.list.Status(digest)))
	}
	return accept(judged)
}

// permit gives out the right to run a suspect request.
func (m *Machine) permit(e *Entry) *wire.Answer {
	var c command.Permit
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	if c.Holder == "" {
		return refuse(verdict.Refuse(verdict.ReasonBadRequest, 0, "a permit needs a holder"))
	}
	p := m.suspects.list.Permit(m.time(), quarantine.PermitRequest{
		Digest: c.Digest, Holder: c.Holder, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
		Deadline: m.time().Add(c.MaxRunTime),
	})
	return accept(command.Permitted{
		Status: uint8(p.Status), Granted: p.Granted, Alone: p.Alone, RetryAfter: p.RetryAfter,
	})
}

// ended takes a permit back after a run that brought nothing down.
func (m *Machine) ended(e *Entry) *wire.Answer {
	var c command.Ended
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	if c.Completed && m.suspects.list.Completed(m.time(), c.Digest) {
		m.suspects.version++
	}
	m.suspects.list.ReleasePermit(m.time(), c.Digest, c.Holder)
	return &wire.Answer{}
}

// SuspectsVersion changes with Suspects and Quarantine.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspects lists the digests that run only under a permit.
func (m *Machine) Suspects() []uint64 { return m.suspects.list.Digests(quarantine.Suspect) }

// Quarantine lists the digests that are refused everywhere.
func (m *Machine) Quarantine() []uint64 { return m.suspects.list.Digests(quarantine.Convicted) }
