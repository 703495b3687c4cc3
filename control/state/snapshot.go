package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// canonicalEncoding encodes maps in sorted order, so that equal states have equal snapshots.
var canonicalEncoding = newCanonical()

func newCanonical() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// snapshotImage is the form of the state in a snapshot.
type snapshotImage struct {
	Now             int64                     `cbor:"1,keyasint"`
	Document        *config.Document          `cbor:"2,keyasint"`
	ChangeSet       []config.ChangeSet        `cbor:"3,keyasint"`
	Audit           []command.AuditEntry      `cbor:"4,keyasint"`
	AnswerIDs       []string                  `cbor:"5,keyasint"`
	Answers         [][]byte                  `cbor:"6,keyasint"`
	LastFence       uint64                    `cbor:"7,keyasint"`
	Endpoints       map[string]endpointOrders `cbor:"8,keyasint"`
	OrdersVersion   uint64                    `cbor:"9,keyasint"`
	Claims          once.Image                `cbor:"10,keyasint"`
	Suspects        quarantine.Image          `cbor:"11,keyasint"`
	SuspectsVersion uint64                    `cbor:"12,keyasint"`
	Duties          dutiesImage               `cbor:"13,keyasint"`
	Departures      []command.Departure       `cbor:"14,keyasint,omitempty"`
	DepartureCount  uint64                    `cbor:"15,keyasint,omitempty"`
}

// Snapshot returns the complete state in CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	claims, err := m.claims.Image()
	if err != nil {
		return nil, err
	}
	img := snapshotImage{
		Now:             m.now,
		Document:        m.doc,
		ChangeSet:       m.recentChanges,
		Audit:           m.audit,
		AnswerIDs:       m.answers.insertionOrder,
		LastFence:       m.orders.lastFence,
		Endpoints:       m.orders.endpoints,
		OrdersVersion:   m.orders.version,
		Claims:          claims,
		Suspects:        m.suspects.list.Image(),
		SuspectsVersion: m.suspects.version,
		Duties:          m.duties.image(),
		Departures:      m.departures.list,
		DepartureCount:  m.departures.total,
	}
	for _, id := range m.answers.insertionOrder {
		img.Answers = append(img.Answers, m.answers.byKey[id])
	}
	return canonicalEncoding.Marshal(&img)
}

// Restore replaces the complete state with that of a snapshot. If it returns an error, the state
// is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var img snapshotImage
	if err := wire.Unmarshal(snapshot, &img); err != nil {
		return err
	}
	claims, err := once.Restore(once.DefaultLimits(), img.Claims)
	if err != nil {
		return err
	}
	list, err := quarantine.Restore(quarantine.DefaultLimits(), img.Suspects)
	if err != nil {
		return err
	}
	if len(img.Answers) != len(img.AnswerIDs) {
		return errors.New("snapshot has different numbers of answers and answer IDs")
	}
	restored := New()
	restored.claims = claims
	restored.now = img.Now
	if img.Document != nil {
		restored.doc = img.Document.Clone()
	}
	// The snapshot may be of an earlier version, which kept more.
	for _, r := range img.ChangeSet {
		restored.recordChange(r)
	}
	restored.audit = img.Audit
	for i, id := range img.AnswerIDs {
		restored.answers.put(id, img.Answers[i])
	}
	restored.orders.lastFence = img.LastFence
	restored.orders.version = img.OrdersVersion
	restored.suspects.version = img.SuspectsVersion
	restored.suspects.list = list
	restored.duties = restoreDuties(img.Duties)
	restored.departures = restoreDepartures(img.Departures, img.DepartureCount)
	if img.Endpoints != nil {
		restored.orders.endpoints = img.Endpoints
	}
	*m = *restored
	return nil
}
