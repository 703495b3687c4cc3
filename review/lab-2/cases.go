package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// settleTime is how long a deployment runs before the disruption.
const settleTime = 5 * time.Second

// begin starts the deployment with workers of the services, publishes a configuration and waits for service.
func begin(ctx context.Context, d *deployment, c *clients, r *runs, first map[string]any, services []string, perService int) ([]*worker, error) {
	if err := d.start(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range perService * len(services) {
		w, err := d.newWorker(ctx, r, i, services[i%len(services)], i%3)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if _, err := d.publish(ctx, first); err != nil {
		return nil, err
	}
	for i, w := range workers {
		w.useNode(i % 3) // it may have found no control there at first
	}
	return workers, c.awaitService(ctx, pathKeyed)
}

// lateRuns counts the requests that reached a worker later than drainBound after its leave was acknowledged,
// and were sent by a client after inTouch.
func lateRuns(d *deployment, c *clients, r *runs, inTouch time.Time) (late int, example string) {
	byID := r.byID()
	for _, s := range c.ended() {
		for _, a := range byID[s.id] {
			acked := a.worker.acked()
			if acked.IsZero() || a.at.Sub(acked) <= drainBound || s.at.Before(inTouch) {
				continue
			}
			if late++; late == 1 || a.at.Sub(acked) > drainBound+2*time.Second && example == "" {
				example = fmt.Sprintf("%s, sent at %s to %s, reached %s at %s, %v after its leave was acknowledged at %s",
					s.id, d.at(s.at), s.via.name, a.worker.id, d.at(a.at), a.at.Sub(acked).Round(time.Millisecond), d.at(acked))
			}
		}
	}
	return late, example
}

// count returns how many requests were sent in a time span and how many of them were answered with 200.
func count(c *clients, from, to time.Time) (all, served int) {
	for _, s := range c.ended() {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		if all++; s.status == http.StatusOK {
			served++
		}
	}
	return all, served
}

// unreadableID has another writer send one heartbeat with an ID that cannot be read, and a worker drain a second
// later. No machine is disrupted, so that all are in touch.
func unreadableID(ctx context.Context, d *deployment) (string, error) {
	services := []string{"desk"}
	c, r := &clients{d: d}, &runs{}
	workers, err := begin(ctx, d, c, r, configuration(1, services, "desk", nil), services, 9)
	if err != nil {
		return "", err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for _, m := range d.machines {
		for range 4 {
			running.Go(func() { c.run(load, m, pathKeyed, 10*time.Millisecond) })
		}
	}
	sleep(ctx, settleTime)
	leaving := workers[0] // its heartbeats go to the control of edge-1
	if d.trouble {
		body := map[string]any{
			"Service": "another-service", "Address": d.address(3, 0) + ":9", "Zone": zones[0], "Version": "v1", "Slots": 6, "State": "ready",
			"WarmupLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
		}
		status, _, err := d.call(d.seeds()[0], http.MethodPut, "/api/instances/i-%FF%FE", body)
		d.linef("heartbeat of another writer answered by control of edge-1 with %d, error %v", status, err)
	}
	sleep(ctx, time.Second)
	leaving.drain()
	if err := leaving.checkAcked(0); err != nil {
		return "", err
	}
	// It serves for DrainMs and a little longer, at times many seconds.
	sleep(ctx, drainBound+6*time.Second)
	stop()
	running.Wait()
	for _, m := range d.machines {
		d.linef("%s: sessions with control ended %d", m.name, m.entry.logHas("session with control ended"))
	}
	if err := c.checkServed(); err != nil {
		return "", err
	}
	late, example := lateRuns(d, c, r, time.Time{})
	d.linef("requests that reached the worker over %v after the acknowledgement: %d", drainBound, late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached a draining worker late, for example %s", late, example), nil
}

// changes are how often and how large a configuration changes while an entry is frozen.
type changes struct {
	// accounts and routes are in the configuration beside those that are used.
	accounts, routes int
	// There are storms of stormChanges changes, one every gap, while the entry is frozen for frozen.
	storms int
	gap    time.Duration
	frozen time.Duration
}

// stormChanges is the number of changes of a storm of 1.5 s with one every 60 ms.
const stormChanges = 25

// byLetter has the client accounts of letter 1 and the unused routes of the sheets, and byRoutes the largest
// dose of big_config, with two storms at a time.
var (
	byLetter = changes{accounts: 3100, routes: 240, storms: 2, gap: 60 * time.Millisecond, frozen: 4 * time.Second}
	byRoutes = changes{accounts: 10, routes: 240 + 1808, storms: 8, gap: 30 * time.Millisecond, frozen: 7500 * time.Millisecond}
)

func farBehind(ctx context.Context, d *deployment) (string, error) { return byLetter.run(ctx, d) }

func farBehindRoutes(ctx context.Context, d *deployment) (string, error) { return byRoutes.run(ctx, d) }

// run freezes an entry while the configuration changes often, and moves an anonymous route to another
// service.
func (h changes) run(ctx context.Context, d *deployment) (string, error) {
	services := []string{"desk", "annex"}
	c, r := &clients{d: d}, &runs{}
	idle, tenants := idleRouteList(h.routes), tenantList(h.accounts)
	if _, err := begin(ctx, d, c, r, configuration(1, services, "desk", tenants, idle...), services, 3); err != nil {
		return "", err
	}
	behind := d.machines[len(d.machines)-1]
	keepers := []*keeper{newKeeper(pathOpen), newKeeper(pathOpen), newKeeper(pathKeyed), newKeeper(pathKeyed)}
	// The clients rest during the freeze, for less than four fifths of IdleTimeoutMs, and keep their connections.
	h.load(ctx, c, keepers, behind, settleTime)
	begun := time.Now()
	if d.trouble {
		behind.entry.signal(syscall.SIGSTOP)
		d.linef("%s frozen", behind.name)
	}
	version := 1
	var ackedAt time.Time
	for i := range h.storms * stormChanges {
		sleep(ctx, time.Until(begun.Add(200*time.Millisecond+time.Duration(i)*h.gap)))
		version++
		open := "desk"
		if i == h.storms*stormChanges-1 {
			open = "annex"
		}
		idle[i]["TimeoutMs"] = 4000 + version
		var err error
		if ackedAt, err = d.publish(ctx, configuration(version, services, open, tenants, idle...)); err != nil {
			return "", err
		}
	}
	d.linef("configuration %d, which moves the open route to annex, acknowledged", version)
	sleep(ctx, time.Until(begun.Add(h.frozen)))
	inTouch := ackedAt.Add(configApply)
	if d.trouble {
		behind.entry.signal(syscall.SIGCONT)
		d.linef("%s goes on after %v", behind.name, time.Since(begun).Round(time.Millisecond))
		inTouch = time.Now().Add(contact)
	}
	const observed = 20 * time.Second
	h.load(ctx, c, keepers, behind, time.Until(inTouch.Add(observed)))
	old, fresh := 0, 0
	byID := r.byID()
	for _, s := range c.ended() {
		if s.path != pathOpen || s.at.Before(inTouch) || s.at.Before(ackedAt.Add(configApply)) || s.dialed.IsZero() || s.dialed.After(begun) {
			continue
		}
		for _, a := range byID[s.id] {
			if a.service == "desk" {
				old++
			} else {
				fresh++
			}
		}
	}
	keyed, refused := 0, 0
	for _, s := range c.ended() {
		if s.path == pathKeyed && !s.at.Before(inTouch) && s.dialed.Before(begun) {
			if keyed++; s.status != http.StatusOK {
				refused++
			}
		}
	}
	d.linef("from %s on, over connections opened before the freeze, %s had requests run by the old service: %d, by the new one: %d; requests with a key not served: %d of %d",
		d.at(inTouch), behind.name, old, fresh, refused, keyed)
	switch {
	case old > 0:
		return fmt.Sprintf("CONFIG: %d requests were run by the old service, up to %v after the machine was back in touch", old, observed), nil
	case fresh == 0:
		return "", fmt.Errorf("no request was run")
	}
	return "", nil
}

// load has the keepers send requests to a machine for a time.
func (h changes) load(ctx context.Context, c *clients, keepers []*keeper, m *machine, span time.Duration) {
	load, stop := context.WithTimeout(ctx, span)
	defer stop()
	var running sync.WaitGroup
	for _, k := range keepers {
		running.Go(func() { c.keep(load, k, m, 50*time.Millisecond) })
	}
	running.Wait()
}

// idleRouteList returns routes that nobody uses.
func idleRouteList(n int) []map[string]any {
	var out []map[string]any
	for range n {
		out = append(out, route("r-"+name(), "/"+name()+"/", "desk", false))
	}
	return out
}

// tenantList returns client accounts whose keys nobody uses.
func tenantList(n int) []map[string]any {
	var out []map[string]any
	for range n {
		out = append(out, map[string]any{"Name": name(), "ApiKeys": []string{name() + name() + name(), name() + name() + name()}, "Priority": 1})
	}
	return out
}

// lostDeparture kills a machine with control right after it has acknowledged that workers leave, and starts it again.
func lostDeparture(ctx context.Context, d *deployment) (string, error) {
	services := []string{"desk"}
	c, r := &clients{d: d}, &runs{}
	workers, err := begin(ctx, d, c, r, configuration(1, services, "desk", nil), services, 18)
	if err != nil {
		return "", err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for _, m := range d.machines[3:] {
		for range 8 {
			running.Go(func() { c.run(load, m, pathKeyed, 10*time.Millisecond) })
		}
	}
	sleep(ctx, settleTime)
	killed := d.machines[0]
	// Two of the workers whose heartbeats go to the control of the first machine leave one after the other. They
	// send DELETE first and serve on.
	const leaving, leaveGap, restartDelay = 2, 60 * time.Millisecond, 500 * time.Millisecond
	left := 0
	for i, w := range workers {
		if i%3 == 0 && left < leaving {
			sleep(ctx, leaveGap)
			w.depart()
			if err := w.checkAcked(0); err != nil {
				return "", err
			}
			left++
		}
	}
	inTouch := time.Now()
	if d.trouble {
		d.linef("%s is killed after %d workers left", killed.name, left)
		for _, p := range []*process{killed.control, killed.entry} {
			p.kill()
		}
		sleep(ctx, restartDelay)
		for _, p := range []*process{killed.control, killed.entry} {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		d.linef("%s started again", killed.name)
		inTouch = time.Now().Add(contact)
	}
	// They serve for DrainMs and a little longer, at times many seconds.
	sleep(ctx, drainBound+7*time.Second)
	stop()
	running.Wait()
	late, example := lateRuns(d, c, r, inTouch)
	all, served := count(c, inTouch, time.Now())
	d.linef("machines in touch from %s on: %d requests sent, %d served", d.at(inTouch), all, served)
	d.linef("requests that reached a worker over %v after its DELETE was acknowledged: %d", drainBound, late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached workers that had left, for example %s", late, example), nil
}
