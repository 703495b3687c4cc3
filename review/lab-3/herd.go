package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// lateBeat is how late the last heartbeat of the leaving worker arrives.
	lateBeat = 5 * time.Second
	// lingerAfterHerd is how long the worker serves after DrainMs.
	lingerAfterHerd = 7 * time.Second
)

// herdCase: a worker takes its leave, all processes of the core are killed a second later, and a heartbeat from
// before arrives late.
func herdCase(l *lab) (bool, error) {
	const entries = 3
	control, entry, err := l.startAll(entries)
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
	}
	if !await(20*time.Second, func() bool { return l.ready(0) && l.ready(1) && l.ready(2) }) {
		return false, errors.New("not all machines became ready")
	}
	c := l.newClients()
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	for host := range entries {
		c.runBoth(host, stop, wg)
	}
	time.Sleep(settle)
	leaving := workers[0]
	leaving.silent.Store(true)
	time.Sleep(heartbeat)
	late := leaving.announcement("ready") // sent now, and held up on its way
	status, _ := l.callControl(http.MethodDelete, 0, "/api/instances/"+leaving.id, nil)
	acknowledged := time.Now()
	if status/100 != 2 {
		return false, errors.New("the departure was not acknowledged")
	}
	l.note("DELETE of worker %s acknowledged by machine 1 with %d", leaving.id, status)
	steady := acknowledged
	time.Sleep(time.Second)
	if l.trouble {
		for _, p := range append(append([]*process(nil), control...), entry...) {
			p.signal(9)
		}
		l.note("all processes of the core killed")
		for _, p := range append(append([]*process(nil), control...), entry...) {
			p.kill()
		}
		time.Sleep(restartDelay)
		for _, p := range append(append([]*process(nil), control...), entry...) {
			if err := p.start(); err != nil {
				return false, err
			}
		}
		steady = time.Now().Add(contact)
	}
	time.Sleep(time.Until(acknowledged.Add(lateBeat)))
	status, _ = l.callControl(http.MethodPut, 1, "/api/instances/"+leaving.id, late)
	l.note("heartbeat of worker %s from before its DELETE arrives at machine 2: status %d", leaving.id, status)
	time.Sleep(time.Until(acknowledged.Add(drainBound + lingerAfterHerd)))
	leaving.exit()
	l.note("worker %s exits", leaving.id)
	close(stop)
	wg.Wait()
	c.record(workers)
	return l.judgeDrain(c, leaving, acknowledged, steady) > 0, nil
}
