package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// callTime is how long a caller of control waits for an answer.
const callTime = time.Second

var controlClient = &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call to a control node. A nil body is none.
func (d *deployment) call(addr, method, path string, body any) (status int, answer []byte, err error) {
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		if raw, err = json.Marshal(b); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	defer func() { d.linef("called %s %s at %s, answered with %d, error %v", method, path, addr, status, err) }()
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err = io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

// publish sends a configuration to one node after the other until it is acknowledged, and returns when.
func (d *deployment) publish(ctx context.Context, c map[string]any) (time.Time, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, err
	}
	for try := 0; ctx.Err() == nil; try++ {
		status, answer, err := d.call(d.seeds()[try%3], http.MethodPut, "/api/config", raw)
		switch {
		case err == nil && status == http.StatusOK:
			d.linef("configuration %v acknowledged, %d bytes", c["Version"], len(raw))
			return time.Now(), nil
		case status/100 == 4:
			return time.Time{}, fmt.Errorf("configuration %v refused: %d %s", c["Version"], status, answer)
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return time.Time{}, errors.New("no configuration was acknowledged in time")
}

const (
	host    = "ficu95.example"
	key     = "n2ctnfzs989anu6wsjnb"
	account = "hule930"
	// pathKeyed is the route of requests with a key, pathOpen one that is anonymous, and pathStream one of streams
	// that may run once.
	pathKeyed, pathOpen, pathStream = "/lohu930/", "/puxa403/", "/pufi791/"
)

// route returns an idempotent route.
func route(name, prefix, service string, anonymous bool) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": "idempotent", "TimeoutMs": 4000, "TargetLatencyMs": 300, "Priority": 2,
		"Service": service, "MaxAttempts": 2, "Anonymous": anonymous, "SessionAffinity": false, "StreamResume": false, "GapTargetMs": 0,
	}
}

// configuration returns a configuration with a keyed and an anonymous route. The argument others are further
// client accounts, and more further routes.
func configuration(version int, services []string, open string, others []map[string]any, more ...map[string]any) map[string]any {
	routes := append([]map[string]any{route("r-keyed", pathKeyed, services[0], false), route("r-open", pathOpen, open, true)}, more...)
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"Name": s, "HealthPath": "/healthz", "MaxConnections": 130, "Protocol": "h1", "Tls": false, "WarmupS": 0.0, "WarmupPerS": 0.0,
		})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": append([]map[string]any{{"Name": account, "ApiKeys": []string{key}, "Priority": 1}}, others...),
	}
}

// name returns a random name of a route or path.
func name() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	out := make([]byte, 7)
	for i := range out {
		out[i] = letters[rand.IntN(len(letters))]
	}
	return string(out)
}
