package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Transport carries messages to other replicas.
type Transport interface {
	// Send hands m over for delivery to a replica. It must not block. Messages may be
	// lost, delayed, duplicated or reordered. The transport may keep m but must not
	// modify it.
	Send(to ID, m *Message)
}

// Options holds the parameters of a replica and the parts that it works with.
type Options struct {
	// ID is the replica's ID if it is one of the Bootstrap members. With zero, a
	// replica on an empty disk gets a random ID and waits until a leader adds it. ID
	// and Bootstrap are ignored if the disk already has an identity.
	ID ID
	// Bootstrap holds the members of a new group, all voters, and their addresses. The
	// group forms once all of them run.
	Bootstrap map[ID]string

	Disk         Disk
	StateMachine StateMachine
	Transport    Transport

	// TickInterval is the duration of a tick, the unit of election and heartbeat times.
	TickInterval time.Duration
	// Ticks, if set, is used instead of a ticker of TickInterval.
	Ticks <-chan time.Time
	// ElectionTicks is the minimum election timeout. Each timeout is drawn at random
	// between one and two times ElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// ReserveBytes is the size of a file that reserves space on the disk. It is removed when
	// the disk is full, so that votes and entries in flight can still be written.
	ReserveBytes int
	// Rand is the source of random identities and election timeouts.
	Rand *rand.Rand
	// Log receives a line for each change of role or membership, snapshot and fault.
	Log hclog.Logger

	tune func(*coreOptions) // changes the core's options; set only in tests
}

// The defaults of Options.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	DefaultSnapshotEvery  = 10000
)

func (o *Options) setDefaults() error {
	if o.Disk == nil || o.StateMachine == nil || o.Transport == nil {
		return errors.New("replica: disk, state machine and transport are required")
	}
	setDefault(&o.TickInterval, DefaultTickInterval)
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&o.ReserveBytes, defaultReserveBytes)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return nil
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Replica is one running copy of the state machine. Run does the work on one goroutine,
// called the replica's goroutine; the other exported methods may be called from any
// goroutine.
type Replica struct {
	opts  Options
	log   hclog.Logger
	inbox *inbox
	view  atomic.Pointer[view]

	// The fields below are used only on the replica's goroutine.
	founding           founding
	core               *core
	store              *store
	proposals          map[uint64]*proposal // by the index of their entry
	orders             map[uint64]*order    // membership changes, by the index of their entry
	transfers          []*order             // leadership transfers in progress
	barrierQueue       barrierQueue
	diskFull           bool         // there is no space for the reserve file, so commands are refused
	saveBlocked        bool         // the last batch did not fit on the disk; it is saved again after the next tick
	ledTerm            uint64       // term of the leadership that handleRoleChange last saw, or zero
	running            bool         // Run was called
	job                *snapshotJob // the snapshot being written, or nil
	bytesSinceSnapshot int          // size of the entries applied since the last snapshot
}

var _ Node = (*Replica)(nil)

// view is the state of the replica that other goroutines can read.
type view struct {
	status  Status
	last    uint64 // index of the last entry in the log
	members []MemberStatus
}

// MemberStatus is the state of a member. Match and CaughtUp are zero except on the leader.
type MemberStatus struct {
	Member
	// Match is the highest index up to which the member is known to have the leader's
	// log on disk.
	Match uint64
	// CaughtUp is set for a caught-up member: the leader has last seen it within
	// ElectionTicks, and it holds everything committed at the leader's last heartbeat.
	CaughtUp bool
}

// Open reads the replica's files and restores the state machine from the latest snapshot.
// The replica does nothing more until Run is called.
func Open(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	id, err := openIdentity(&o)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      o,
		log:       o.Log,
		inbox:     newInbox(),
		founding:  founding{identity: id, seen: map[ID]*Founding{}},
		proposals: map[uint64]*proposal{},
		orders:    map[uint64]*order{},
	}
	// An answer to a read of an earlier process may still arrive, and must match none of this one.
	r.barrierQueue.number = o.Rand.Uint64()
	if err := r.load(); err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

// load opens the store, restores the state machine and starts the core.
func (r *Replica) load() error {
	st, from, err := openStore(r.opts.Disk, r.opts.ReserveBytes)
	if err != nil {
		return err
	}
	r.store = st
	if err := r.initLog(); err != nil {
		st.close()
		return err
	}
	r.diskFull = !st.allocateReserve()
	if from.snapshot.Index > 0 {
		sn, err := st.loadSnapshot(from.snapshot.Index)
		if err == nil {
			err = r.opts.StateMachine.Restore(sn.data)
		}
		if err != nil {
			st.close()
			return err
		}
	}
	r.startCore(from)
	return nil
}

// initLog creates the first segment of the log on a new disk, and refuses a disk whose
// log was created earlier and is missing.
func (r *Replica) initLog() error {
	empty := len(r.store.segments) == 0
	if r.founding.LogCreated && empty {
		return errors.Wrap(ErrDamaged, "replica: the log is missing")
	}
	if r.founding.LogCreated {
		return nil
	}
	if empty {
		if err := r.store.writeFrame(nil, hardState{}, 0); err != nil {
			return err
		}
	}
	r.founding.LogCreated = true
	return saveIdentity(r.opts.Disk, r.founding.identity)
}

// startCore creates the core. Until the group has formed the core has no members, so it
// does not campaign.
func (r *Replica) startCore(from restored) {
	if from.snapshot.Index == 0 && r.founding.State == foundingDone {
		from.snapshot.Members = r.founding.Members
	}
	opts := coreOptions{
		id:             r.founding.ID,
		electionTicks:  r.opts.ElectionTicks,
		heartbeatTicks: r.opts.HeartbeatTicks,
		rand:           r.opts.Rand,
	}
	if r.opts.tune != nil {
		r.opts.tune(&opts)
	}
	r.core = newCore(opts, from)
	if voters := r.core.current().voters(); len(voters) == 1 {
		r.core.campaign(false) // no other replica can lead, so do not wait for the timeout
	}
}

// Run runs the replica until ctx ends, and returns nil, or until a fault stops it, and
// returns the fault. It may be called once; a stopped replica has to be opened again.
func (r *Replica) Run(ctx context.Context) error {
	ticks := r.opts.Ticks
	if ticks == nil {
		ticker := time.NewTicker(r.opts.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	defer r.stop()
	r.running = true
	err := r.runOnce()
	for err == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			r.tick()
		case <-r.inbox.wake:
		}
		err = r.runOnce()
	}
	r.log.Error("replica stopped", "id", uint64(r.founding.ID), "err", err)
	return errors.WithMessage(err, ErrStopped.Error())
}

// Receive queues a message from another replica. It does not block; an invalid message
// is logged and dropped.
func (r *Replica) Receive(m *Message) {
	if err := m.check(); err != nil {
		r.log.Warn("message refused", "from", uint64(m.From), "err", err)
		return
	}
	r.inbox.put(func() {
		if len(r.inbox.messages) < maxInboxMessages {
			r.inbox.messages = append(r.inbox.messages, m)
		}
	})
}

// Propose implements Node. After an error that does not wrap ErrUncertain the command has
// not been applied and never will be.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{call: newCall(ctx), command: command}
	if !r.inbox.put(func() { r.inbox.proposals = append(r.inbox.proposals, p) }) {
		return nil, ErrStopped
	}
	return p.wait(ErrUncertain)
}

// Barrier implements Node. Callers that wait at the same time share one read index round.
// The error wraps ErrNoQuorum if no quorum confirmed a leader before ctx ended.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{call: newCall(ctx)}
	if !r.inbox.put(func() { r.inbox.barriers = append(r.inbox.barriers, b) }) {
		return ErrStopped
	}
	_, err := b.wait(ErrNoQuorum)
	return err
}

// wait returns the outcome of the call. If ctx ends first the error wraps afterClaim, or
// ErrNoQuorum if the replica's goroutine has not claimed the call: then it never will.
func (c *call) wait(afterClaim error) ([]byte, error) {
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-c.ctx.Done():
	}
	if c.claim() {
		return nil, errors.Wrap(ErrNoQuorum, c.ctx.Err().Error())
	}
	select {
	case o := <-c.done: // the outcome was set at the same time
		return o.result, o.err
	default:
		return nil, errors.Wrap(afterClaim, c.ctx.Err().Error())
	}
}

// Status implements Node.
func (r *Replica) Status() Status { return r.view.Load().status }

// LastIndex returns the index of the last entry in the log, which may be uncommitted.
func (r *Replica) LastIndex() uint64 { return r.view.Load().last }

// Members returns the members of the latest membership in this replica's log.
func (r *Replica) Members() []MemberStatus { return r.view.Load().members }

// AddLearner adds a replica as a learner, which receives the log and does not vote.
func (r *Replica) AddLearner(ctx context.Context, id ID, addr string) error {
	return r.order(ctx, &order{change: change{op: opAddLearner, id: id, addr: addr}})
}

// Promote makes a learner a voter. It fails with ErrNotCaughtUp until the learner has
// everything on disk that was committed at the leader's last heartbeat.
func (r *Replica) Promote(ctx context.Context, id ID) error {
	return r.order(ctx, &order{change: change{op: opPromote, id: id}})
}

// Remove removes a member from the group.
func (r *Replica) Remove(ctx context.Context, id ID) error {
	return r.order(ctx, &order{change: change{op: opRemove, id: id}})
}

// Transfer transfers leadership to a voter, the most up-to-date one if to is zero, and
// returns nil once this replica no longer leads. The error is ErrNoQuorum if the transfer
// did not happen within ElectionTicks. Transfer is meant for use before a planned stop.
func (r *Replica) Transfer(ctx context.Context, to ID) error {
	return r.order(ctx, &order{transfer: true, to: to})
}

// Campaign starts an election without waiting for the election timeout.
func (r *Replica) Campaign(ctx context.Context) error {
	return r.order(ctx, &order{campaign: true})
}

// order queues an administrative call and waits for its outcome.
func (r *Replica) order(ctx context.Context, o *order) error {
	o.call = newCall(ctx)
	if !r.inbox.put(func() { r.inbox.orders = append(r.inbox.orders, o) }) {
		return ErrStopped
	}
	_, err := o.wait(ErrUncertain)
	return err
}
