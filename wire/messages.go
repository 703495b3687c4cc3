package wire

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Kind tells the messages of the protocol between our own processes apart.
type Kind uint8

// The kinds of message. A number is never given to another message.
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
	KindReplica
	KindBookings
	KindPlace
	KindPlaced
)

// Message is a typed message with a fixed kind.
type Message interface {
	Kind() Kind
}

// Attempt names one try of one request. Every message about the try carries it,
// so that a late or crossed answer is told apart.
type Attempt struct {
	// Request is the request's identifier, unique over all entries.
	Request [16]byte `cbor:"1,keyasint"`
	// Number counts the tries of the request from 1.
	Number uint32 `cbor:"2,keyasint"`
}

// Permission is the sender's proof that its configuration is current.
type Permission struct {
	// Revision is the sender's configuration revision.
	Revision uint64 `cbor:"1,keyasint"`
	// Left is for how long the sender's permission still holds; zero when it lapsed.
	Left time.Duration `cbor:"2,keyasint"`
	// Stamp is the sender's clock and Repeat the newest stamp that the sender saw
	// from the receiver, so that a statement held up on its way is not taken for new.
	Stamp uint64 `cbor:"3,keyasint,omitempty"`
	Echo  uint64 `cbor:"4,keyasint,omitempty"`
}

// Dispatch asks a sidecar to run one attempt on its endpoint. Entry to sidecar,
// the first message of a stream.
type Dispatch struct {
	Attempt  Attempt           `cbor:"1,keyasint"`
	Account  string            `cbor:"2,keyasint"`
	Route    string            `cbor:"3,keyasint"`
	Endpoint string            `cbor:"4,keyasint"`
	Method   string            `cbor:"5,keyasint"`
	Path     string            `cbor:"6,keyasint"`
	Header   map[string]string `cbor:"7,keyasint"`
	// PromptTokens and OutputTokens bound the memory to reserve, in KV tokens.
	PromptTokens int `cbor:"8,keyasint"`
	OutputTokens int `cbor:"9,keyasint"`
	// Deadline is the time left for the whole request.
	Deadline time.Duration `cbor:"10,keyasint"`
	// Priority is the engine's priority; lower runs first.
	Priority int `cbor:"11,keyasint"`
	// Digest identifies the content for the quarantine of crashing requests.
	Digest     uint64     `cbor:"12,keyasint"`
	Permission Permission `cbor:"13,keyasint"`
	// BodyBytes is the length of the body that follows in Body messages.
	BodyBytes int64 `cbor:"14,keyasint"`
	// Claim is set for a call that runs at most once.
	Claim *Claim `cbor:"15,keyasint,omitempty"`
	// Incarnation is the endpoint's incarnation that the entry chose.
	Incarnation uint64 `cbor:"16,keyasint"`
	// Alone asks the sidecar to run the attempt with no other in flight.
	Alone bool `cbor:"18,keyasint,omitempty"`
	// MaxPending is the most prompt tokens that may wait for prefill before this
	// attempt; 0 is no bound. It is refused when the sender's view was too old.
	MaxPending int64 `cbor:"19,keyasint,omitempty"`
}

// Claim is the right to dispatch a non-idempotent call once.
type Claim struct {
	// Key is the caller's idempotency key within its client account.
	Key string `cbor:"1,keyasint"`
	// Fence is the number of the claim; a sidecar dispatches each number once.
	Fence uint64 `cbor:"2,keyasint"`
}

// Body is a part of the request's body. Last marks the end.
type Body struct {
	Data []byte `cbor:"1,keyasint"`
	Last bool   `cbor:"2,keyasint"`
}

// Load is an endpoint's load as its sidecar sees it.
type Load struct {
	// FreeTokens is the engine memory not reserved, in KV tokens.
	FreeTokens int64 `cbor:"1,keyasint"`
	// CapacityTokens is the engine's whole memory, in KV tokens.
	CapacityTokens int64 `cbor:"2,keyasint"`
	// PendingPrefill is the prompt tokens granted and not yet processed.
	PendingPrefill int64 `cbor:"3,keyasint"`
	// PrefillRate and DecodeRate are measured speeds in tokens a second.
	PrefillRate float64 `cbor:"4,keyasint"`
	DecodeRate  float64 `cbor:"5,keyasint"`
	// RampTokens is the work in tokens that a cold endpoint still bears; -1 when warm.
	RampTokens int64 `cbor:"6,keyasint"`
	// Running counts attempts in flight.
	Running int `cbor:"7,keyasint"`
	// Leaving is set once the endpoint takes no new work.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// LongPromptsRunning counts attempts with long prompts in flight.
	LongPromptsRunning int `cbor:"9,keyasint,omitempty"`
}

// Grant tells the entry that the sidecar has reserved memory and runs the attempt.
type Grant struct {
	Attempt    Attempt    `cbor:"1,keyasint"`
	Load       Load       `cbor:"2,keyasint"`
	Permission Permission `cbor:"3,keyasint"`
}

// Refused ends an attempt with a verdict.
type Refused struct {
	Attempt    Attempt         `cbor:"1,keyasint"`
	Verdict    verdict.Verdict `cbor:"2,keyasint"`
	Reason     verdict.Reason  `cbor:"3,keyasint"`
	RetryAfter time.Duration   `cbor:"4,keyasint"`
	Detail     string          `cbor:"5,keyasint"`
	Load       Load            `cbor:"6,keyasint"`
	Permission Permission      `cbor:"7,keyasint"`
}

// Head is the status and header of the endpoint's answer.
type Head struct {
	Attempt Attempt           `cbor:"1,keyasint"`
	Status  int               `cbor:"2,keyasint"`
	Header  map[string]string `cbor:"3,keyasint"`
}

// Chunk is a part of the answer. Seq counts chunks from 1 and Offset counts the
// answer's bytes before this chunk, so that a gap or repeat is seen.
type Chunk struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Seq     uint64  `cbor:"2,keyasint"`
	Offset  int64   `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// End marks that the answer is whole: Chunks and Bytes are its totals.
type End struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Chunks  uint64  `cbor:"2,keyasint"`
	Bytes   int64   `cbor:"3,keyasint"`
	Load    Load    `cbor:"4,keyasint"`
	// PromptTokens and OutputTokens are the usage that the engine reported; zero
	// when it reported none.
	PromptTokens int `cbor:"5,keyasint,omitempty"`
	OutputTokens int `cbor:"6,keyasint,omitempty"`
}

// Cancel asks the sidecar to cancel the attempt at the engine.
type Cancel struct {
	Attempt Attempt `cbor:"1,keyasint"`
}

// Endpoint is what a sidecar announces about its endpoint.
type Endpoint struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint" json:"region"`
	Zone   string `cbor:"3,keyasint" json:"zone"`
	// Addr is the sidecar's address, an IP number and port.
	Addr string `cbor:"4,keyasint" json:"addr"`
	// Incarnation grows with each start of the endpoint or its sidecar.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// Target is the model or service that the endpoint serves.
	Target string `cbor:"6,keyasint" json:"target"`
	// ChecksFence is set when the engine refuses old fencing numbers itself.
	ChecksFence bool `cbor:"7,keyasint" json:"checks_fence"`
	// Version and Adapters say what is loaded.
	Version  string   `cbor:"8,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string `cbor:"9,keyasint,omitempty" json:"adapters,omitempty"`
	Role     string   `cbor:"10,keyasint,omitempty" json:"role,omitempty"`
	// Service is set for a plain service rather than a model engine.
	Service bool `cbor:"11,keyasint,omitempty" json:"service,omitempty"`
	Load    Load `cbor:"12,keyasint" json:"load"`
	// Direct is set for an endpoint without a sidecar: Addr is its own address.
	Direct bool `cbor:"13,keyasint,omitempty" json:"direct,omitempty"`
	// Slots is how many requests a direct endpoint runs at once.
	Slots int `cbor:"14,keyasint,omitempty" json:"slots,omitempty"`
	// Cold is set while a direct endpoint says that it bears little work.
	Cold bool `cbor:"15,keyasint,omitempty" json:"cold,omitempty"`
}

// Hello opens a session of an entry or sidecar with control.
type Hello struct {
	Role   string `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	Region string `cbor:"3,keyasint"`
	Zone   string `cbor:"4,keyasint"`
	// Revision is the configuration revision that the process already has.
	Revision uint64 `cbor:"5,keyasint"`
	// Endpoint is set by a sidecar.
	Endpoint *Endpoint `cbor:"6,keyasint,omitempty"`
	// Addr is where an entry listens for other entries; empty for others.
	Addr string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat renews a session's lease. Control echoes Seq once it knows that its
// configuration was current after the heartbeat came in.
type Heartbeat struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Endpoint is set by a sidecar when something about its endpoint changed.
	Endpoint *Endpoint `cbor:"3,keyasint,omitempty"`
	// Demand asks for shares of client accounts' limits.
	Demand []Share `cbor:"4,keyasint,omitempty"`
}

// Share is a part of a client account's limit, lent to one entry.
type Share struct {
	Account string `cbor:"1,keyasint"`
	// Requests and Tokens are rates per second: wanted in a demand, lent in a grant.
	Requests float64 `cbor:"2,keyasint"`
	Tokens   float64 `cbor:"3,keyasint"`
	// Concurrent and HeldBytes are parts of the account's other limits.
	Concurrent int   `cbor:"4,keyasint,omitempty"`
	HeldBytes  int64 `cbor:"5,keyasint,omitempty"`
	// LeaseDuration is for how long the share is lent.
	LeaseDuration time.Duration `cbor:"6,keyasint,omitempty"`
	// Seq is, in a grant, the heartbeat whose demand it answers, and in a demand
	// the newest grant that is in force at the entry.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
}

// Update brings a session up to date.
type Update struct {
	// Echo is the newest heartbeat after which the configuration was known to be
	// current; zero grants nothing.
	Echo uint64 `cbor:"1,keyasint"`
	// Leader is the name of the leading replica; empty when there is none.
	Leader string `cbor:"2,keyasint"`
	// Snapshot replaces the whole configuration; it never has a lower revision.
	Snapshot *config.Document `cbor:"3,keyasint,omitempty"`
	// Changes follow on the session's revision.
	Changes []config.Revised `cbor:"4,keyasint,omitempty"`
	// Endpoints are new or changed; Gone names those that left.
	Endpoints []Endpoint `cbor:"5,keyasint,omitempty"`
	Removed   []string   `cbor:"6,keyasint,omitempty"`
	// Reset is set when Endpoints is the whole list.
	Reset  bool    `cbor:"7,keyasint,omitempty"`
	Shares []Share `cbor:"8,keyasint,omitempty"`
	Orders []Order `cbor:"9,keyasint,omitempty"`
	// Quarantine lists digests of requests that are refused everywhere.
	Quarantine []uint64 `cbor:"10,keyasint,omitempty"`
	// Revision is the replica's own configuration revision.
	Revision uint64 `cbor:"11,keyasint,omitempty"`
	// Suspects lists digests of requests that run with no other in flight. It and
	// Quarantine are whole lists and count where HasQuarantine is set.
	Suspects      []uint64 `cbor:"12,keyasint,omitempty"`
	HasQuarantine bool     `cbor:"13,keyasint,omitempty"`
	// Replicas are the addresses of control's replicas; empty when unchanged.
	Replicas []string `cbor:"14,keyasint,omitempty"`
	// Entries are the addresses at which entries with a session listen for one another;
	// empty when unchanged.
	Entries []string `cbor:"15,keyasint,omitempty"`
}

// Order tells a sidecar what to do with its engine.
type Order struct {
	// Fence is the fencing number; a sidecar refuses all lower ones.
	Fence    uint64 `cbor:"1,keyasint" json:"fence"`
	Endpoint string `cbor:"2,keyasint" json:"endpoint"`
	// Action is one of "load", "adapter", "version" and "role".
	Action string `cbor:"3,keyasint" json:"action"`
	Value  string `cbor:"4,keyasint" json:"value"`
}

// Command is an operator's order or a process's request to control, as CBOR of
// the type that Name stands for.
type Command struct {
	// ID makes the command idempotent: a resend gets the first answer.
	ID   string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// Answer is control's answer to a Command: Body on success, or a refusal.
type Answer struct {
	Body    []byte   `cbor:"1,keyasint,omitempty"`
	Refused *Refused `cbor:"2,keyasint,omitempty"`
	// Leader is the address to ask instead, when the replica does not lead.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// Bookings tells another entry which work this one has placed on endpoints.
type Bookings struct {
	// Full is set when Begun is all that is in force.
	Full  bool      `cbor:"1,keyasint,omitempty"`
	Begun []Booking `cbor:"2,keyasint,omitempty"`
	Ended []uint64  `cbor:"3,keyasint,omitempty"`
	// Unprefilled are ended too, before their prompts were read.
	Unprefilled []uint64 `cbor:"4,keyasint,omitempty"`
	// Answered are bookings whose prompts are read.
	Answered []uint64 `cbor:"5,keyasint,omitempty"`
}

// Booking is the work of one request.
type Booking struct {
	ID uint64 `cbor:"1,keyasint"`
	// Primary runs the request; Helpers read parts of its prompt.
	Primary BookedPart   `cbor:"2,keyasint"`
	Helpers []BookedPart `cbor:"3,keyasint,omitempty"`
	// PrefillTime is how long each of them reads.
	PrefillTime time.Duration `cbor:"4,keyasint,omitempty"`
	Short       bool          `cbor:"5,keyasint,omitempty"`
}

// BookedPart is one endpoint's part of a request, with the memory that it takes.
type BookedPart struct {
	Endpoint string `cbor:"1,keyasint"`
	Tokens   int64  `cbor:"2,keyasint,omitempty"`
}

// Place asks the entry that places long prompts for endpoints. Its sender closes the
// stream to withdraw.
type Place struct {
	// Booking is the number that the sender gives to the booking.
	Booking      uint64   `cbor:"1,keyasint"`
	Service      string   `cbor:"2,keyasint"`
	Account      string   `cbor:"3,keyasint,omitempty"`
	PromptTokens int      `cbor:"4,keyasint"`
	OutputTokens int      `cbor:"5,keyasint"`
	Tried        []string `cbor:"6,keyasint,omitempty"`
	// EventGapTarget is the longest pause between events that the caller wants.
	EventGapTarget time.Duration `cbor:"7,keyasint,omitempty"`
	// Waited is how long the request has waited, StartIn when it has to start to be in
	// time, and ExpiresIn when it is given up.
	Waited    time.Duration `cbor:"8,keyasint,omitempty"`
	StartIn   time.Duration `cbor:"9,keyasint"`
	ExpiresIn time.Duration `cbor:"10,keyasint"`
	// RelaxAfter is after how long any endpoints will do.
	RelaxAfter time.Duration `cbor:"11,keyasint,omitempty"`
}

// Placed answers Place: first, and now and then while the request waits, with Waiting
// set; at the end with a booking or a refusal.
type Placed struct {
	Waiting bool     `cbor:"1,keyasint,omitempty"`
	Booking *Booking `cbor:"2,keyasint,omitempty"`
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	// PredictedPrefill is the predicted time until the prompt is read, and Considered how many
	// endpoints could have served the request.
	PredictedPrefill time.Duration `cbor:"4,keyasint,omitempty"`
	Candidates       int           `cbor:"5,keyasint,omitempty"`
}

// Replica carries one message of the consensus protocol.
type Replica struct {
	Group string `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Dispatch) Kind() Kind  { return KindDispatch }
func (*Body) Kind() Kind      { return KindBody }
func (*Grant) Kind() Kind     { return KindGrant }
func (*Refused) Kind() Kind   { return KindRefused }
func (*Head) Kind() Kind      { return KindHead }
func (*Chunk) Kind() Kind     { return KindChunk }
func (*End) Kind() Kind       { return KindEnd }
func (*Cancel) Kind() Kind    { return KindCancel }
func (*Hello) Kind() Kind     { return KindHello }
func (*Heartbeat) Kind() Kind { return KindHeartbeat }
func (*Update) Kind() Kind    { return KindUpdate }
func (*Command) Kind() Kind   { return KindCommand }
func (*Answer) Kind() Kind    { return KindAnswer }
func (*Replica) Kind() Kind   { return KindReplica }
func (*Bookings) Kind() Kind  { return KindBookings }
func (*Place) Kind() Kind     { return KindPlace }
func (*Placed) Kind() Kind    { return KindPlaced }

// newMessage returns an empty message of the kind, or nil for an unknown one.
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
	case KindReplica:
		return &Replica{}
	case KindBookings:
		return &Bookings{}
	case KindPlace:
		return &Place{}
	case KindPlaced:
		return &Placed{}
	}
	return nil
}

// Refusal returns the refusal that r carries.
func (r *Refused) Refusal() *verdict.Refusal {
	return &verdict.Refusal{Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}

// NewRefused returns the message for a refusal of attempt a.
func NewRefused(a Attempt, r *verdict.Refusal) *Refused {
	return &Refused{Attempt: a, Verdict: r.Verdict, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}
