package wire

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Kind identifies the type of a message in a frame.
type Kind uint8

// The kinds of message. The number of a kind never changes and is never reused.
const (
	KindDispatch Kind = iota + 1
	KindBody
	KindGrant
	KindRefused
	KindHead
	KindChunk
	KindEnd
	KindCancel
	KindHello
	KindHeartbeat
	KindUpdate
	KindCommand
	KindAnswer
	KindReplicaMessage
	KindBookings
	KindPlace
	KindPlaced
)

// Message is a message of the protocol.
type Message interface {
	// Kind returns the kind of the message's type.
	Kind() Kind
}

// Attempt identifies one attempt of a request. Every message about the attempt carries
// it, so that the receiver can recognize a message of another attempt.
type Attempt struct {
	// Request is the ID of the request, unique across all entries.
	Request [16]byte `cbor:"1,keyasint"`
	// Number counts the attempts of the request from 1.
	Number uint32 `cbor:"2,keyasint"`
}

// Permission describes the sender's lease on its configuration: until the lease
// expires, the configuration is known to be current.
type Permission struct {
	// Revision is the sender's configuration revision.
	Revision uint64 `cbor:"1,keyasint"`
	// Left is the time until the lease expires; zero if it has expired.
	Left time.Duration `cbor:"2,keyasint"`
	// Stamp is a timestamp of the sender's clock, and Echo is the newest stamp that the
	// sender has received from the receiver. The receiver knows from Echo that the
	// message was sent after that stamp, so that a delayed message does not extend the
	// receiver's permission. See package lease.
	Stamp uint64 `cbor:"3,keyasint,omitempty"`
	Echo  uint64 `cbor:"4,keyasint,omitempty"`
}

// Dispatch asks a sidecar to run one attempt on its endpoint. An entry sends it as the
// first message of a stream.
type Dispatch struct {
	Attempt  Attempt           `cbor:"1,keyasint"`
	Account  string            `cbor:"2,keyasint"`
	Route    string            `cbor:"3,keyasint"`
	Endpoint string            `cbor:"4,keyasint"`
	Method   string            `cbor:"5,keyasint"`
	Path     string            `cbor:"6,keyasint"`
	Header   map[string]string `cbor:"7,keyasint"`
	// PromptTokens and OutputTokens are the maximum number of tokens of the prompt and
	// of the output. Their sum is the memory to reserve, in KV tokens.
	PromptTokens int `cbor:"8,keyasint"`
	OutputTokens int `cbor:"9,keyasint"`
	// Deadline is the remaining time for the request.
	Deadline time.Duration `cbor:"10,keyasint"`
	// Priority is the priority at the engine. Lower values run first.
	Priority int `cbor:"11,keyasint"`
	// Digest identifies the content of the request, for the quarantine of requests that
	// crash endpoints.
	Digest     uint64     `cbor:"12,keyasint"`
	Permission Permission `cbor:"13,keyasint"`
	// BodyBytes is the length of the body that follows in Body messages.
	BodyBytes int64 `cbor:"14,keyasint"`
	// Claim is set for a call that runs at most once.
	Claim *Claim `cbor:"15,keyasint,omitempty"`
	// Incarnation is the incarnation of the endpoint that the entry chose. The sidecar
	// refuses the attempt if the endpoint now has another incarnation.
	Incarnation uint64 `cbor:"16,keyasint"`
	// Alone asks the sidecar to run the attempt while no other attempt is in flight.
	Alone bool `cbor:"18,keyasint,omitempty"`
	// MaxPending is the maximum number of prompt tokens that may wait for prefill ahead
	// of this attempt; zero means no limit. The sidecar refuses the attempt if more are
	// waiting, because the entry then chose the endpoint by an outdated load report.
	MaxPending int64 `cbor:"19,keyasint,omitempty"`
}

// Claim is the right to dispatch a non-idempotent call once.
type Claim struct {
	// Key is the caller's idempotency key within its client account.
	Key string `cbor:"1,keyasint"`
	// Fence is the fencing number of the claim. A sidecar dispatches each number at most
	// once.
	Fence uint64 `cbor:"2,keyasint"`
}

// Body is a part of the request body. Last is set on the last part.
type Body struct {
	Data []byte `cbor:"1,keyasint"`
	Last bool   `cbor:"2,keyasint"`
}

// Load is the load of an endpoint from the view of its sidecar.
type Load struct {
	// FreeTokens is the unreserved memory of the engine, in KV tokens.
	FreeTokens int64 `cbor:"1,keyasint"`
	// CapacityTokens is the most memory that one request can reserve, in KV tokens.
	CapacityTokens int64 `cbor:"2,keyasint"`
	// PendingPrefill is the estimated number of prompt tokens that are admitted and
	// wait for prefill.
	PendingPrefill int64 `cbor:"3,keyasint"`
	// PrefillRate and DecodeRate are the measured rates, in tokens per second.
	PrefillRate float64 `cbor:"4,keyasint"`
	DecodeRate  float64 `cbor:"5,keyasint"`
	// RampTokens is the remaining slow-start allowance of a cold endpoint, in tokens;
	// -1 for a warm endpoint.
	RampTokens int64 `cbor:"6,keyasint"`
	// Running is the number of attempts in flight.
	Running int `cbor:"7,keyasint"`
	// Leaving is set once the endpoint admits no new attempts.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// LongPromptsRunning is the number of attempts in flight with a long prompt.
	LongPromptsRunning int `cbor:"9,keyasint,omitempty"`
}

// Grant informs the entry that the sidecar has reserved memory for the attempt and runs it.
type Grant struct {
	Attempt    Attempt    `cbor:"1,keyasint"`
	Load       Load       `cbor:"2,keyasint"`
	Permission Permission `cbor:"3,keyasint"`
}

// Refused ends an attempt without a complete answer. Its verdict says whether the attempt
// may have run.
type Refused struct {
	Attempt    Attempt         `cbor:"1,keyasint"`
	Verdict    verdict.Verdict `cbor:"2,keyasint"`
	Reason     verdict.Reason  `cbor:"3,keyasint"`
	RetryAfter time.Duration   `cbor:"4,keyasint"`
	Detail     string          `cbor:"5,keyasint"`
	Load       Load            `cbor:"6,keyasint"`
	Permission Permission      `cbor:"7,keyasint"`
}

// Head is the status code and the header of the endpoint's answer.
type Head struct {
	Attempt Attempt           `cbor:"1,keyasint"`
	Status  int               `cbor:"2,keyasint"`
	Header  map[string]string `cbor:"3,keyasint"`
}

// Chunk is a part of the answer. Seq counts the chunks from 1, and Offset is the number
// of bytes before this chunk, so that the receiver detects a gap or a repetition.
type Chunk struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Seq     uint64  `cbor:"2,keyasint"`
	Offset  int64   `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// End marks a complete answer of the given total number of chunks and bytes.
type End struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Chunks  uint64  `cbor:"2,keyasint"`
	Bytes   int64   `cbor:"3,keyasint"`
	Load    Load    `cbor:"4,keyasint"`
	// PromptTokens and OutputTokens are the usage that the engine reported, or zero if it
	// reported none.
	PromptTokens int `cbor:"5,keyasint,omitempty"`
	OutputTokens int `cbor:"6,keyasint,omitempty"`
}

// Cancel asks the sidecar to cancel the attempt at the engine.
type Cancel struct {
	Attempt Attempt `cbor:"1,keyasint"`
}

// Endpoint describes an endpoint, as its sidecar announces it to control.
type Endpoint struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint" json:"region"`
	Zone   string `cbor:"3,keyasint" json:"zone"`
	// Addr is the address of the sidecar, an IP address and port.
	Addr string `cbor:"4,keyasint" json:"addr"`
	// Incarnation increases with each start of the endpoint or its sidecar.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// Target is the model or service that the endpoint serves.
	Target string `cbor:"6,keyasint" json:"target"`
	// ChecksFence is set if the engine itself refuses orders with outdated fencing
	// numbers.
	ChecksFence bool `cbor:"7,keyasint" json:"checks_fence"`
	// Version and Adapters are the loaded model version and adapters, and Role is the
	// engine's role.
	Version  string   `cbor:"8,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string `cbor:"9,keyasint,omitempty" json:"adapters,omitempty"`
	Role     string   `cbor:"10,keyasint,omitempty" json:"role,omitempty"`
	// Service is set for a plain HTTP service, which is not a model engine.
	Service bool `cbor:"11,keyasint,omitempty" json:"service,omitempty"`
	Load    Load `cbor:"12,keyasint" json:"load"`
	// Direct is set for an endpoint without a sidecar: Addr is its own address.
	Direct bool `cbor:"13,keyasint,omitempty" json:"direct,omitempty"`
	// Slots is the number of requests that a direct endpoint runs concurrently.
	Slots int `cbor:"14,keyasint,omitempty" json:"slots,omitempty"`
	// Cold is set while a direct endpoint reports that it is cold and can take little
	// load.
	Cold bool `cbor:"15,keyasint,omitempty" json:"cold,omitempty"`
}

// Hello opens a session of an entry or sidecar with control.
type Hello struct {
	Role   string `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	Zone   string `cbor:"4,keyasint"`
	// Revision is the revision of the configuration that the process already has.
	Revision uint64 `cbor:"5,keyasint"`
	// Endpoint is set if the process is a sidecar.
	Endpoint *Endpoint `cbor:"6,keyasint,omitempty"`
	// Addr is the address at which an entry listens for other entries; empty for other
	// processes.
	Addr string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat renews the lease of a session. Control returns Seq in Update.Echo once it
// has confirmed, after it received the heartbeat, that its configuration is current.
type Heartbeat struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Endpoint is set by a sidecar if the description of its endpoint has changed.
	Endpoint *Endpoint `cbor:"3,keyasint,omitempty"`
	// Demand lists the shares that an entry asks for.
	Demand []Share `cbor:"4,keyasint,omitempty"`
}

// Share is a part of the limits of a client account that an entry demands or control
// grants.
type Share struct {
	Account string `cbor:"1,keyasint"`
	// Requests and Tokens are rates per second.
	Requests float64 `cbor:"2,keyasint"`
	Tokens   float64 `cbor:"3,keyasint"`
	// Concurrent and HeldBytes are shares of the limits on concurrent requests and on
	// bytes kept in memory.
	Concurrent int   `cbor:"4,keyasint,omitempty"`
	HeldBytes  int64 `cbor:"5,keyasint,omitempty"`
	// LeaseDuration is, in a grant, how long the share is valid.
	LeaseDuration time.Duration `cbor:"6,keyasint,omitempty"`
	// Seq is, in a grant, the Seq of the heartbeat whose demand it answers. In a demand it
	// is the Seq of the newest grant in force at the entry.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
}

// Update sends a session the changes since its last update.
type Update struct {
	// Echo is the Seq of the newest heartbeat after whose arrival control confirmed that
	// its configuration is current. Zero does not renew the lease.
	Echo uint64 `cbor:"1,keyasint"`
	// Leader is the name of the replica of control that leads; empty if none is known.
	Leader string `cbor:"2,keyasint"`
	// Snapshot replaces the complete configuration. Its revision is never lower than the
	// one that the process of the session already has.
	Snapshot *config.Document `cbor:"3,keyasint,omitempty"`
	// Changes are the changes after the session's revision.
	Changes []config.ChangeSet `cbor:"4,keyasint,omitempty"`
	// Endpoints are the new and changed endpoints, and Removed are the names of those
	// that have left.
	Endpoints []Endpoint `cbor:"5,keyasint,omitempty"`
	Removed   []string   `cbor:"6,keyasint,omitempty"`
	// Reset is set if Endpoints is the complete list.
	Reset bool `cbor:"7,keyasint,omitempty"`
	// Shares are grants for the demands of an entry, and Orders are for a sidecar.
	Shares []Share `cbor:"8,keyasint,omitempty"`
	Orders []Order `cbor:"9,keyasint,omitempty"`
	// Quarantine lists the digests of requests that every entry refuses.
	Quarantine []uint64 `cbor:"10,keyasint,omitempty"`
	// Revision is the replica's own configuration revision.
	Revision uint64 `cbor:"11,keyasint,omitempty"`
	// Suspects lists the digests of requests that run only while no other request is in
	// flight at the endpoint. Suspects and Quarantine are complete lists, and are valid
	// only if HasQuarantine is set.
	Suspects      []uint64 `cbor:"12,keyasint,omitempty"`
	HasQuarantine bool     `cbor:"13,keyasint,omitempty"`
	// Replicas are the addresses of the replicas of control; empty if unchanged.
	Replicas []string `cbor:"14,keyasint,omitempty"`
	// Entries are the addresses at which the entries that have a session listen for other
	// entries; empty if unchanged.
	Entries []string `cbor:"15,keyasint,omitempty"`
	// EntryZones are the availability zones of Entries, in the same order. Control of an
	// earlier version sends none.
	EntryZones []string `cbor:"16,keyasint,omitempty"`
}

// Order makes a sidecar change what its engine serves.
type Order struct {
	// Fence is the fencing number of the order. A sidecar refuses an order whose
	// fencing number is not greater than those of all orders that it has received.
	Fence    uint64 `cbor:"1,keyasint" json:"fence"`
	Endpoint string `cbor:"2,keyasint" json:"endpoint"`
	// Action is one of "load", "adapter", "version" and "role".
	Action string `cbor:"3,keyasint" json:"action"`
	Value  string `cbor:"4,keyasint" json:"value"`
}

// Command is a command of an operator or of a process to control. Body holds the CBOR of
// the type that Name identifies.
type Command struct {
	// ID makes the command idempotent: a retried command gets the first answer.
	ID   string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// Answer is the answer of control to a Command: Body on success, or else Refused.
type Answer struct {
	Body    []byte   `cbor:"1,keyasint,omitempty"`
	Refused *Refused `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader, set if the replica that was asked does not
	// lead.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// ReplicaMessage carries one message between two replicas of control. Group says what
// Data holds: "start" for the first message of a stream, "consensus" for a message of
// the consensus protocol, "report" for a report of sessions, or "shares" for shares
// that the leader grants.
type ReplicaMessage struct {
	Group string `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Dispatch) Kind() Kind       { return KindDispatch }
func (*Body) Kind() Kind           { return KindBody }
func (*Grant) Kind() Kind          { return KindGrant }
func (*Refused) Kind() Kind        { return KindRefused }
func (*Head) Kind() Kind           { return KindHead }
func (*Chunk) Kind() Kind          { return KindChunk }
func (*End) Kind() Kind            { return KindEnd }
func (*Cancel) Kind() Kind         { return KindCancel }
func (*Hello) Kind() Kind          { return KindHello }
func (*Heartbeat) Kind() Kind      { return KindHeartbeat }
func (*Update) Kind() Kind         { return KindUpdate }
func (*Command) Kind() Kind        { return KindCommand }
func (*Answer) Kind() Kind         { return KindAnswer }
func (*ReplicaMessage) Kind() Kind { return KindReplicaMessage }
func (*Bookings) Kind() Kind       { return KindBookings }
func (*Place) Kind() Kind          { return KindPlace }
func (*Placed) Kind() Kind         { return KindPlaced }

// newMessage returns an empty message of kind k, or nil if the kind is unknown.
func newMessage(k Kind) Message {
	switch k {
	case KindDispatch:
		return &Dispatch{}
	case KindBody:
		return &Body{}
	case KindGrant:
		return &Grant{}
	case KindRefused:
		return &Refused{}
	case KindHead:
		return &Head{}
	case KindChunk:
		return &Chunk{}
	case KindEnd:
		return &End{}
	case KindCancel:
		return &Cancel{}
	case KindHello:
		return &Hello{}
	case KindHeartbeat:
		return &Heartbeat{}
	case KindUpdate:
		return &Update{}
	case KindCommand:
		return &Command{}
	case KindAnswer:
		return &Answer{}
	case KindReplicaMessage:
		return &ReplicaMessage{}
	case KindBookings:
		return &Bookings{}
	case KindPlace:
		return &Place{}
	case KindPlaced:
		return &Placed{}
	}
	return nil
}

// Refusal converts the message to a refusal.
func (r *Refused) Refusal() *verdict.Refusal {
	return &verdict.Refusal{Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}

// NewRefused returns the message that ends attempt a with refusal r.
func NewRefused(a Attempt, r *verdict.Refusal) *Refused {
	return &Refused{Attempt: a, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}
