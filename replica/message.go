package replica

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MessageType is the type of a Message.
type MessageType uint8

// The types of messages between replicas. The type of a reply follows that of its
// request. MsgTimeoutNow makes the target of a leadership transfer campaign. MsgHello
// and its reply are exchanged only while a group forms, and carry a Founding.
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

// maxMessageBytes bounds an encoded message; Unmarshal refuses a longer one.
const maxMessageBytes = 8 << 20

// Message is a message from one replica to another. Fields that its type does not use
// are zero.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Index is, by type: the index of the entry before Entries, the index of the
	// candidate's last entry, the match index of a reply, the read index, or the index
	// of a snapshot.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is the highest index at which the log of a follower that rejects an append
	// may match that of the leader, HintTerm the term of its entry; see entryLog.hint.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Read is the number of a read index round in heartbeats and their replies, and of
	// a follower's read request in MsgReadIndex and its reply.
	Read uint64 `cbor:"12,keyasint,omitempty"`
	// Force asks for a vote although a leader is alive, in a leadership transfer.
	Force bool `cbor:"13,keyasint,omitempty"`
	// Offset, Size, Data, Members and Checksum carry one chunk of a snapshot: Data
	// starts at Offset, and the other fields are those of the complete snapshot. In a
	// reply, Offset is that of the next chunk.
	Offset   uint64   `cbor:"14,keyasint,omitempty"`
	Size     uint64   `cbor:"15,keyasint,omitempty"`
	Data     []byte   `cbor:"16,keyasint,omitempty"`
	Members  []Member `cbor:"17,keyasint,omitempty"`
	Checksum uint32   `cbor:"19,keyasint,omitempty"`
	// Founding is the sender's state of group formation, in MsgHello and its reply.
	Founding *Founding `cbor:"18,keyasint,omitempty"`
}

// decoding is the CBOR decoder mode. It bounds the memory that a received message can
// make the decoder allocate.
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

// check refuses messages that no correct replica sends, so that the core can rely on the
// order of entries and on decodable memberships.
func (m *Message) check() error {
	if m.Type < MsgPreVote || m.Type > MsgHelloReply || m.From == 0 {
		return errors.Errorf("replica: invalid message of type %d from replica %d", m.Type, m.From)
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return errors.Errorf("replica: entry with index %d and term %d is out of order", e.Index, e.Term)
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
