package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/matryer/is"
)

// listMachine is a state machine that stores the applied commands in order.
type listMachine struct {
	Commands []string
}

func (m *listMachine) Apply(_ uint64, command []byte) []byte {
	m.Commands = append(m.Commands, string(command))
	return fmt.Appendf(nil, "%d", len(m.Commands))
}

func (m *listMachine) Snapshot() ([]byte, error) { return json.Marshal(m.Commands) }

func (m *listMachine) Restore(b []byte) error {
	m.Commands = nil
	return json.Unmarshal(b, &m.Commands)
}

// node is one replica of a cluster, running or not.
type node struct {
	id        ID
	disk      *memDisk
	sm        *listMachine
	r         *Replica // nil while the replica does not run
	err       error    // the error that stopped the replica
	suspended bool     // the process neither ticks nor receives
}

// runs reports whether the replica runs and is not suspended.
func (n *node) runs() bool { return n.r != nil && !n.suspended }

// link is one direction of the network between two replicas.
type link struct{ from, to ID }

const dupDelay = 40

type inFlightMessage struct {
	due     int
	encoded []byte
}

// testT is the part that a cluster uses of *testing.T, *testing.B and *rapid.T.
type testT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Fail()
	FailNow()
}

// cluster runs replicas over an in-memory network, one step at a time. All random choices
// come from one seed.
type cluster struct {
	t         testT
	rng       *rand.Rand
	nodes     map[ID]*node
	order     []ID // the order in which the nodes run in a step
	addrs     map[ID]string
	cut       map[link]bool // links that lose all messages
	inFlight  map[ID][]inFlightMessage
	now       int // number of steps so far
	delay     int // maximum extra steps that a message takes
	loseOneIn int // one message in this many is lost; zero for none
	dupOneIn  int // one message in this many arrives again, up to dupDelay steps later; zero for none
	tune      func(*Options)
	leaders   map[uint64]ID       // by term, to check that each has at most one
	sent      map[MessageType]int // number of messages by type
	bytes     int                 // encoded bytes of all messages
}

func newCluster(t testT, seed uint64, size int, tune func(*Options)) *cluster {
	c := &cluster{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		nodes:    map[ID]*node{},
		addrs:    map[ID]string{},
		cut:      map[link]bool{},
		inFlight: map[ID][]inFlightMessage{},
		leaders:  map[uint64]ID{},
		sent:     map[MessageType]int{},
		tune:     tune,
	}
	for i := 1; i <= size; i++ {
		c.addrs[ID(i)] = fmt.Sprintf("10.0.0.%d:1", i)
	}
	for i := 1; i <= size; i++ {
		c.start(ID(i), newMemDisk())
	}
	return c
}

type memTransport struct {
	c    *cluster
	from ID
}

func (t memTransport) Send(to ID, m *Message) {
	t.c.sent[m.Type]++
	b, err := m.Marshal()
	if err != nil {
		t.c.t.Fatal(err)
	}
	t.c.bytes += len(b)
	if t.c.cut[link{m.From, to}] || t.c.loseOneIn > 0 && t.c.rng.IntN(t.c.loseOneIn) == 0 {
		return
	}
	due := t.c.now + 1
	if t.c.delay > 0 {
		due += t.c.rng.IntN(t.c.delay + 1)
	}
	t.c.inFlight[to] = append(t.c.inFlight[to], inFlightMessage{due: due, encoded: b})
	if t.c.dupOneIn > 0 && t.c.rng.IntN(t.c.dupOneIn) == 0 {
		t.c.inFlight[to] = append(t.c.inFlight[to], inFlightMessage{due: due + t.c.rng.IntN(dupDelay), encoded: b})
	}
}

// open opens a replica on disk. With id zero, an empty disk gets a random ID.
func (c *cluster) open(id ID, disk *memDisk) *node {
	n := &node{id: id, disk: disk, sm: &listMachine{}}
	o := Options{
		ID:           id,
		Bootstrap:    c.addrs,
		Disk:         disk,
		StateMachine: n.sm,
		Transport:    memTransport{c: c, from: id},
		ReserveBytes: 4096,
		Rand:         rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
	}
	if c.tune != nil {
		c.tune(&o)
	}
	n.r, n.err = Open(o)
	if n.err == nil {
		n.id = n.r.Status().ID
	}
	return n
}

// start opens a replica and adds it to the cluster; the test fails if that fails.
func (c *cluster) start(id ID, disk *memDisk) *node {
	n := c.open(id, disk)
	if n.err != nil {
		c.t.Fatalf("open %d: %v", id, n.err)
	}
	c.nodes[n.id] = n
	if !slices.Contains(c.order, n.id) {
		c.order = append(c.order, n.id)
	}
	return n
}

// kill crashes the VM of a replica: the disk loses writes that are not synced.
func (c *cluster) kill(id ID) {
	n := c.nodes[id]
	n.r = nil
	n.disk.crash(c.rng)
	c.inFlight[id] = nil
}

func (c *cluster) restart(id ID) *node { return c.start(id, c.nodes[id].disk) }

// restartAll kills all replicas at once and starts them again.
func (c *cluster) restartAll() {
	for _, id := range c.order {
		c.kill(id)
	}
	for _, id := range c.order {
		c.restart(id)
	}
}

// exit ends the process of a replica. Its VM keeps running, so unsynced writes are kept.
func (c *cluster) exit(id ID) {
	c.nodes[id].r = nil
	c.inFlight[id] = nil
}

// step delivers the due messages and passes one tick on every replica that runs.
func (c *cluster) step() {
	c.now++
	for _, id := range c.order {
		n := c.nodes[id]
		if !n.runs() {
			continue
		}
		c.deliver(n)
		n.r.tick()
		c.runOnce(n)
	}
}

// deliver hands the due messages to a replica.
func (c *cluster) deliver(n *node) {
	var later []inFlightMessage
	for _, f := range c.inFlight[n.id] {
		if f.due > c.now {
			later = append(later, f)
			continue
		}
		m := &Message{}
		if err := m.Unmarshal(f.encoded); err != nil {
			c.t.Fatal(err)
		}
		n.r.Receive(m)
	}
	c.inFlight[n.id] = later
}

// runOnce runs one iteration of a replica's loop. It checks that a term has no second
// leader, and follows a replica that takes a new ID.
func (c *cluster) runOnce(n *node) {
	if err := n.r.runOnce(); err != nil {
		n.err = err
		n.r.stop()
		n.r = nil
		return
	}
	if id := n.r.Status().ID; id != n.id { // a founder whose disk was replaced has taken a new ID
		delete(c.nodes, n.id)
		c.order[slices.Index(c.order, n.id)] = id
		n.id = id
		c.nodes[id] = n
	}
	if core := n.r.core; core.role == roleLeader {
		if other, ok := c.leaders[core.term]; ok && other != n.id {
			c.t.Fatalf("term %d has leaders %d and %d", core.term, other, n.id)
		}
		c.leaders[core.term] = n.id
	}
}

// until steps until done returns true; the test fails after 2000 steps.
func (c *cluster) until(what string, done func() bool) {
	c.t.Helper()
	for range 2000 {
		if done() {
			return
		}
		c.step()
	}
	c.t.Fatalf("not reached: %s", what)
}

func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// leader returns the running leader with the highest term, nil for none.
func (c *cluster) leader() *node {
	var best *node
	for _, id := range c.order {
		n := c.nodes[id]
		if n.runs() && n.r.core.role == roleLeader && (best == nil || n.r.core.term > best.r.core.term) {
			best = n
		}
	}
	return best
}

// elect steps until a leader has committed an entry of its term, and returns that leader.
func (c *cluster) elect() *node {
	c.t.Helper()
	c.until("a leader", func() bool {
		n := c.leader()
		return n != nil && n.r.core.committedInTerm()
	})
	return c.leader()
}

// propose queues a command at n without waiting for its outcome.
func (c *cluster) propose(n *node, command string) *proposal {
	p := &proposal{call: newCall(context.Background()), command: []byte(command)}
	n.r.inbox.put(func() { n.r.inbox.proposals = append(n.r.inbox.proposals, p) })
	return p
}

// await steps until a call has completed, and returns its outcome.
func (c *cluster) await(call *call) outcome {
	c.t.Helper()
	var o outcome
	c.until("an outcome", func() bool {
		select {
		case o = <-call.done:
			return true
		default:
			return false
		}
	})
	return o
}

// commit commits a command through the current leader.
func (c *cluster) commit(command string) {
	c.t.Helper()
	is.New(c.t).NoErr(c.await(&c.propose(c.elect(), command).call).err)
}

// doOrder queues an administrative call at n and waits for its outcome.
func (c *cluster) doOrder(n *node, o *order) error {
	c.t.Helper()
	o.call = newCall(context.Background())
	n.r.inbox.put(func() { n.r.inbox.orders = append(n.r.inbox.orders, o) })
	return c.await(&o.call).err
}

// barrier queues a barrier at n without waiting for its outcome.
func (c *cluster) barrier(n *node) *barrier {
	b := &barrier{call: newCall(context.Background())}
	n.r.inbox.put(func() { n.r.inbox.barriers = append(n.r.inbox.barriers, b) })
	return b
}

// isolate cuts, or restores, all links of a replica in both directions.
func (c *cluster) isolate(id ID, cut bool) {
	for _, other := range c.order {
		if other != id {
			c.cut[link{id, other}] = cut
			c.cut[link{other, id}] = cut
		}
	}
}

// hasMember reports whether other runs and is in n's membership.
func (n *node) hasMember(other *node) bool {
	_, ok := n.r.core.current().find(other.id)
	return ok && other.runs()
}

// converge steps until all running members have applied the leader's complete log, and checks
// that their commands are equal.
func (c *cluster) converge() {
	c.t.Helper()
	c.until("the same state everywhere", func() bool {
		lead := c.leader()
		if lead == nil || !lead.r.core.committedInTerm() {
			return false
		}
		for _, n := range c.nodes {
			if lead.hasMember(n) && n.r.core.log.applied < lead.r.core.log.last() {
				return false
			}
		}
		return true
	})
	lead := c.leader()
	for _, n := range c.nodes {
		if lead.hasMember(n) && !slices.Equal(n.sm.Commands, lead.sm.Commands) {
			c.t.Fatalf("replica %d applied %v, leader %v", n.id, n.sm.Commands, lead.sm.Commands)
		}
	}
}
