package main

import (
	"fmt"
	"net/http"
	"time"
)

// later is a service that only a route of the second configuration leads to.
const later = "later01"

// oddBeatCase adds a route to a service of its own. Then a heartbeat without a Sequence comes from another writer under the name of each
// worker of that service. The rule CONFIG is broken if the added route is served less than a quarter as often as the first one.
func oddBeatCase(l *lab) (broken bool, err error) {
	const (
		machines = 8
		workers  = 3
		count    = 20 * time.Second
	)
	if err := l.addMachines(machines); err != nil {
		return false, err
	}
	for _, service := range []string{desk, later} {
		for range workers {
			if _, err := l.addWorker(service, 15*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	c := l.newClients()
	if err := l.boot(c, configuration(1), "/look/a"); err != nil {
		return false, err
	}
	if err := l.order(http.MethodPut, "/api/config", laterConfiguration(2), 0); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for _, m := range l.machines {
		l.note("client: the added route at %s: status %d", m.name, c.get(m, "/later/a", shortPatience))
	}
	if l.trouble {
		l.sendOddBeats()
	}
	time.Sleep(contactTime)
	firstSent, firstServed, laterSent, laterServed := 0, 0, 0, 0
	for end := time.Now().Add(count); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range l.machines {
			firstSent, laterSent = firstSent+1, laterSent+1
			if c.get(m, "/look/a", shortPatience) == http.StatusOK {
				firstServed++
			}
			if c.get(m, "/later/a", shortPatience) == http.StatusOK {
				laterServed++
			}
		}
	}
	l.note("client: %d of %d requests on the first route served, %d of %d on the added one", firstServed, firstSent, laterServed, laterSent)
	if 2*firstServed < firstSent {
		return false, fmt.Errorf("only %d of %d requests on the first route were served", firstServed, firstSent)
	}
	broken = laterSent >= 20 && 4*laterServed*firstSent < firstServed*laterSent
	if broken {
		l.note("CONFIG: the route that was added later is served less than a quarter as often as the first one, for %v", count)
	}
	return broken, nil
}

// sendOddBeats sends one heartbeat without a Sequence for each worker of the service later.
func (l *lab) sendOddBeats() {
	for _, w := range l.workers {
		if w.service != later {
			continue
		}
		body := map[string]any{
			"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 64, "State": "draining", "WarmupLeftMs": 0, "born": w.born,
		}
		status, answer, _ := l.call(http.MethodPut, l.machines[0], "/api/instances/"+w.id, body)
		l.note("another writer: a heartbeat without a Sequence for %s: status %d %s", w.id, status, answer)
	}
}

// laterConfiguration is configuration with another route, to the service later.
func laterConfiguration(version int) map[string]any {
	c := configuration(version)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "r-later", "Host": clientHost, "PathPrefix": "/later/", "RouteType": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 300,
		"Priority": 1, "Service": later, "MaxAttempts": 2, "Anonymous": false,
	})
	c["Services"] = append(c["Services"].([]any), map[string]any{
		"Name": later, "HealthPath": "/healthz", "MaxConnections": 200, "Protocol": "h1", "Tls": false, "WarmupS": 0, "WarmupPerS": 0,
	})
	return c
}
