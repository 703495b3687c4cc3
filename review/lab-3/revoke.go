package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/soak"
)

const (
	// revokeBound is RevokeMs.
	revokeBound = 5 * time.Second
	// secondKey is the key that is taken away.
	secondKey = "anfqasnmgkcuyj8pjbvk"
)

// tenants returns the tenants of a configuration; the second one may have lost its key.
func tenants(revoked bool) []map[string]any {
	keys := []string{secondKey}
	if revoked {
		keys = []string{}
	}
	return []map[string]any{{"Name": "parish", "ApiKeys": []string{key}, "Priority": 1}, {"Name": "notary", "ApiKeys": keys, "Priority": 1}}
}

// revokeCase: while a machine is cut off from the core, a configuration replaces an anonymous route by one that needs a
// key, and takes a key away.
func revokeCase(l *lab) (bool, error) {
	const entries, cutOff = 6, 5
	l.cuts = soak.NewCuts()
	if _, _, err := l.startAll(entries); err != nil {
		return false, err
	}
	open := route("r-open", "/release/", "non_idempotent")
	open["Anonymous"] = true
	before := configuration(7, 0, open)
	before["Tenants"] = tenants(false)
	after := configuration(9, 0, route("r-closed", "/release/", "non_idempotent"))
	after["Tenants"] = tenants(true)
	if err := l.publish(before); err != nil {
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
	c.key = secondKey
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	for host := range entries {
		for range 3 {
			c.run(host, http.MethodPost, "/release/", 20*time.Millisecond, stop, wg)
		}
	}
	time.Sleep(settle)
	if l.trouble {
		l.cut(cutOff, 3, false)
		l.note("machine %d cut off from the core", cutOff+1)
	}
	if err := l.publish(after); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(cutFor)
	if l.trouble {
		l.cut(cutOff, 3, true)
		l.note("machine %d joined again", cutOff+1)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	c.record(workers)
	late := 0
	by := map[int]int{}
	for _, w := range workers {
		for _, a := range w.ran() {
			sent, host := c.sentAt(a.id)
			if !sent.After(acknowledged.Add(revokeBound)) {
				continue
			}
			if late++; late <= 10 {
				l.note("request %s with the key that was taken away, sent to machine %d %.3f s after the acknowledgement, ran at worker %s as tenant %q", a.id, host+1, sent.Sub(acknowledged).Seconds(), a.worker, a.tenant)
			}
			by[host+1]++
		}
	}
	l.note("requests with that key that were sent later than RevokeMs after the acknowledgement and ran: %d, by machine %v", late, by)
	return late > 0, nil
}
