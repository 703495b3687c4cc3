package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// beatCase: heartbeats of another writer, from which a field is missing, one to each machine, name a worker that then
// reports that it drains.
func beatCase(l *lab) (bool, error) {
	const entries = 3
	if _, _, err := l.startAll(entries); err != nil {
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
	if l.trouble {
		odd := leaving.announcement("ready")
		delete(odd, "Slots")
		odd["Sequence"] = 4096
		for machine := range entries {
			status, _ := l.callControl(http.MethodPut, machine, "/api/instances/"+leaving.id, odd)
			l.note("that was a heartbeat of another writer for worker %s, with Sequence 4096 and without Slots: status %d", leaving.id, status)
		}
	}
	time.Sleep(time.Second)
	leaving.state.Store("draining")
	var acknowledged time.Time
	for turn := 0; acknowledged.IsZero(); turn++ {
		machine, ok := leaving.announce("draining", turn)
		if ok {
			acknowledged = time.Now()
			l.note("worker %s reports draining with Sequence %d, acknowledged by machine %d", leaving.id, leaving.sequence.Load(), machine+1)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(drainBound + lingerAfterDrain)))
	l.callControl(http.MethodDelete, 0, "/api/instances/"+leaving.id, nil)
	leaving.exit()
	l.note("worker %s sends DELETE and exits; last Sequence %d", leaving.id, leaving.sequence.Load())
	close(stop)
	wg.Wait()
	c.record(workers)
	return l.judgeDrain(c, leaving, acknowledged, acknowledged) > 0, nil
}
