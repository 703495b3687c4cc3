package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client knows of one request.
type request struct {
	id     string
	method string
	host   int
	sent   time.Time
	status int
	err    error
}

// clients are stand-ins of clients, and what they have sent.
type clients struct {
	l      *lab
	client *http.Client
	// key is the key that the requests carry.
	key  string
	next atomic.Int64

	mu       sync.Mutex
	requests map[string]*request
}

func (l *lab) newClients() *clients {
	return &clients{
		l: l, key: key, requests: map[string]*request{},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}},
	}
}

// send sends one request to a machine and returns what is known of it.
func (c *clients) send(host int, method, path string, body io.Reader) *request {
	r := &request{id: fmt.Sprintf("%016x", c.next.Add(1)), method: method, host: host}
	req, err := http.NewRequest(method, "http://"+c.l.addr(1, host, portFrontend)+path+r.id, body)
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "desk.example"
	req.Header.Set("Rosemaryproxy-Attempt-Id", r.id)
	req.Header.Set("Rosemaryproxy-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Bearer "+c.key)
	r.sent = time.Now()
	c.mu.Lock()
	c.requests[r.id] = r
	c.mu.Unlock()
	res, err := c.client.Do(req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err = err; err == nil {
		r.status = res.StatusCode
	}
	return r
}

// sentAt returns when a request was sent, and to which machine.
func (c *clients) sentAt(id string) (time.Time, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		return r.sent, r.host
	}
	return time.Time{}, -1
}

// run sends requests to a machine, one after the other with a pause between them, until stop is closed.
func (c *clients) run(host int, method, path string, pause time.Duration, stop <-chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			var body io.Reader
			if method == http.MethodPost {
				body = strings.NewReader("release capsule 17")
			}
			c.send(host, method, path, body)
		}
	})
}

// paced sends requests to a machine, at most one in each interval and one at a time, until stop is closed.
func (c *clients) paced(host int, method, path string, interval time.Duration, stop <-chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			c.send(host, method, path, strings.NewReader(""))
		}
	})
}

// runBoth sends lookups, which may be repeated, and orders, which may not, to a machine.
func (c *clients) runBoth(host int, stop <-chan struct{}, wg *sync.WaitGroup) {
	for range 2 {
		c.run(host, http.MethodGet, "/status/", 20*time.Millisecond, stop, wg)
		c.run(host, http.MethodPost, "/seal/", 20*time.Millisecond, stop, wg)
	}
}

// result returns how a request ended for its client.
func (c *clients) result(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	switch {
	case r == nil:
		return "unknown"
	case r.err != nil:
		return r.err.Error()
	}
	return http.StatusText(r.status)
}

// record writes a line for each request: what was sent, how it ended, and where and when it ran.
func (c *clients) record(workers []*worker) {
	runs := map[string][]string{}
	for _, w := range workers {
		for _, a := range w.ran() {
			runs[a.id] = append(runs[a.id], fmt.Sprintf("%s at %.3f tenant %q", a.worker, a.at.Sub(c.l.started).Seconds(), a.tenant))
		}
	}
	c.mu.Lock()
	all := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		all = append(all, r)
	}
	c.mu.Unlock()
	slices.SortFunc(all, func(a, b *request) int { return a.sent.Compare(b.sent) })
	for _, r := range all {
		c.l.note("sent %.3f %s %s machine %d, %s, ran %v", r.sent.Sub(c.l.started).Seconds(), r.method, r.id, r.host+1, c.result(r.id), runs[r.id])
	}
}
