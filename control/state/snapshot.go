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

// canonical writes maps in one order, so that equal states have equal snapshots.
var canonical = newCanonical()

func newCanonical() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// image is the whole state as it is written to a snapshot.
type image struct {
	Now       int64                `cbor:"1,keyasint"`
	Document  *config.Document     `cbor:"2,keyasint"`
	ChangeSet []config.ChangeSet   `cbor:"3,keyasint"`
	Audit     []command.AuditEntry `cbor:"4,keyasint"`
	AnswerIDs []string             `cbor:"5,keyasint"`
	Answers   [][]byte             `cbor:"6,keyasint"`
	LastFence uint64               `cbor:"7,keyasint"`
	Endpoints map[string]standing  `cbor:"8,keyasint"`
	Orders    uint64               `cbor:"9,keyasint"`
	Claims    once.Image           `cbor:"10,keyasint"`
	Suspects  quarantine.Image     `cbor:"11,keyasint"`
	Suspicion uint64               `cbor:"12,keyasint"`
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	claims, err := m.claims.Image()
	if err != nil {
		return nil, err
	}
	img := image{
		Now:       m.now,
		Document:  m.doc,
		ChangeSet: m.revised,
		Audit:     m.audit,
		AnswerIDs: m.answers.order,
		LastFence: m.orders.last,
		Endpoints: m.orders.endpoints,
		Orders:    m.orders.version,
		Claims:    claims,
		Suspects:  m.suspects.list.Image(),
		Suspicion: m.suspects.version,
	}
	for _, id := range m.answers.order {
		img.Answers = append(img.Answers, m.answers.byID[id])
	}
	return canonical.Marshal(&img)
}

// Restore replaces the whole state by a snapshot. On an error the state is as it was.
func (m *Machine) Restore(snapshot []byte) error {
	var img image
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
		return errors.New("snapshot with damaged answers")
	}
	fresh := New()
	fresh.claims = claims
	fresh.now = img.Now
	if img.Document != nil {
		fresh.doc = img.Document.Clone()
	}
	fresh.revised = img.ChangeSet
	fresh.audit = img.Audit
	for i, id := range img.AnswerIDs {
		fresh.answers.put(id, img.Answers[i])
	}
	fresh.orders.last = img.LastFence
	fresh.orders.version = img.Orders
	fresh.suspects.version = img.Suspicion
	fresh.suspects.list = list
	if img.Endpoints != nil {
		fresh.orders.endpoints = img.Endpoints
	}
	*m = *fresh
	return nil
}
