package main

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

// leavingCase lets a worker say with DELETE that it is gone, while it goes on serving for a while. Then two of the machines that run
// control are killed, one after the other, each back at once and the second only after CatchUpS. The rule DRAIN is broken if
// machines in touch send the worker requests.
func leavingCase(l *lab) (broken bool, err error) {
	const (
		machines = 8
		workers  = 3
		// linger is for how long the worker serves after the acknowledgement; the pages say "at times many seconds".
		linger = 14 * time.Second
		down   = 300 * time.Millisecond
	)
	if err := l.addMachines(machines); err != nil {
		return false, err
	}
	for range workers {
		if _, err := l.addWorker(desk, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	c := l.newClients()
	if err := l.boot(c, configuration(1), "/look/a"); err != nil {
		return false, err
	}
	// All replicas have been running for longer than the time in which all endpoints announce themselves.
	time.Sleep(10 * time.Second)
	c.run(l.machines, "/look/a", 20*time.Millisecond)
	time.Sleep(time.Second)

	w := l.workers[0]
	w.mu.Lock()
	for _, m := range l.machines[:len(zones)] {
		l.note("worker %s: latest heartbeat acknowledged by %s %v ago", w.id, m.name, time.Since(w.beats[m.name]).Round(time.Millisecond))
	}
	w.mu.Unlock()
	if len(w.arrivalsAfter(l.started)) == 0 {
		return false, fmt.Errorf("worker %s has got no request before it leaves", w.id)
	}
	holder, err := w.leave()
	if err != nil {
		return false, err
	}
	acknowledged := time.Now()
	stable := acknowledged
	if l.trouble {
		if stable, err = l.killInTurn(holder, acknowledged, down); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(linger)))
	c.finish()
	// Requests count from ContactMs after the last start of a process on a machine of the core.
	from := acknowledged.Add(drainTime)
	if inTouch := stable.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	return l.judgeLeaving(c, w, acknowledged, from), nil
}

// killInTurn kills the machine that acknowledged the end of the worker, and CatchUpS after it is back another one. It returns when the
// last process was started.
func (l *lab) killInTurn(holder *machine, acknowledged time.Time, down time.Duration) (last time.Time, err error) {
	time.Sleep(time.Until(acknowledged.Add(500 * time.Millisecond)))
	if err := holder.kill(down); err != nil {
		return last, err
	}
	// The processes take some time until they are ready.
	time.Sleep(catchUpTime + 500*time.Millisecond)
	var second *machine
	for _, m := range l.machines[:len(zones)] {
		if m != holder && (second == nil || m.sessions() > second.sessions()) {
			second = m
		}
	}
	l.note("%s has most of the other sessions of entries", second.name)
	err = second.kill(down)
	return time.Now(), err
}

// sessions returns how many sessions the replica on the machine has, by its log.
func (m *machine) sessions() int {
	raw, err := os.ReadFile(m.control.log)
	if err != nil {
		return 0
	}
	return bytes.Count(raw, []byte("session opened")) - bytes.Count(raw, []byte("session closed"))
}

// judgeLeaving records the requests that reached the worker, and reports whether there are some that count.
func (l *lab) judgeLeaving(c *clients, w *worker, acknowledged, from time.Time) bool {
	counted := map[string]int{}
	for _, a := range w.arrivalsAfter(acknowledged) {
		r := c.sentBy(a.id)
		if r == nil {
			continue
		}
		late := a.at.Sub(acknowledged)
		counts := a.at.After(from) && r.sent.After(from)
		l.note("worker %s: request %s from %s arrived %v after the acknowledgement; counts: %v", w.id, a.id, r.machine.name, late.Round(time.Millisecond), counts)
		if counts {
			counted[r.machine.name]++
		}
	}
	total := 0
	for name, n := range counted {
		total += n
		l.note("DRAIN: %d requests reached the worker from %s later than DrainMs after the acknowledgement, in touch", n, name)
	}
	fmt.Printf("requests that count: %d\n", total)
	return total > 0
}
