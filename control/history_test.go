package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	historyClients = 4
	checkTimeout   = time.Minute
)

// history collects the operations of concurrent clients for the linearizability checker.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	began      time.Time
}

// record runs one operation and records it. run reports in known whether the outcome is known.
// If not, the operation is recorded as ending after all others, because it may take effect at
// any later time.
func (h *history) record(client int, input any, run func() (output any, known bool)) {
	call := time.Since(h.began)
	output, known := run()
	returned := time.Since(h.began)
	if !known {
		returned = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: int64(call), Return: int64(returned),
	})
}

// restartReplicas stops and restarts one replica after the other, each of them twice.
func (d *deployment) restartReplicas() {
	for i := range 2 * len(d.addrs) {
		time.Sleep(100 * time.Millisecond)
		d.stop(i % len(d.addrs))
		time.Sleep(200 * time.Millisecond)
		d.start(i % len(d.addrs))
	}
}

// runDuringRestarts calls f for each client, concurrently and with increasing rounds, while
// restartReplicas runs.
func (d *deployment) runDuringRestarts(f func(client, round int)) {
	restarted := make(chan struct{})
	var working sync.WaitGroup
	for client := range historyClients {
		working.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-restarted:
					return
				default:
					f(client, round)
				}
			}
		})
	}
	d.restartReplicas()
	close(restarted)
	working.Wait()
}

// registerInput is the input of a compare-and-set, or of a read if expect is zero.
type registerInput struct{ expect uint64 }

// registerOutput is the revision that was read or created. accepted is false for a refused
// compare-and-set. unknown is set if the outcome is not known.
type registerOutput struct {
	revision uint64
	accepted bool
	unknown  bool
}

// register models the configuration's revision as a compare-and-set register.
var register = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		switch {
		case in.expect == 0:
			return out.revision == revision, revision
		case out.unknown:
			if in.expect == revision {
				return true, revision + 1
			}
			return true, revision
		case out.accepted:
			return in.expect == revision && out.revision == revision+1, revision + 1
		}
		return in.expect != revision, revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConfigurationIsALinearizableRegister reads and changes the configuration from several
// clients while replicas restart, and checks that the history is linearizable.
func TestConfigurationIsALinearizableRegister(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	d.leader(d.client("operator-0", wire.RoleOperator, nil))
	h := &history{began: time.Now()}
	clients := make([]*session.Client, historyClients)
	for i := range clients {
		clients[i] = d.client(fmt.Sprint("operator-", i+1), wire.RoleOperator, nil)
	}
	d.runDuringRestarts(func(client, round int) {
		revision := h.read(client, clients[client])
		h.compareAndSet(client, clients[client], revision, fmt.Sprint(client, "-", round))
	})
	t.Logf("%d operations", len(h.operations))
	is.Equal(porcupine.CheckOperationsTimeout(register, h.operations, checkTimeout), porcupine.Ok)
}

// read records a read of the revision, which it repeats until it succeeds.
func (h *history) read(client int, c *session.Client) uint64 {
	var view command.View
	h.record(client, registerInput{}, func() (any, bool) {
		for {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			err := c.Do(ctx, command.NameView, "", nil, &view)
			cancel()
			if err == nil {
				return registerOutput{revision: view.Document.Revision}, true
			}
		}
	})
	return view.Document.Revision
}

// compareAndSet records a configuration change with the command identifier id that expects a
// revision.
func (h *history) compareAndSet(client int, c *session.Client, expect uint64, id string) {
	h.record(client, registerInput{expect: expect}, func() (any, bool) {
		for {
			var changed command.Changed
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			err := c.Do(ctx, command.NameChange, id, zoneIn(expect), &changed)
			cancel()
			r := verdict.From(err)
			switch {
			case r == nil:
				return registerOutput{revision: changed.Revision, accepted: true}, true
			case r.Verdict == verdict.MayHaveRun:
				return registerOutput{unknown: true}, false
			case r.Reason == verdict.ReasonRevisionConflict:
				return registerOutput{}, true
			}
			// The command has not run, because there is no leader. Send it again with the same
			// identifier.
		}
	})
}

// claimInput is one client's claim of an idempotency key, with the command identifier.
type claimInput struct{ key, command string }

// claimState is the command that has claimed the key, and the fencing number it got.
type claimState struct {
	command string
	fence   uint64
}

// claims models the claims of idempotency keys. The first command to claim a key gets a fencing
// number, and the others get the pending claim with this number.
var claims = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(claimInput).key
			byKey[key] = append(byKey[key], o)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		held, in, out := state.(claimState), input.(claimInput), output.(command.Claimed)
		switch {
		case out.Fence != 0 && held.command == "":
			return true, claimState{command: in.command, fence: out.Fence}
		case out.Fence != 0:
			return held == claimState{command: in.command, fence: out.Fence}, held
		}
		return out.PendingClaim != nil && out.PendingClaim.Fence == held.fence, held
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestClaimsAreLinearizable claims the same keys from several clients while replicas restart, and
// checks that the history is linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	d.leader(d.client("operator-0", wire.RoleOperator, nil))
	sidecar := d.client("sidecar-0", wire.RoleSidecar, func(o *session.Options) {
		o.Endpoint = func() *wire.Endpoint { return &wire.Endpoint{Name: "desk", Incarnation: 1} }
	})
	is.NoErr(sidecar.Do(timeoutContext(t), command.NameFence, "f", command.Fence{Endpoint: "desk", Incarnation: 1}, nil))
	h := &history{began: time.Now()}
	clients := make([]*session.Client, historyClients)
	for i := range clients {
		clients[i] = d.client(fmt.Sprint("entry-", i+1), wire.RoleEntry, nil)
	}
	d.runDuringRestarts(func(client, round int) {
		key := fmt.Sprint("key-", round)
		h.claim(client, clients[client], claimInput{key: key, command: fmt.Sprint(client, "-", round)})
	})
	t.Logf("%d operations", len(h.operations))
	is.Equal(porcupine.CheckOperationsTimeout(claims, h.operations, checkTimeout), porcupine.Ok)
}

// claim records a claim, which it sends with the same identifier until it is answered.
func (h *history) claim(client int, c *session.Client, in claimInput) {
	h.record(client, in, func() (any, bool) {
		for {
			var out command.Claimed
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			err := c.Do(ctx, command.NameClaim, in.command, command.Claim{
				Account: "parish", Key: in.key, Endpoint: "desk", Incarnation: 1,
			}, &out)
			cancel()
			if err == nil {
				return out, true
			}
		}
	})
}

// TestSecondSidecarTakesTheFirstOnesPlace checks that the old sidecar of an endpoint loses its
// permission for good, and gets no fencing number, once a newer incarnation has registered.
func TestSecondSidecarTakesTheFirstOnesPlace(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, shortGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	old, _ := d.sidecar(wire.Endpoint{Name: "worker-1", Zone: "hall", Incarnation: 1})
	is.NoErr(old.Do(timeoutContext(t), command.NameFence, "f1", command.Fence{Endpoint: "worker-1", Incarnation: 1}, nil))
	eventually(t, "old sidecar permitted", old.Fresh)

	// The newer sidecar registers its incarnation before it has a session. The replica with
	// the old sidecar's session must notice this from the replicated state alone.
	newer := d.client("sidecar-new", wire.RoleSidecar, func(o *session.Options) {
		o.Endpoint = func() *wire.Endpoint { return &wire.Endpoint{Name: "worker-1", Zone: "hall", Incarnation: 2} }
	})
	is.NoErr(newer.Do(timeoutContext(t), command.NameFence, "f2", command.Fence{Endpoint: "worker-1", Incarnation: 2}, nil))
	eventually(t, "old sidecar's permission has expired", func() bool { return !old.Fresh() })
	d.background(newer.Run)
	eventually(t, "new sidecar permitted", newer.Fresh)
	is.True(!old.Fresh())

	refusal := verdict.From(old.Do(timeoutContext(t), command.NameFence, "f3", command.Fence{Endpoint: "worker-1", Incarnation: 1}, nil))
	is.Equal(refusal.Reason, verdict.ReasonFenced)
}

// TestEntriesOfAllReplicasShareOneLimit has an entry with a session at each of three replicas.
// The leader must allocate the whole limit of a client account among them.
func TestEntriesOfAllReplicasShareOneLimit(t *testing.T) {
	d := deploy(t, 3, `"lease":"600ms","grace":"1s","tick":"10ms"`)
	d.leader(d.client("operator-1", wire.RoleOperator, nil))
	account := &config.Account{Name: "parish", Limits: config.Limits{Concurrent: 4}}
	var limits []*session.Limits
	for i := range 3 {
		l := session.NewLimits()
		limits = append(limits, l)
		c := d.client(fmt.Sprint("entry-", i), wire.RoleEntry, func(o *session.Options) {
			o.Replicas, o.Limits = []string{d.addrs[i]}, l
		})
		d.background(c.Run)
	}
	// Each entry starts requests until it is refused. Together they must get the whole limit.
	held := make([]int, len(limits))
	eventually(t, "the whole limit is in use", func() bool {
		sum := 0
		for i, l := range limits {
			if l.Take(time.Now(), account, quota.Cost{}) == nil {
				held[i]++
			}
			sum += held[i]
		}
		return sum >= 4
	})
}
