package replica

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/anishathalye/porcupine"
)

// registerInput is an operation on one register: a write of value, or a read.
type registerInput struct {
	write bool
	value int
}

// registerModel is the linearizability model of a register that starts at zero. A write with
// output -1 has an unknown outcome; its return time is after all other operations.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(int) == state.(int), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// client is one caller with at most one operation in progress.
type client struct {
	id    int
	at    *node
	write *proposal
	read  *barrier
	value int
	since int64 // start of the operation on the history's clock
}

// history runs clients against a cluster and records their operations.
type history struct {
	*cluster
	clock      int64 // logical time, raised by each call of now
	next       int   // last value written
	clients    []*client
	operations []porcupine.Operation
}

func (h *history) now() int64 {
	h.clock++
	return h.clock
}

// begin starts a random operation at a random replica.
func (h *history) begin(cl *client) {
	cl.at = h.nodes[h.order[h.rng.IntN(len(h.order))]]
	if !cl.at.runs() {
		return
	}
	cl.since = h.now()
	if h.rng.IntN(2) == 0 {
		cl.read = h.barrier(cl.at)
		return
	}
	h.next++
	cl.value = h.next
	cl.write = h.propose(cl.at, strconv.Itoa(cl.value))
}

// poll records the outcome of the client's operation if it has completed, or starts the
// next one.
func (h *history) poll(cl *client) {
	switch {
	case cl.write != nil:
		h.pollWrite(cl)
	case cl.read != nil:
		h.pollRead(cl)
	default:
		h.begin(cl)
	}
}

func (h *history) pollWrite(cl *client) {
	select {
	case o := <-cl.write.done:
		cl.write = nil
		switch {
		case o.err == nil:
			h.record(cl, registerInput{write: true, value: cl.value}, 0, h.now())
		case o.err == ErrUncertain:
			h.unknown(cl)
		} // any other error is a refusal without effect
	default:
		if cl.at.r == nil {
			cl.write = nil
			h.unknown(cl)
		}
	}
}

func (h *history) pollRead(cl *client) {
	select {
	case o := <-cl.read.done:
		cl.read = nil
		if o.err == nil && cl.at.r != nil {
			h.record(cl, registerInput{}, cl.at.register(), h.now())
		}
	default:
		if cl.at.r == nil {
			cl.read = nil
		}
	}
}

// register returns the value of the last write applied.
func (n *node) register() int {
	if len(n.sm.Commands) == 0 {
		return 0
	}
	v, _ := strconv.Atoi(n.sm.Commands[len(n.sm.Commands)-1])
	return v
}

// unknown records a write that may take effect at any later time. The client continues with
// a new ID, because operations of one client must not overlap.
func (h *history) unknown(cl *client) {
	h.record(cl, registerInput{write: true, value: cl.value}, -1, 1<<60)
	cl.id += len(h.clients)
}

func (h *history) record(cl *client, in registerInput, out int, end int64) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: cl.id, Input: in, Output: out, Call: cl.since, Return: end,
	})
}

// injectFault randomly starts or ends a fault: crash, pause or cut links.
func (h *history) injectFault() {
	n := h.nodes[h.order[h.rng.IntN(len(h.order))]]
	switch h.rng.IntN(200) {
	case 0:
		if n.r != nil {
			h.kill(n.id)
		}
	case 1, 2, 3, 4:
		if n.r == nil {
			h.restart(n.id)
		}
	case 5:
		n.suspended = true
	case 6, 7, 8, 9:
		n.suspended = false
	case 10:
		l := link{n.id, h.order[h.rng.IntN(len(h.order))]}
		h.cut[l] = true
	case 11:
		h.isolate(n.id, true)
	case 12, 13, 14:
		h.cut = map[link]bool{}
	}
}

// historySteps is the number of steps in a history.
const historySteps = 1500

// recordHistory runs a history from a seed and returns its operations.
func recordHistory(t testT, seed uint64, tune func(*Options)) []porcupine.Operation {
	h := &history{cluster: newCluster(t, seed, 3, tune)}
	h.delay = 3
	h.loseOneIn = 30
	h.elect()
	for i := range 4 {
		h.clients = append(h.clients, &client{id: i})
	}
	for range historySteps {
		h.injectFault()
		h.step()
		for _, cl := range h.clients {
			h.poll(cl)
		}
	}
	for _, cl := range h.clients {
		if cl.write != nil {
			h.unknown(cl)
		}
	}
	return h.operations
}

func TestHistoriesAreLinearizable(t *testing.T) {
	operations := 0
	for seed := range uint64(40) {
		ops := recordHistory(t, seed, func(o *Options) { o.SnapshotEvery = 25 })
		operations += len(ops)
		if !porcupine.CheckOperations(registerModel, ops) {
			t.Errorf("seed %d: %d operations are not linearizable", seed, len(ops))
		}
	}
	t.Logf("%d operations in 40 histories", operations)
}

// With the read index round and check quorum disabled, at least one history has a stale
// read, which the check has to find.
func TestHistoryCheckFindsStaleReads(t *testing.T) {
	off := tuneCore(func(o *coreOptions) {
		o.disableReadRound = true
		o.disableCheckQuorum = true
	})
	for seed := range uint64(40) {
		if !porcupine.CheckOperations(registerModel, recordHistory(t, seed, off)) {
			return
		}
	}
	t.Error("no history of 40 shows the stale read")
}
