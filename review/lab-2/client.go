package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 4 * time.Second

// sent is one request of a client, and its answer. Status 0 means that none came.
type sent struct {
	id     string
	via    *machine
	path   string
	at     time.Time
	status int
	// kept is set if the connection had carried a request before, and lost if it ended without an answer.
	kept, lost bool
	// dialed is when the connection was opened, if that is recorded.
	dialed time.Time
}

// clients send idempotent requests over kept connections.
type clients struct {
	d  *deployment
	mu sync.Mutex
	// all are the requests that have ended.
	all []sent
}

// run sends one request after the other to a machine until ctx ends, with a pause between them.
func (c *clients) run(ctx context.Context, m *machine, path string, pause time.Duration) {
	client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	for ctx.Err() == nil {
		c.send(client, m, path)
		sleep(ctx, pause)
	}
}

// keeper is a client that uses one connection for as long as that is open.
type keeper struct {
	client *http.Client
	path   string

	mu     sync.Mutex
	dialed time.Time
}

func newKeeper(path string) *keeper {
	k := &keeper{path: path}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		k.mu.Lock()
		k.dialed = time.Now()
		k.mu.Unlock()
		return conn, err
	}
	k.client = &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	return k
}

// opened returns when the connection was opened.
func (k *keeper) opened() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dialed
}

// keep sends one request after the other of a keeper until ctx ends. The connection stays open.
func (c *clients) keep(ctx context.Context, k *keeper, m *machine, pause time.Duration) {
	for ctx.Err() == nil {
		c.sendOver(k.client, m, k.path, k.opened)
		sleep(ctx, pause)
	}
}

// send sends one request.
func (c *clients) send(client *http.Client, m *machine, path string) int {
	return c.sendOver(client, m, path, func() time.Time { return time.Time{} })
}

// sendOver is send; opened returns when the connection was opened.
func (c *clients) sendOver(client *http.Client, m *machine, path string, opened func() time.Time) int {
	s := sent{id: fmt.Sprintf("%016x", rand.Uint64()), via: m, path: path}
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s2f", m.ip, c.d.ports.callers, path), nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Rosemaryproxy-Attempt-Id", s.id)
	req.Header.Set("Rosemaryproxy-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	if path == pathKeyed {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	s.at = time.Now()
	c.d.linef("sent %s to %s, %s", s.id, m.name, path)
	res, err := client.Do(req)
	if err == nil {
		if _, err = io.Copy(io.Discard, res.Body); err == nil {
			s.status = res.StatusCode
		}
		_ = res.Body.Close()
	}
	s.dialed = opened()
	c.d.linef("answered %s with %d", s.id, s.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s.status
}

// ended returns the requests that have ended.
func (c *clients) ended() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}

// checkServed returns an error if no request was served, since nothing was tested then.
func (c *clients) checkServed() error {
	for _, s := range c.ended() {
		if s.status == http.StatusOK && s.at.After(c.d.record.start.Add(settleTime)) {
			return nil
		}
	}
	return fmt.Errorf("no request was served")
}

// awaitService waits until every machine has served a request.
func (c *clients) awaitService(ctx context.Context, path string) error {
	for _, m := range c.d.machines {
		client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
		for c.send(client, m, path) != http.StatusOK {
			if ctx.Err() != nil {
				return fmt.Errorf("%s serves no request", m.name)
			}
			sleep(ctx, 200*time.Millisecond)
		}
	}
	return nil
}
