// Package command holds the typed commands that control takes in a
// wire.Command, and their answers.
//
// Operators and processes send them to any replica. A replica that does not lead
// answers with the leader's address. Every command that changes state carries an
// identifier in wire.Command.ID, and a resend gets the first answer.
package command

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Names of the commands, in wire.Command.Name.
const (
	// NameChange takes Change and answers Changed. Operators only.
	NameChange = "change"
	// NamePublish takes Publish and answers Changed. Operators and control only.
	NamePublish = "publish"
	// NameView takes nothing and answers View. Operators only.
	NameView = "view"
	// NameHistory takes History and answers Audit. Operators only.
	NameHistory = "history"
	// NameOrder takes Order and answers Ordered. Operators only.
	NameOrder = "order"
	// NameInForce takes InForce and answers Lagging. Operators only.
	NameInForce = "in_force"
	// NameClaim takes Claim and answers Claimed. Entries only.
	NameClaim = "claim"
	// NameSettle takes Settle and answers nothing. Entries and sidecars only.
	NameSettle = "settle"
	// NameFence takes Fence and answers Fenced: a read from a quorum. Sidecars only.
	NameFence = "fence"
	// NameMember takes Member and answers nothing: changes the replicas. Operators only.
	NameMember = "member"
	// NameSuspect takes Suspect and answers SuspectStatuses. Entries and sidecars only.
	NameSuspect = "suspect"
	// NamePermit takes Permit and answers Permitted. Entries only.
	NamePermit = "permit"
	// NameEnded takes Ended and answers nothing. Entries only.
	NameEnded = "ended"
	// NameReplicaInfo takes nothing or ReplicaInfoRequest and answers ReplicaInfo, from any replica
	// or relay about itself.
	NameReplicaInfo = "standing"
)

// AnyRevision in Change.Expect accepts the change at any revision.
const AnyRevision = ^uint64(0)

// Change asks to change the configuration.
type Change struct {
	// Expect is the revision that the operator saw. At another revision the
	// change is refused with verdict.ReasonRevisionConflict and names the winner.
	Expect uint64 `cbor:"1,keyasint"`
	// Changes take effect together or not at all.
	Changes []config.Change `cbor:"2,keyasint"`
	// NoWait has the change answered as soon as it is accepted, without the wait
	// until every permission that does not know it has lapsed.
	NoWait bool `cbor:"3,keyasint,omitempty"`
}

// Publish asks to put a publication in force. One that is not newer than what is in
// force changes nothing and is accepted: its sender may have missed the answer.
type Publish struct {
	Publication config.Publication `cbor:"1,keyasint"`
}

// Changed is the answer to an accepted Change.
type Changed struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// View is what is running where, read linearizably from the leader.
type View struct {
	Document  *config.Document `cbor:"1,keyasint" json:"document"`
	Endpoints []wire.Endpoint  `cbor:"2,keyasint" json:"endpoints"`
	Processes []Process        `cbor:"3,keyasint" json:"processes"`
	Replicas  []ReplicaStatus  `cbor:"4,keyasint" json:"replicas"`
}

// Process is one process with a session.
type Process struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Role     string `cbor:"2,keyasint" json:"role"`
	Region   string `cbor:"3,keyasint" json:"region"`
	Zone     string `cbor:"4,keyasint" json:"zone"`
	Revision uint64 `cbor:"5,keyasint" json:"revision"`
	// Silent is how long ago the process was last heard.
	Silent time.Duration `cbor:"6,keyasint" json:"silent"`
}

// ReplicaStatus is one replica of control, as the leader sees it.
type ReplicaStatus struct {
	ID     uint64 `cbor:"1,keyasint" json:"id"`
	Addr   string `cbor:"2,keyasint" json:"addr"`
	Leader bool   `cbor:"3,keyasint" json:"leader"`
	Voter  bool   `cbor:"4,keyasint" json:"voter"`
	Match  uint64 `cbor:"5,keyasint" json:"match"`
	// CaughtUp is set once the replica holds everything and its loss is survived.
	CaughtUp bool `cbor:"6,keyasint" json:"whole"`
}

// History asks for the audit listing from a revision on.
type History struct {
	From  uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
}

// Audit is the listing of accepted orders, oldest first.
type Audit struct {
	Entries []AuditEntry `cbor:"1,keyasint" json:"entries"`
}

// AuditEntry says who ordered what and when.
type AuditEntry struct {
	Revision uint64          `cbor:"1,keyasint" json:"revision"`
	Who      string          `cbor:"2,keyasint" json:"who"`
	When     time.Time       `cbor:"3,keyasint" json:"when"`
	ID       string          `cbor:"4,keyasint" json:"id"`
	Changes  []config.Change `cbor:"5,keyasint,omitempty" json:"changes,omitempty"`
	Order    *wire.Order     `cbor:"6,keyasint,omitempty" json:"order,omitempty"`
}

// Order asks for an engine order; control gives it the next fencing number.
type Order struct {
	Endpoint string `cbor:"1,keyasint"`
	Action   string `cbor:"2,keyasint"`
	Value    string `cbor:"3,keyasint"`
}

// Ordered is the answer to an accepted Order.
type Ordered struct {
	Fence uint64 `cbor:"1,keyasint"`
}

// InForce asks which processes have not reached a revision.
type InForce struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Lagging lists the processes that still hold a permission for a lower revision.
type Lagging struct {
	Processes []Process `cbor:"1,keyasint" json:"processes"`
}

// Claim asks for the right to run a non-idempotent call once.
type Claim struct {
	Account string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Digest identifies method, path and body; the same key with another digest
	// is refused.
	Digest uint64 `cbor:"3,keyasint"`
	// Endpoint and Incarnation say where the call is to run.
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// Claimed is the answer to a Claim.
type Claimed struct {
	// Fence is the number of a new claim; zero when the call was claimed before.
	Fence uint64 `cbor:"1,keyasint"`
	// Result is the kept result of a call that ran.
	Result *Result `cbor:"2,keyasint,omitempty"`
	// Refused says why the call does not run, with a proven verdict.
	Refused *wire.Refused `cbor:"3,keyasint,omitempty"`
	// PendingClaim is the claim that another entry holds, when the call is in
	// progress. Its number passes once whoever brings it, so an entry may dispatch
	// the call under it to find out or finish what another left behind.
	PendingClaim *PendingClaim `cbor:"4,keyasint,omitempty"`
}

// PendingClaim is a claim that was given out and not yet settled.
type PendingClaim struct {
	Fence       uint64 `cbor:"1,keyasint"`
	Endpoint    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Result is the kept answer to a call that ran.
type Result struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint"`
	Body   []byte            `cbor:"3,keyasint"`
}

// Settle records how a claimed call ended.
type Settle struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
	// Verdict is Ran with a Result, NotRun when the sidecar sealed the claim off
	// before dispatch, or MayHaveRun.
	Verdict verdict.Verdict `cbor:"4,keyasint"`
	Result  *Result         `cbor:"5,keyasint,omitempty"`
}

// Fence registers an incarnation of an endpoint and asks for the newest fencing
// number. A sidecar sends it once at its start, before it passes orders or claims;
// an older incarnation is refused and gets no more orders, claims or permission.
type Fence struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Fenced is the newest fencing number issued for the endpoint, read from a quorum.
type Fenced struct {
	Newest uint64 `cbor:"1,keyasint"`
}

// Member changes the replicas of control.
type Member struct {
	// Action is "add", "promote" or "remove".
	Action string `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint"`
	Addr   string `cbor:"3,keyasint"`
}

// Suspect reports the requests in flight on an endpoint that fell.
type Suspect struct {
	Endpoint    string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Digests     []uint64 `cbor:"3,keyasint"`
	// Alone is set when it is certain that nothing else was in flight.
	Alone bool `cbor:"4,keyasint,omitempty"`
}

// SuspectStatuses is the answer to Suspect: the quarantine.Status of each digest, in order.
type SuspectStatuses struct {
	Statuses []uint8 `cbor:"1,keyasint"`
}

// Permit asks for the right to run a request that is suspect.
type Permit struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Holder names the attempt.
	Holder      string `cbor:"2,keyasint"`
	Endpoint    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// MaxRunTime is how long the run may take.
	MaxRunTime time.Duration `cbor:"5,keyasint"`
}

// Permitted is the answer to a Permit.
type Permitted struct {
	// Status is the request's quarantine.Status.
	Status  uint8 `cbor:"1,keyasint"`
	Granted bool  `cbor:"2,keyasint"`
	// Alone is set when nothing else may be in flight on the endpoint.
	Alone      bool          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Ended says that a run under a permit ended and brought nothing down.
type Ended struct {
	Digest uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	// Completed is set when the caller has a whole answer, which clears the request.
	Completed bool `cbor:"3,keyasint,omitempty"`
}

// ReplicaInfoRequest says which process of control asks. A relay that was restarted learns from it
// where the others are.
type ReplicaInfoRequest struct {
	Addr string `cbor:"1,keyasint"`
}

// ReplicaInfo says where one replica stands, for a process that polls a majority. A
// relay has no ID.
type ReplicaInfo struct {
	ID     uint64   `cbor:"1,keyasint"`
	Leader uint64   `cbor:"2,keyasint"`
	Voters []uint64 `cbor:"3,keyasint"`
	// Revision is the highest configuration revision that it holds. Settled is set
	// when its log has nothing after that which may still become a change.
	Revision uint64 `cbor:"4,keyasint"`
	Settled  bool   `cbor:"5,keyasint"`
	// Addrs are the addresses of Voters, in the same order.
	Addrs []string `cbor:"6,keyasint,omitempty"`
}
