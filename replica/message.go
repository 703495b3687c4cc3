package replica

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MessageType says what a Message asks or answers.
type MessageType uint8

// The types of messages between replicas. A reply has the type after its request.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgReadIndex
	MsgReadIndexReply
	MsgTimeoutNow
	MsgHello
	MsgHelloReply
)

// maxMessageBytes bounds an encoded message; a longer one is refused on receipt.
const maxMessageBytes = 8 << 20

// Message is what one replica sends to another. Fields that a type does not use are zero.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Index is the index before Entries, the candidate's last index, the matched
	// index, the read index or the snapshot's index.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is the index where a rejecting follower's log may agree, HintTerm its term.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Read numbers a round of leadership confirmation, or a follower's read request.
	Read uint64 `cbor:"12,keyasint,omitempty"`
	// Force asks for a vote in spite of a live leader, after a leadership transfer.
	Force bool `cbor:"13,keyasint,omitempty"`
	// Offset, Size, Data, Members and Checksum carry a snapshot in chunks.
	Offset   uint64   `cbor:"14,keyasint,omitempty"`
	Size     uint64   `cbor:"15,keyasint,omitempty"`
	Data     []byte   `cbor:"16,keyasint,omitempty"`
	Members  []Member `cbor:"17,keyasint,omitempty"`
	Checksum uint32   `cbor:"19,keyasint,omitempty"`
	// Founding carries the state of group formation in a hello and its reply.
	Founding *Founding `cbor:"18,keyasint,omitempty"`
}

// decoding bounds what a received message may make the decoder allocate.
var decoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes the message.
func (m *Message) Marshal() ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "replica: encode message")
}

// Unmarshal decodes b into the message.
func (m *Message) Unmarshal(b []byte) error {
	if len(b) > maxMessageBytes {
		return errors.Errorf("replica: message of %d bytes is over the limit", len(b))
	}
	return errors.Wrap(decoding.Unmarshal(b, m), "replica: decode message")
}

// check refuses what no replica sends, so that the core can rely on its input.
func (m *Message) check() error {
	if m.Type < MsgPreVote || m.Type > MsgHelloReply || m.From == 0 {
		return errors.Errorf("replica: message of type %d from %d", m.Type, m.From)
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return errors.Errorf("replica: entry (%d, %d) out of order", e.Index, e.Term)
		}
		term = e.Term
		if e.Kind != EntryMembership {
			continue
		}
		if _, err := decodeMembers(e.Data); err != nil {
			return err
		}
	}
	return nil
}
