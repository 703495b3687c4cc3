package state

import (
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// suspects holds the requests that may crash endpoints. version increases whenever the digests
// that sessions send to processes may have changed.
type suspects struct {
	list    *quarantine.List
	version uint64
}

func newSuspects() *suspects {
	return &suspects{list: quarantine.NewList(quarantine.DefaultLimits())}
}

// reportSuspects records that endpoints failed, and answers with the status of each request
// that was in flight on them.
func (m *Machine) reportSuspects(e *Entry) *wire.Answer {
	var c command.Suspect
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	before := m.suspects.list.Fingerprint()
	reports := append([]command.Suspect{c}, c.More...)
	for _, r := range reports {
		m.suspects.list.ReportFailure(m.time(), quarantine.FailureReport{
			Endpoint: r.Endpoint, Incarnation: r.Incarnation, Digests: r.Digests, Alone: r.Alone, Direct: r.Direct, Parts: partReports(r.Parts),
		})
	}
	if m.suspects.list.Fingerprint() != before {
		m.suspects.version++
	}
	statuses := command.SuspectStatuses{}
	for _, r := range reports {
		for _, digest := range r.Digests {
			statuses.Statuses = append(statuses.Statuses, uint8(m.suspects.list.Status(digest)))
		}
		for _, part := range r.Parts {
			statuses.PartStatuses = append(statuses.PartStatuses, uint8(m.suspects.list.Status(part.Digest)))
		}
	}
	return accepted(statuses)
}

// partReports converts the parts of a command.
func partReports(parts []command.Part) []quarantine.PartReport {
	var out []quarantine.PartReport
	for _, p := range parts {
		out = append(out, quarantine.PartReport{Digest: p.Digest, Carriers: p.Carriers})
	}
	return out
}

// permit grants or refuses a permit to run a suspect request.
func (m *Machine) permit(e *Entry) *wire.Answer {
	var c command.Permit
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Holder == "" {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "a permit needs a holder"))
	}
	p := m.suspects.list.Permit(m.time(), quarantine.PermitRequest{
		Digest: c.Digest, Holder: c.Holder, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
		Deadline: m.time().Add(c.MaxRunTime),
	})
	return accepted(command.Permitted{
		Status: uint8(p.Status), Granted: p.Granted, Alone: p.Alone, RetryAfter: p.RetryAfter,
	})
}

// endPermit releases a permit after a run that did not crash the endpoint.
func (m *Machine) endPermit(e *Entry) *wire.Answer {
	var c command.Ended
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Completed && m.suspects.list.Completed(m.time(), c.Digest) {
		m.suspects.version++
	}
	m.suspects.list.ReleasePermit(m.time(), c.Digest, c.Holder)
	return &wire.Answer{}
}

// SuspectsVersion returns a number that increases whenever the results of Suspects and
// Quarantine may have changed.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspects returns the digests of the requests that may run only under a permit.
func (m *Machine) Suspects() []uint64 { return m.suspects.list.Digests(quarantine.Suspect) }

// Quarantine returns the digests of the quarantined requests (quarantine.Convicted), which are
// refused everywhere.
func (m *Machine) Quarantine() []uint64 { return m.suspects.list.Digests(quarantine.Convicted) }
