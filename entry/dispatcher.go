package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// dispatcher holds the table of endpoints and gives each waiting request an
// endpoint. Its lock is "entry.table".
type dispatcher struct {
	log   hclog.Logger
	clock kernel.Clock

	mu      sync.Mutex
	table   *route.Table
	chooser route.Chooser
	// changed is closed and replaced whenever room may have come up.
	changed chan struct{}
}

// ticket is the right to one attempt at an endpoint.
type ticket struct {
	endpoint wire.Endpoint
	flight   route.Flight
	choice   route.Choice
}

func newDispatcher(h *kernel.Host, policy string) (*dispatcher, error) {
	plugin, err := h.Load(policy, json.RawMessage("{}"))
	if err != nil {
		return nil, err
	}
	chooser, ok := plugin.(route.Chooser)
	if !ok {
		return nil, errors.Errorf("plug-in %s chooses no endpoints", policy)
	}
	return &dispatcher{
		log:     h.Log,
		clock:   h.Clock,
		table:   route.NewTable(),
		chooser: chooser,
		changed: make(chan struct{}),
	}, nil
}

// run keeps the dispatcher until ctx ends.
func (d *dispatcher) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (d *dispatcher) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// configure takes over which endpoints are out.
func (d *dispatcher) configure(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.table.Names() {
		if e, ok := d.table.Get(name); ok {
			d.table.SetOut(name, doc.EndpointState(name, e.Zone) != config.In)
		}
	}
	d.wake()
}

// announce takes over new and changed endpoints. With reset they are all.
func (d *dispatcher) announce(doc *config.Document, endpoints []wire.Endpoint, gone []string, reset bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range gone {
		d.table.Remove(name)
	}
	if reset {
		d.keep(endpoints)
	}
	for _, e := range endpoints {
		d.table.Upsert(now, e)
		d.table.SetOut(e.Name, doc.EndpointState(e.Name, e.Zone) != config.In)
	}
	d.wake()
}

// keep removes the endpoints that are not listed.
func (d *dispatcher) keep(endpoints []wire.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Name] = true
	}
	for _, name := range d.table.Names() {
		if !listed[name] {
			d.table.Remove(name)
		}
	}
}

// acquire waits until an endpoint has room for the call.
func (d *dispatcher) acquire(ctx context.Context, c *call) (*ticket, error) {
	for {
		t, changed, err := d.try(c)
		if err == nil || !worthWaiting(err) {
			return t, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, verdict.Refuse(verdict.ReasonDeadline, time.Second, "no endpoint had room within the deadline")
		}
	}
}

// worthWaiting tells a lack of room from what waiting does not mend.
func worthWaiting(err error) bool {
	switch verdict.From(err).Reason {
	case verdict.ReasonEndpointMemory, verdict.ReasonEndpointCold, verdict.ReasonOverloaded:
		return true
	}
	return false
}

// try chooses an endpoint now. On a refusal it returns the channel that closes
// when another try makes sense.
func (d *dispatcher) try(c *call) (*ticket, <-chan struct{}, error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.table.View(c.want.Target)
	choice, err := d.chooser.Choose(now, &c.want, view)
	if err != nil {
		return nil, d.changed, err
	}
	t := &ticket{endpoint: view[choice.Index].Endpoint, choice: choice}
	t.flight = d.table.Started(now, t.endpoint.Name, c.want.PromptTokens, c.want.OutputTokens)
	return t, nil, nil
}

// granted takes over the load that came with a grant.
func (d *dispatcher) granted(t *ticket, load wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Granted(t.flight, load, d.clock.Now())
}

// finished takes back a ticket, with the endpoint's load when it sent one.
func (d *dispatcher) finished(t *ticket, load *wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Finished(t.flight)
	if load != nil {
		d.table.SetLoad(t.endpoint.Name, *load, d.clock.Now())
	}
	d.wake()
}
