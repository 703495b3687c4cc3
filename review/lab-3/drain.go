package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// lingerAfterDrain is how long the worker serves after DrainMs.
	lingerAfterDrain = 4 * time.Second
	// restartDelay is the pause before the platform starts a killed process again.
	restartDelay = 300 * time.Millisecond
	// settle is longer than the time for which control has to run until its list of workers is complete.
	settle = 10 * time.Second
)

// drainCase: a worker takes its leave at a machine whose control is killed right after its acknowledgement.
func drainCase(l *lab) (bool, error) {
	const entries = 4
	control, _, err := l.startAll(entries)
	if err != nil {
		return false, err
	}
	if err := l.publish(configuration(7, 0, bothRoutes()...)); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 3 {
		w, err := l.newWorker(i, 0)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		l.note("worker %s at %s", w.id, w.addr)
	}
	if !await(20*time.Second, func() bool {
		for host := range entries {
			if !l.ready(host) {
				return false
			}
		}
		return true
	}) {
		return false, errors.New("not all machines became ready")
	}
	c := l.newClients()
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	for host := range entries {
		c.runBoth(host, stop, wg)
	}
	time.Sleep(settle)
	if len(workers[0].ran()) < 20 {
		return false, errors.New("the worker served too few requests before")
	}
	leaving := workers[0]
	leaving.silent.Store(true)
	time.Sleep(heartbeat) // a heartbeat in progress ends
	status, _ := l.callControl(http.MethodDelete, 0, "/api/instances/"+leaving.id, nil)
	acknowledged := time.Now()
	if status/100 != 2 {
		return false, errors.New("the departure was not acknowledged")
	}
	l.note("DELETE of worker %s acknowledged by machine 1 with %d", leaving.id, status)
	steady := acknowledged
	if l.trouble {
		control[0].kill()
		l.note("control of machine 1 killed, %v after the acknowledgement", time.Since(acknowledged).Round(time.Microsecond))
		time.Sleep(restartDelay)
		if err := control[0].start(); err != nil {
			return false, err
		}
		steady = time.Now().Add(contact)
	}
	time.Sleep(time.Until(acknowledged.Add(drainBound + lingerAfterDrain)))
	leaving.exit()
	l.note("worker %s exits", leaving.id)
	close(stop)
	wg.Wait()
	c.record(workers)
	return l.judgeDrain(c, leaving, acknowledged, steady) > 0, nil
}

// judgeDrain returns how many requests reached a worker later than DrainMs after its departure was acknowledged and
// were sent, and arrived, later than steady, from which on all machines were in touch again.
func (l *lab) judgeDrain(c *clients, leaving *worker, acknowledged, steady time.Time) (late int) {
	from := acknowledged.Add(drainBound)
	if steady.After(from) {
		from = steady
	}
	all := 0
	for _, a := range leaving.ran() {
		sent, host := c.sentAt(a.id)
		if a.at.After(acknowledged.Add(drainBound)) {
			all++
		}
		if !sent.After(from) || !a.at.After(from) {
			continue
		}
		if late++; late <= 10 {
			l.note("request %s, sent to machine %d at %.3f, ran at worker %s %.3f s after the acknowledgement", a.id, host+1, sent.Sub(l.started).Seconds(), a.worker, a.at.Sub(acknowledged).Seconds())
		}
	}
	l.noteCut(c, leaving, from)
	l.note("requests that reached the worker later than DrainMs after the acknowledgement: %d; of them sent while all machines were in touch (from %.3f on): %d", all, from.Sub(l.started).Seconds(), late)
	return late
}

// noteCut records the orders that ran at the worker, were sent later than from and got no success.
func (l *lab) noteCut(c *clients, leaving *worker, from time.Time) {
	lost := 0
	for _, a := range leaving.ran() {
		sent, _ := c.sentAt(a.id)
		if result := c.result(a.id); sent.After(from) && a.method == http.MethodPost && result != http.StatusText(http.StatusOK) {
			lost++
			l.note("order %s, not to be repeated, ran at worker %s; its client got: %s", a.id, a.worker, result)
		}
	}
	l.note("orders that ran at the worker and got no success: %d", lost)
}

// bothRoutes are a route for lookups, which may be repeated, and one for orders, which may not.
func bothRoutes() []map[string]any {
	return []map[string]any{route("r-status", "/status/", "idempotent"), route("r-seal", "/seal/", "non_idempotent")}
}
