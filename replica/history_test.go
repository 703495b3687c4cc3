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

// registerModel is a register that starts at zero. An output of -1 is a write whose
// outcome is not known; it returns after everything else.
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

// client is one caller with at most one operation under way.
type client struct {
	id    int
	at    *node
	write *proposal
	read  *barrier
	value int
	since int64
}

// history runs clients against a cluster and records what they saw.
type history struct {
	*cluster
	clock      int64
	next       int
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

// poll records the outcome of the client's operation if it has come.
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
		} // else it was refused and has no effect
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

// unknown records a write that may take effect at any later time. The client goes on
// under another number, for a client's operations may not overlap.
func (h *history) unknown(cl *client) {
	h.record(cl, registerInput{write: true, value: cl.value}, -1, 1<<60)
	cl.id += len(h.clients)
}

func (h *history) record(cl *client, in registerInput, out int, end int64) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: cl.id, Input: in, Output: out, Call: cl.since, Return: end,
	})
}

// injectFault does harm, or ends it, at random.
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
		n.frozen = true
	case 6, 7, 8, 9:
		n.frozen = false
	case 10:
		l := link{n.id, h.order[h.rng.IntN(len(h.order))]}
		h.cut[l] = true
	case 11:
		h.isolate(n.id, true)
	case 12, 13, 14:
		h.cut = map[link]bool{}
	}
}

// historySteps is the length of a history.
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

// Without the round to a quorum, and with leaders that do not step down when cut off,
// some history has a stale read, and the check finds it.
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
