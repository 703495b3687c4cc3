package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/fence"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// registerPause is the time between two tries to register an incarnation.
	registerPause = 500 * time.Millisecond
	// orderPause is the time between two tries of an order.
	orderPause = time.Second
	// orderTimeout bounds one try of an order; loading weights takes long.
	orderTimeout = 10 * time.Minute
)

// orders carries out the orders to the engine, newest number last. Its lock is
// "sidecar.orders".
type orders struct {
	mu      sync.Mutex
	gate    fence.Gate
	waiting []wire.Order
	// wake has one place: it tells of new orders or a new incarnation.
	wake chan struct{}
}

func newOrders() *orders { return &orders{wake: make(chan struct{}, 1)} }

func (o *orders) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take queues orders that a session brought. The fence decides when they run.
func (o *orders) take(list []wire.Order) {
	o.mu.Lock()
	o.waiting = append(o.waiting, list...)
	o.mu.Unlock()
	o.notify()
}

// next returns the order that passes the fence now, if there is one. Orders that
// the fence refuses for good are dropped and returned as refused.
func (o *orders) next(now time.Time, fresh bool) (order *wire.Order, refused []wire.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.gate.Opened() || o.gate.WaitTime(now) > 0 || !fresh {
		return nil, nil
	}
	for len(o.waiting) > 0 {
		first := o.waiting[0]
		o.waiting = o.waiting[1:]
		if o.gate.Admit(now, first.Fence, fresh) == nil {
			return &first, refused
		}
		refused = append(refused, first)
	}
	return nil, refused
}

func (o *orders) holds(number uint64, fresh bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.MayRetry(number, fresh)
}

func (o *orders) open(newest uint64, from time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gate.Open(newest, from)
}

// restarted asks for the registration of the new incarnation.
func (s *Sidecar) restarted() { s.orders.notify() }

// followOrders registers each incarnation with control and carries out orders
// until ctx ends. Nothing passes before the newest fencing number was read from a
// quorum.
func (s *Sidecar) followOrders(ctx context.Context) error {
	var registered uint64
	for {
		if incarnation := s.gate.current(); incarnation != registered && s.register(ctx, incarnation) {
			registered = incarnation
		}
		for s.runNext(ctx) {
		}
		pause := orderPause
		if s.gate.current() != registered {
			pause = registerPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.orders.wake:
		case <-s.clock.After(pause):
		}
	}
}

// register makes incarnation the endpoint's current one and opens the gates.
func (s *Sidecar) register(ctx context.Context, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, engineQuiet)
	defer cancel()
	var fenced command.Fenced
	ask := command.Fence{Endpoint: s.node.Name, Incarnation: incarnation}
	if err := s.control.Do(ctx, command.NameFence, session.NewID(), ask, &fenced); err != nil {
		s.log.Debug("not registered", "incarnation", incarnation, "error", err)
		return false
	}
	s.gate.openClaims(incarnation, fenced.Newest)
	s.orders.open(fenced.Newest, s.clock.Now().Add(session.DefaultLease))
	s.log.Info("incarnation registered", "incarnation", incarnation, "fence", fenced.Newest)
	return true
}

// runNext carries out one order and reports whether there was one.
func (s *Sidecar) runNext(ctx context.Context) bool {
	now := s.clock.Now()
	order, refused := s.orders.next(now, s.control.RenewedByControl())
	for _, r := range refused {
		s.log.Info("order refused", "fence", r.Fence, "action", r.Action, "value", r.Value, "reason", "old fencing number")
	}
	if order == nil {
		return false
	}
	for ctx.Err() == nil && s.orders.holds(order.Fence, s.control.RenewedByControl()) {
		err := s.engine.order(ctx, engine.Order{Fence: order.Fence, Action: order.Action, Value: order.Value})
		if err == nil {
			s.log.Info("order carried out", "fence", order.Fence, "action", order.Action, "value", order.Value)
			return true
		}
		s.log.Warn("order failed", "fence", order.Fence, "action", order.Action, "value", order.Value, "error", err)
		if refusedByEngine(err) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(orderPause):
		}
	}
	return true
}
