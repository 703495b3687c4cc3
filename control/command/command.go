// Package command defines the commands that control accepts in a wire.Command, and their
// answers.
//
// Operators and processes send commands to any replica. A replica that does not lead answers
// with the address of the leader. Every command that changes state has an identifier in
// wire.Command.ID. A command that is retried with the same identifier gets the first answer.
package command

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Names of the commands, in wire.Command.Name. Each comment names the type of the body, the type
// of the answer and the roles that may send the command.
const (
	// NameChange takes Change and answers Changed. Operators only.
	NameChange = "change"
	// NamePublish takes Publish and answers Changed. Operators and control only.
	NamePublish = "publish"
	// NameView takes no body and answers View. Operators only.
	NameView = "view"
	// NameHistory takes History and answers Audit. Operators only.
	NameHistory = "history"
	// NameOrder takes Order and answers Ordered. Operators only.
	NameOrder = "order"
	// NameInForce takes InForce and answers Lagging. Operators only.
	NameInForce = "in_force"
	// NameClaim takes Claim and answers Claimed. Entries only.
	NameClaim = "claim"
	// NameSettle takes Settle and has an empty answer. Entries and sidecars only.
	NameSettle = "settle"
	// NameFence takes Fence and answers Fenced. Sidecars only.
	NameFence = "fence"
	// NameMember takes Member and has an empty answer. Operators only.
	NameMember = "member"
	// NameSuspect takes Suspect and answers SuspectStatuses. Entries and sidecars only.
	NameSuspect = "suspect"
	// NamePermit takes Permit and answers Permitted. Entries only.
	NamePermit = "permit"
	// NameEnded takes Ended and has an empty answer. Entries only.
	NameEnded = "ended"
	// NameDepart takes Depart and answers nothing.
	NameDepart = "depart"
	// NameReplicaInfo takes ReplicaInfoRequest or no body and answers ReplicaInfo. Every
	// replica and relay answers for itself, without the leader.
	NameReplicaInfo = "standing"
)

// AnyRevision, as Change.Expect, has the change accepted at any revision.
const AnyRevision = ^uint64(0)

// Change changes the configuration.
type Change struct {
	// Expect is the revision that the change is based on. If the configuration has another
	// revision, the change is refused with verdict.ReasonRevisionConflict, and the refusal
	// names the operator and the command that changed Expect.
	Expect uint64 `cbor:"1,keyasint"`
	// Changes take effect either all together or not at all.
	Changes []config.Change `cbor:"2,keyasint"`
	// NoWait has the change answered as soon as it is accepted. Without NoWait the answer
	// waits until every process has the change or no valid permission.
	NoWait bool `cbor:"3,keyasint,omitempty"`
}

// Publish applies a publication. A publication whose version is not higher than the applied
// version is accepted but changes nothing, because its sender may be retrying after a lost
// answer.
type Publish struct {
	Publication config.Publication `cbor:"1,keyasint"`
}

// Changed is the answer to an accepted Change or Publish, with the revision after it.
type Changed struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// View is the configuration, the endpoints, the processes and the replicas, read linearizably
// from the leader.
type View struct {
	Document  *config.Document `cbor:"1,keyasint" json:"document"`
	Endpoints []wire.Endpoint  `cbor:"2,keyasint" json:"endpoints"`
	Processes []Process        `cbor:"3,keyasint" json:"processes"`
	Replicas  []ReplicaStatus  `cbor:"4,keyasint" json:"replicas"`
}

// Process is a process that has a session with control.
type Process struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Role     string `cbor:"2,keyasint" json:"role"`
	Region   string `cbor:"3,keyasint" json:"region"`
	Zone     string `cbor:"4,keyasint" json:"zone"`
	Revision uint64 `cbor:"5,keyasint" json:"revision"`
	// Silent is the time since the last message from the process.
	Silent time.Duration `cbor:"6,keyasint" json:"silent"`
}

// ReplicaStatus is the leader's view of one replica of control.
type ReplicaStatus struct {
	ID     uint64 `cbor:"1,keyasint" json:"id"`
	Addr   string `cbor:"2,keyasint" json:"addr"`
	Leader bool   `cbor:"3,keyasint" json:"leader"`
	Voter  bool   `cbor:"4,keyasint" json:"voter"`
	// Match is the index of the last log entry known to be on the replica.
	Match uint64 `cbor:"5,keyasint" json:"match"`
	// CaughtUp is set if the replica has every committed log entry and the replicas tolerate
	// the loss of one.
	CaughtUp bool `cbor:"6,keyasint" json:"whole"`
}

// History reads the audit log. From is the first revision to return, and Limit the largest
// number of entries, or zero for all.
type History struct {
	From  uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
}

// Audit is the answer to History, oldest entry first.
type Audit struct {
	Entries []AuditEntry `cbor:"1,keyasint" json:"entries"`
}

// AuditEntry records one accepted change of the configuration or order: its sender Who, the
// time When, the command identifier ID, and either Changes or Order. Revision is the revision
// of the configuration after it.
type AuditEntry struct {
	Revision uint64          `cbor:"1,keyasint" json:"revision"`
	Who      string          `cbor:"2,keyasint" json:"who"`
	When     time.Time       `cbor:"3,keyasint" json:"when"`
	ID       string          `cbor:"4,keyasint" json:"id"`
	Changes  []config.Change `cbor:"5,keyasint,omitempty" json:"changes,omitempty"`
	Order    *wire.Order     `cbor:"6,keyasint,omitempty" json:"order,omitempty"`
}

// Order requests a change of what the engine of an endpoint serves. Control assigns the next
// fencing number to the order; see wire.Order.
type Order struct {
	Endpoint string `cbor:"1,keyasint"`
	Action   string `cbor:"2,keyasint"`
	Value    string `cbor:"3,keyasint"`
}

// Ordered is the answer to an accepted Order, with its fencing number.
type Ordered struct {
	Fence uint64 `cbor:"1,keyasint"`
}

// InForce asks which processes may still work with a configuration older than Revision.
type InForce struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Lagging is the answer to InForce: the processes that may hold a valid permission with a lower
// revision. If it is empty, the revision is applied everywhere.
type Lagging struct {
	Processes []Process `cbor:"1,keyasint" json:"processes"`
}

// Claim asks for the right to run a non-idempotent call once.
type Claim struct {
	Account string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Digest is a hash of method, path and body. A claim with a known key and another digest
	// is refused.
	Digest uint64 `cbor:"3,keyasint"`
	// Endpoint and Incarnation name the endpoint on which the call is to run.
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// Claimed is the answer to a Claim.
type Claimed struct {
	// Fence is the fencing number of a granted claim. It is zero if the claim is not granted.
	Fence uint64 `cbor:"1,keyasint"`
	// Result is the stored result of a call that ran earlier.
	Result *Result `cbor:"2,keyasint,omitempty"`
	// Refused is the reason why the caller may not dispatch the call as a new one, with a
	// proven verdict.
	Refused *wire.Refused `cbor:"3,keyasint,omitempty"`
	// PendingClaim is set, in addition to Refused, if the call has been claimed and the claim
	// is not settled. Its fencing number is admitted only once, no matter which entry sends
	// it. So an entry may dispatch the call under this claim, to run a call whose entry has
	// failed or to find out that the call may have run.
	PendingClaim *PendingClaim `cbor:"4,keyasint,omitempty"`
}

// PendingClaim is a claim that was granted and is not settled.
type PendingClaim struct {
	Fence       uint64 `cbor:"1,keyasint"`
	Endpoint    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Result is the stored response of a call that ran.
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
	// Verdict is Ran, together with a Result, or NotRun if the sidecar sealed the claim before
	// it dispatched the call, or MayHaveRun.
	Verdict verdict.Verdict `cbor:"4,keyasint"`
	Result  *Result         `cbor:"5,keyasint,omitempty"`
}

// Fence registers an incarnation of an endpoint and reads the newest fencing number of the
// endpoint from a quorum. A sidecar sends it once after its start, before it accepts orders or
// claims. From then on control refuses older incarnations of the endpoint and gives them no
// orders, claims or permission.
type Fence struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Fenced is the answer to Fence. Newest is the fencing number issued at the registration of the
// incarnation. The numbers issued to earlier incarnations of the endpoint are lower.
type Fenced struct {
	Newest uint64 `cbor:"1,keyasint"`
}

// Member changes the membership of the replicas of control.
type Member struct {
	// Action is "add", "promote" or "remove".
	Action string `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint"`
	Addr   string `cbor:"3,keyasint"`
}

// Suspect reports the requests that were in flight on an endpoint when it failed.
type Suspect struct {
	Endpoint    string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Digests     []uint64 `cbor:"3,keyasint"`
	// Alone is set if it is certain that no other request was in flight.
	Alone bool `cbor:"4,keyasint,omitempty"`
	// Direct is set for an endpoint without a sidecar; see quarantine.MinDirectLosses.
	Direct bool `cbor:"5,keyasint,omitempty"`
	// More reports further endpoints that failed at about the same time.
	More []Suspect `cbor:"6,keyasint,omitempty"`
	// Parts are parts of the prompts of the requests.
	Parts []Part `cbor:"7,keyasint,omitempty"`
}

// Part is a part of the prompts of requests that were in flight.
type Part struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Carriers are some of the requests with the part; see quarantine.MaxPartCarriers.
	Carriers []uint64 `cbor:"2,keyasint"`
}

// SuspectStatuses is the answer to Suspect: the quarantine.Status of each digest, in the order of
// Suspect.Digests, and then in that of Suspect.More.
type SuspectStatuses struct {
	Statuses []uint8 `cbor:"1,keyasint"`
	// PartStatuses are those of the parts, in the same order. Control of an earlier version sends none.
	PartStatuses []uint8 `cbor:"2,keyasint,omitempty"`
}

// Permit asks for the right to run a suspect request, or one with a convicted part, whose digest it
// then has.
type Permit struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Holder identifies the attempt that will hold the permit.
	Holder      string `cbor:"2,keyasint"`
	Endpoint    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// MaxRunTime is the longest time that the attempt may take.
	MaxRunTime time.Duration `cbor:"5,keyasint"`
}

// Permitted is the answer to Permit.
type Permitted struct {
	// Status is the request's quarantine.Status.
	Status  uint8 `cbor:"1,keyasint"`
	Granted bool  `cbor:"2,keyasint"`
	// Alone is set if no other request may be in flight on the endpoint.
	Alone      bool          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Depart records endpoints that leave or have left. A repeated departure changes nothing.
type Depart struct {
	Departures []Departure `cbor:"1,keyasint"`
}

// Departure is one start of an endpoint that leaves or has left for good.
type Departure struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Ended returns a permit after an attempt that did not crash the endpoint.
type Ended struct {
	Digest uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	// Completed is set if the caller got a complete answer, which clears the request of
	// suspicion.
	Completed bool `cbor:"3,keyasint,omitempty"`
}

// ReplicaInfoRequest is the body that a process of control sends with NameReplicaInfo. Addr is
// its own address, from which a restarted relay learns where the other processes are.
type ReplicaInfoRequest struct {
	Addr string `cbor:"1,keyasint"`
}

// ReplicaInfo is the state that one replica reports about itself, for processes that poll a
// majority; see lease.Poll. A relay has no ID. Leader is the ID of the leader, or zero.
type ReplicaInfo struct {
	ID     uint64   `cbor:"1,keyasint"`
	Leader uint64   `cbor:"2,keyasint"`
	Voters []uint64 `cbor:"3,keyasint"`
	// Revision is the highest configuration revision that the replica has applied. Settled is
	// set if its log has no entry after Revision that may still be committed as a change.
	Revision uint64 `cbor:"4,keyasint"`
	Settled  bool   `cbor:"5,keyasint"`
	// Addrs are the addresses of Voters, in the same order.
	Addrs []string `cbor:"6,keyasint,omitempty"`
}
