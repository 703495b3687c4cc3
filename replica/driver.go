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
	// Send hands m over for delivery. It never blocks; a message may be lost, late,
	// doubled or crossed. The transport owns m afterwards and does not change it.
	Send(to ID, m *Message)
}

// Options are what a replica is made of.
type Options struct {
	// ID is the replica's ID if it is one of the Bootstrap members. Zero gives an
	// empty disk a random ID; such a replica waits until a leader adds it. On a disk
	// that has an identity both ID and Bootstrap are ignored.
	ID ID
	// Bootstrap are the members that a new group starts with, all voters, with their
	// addresses. All of them have to run for the group to form.
	Bootstrap map[ID]string

	Disk         Disk
	StateMachine StateMachine
	Transport    Transport

	// TickInterval is the unit of time of elections and heartbeats.
	TickInterval time.Duration
	// Ticks, if set, stands in for a ticker of TickInterval.
	Ticks <-chan time.Time
	// ElectionTicks is the least time without a leader after which one is elected.
	ElectionTicks int
	// HeartbeatTicks is the time between a leader's heartbeats.
	HeartbeatTicks int
	// SnapshotEvery is the number of commands between snapshots.
	SnapshotEvery uint64
	// ReserveBytes is kept free on the disk for votes and commands in flight.
	ReserveBytes int
	// Rand is the source of identities and election timeouts.
	Rand *rand.Rand
	// Log gets a line for each change of role, membership, snapshot and fault.
	Log hclog.Logger

	tune func(*coreOptions) // set only by tests
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

// Replica is one running copy of the state machine. Run does the work; the other
// methods may be called from any goroutine.
type Replica struct {
	opts  Options
	log   hclog.Logger
	inbox *inbox
	view  atomic.Pointer[view]

	// The rest belongs to the goroutine of Run.
	founding           founding
	core               *core
	store              *store
	proposals          map[uint64]*proposal // by index
	orders             map[uint64]*order    // changes of membership by index
	transfers          []*order
	barrierQueue       barrierQueue
	diskFull           bool // the reserve is in use, or even that is full
	saveBlocked        bool // the disk refused the last batch; not tried again before a tick
	ledTerm            uint64
	running            bool // on a goroutine of its own
	job                *snapshotJob
	bytesSinceSnapshot int // bytes applied since the last snapshot
}

var _ Node = (*Replica)(nil)

// view is what other goroutines see.
type view struct {
	status  Status
	last    uint64
	members []MemberStatus
}

// MemberStatus says where a member stands. Match and Whole are known at the leader only.
type MemberStatus struct {
	Member
	// Match is the highest index known to be on the member's disk.
	Match uint64
	// Whole is set for a member heard from lately that holds all that is committed.
	Whole bool
}

// Open reads the replica's files and restores its state machine. Run starts it.
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
	if err := r.load(); err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

// load reads the log and the snapshot.
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

// initLog makes the first file of the log on a new disk, and refuses a disk that lost it.
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

// startCore makes the core. Before the group has formed it has no members, so that it
// neither campaigns nor votes.
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
		r.core.campaign(false) // nobody else can lead
	}
}

// Run runs the replica until ctx ends or a fault stops it for good. It returns the
// fault, or nil. A stopped replica is opened anew to run again.
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

// Receive takes in a message from another replica. It does not block.
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

// Propose implements Node. An error other than ErrUncertain means that the command
// was not run and will not be.
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

// Barrier implements Node. Callers that wait at the same time share one round to a
// quorum. The error wraps ErrNoQuorum when no quorum confirmed a leader before ctx ended.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{call: newCall(ctx)}
	if !r.inbox.put(func() { r.inbox.barriers = append(r.inbox.barriers, b) }) {
		return ErrStopped
	}
	_, err := b.wait(ErrNoQuorum)
	return err
}

// wait returns the outcome. When the caller gives up first the error wraps late, or
// the reason alone if the call had not begun.
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
	case o := <-c.done: // the outcome came at the same moment
		return o.result, o.err
	default:
		return nil, errors.Wrap(afterClaim, c.ctx.Err().Error())
	}
}

// Status implements Node.
func (r *Replica) Status() Status { return r.view.Load().status }

// LastIndex returns the index of the last entry in the log, which may still be
// undecided.
func (r *Replica) LastIndex() uint64 { return r.view.Load().last }

// Members returns the members in the latest membership known here.
func (r *Replica) Members() []MemberStatus { return r.view.Load().members }

// AddLearner adds a replica that receives the log but does not vote.
func (r *Replica) AddLearner(ctx context.Context, id ID, addr string) error {
	return r.order(ctx, &order{change: change{op: opAddLearner, id: id, addr: addr}})
}

// Promote makes a learner a voter. It is refused with ErrNotCaughtUp until the learner
// holds on its disk all that is committed.
func (r *Replica) Promote(ctx context.Context, id ID) error {
	return r.order(ctx, &order{change: change{op: opPromote, id: id}})
}

// Remove takes a member out of the group.
func (r *Replica) Remove(ctx context.Context, id ID) error {
	return r.order(ctx, &order{change: change{op: opRemove, id: id}})
}

// Transfer hands leadership to a voter, the most up-to-date one if to is zero, and
// returns once this replica no longer leads. Use it before a planned stop.
func (r *Replica) Transfer(ctx context.Context, to ID) error {
	return r.order(ctx, &order{transfer: true, to: to})
}

// Campaign asks for an election at once.
func (r *Replica) Campaign(ctx context.Context) error {
	return r.order(ctx, &order{campaign: true})
}

func (r *Replica) order(ctx context.Context, o *order) error {
	o.call = newCall(ctx)
	if !r.inbox.put(func() { r.inbox.orders = append(r.inbox.orders, o) }) {
		return ErrStopped
	}
	_, err := o.wait(ErrUncertain)
	return err
}
