package operator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// fakeControl is a Control in memory. Like control, it accepts a change only at the expected
// revision and gives the first answer again to a change with a known identifier.
type fakeControl struct {
	mu    sync.Mutex
	view  command.View
	audit []command.AuditEntry
	// answers holds the answers to changes by identifier.
	answers map[string]any
	// answersToLose is the number of changes whose answer is lost after they took effect.
	answersToLose int
	// lagging holds the answers to command.NameInForce, in order. After the last one no process
	// lags.
	lagging [][]command.Process
	// sent lists the commands, as name and identifier.
	sent  []string
	fence uint64
}

func newFakeControl() *fakeControl {
	d := config.NewDocument()
	d.Revision = 7
	d.Zones["hall"] = config.Zone{Name: "hall", Region: "leon", State: config.In}
	d.Zones["annex"] = config.Zone{Name: "annex", Region: "leon", State: config.Out}
	d.Models["scribe"] = config.Model{Name: "scribe", Versions: []string{"v1", "v2"}, Adapters: []string{"breton"}, WeightBytes: 14e9}
	d.Accounts["notary"] = config.Account{
		Name: "notary", KeyHashes: []string{config.HashKey("one"), config.HashKey("two")},
		Limits: config.Limits{RequestsPerSecond: 10, HeldBytes: 4e6},
	}
	d.Routes["read"] = config.Route{Name: "read", Kind: config.ModelRoute, Target: "scribe", Deadline: 30 * time.Second}
	d.Routes["desk"] = config.Route{
		Name: "desk", Kind: config.ServiceRoute, Target: "capsules", Accounts: []string{"notary"},
		NonIdempotent: []config.Call{{Method: "POST", Path: "/seal"}},
	}
	return &fakeControl{
		answers: map[string]any{},
		view: command.View{
			Document: d,
			Endpoints: []wire.Endpoint{
				{Name: "e1", Zone: "hall", Target: "scribe", Version: "v1", Addr: "127.0.0.1:1", Load: wire.Load{Running: 3, FreeTokens: 600, CapacityTokens: 1000, RampTokens: -1}},
				{Name: "e2", Zone: "annex", Target: "scribe", Load: wire.Load{CapacityTokens: 1000, FreeTokens: 1000, RampTokens: 50}},
				{Name: "w1", Zone: "hall", Target: "capsules", Service: true},
			},
			Processes: []command.Process{{Name: "entry-1", Role: "entry", Zone: "hall", Revision: 6, Silent: 40 * time.Millisecond}},
			Replicas:  []command.ReplicaStatus{{ID: 1, Addr: "127.0.0.1:9", Leader: true, Voter: true, CaughtUp: true}, {ID: 2, Addr: "127.0.0.1:8"}},
		},
	}
}

// Do implements Control.
func (f *fakeControl) Do(ctx context.Context, name, id string, body, out any) error {
	if ctx.Err() != nil {
		return verdict.Uncertain(verdict.ReasonNoQuorum, 0, "%v", ctx.Err())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, name+" "+id)
	switch name {
	case command.NameView:
		v := f.view
		v.Document = v.Document.Clone()
		*out.(*command.View) = v
	case command.NameHistory:
		out.(*command.Audit).Entries = f.history(body.(command.History))
	case command.NameInForce:
		if len(f.lagging) > 0 {
			out.(*command.Lagging).Processes = f.lagging[0]
			f.lagging = f.lagging[1:]
		}
	case command.NameOrder:
		f.fence++
		out.(*command.Ordered).Fence = f.fence
	case command.NameChange:
		return f.change(id, body.(command.Change), out.(*command.Changed))
	default:
		return nil
	}
	return nil
}

func (f *fakeControl) history(h command.History) []command.AuditEntry {
	var found []command.AuditEntry
	for _, e := range f.audit {
		if e.Revision >= h.From && (h.Limit == 0 || len(found) < h.Limit) {
			found = append(found, e)
		}
	}
	return found
}

func (f *fakeControl) change(id string, c command.Change, out *command.Changed) error {
	if kept, ok := f.answers[id]; ok {
		*out = kept.(command.Changed)
		return nil
	}
	d := f.view.Document
	if c.Expect != d.Revision {
		return verdict.Refuse(verdict.ReasonRevisionConflict, 0, "revision %d was expected and is now %d", c.Expect, d.Revision)
	}
	if err := d.Apply(config.ChangeSet{Revision: d.Revision + 1, Changes: c.Changes}); err != nil {
		return errors.Wrap(err, "apply")
	}
	f.audit = append(f.audit, command.AuditEntry{Revision: d.Revision, Who: "someone", ID: id, Changes: c.Changes})
	f.answers[id] = command.Changed{Revision: d.Revision}
	*out = command.Changed{Revision: d.Revision}
	if f.answersToLose > 0 {
		f.answersToLose--
		return verdict.Uncertain(verdict.ReasonNoQuorum, 0, "the answer was lost")
	}
	return nil
}

// stepClock advances by the duration of each wait and ends the wait at once, so that no test
// has to wait.
type stepClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now implements kernel.Clock.
func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements kernel.Clock.
func (c *stepClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	done := make(chan time.Time, 1)
	done <- c.now
	return done
}

func newTestSession(c Control) *Session {
	return NewSession(c, &stepClock{now: time.Unix(0, 0)})
}
