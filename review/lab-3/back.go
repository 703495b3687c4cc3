package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// applyBound is ConfigApplyMs.
	applyBound = 2 * time.Second
	// roundTime is the time from one kill to the next; it leaves CatchUpS and more after the restart.
	roundTime = 11 * time.Second
	rounds    = 6
	// backDelay is the pause before the platform starts the killed processes again.
	backDelay = 100 * time.Millisecond
	// crashLead is how long before the core is killed a worker crashes.
	crashLead = 1500 * time.Millisecond
)

// change is a configuration that was acknowledged.
type change struct {
	service      string
	acknowledged time.Time
	// steady is from when on all machines are in touch, and until ends the round.
	steady, until time.Time
}

// backCase: all processes of the core are killed at the same moment and are back at once; then an anonymous route goes
// to another service.
func backCase(l *lab) (bool, error) {
	const entries = 8
	services := []string{"desk", "spare-desk"}
	control, _, err := l.startAll(entries)
	if err != nil {
		return false, err
	}
	publish := func(version int, service string) error {
		open := route("r-open", "/open/", "idempotent")
		open["Anonymous"], open["Service"] = true, service
		next := configuration(version, 0, open)
		spare := map[string]any{}
		for name, value := range next["Services"].([]map[string]any)[0] {
			spare[name] = value
		}
		spare["Name"] = services[1]
		next["Services"] = append(next["Services"].([]map[string]any), spare)
		return l.publish(next)
	}
	if err := publish(1, services[0]); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 4 {
		w, err := l.newWorkerFor(services[i%2], i, 0)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
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
		c.run(host, http.MethodGet, "/open/", 50*time.Millisecond, stop, wg)
	}
	time.Sleep(settle)
	var changes []change
	all := append([]*worker(nil), workers...)
	for round := range rounds {
		// A worker crashes shortly before, and is back as the core is.
		crashed := round % len(workers)
		workers[crashed].exit()
		l.note("round %d: worker %s crashes", round+1, workers[crashed].id)
		time.Sleep(crashLead)
		began := time.Now()
		steady := began
		if l.trouble {
			for _, p := range control {
				p.signal(9)
			}
			for _, p := range control {
				p.kill()
			}
			l.note("round %d: all control processes killed", round+1)
			time.Sleep(backDelay)
			for _, p := range control {
				if err := p.start(); err != nil {
					return false, err
				}
			}
			steady = time.Now().Add(contact)
		}
		service := services[(round+1)%2]
		if err := publish(round+2, service); err != nil {
			return false, err
		}
		w, err := l.newWorkerFor(services[crashed%2], crashed, 0)
		if err != nil {
			return false, err
		}
		workers[crashed], all = w, append(all, w)
		ch := change{service: service, acknowledged: time.Now(), steady: steady, until: began.Add(roundTime)}
		changes = append(changes, ch)
		time.Sleep(time.Until(ch.until))
		if late := l.judgeChange(c, all, ch, 0); late > 0 {
			break
		}
	}
	close(stop)
	wg.Wait()
	c.record(all)
	late := 0
	for _, ch := range changes {
		late += l.judgeChange(c, all, ch, 10)
	}
	l.note("requests that were sent later than ConfigApplyMs after the acknowledgement, at machines in touch, and ran at the old service: %d, in %d rounds", late, len(changes))
	return late > 0, nil
}

// judgeChange returns how many requests of a round ran at the old service though they were sent later than applyBound
// after the acknowledgement and when all machines were in touch. It records the first ones.
func (l *lab) judgeChange(c *clients, workers []*worker, ch change, recorded int) (late int) {
	from := ch.acknowledged.Add(applyBound)
	if ch.steady.After(from) {
		from = ch.steady
	}
	for _, w := range workers {
		for _, a := range w.ran() {
			sent, host := c.sentAt(a.id)
			if w.service == ch.service || !sent.After(from) || sent.After(ch.until) {
				continue
			}
			if late++; late <= recorded {
				l.note("request %s, sent to machine %d at %.3f, %.3f s after the acknowledgement, ran at worker %s of %s", a.id, host+1, sent.Sub(l.started).Seconds(), sent.Sub(ch.acknowledged).Seconds(), a.worker, w.service)
			}
		}
	}
	return late
}
