package main

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// badConfigCase sends a configuration with a route that names a service which the configuration does not have. The rule CONFIG is broken
// if it is acknowledged or in force. Without the trouble, the route names only a known service.
func badConfigCase(l *lab) (broken bool, err error) {
	const version = 2
	if err := l.addMachines(4); err != nil {
		return false, err
	}
	if _, err := l.addWorker(desk, 0); err != nil {
		return false, err
	}
	c := l.newClients()
	if err := l.boot(c, configuration(1), "/look/a"); err != nil {
		return false, err
	}
	next := configuration(version)
	route := next["Routes"].([]any)[0].(map[string]any)
	route["TrafficSplit"] = []any{map[string]any{"Service": desk, "Weight": 1}}
	delete(route, "Service")
	if l.trouble {
		route["Service"] = "nosuch01"
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	l.note("configuration: %s", raw)
	status, answer, err := l.call(http.MethodPut, l.machines[0], "/api/config", next)
	if err != nil {
		return false, err
	}
	l.note("operator: PUT of version %d: status %d %s", version, status, answer)
	_, content, err := l.call(http.MethodGet, l.machines[1], "/api/config", nil)
	if err != nil {
		return false, err
	}
	inForce := bytes.Equal(content, raw)
	l.note("operator: GET: version %d is in force: %v", version, inForce)
	if !l.trouble {
		return status != http.StatusOK || !inForce, nil
	}
	if status >= 200 && status < 300 {
		l.note("CONFIG: an invalid configuration is acknowledged; it names the unknown service nosuch01")
	}
	return status >= 200 && status < 300 || inForce, nil
}
