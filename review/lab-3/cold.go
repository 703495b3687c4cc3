package main

import (
	"errors"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/soak"
)

const (
	// coldPerS, coldFor, overshoot and slack are those of the sheet of kerlouan-capsules.
	coldPerS  = 36.0
	coldFor   = 3 * time.Second
	overshoot = 1.5
	slack     = 5.0
	// crashPerS is the rate, well above coldPerS, at which a cold worker crashes.
	crashPerS = 2 * coldPerS
	// callerPace is the shortest time between two requests of a caller.
	callerPace = 100 * time.Millisecond
	// cutFor is how long the machine is cut off.
	cutFor = 5500 * time.Millisecond
)

// coldCase: a worker comes back cold while a machine without a disk is cut off from the others.
func coldCase(l *lab) (bool, error) {
	const entries, cutOff = 6, 5
	l.cuts = soak.NewCuts()
	if _, _, err := l.startAll(entries); err != nil {
		return false, err
	}
	if err := l.publish(configuration(7, coldPerS, bothRoutes()...)); err != nil {
		return false, err
	}
	first, err := l.newWorker(0, 0)
	if err != nil {
		return false, err
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
	// At most 80 requests a second in all, half of them at the machine that is cut off: 1.7 times the usual are 83.
	for range 2 {
		c.paced(cutOff, http.MethodGet, "/status/", callerPace, stop, wg)
		c.paced(cutOff, http.MethodPost, "/seal/", callerPace, stop, wg)
	}
	for host := range 2 {
		c.paced(2*host, http.MethodGet, "/status/", callerPace, stop, wg)
		c.paced(2*host+1, http.MethodPost, "/seal/", callerPace, stop, wg)
	}
	time.Sleep(settle)
	first.exit()
	l.note("worker %s crashes", first.id)
	time.Sleep(time.Second)
	w, err := l.newWorker(0, coldFor)
	if err != nil {
		return false, err
	}
	w.crashPerS.Store(int64(crashPerS))
	l.note("worker %s starts at the same address, cold for %v", w.id, coldFor)
	time.Sleep(200 * time.Millisecond)
	if l.trouble {
		l.cut(cutOff, entries, false)
		l.note("machine %d cut off from the others", cutOff+1)
	}
	time.Sleep(cutFor)
	if l.trouble {
		l.cut(cutOff, entries, true)
		l.note("machine %d joined again", cutOff+1)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	c.record([]*worker{first, w})
	l.noteCut(c, w, w.coldUntil.Add(-coldFor))
	limit := int(coldPerS*overshoot + slack)
	var times []time.Time
	by := map[int]int{}
	for _, a := range w.ran() {
		if _, host := c.sentAt(a.id); a.at.Before(w.coldUntil) {
			times = append(times, a.at)
			by[host]++
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, at := 0, time.Time{}
	for i := range times {
		n := sort.Search(len(times), func(j int) bool { return !times[j].Before(times[i].Add(time.Second)) }) - i
		if n > most {
			most, at = n, times[i]
		}
	}
	l.note("requests at the cold worker: %d, by machine %v", len(times), by)
	l.note("the most in one second: %d, from %.3f on; the limit is %v x %v + %v = %d", most, at.Sub(l.started).Seconds(), coldPerS, overshoot, slack, limit)
	return most > limit, nil
}
