package wire

import "time"

// Bookings informs another entry about the requests that the sender has placed on
// endpoints.
type Bookings struct {
	// Full is set if Begun lists all current bookings and replaces those sent before.
	Full  bool      `cbor:"1,keyasint,omitempty"`
	Begun []Booking `cbor:"2,keyasint,omitempty"`
	Ended []uint64  `cbor:"3,keyasint,omitempty"`
	// Unprefilled are bookings that have ended before the prefill was complete. They are
	// not listed in Ended.
	Unprefilled []uint64 `cbor:"4,keyasint,omitempty"`
	// Answered are bookings whose answer has begun, so that the prefill is complete.
	Answered []uint64 `cbor:"5,keyasint,omitempty"`
	// Limits are limits of endpoints that have changed; with Full set, all that the sender
	// knows.
	Limits []EndpointLimit `cbor:"6,keyasint,omitempty"`
	// Leaving is the address of the sender if it has stopped and sends no more requests.
	Leaving string `cbor:"7,keyasint,omitempty"`
	// Addr is the address of the sender, and Start a number that differs for each start of its
	// process. Both are set with Full.
	Addr  string `cbor:"8,keyasint,omitempty"`
	Start uint32 `cbor:"9,keyasint,omitempty"`
	// Slowdowns are those of engines that are slow, repeated while they are, and once after.
	Slowdowns []EndpointSlowdown `cbor:"10,keyasint,omitempty"`
}

// EndpointSlowdown is the time that an incarnation of an endpoint takes for its work, as a multiple of
// the usual time.
type EndpointSlowdown struct {
	Endpoint    string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Factor      float64 `cbor:"3,keyasint,omitempty"`
}

// EndpointLimit is what an incarnation of an endpoint says in its answers: the request rate
// that it names, in requests per second from all entries together, and whether it leaves. Zero
// means that the limit has ended. Version rises with each change of the limit.
type EndpointLimit struct {
	Endpoint    string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	PerSecond   float64 `cbor:"3,keyasint,omitempty"`
	Version     uint64  `cbor:"4,keyasint"`
	Leaving     bool    `cbor:"5,keyasint,omitempty"`
}

// Booking is the load that one request puts on endpoints.
type Booking struct {
	ID uint64 `cbor:"1,keyasint"`
	// Primary decodes the answer, and Helpers prefill parts of the prompt.
	Primary BookedPart   `cbor:"2,keyasint"`
	Helpers []BookedPart `cbor:"3,keyasint,omitempty"`
	// PrefillTime is the predicted prefill time at each of these endpoints.
	PrefillTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Short is set for a prompt that one endpoint prefills alone.
	Short bool `cbor:"5,keyasint,omitempty"`
	// EventGapTarget is the longest gap between two events of the answer that its caller wants.
	EventGapTarget time.Duration `cbor:"6,keyasint,omitempty"`
	// Answered is set once the answer has begun, so that the prefill is complete.
	Answered bool `cbor:"7,keyasint,omitempty"`
}

// BookedPart is the part of a booking at one endpoint. Tokens is the KV memory that the
// request takes there.
type BookedPart struct {
	Endpoint string `cbor:"1,keyasint"`
	Tokens   int64  `cbor:"2,keyasint,omitempty"`
}

// Place asks the placing entry, which assigns endpoints to long prompts, for endpoints.
// The sender closes the stream to cancel.
type Place struct {
	// Booking is the ID that the sender chose for the booking.
	Booking      uint64 `cbor:"1,keyasint"`
	Service      string `cbor:"2,keyasint"`
	Account      string `cbor:"3,keyasint,omitempty"`
	PromptTokens int    `cbor:"4,keyasint"`
	OutputTokens int    `cbor:"5,keyasint"`
	// Tried lists the endpoints that earlier attempts of the request were sent to.
	Tried []string `cbor:"6,keyasint,omitempty"`
	// EventGapTarget is the longest gap between events that the caller wants.
	EventGapTarget time.Duration `cbor:"7,keyasint,omitempty"`
	// Waited is how long the request has waited. StartIn is the time left until the request
	// has to start to meet its deadline, and ExpiresIn the time left until it leaves the
	// queue.
	Waited    time.Duration `cbor:"8,keyasint,omitempty"`
	StartIn   time.Duration `cbor:"9,keyasint"`
	ExpiresIn time.Duration `cbor:"10,keyasint"`
	// RelaxAfter is the waiting time after which the prompt is prefilled by the endpoints
	// that are idle, however few, if no other long prompt waits.
	RelaxAfter time.Duration `cbor:"11,keyasint,omitempty"`
	// Immediate asks for a refusal instead of a wait, and of a crowded endpoint.
	Immediate bool `cbor:"12,keyasint,omitempty"`
	// Hold is set by an entry of another cell, which does not send its bookings here: the placing
	// entry holds the booking until the sender reports its end on the stream or closes it, and
	// for this time at most.
	Hold time.Duration `cbor:"13,keyasint,omitempty"`
	// YieldIn, if it is not zero, is the time after which a request that still waits is refused, so
	// that its sender can look for room elsewhere.
	YieldIn time.Duration `cbor:"14,keyasint,omitempty"`
	// DueIn is the time left until the caller wants the answer to begin, negative when that has
	// passed; zero if it is not known.
	DueIn time.Duration `cbor:"15,keyasint,omitempty"`
	// MemoryFull lists the endpoints that have just refused to reserve memory for the sender.
	MemoryFull []string `cbor:"16,keyasint,omitempty"`
}

// Placed answers Place. The placing entry sends it with Waiting set at first and
// repeatedly while the request waits, and finally with a booking or a refusal.
type Placed struct {
	Waiting bool     `cbor:"1,keyasint,omitempty"`
	Booking *Booking `cbor:"2,keyasint,omitempty"`
	Refused *Refused `cbor:"3,keyasint,omitempty"`
	// PredictedPrefill is the predicted time until the prefill is complete, and
	// Candidates is the number of endpoints that were eligible.
	PredictedPrefill time.Duration `cbor:"4,keyasint,omitempty"`
	Candidates       int           `cbor:"5,keyasint,omitempty"`
	// Revision is the revision of the configuration under which the placing entry chose.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
}
