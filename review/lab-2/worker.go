package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serviceTime is how long a worker works on a request.
const serviceTime = 30 * time.Millisecond

// arrival is a request that a worker ran.
type arrival struct {
	at      time.Time
	id      string
	service string
	worker  *worker
}

// worker is a stand-in of an application worker.
type worker struct {
	d       *deployment
	runs    *runs
	id      string
	service string
	zone    string
	address string
	born    int64
	server  *http.Server

	mu sync.Mutex
	// node is the index of the control node to which it sends its heartbeats.
	node     int
	sequence uint64
	state    string
	silent   bool
	// ackedAt is when its leave was acknowledged, and ackedBy the index of the node that did.
	ackedAt time.Time
	ackedBy int
}

// runs collects what the workers ran.
type runs struct {
	mu   sync.Mutex
	list []arrival
}

func (r *runs) add(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, a)
}

// byID returns the runs of each request.
func (r *runs) byID() map[string][]arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]arrival{}
	for _, a := range r.list {
		out[a.id] = append(out[a.id], a)
	}
	return out
}

// newWorker starts a worker, which sends its heartbeats until ctx ends.
func (d *deployment) newWorker(ctx context.Context, r *runs, number int, service string, node int) (*worker, error) {
	w := &worker{
		d: d, runs: r, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%len(zones)],
		address: fmt.Sprintf("%s:%d", d.address(2, number), d.ports.worker), born: time.Now().UnixMilli(), node: node, state: "ready",
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			w.beat()
			sleep(ctx, heartbeat)
		}
		_ = w.server.Close()
	}()
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Rosemaryproxy-Instance-Id", w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Rosemaryproxy-Attempt-Id")
	h.Set("Rosemaryproxy-Attempt-Id", id)
	if expected := r.Header.Get("Rosemaryproxy-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Rosemaryproxy-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.runs.add(arrival{time.Now(), id, w.service, w})
	w.d.linef("ran %s at %s of %s", id, w.id, w.service)
	if strings.HasPrefix(r.URL.Path, pathStream) {
		w.stream(out, r, id)
		return
	}
	time.Sleep(serviceTime)
	body := "done " + id
	h.Set("Rosemaryproxy-Server-Seal", "seal-"+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
}

// stream reads the prompt, which takes most of the aim of the longest class, and answers with events.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	const prefill, events, gap = 2 * time.Second, 16, 50 * time.Millisecond
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	sleep(r.Context(), prefill)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Rosemaryproxy-Server-Seal", "seal-"+id)
	control := http.NewResponseController(out)
	for n := range events {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n+1, id); err != nil || control.Flush() != nil {
			return
		}
		sleep(r.Context(), gap)
	}
}

// beat sends a heartbeat to the worker's control node and, while there is no acknowledgement, to the next.
func (w *worker) beat() {
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return
	}
	w.sequence++
	body := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 6, "State": w.state,
		"WarmupLeftMs": 0, "Sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.callControl(http.MethodPut, body)
}

// callControl makes a call of the worker and returns when it was acknowledged, and where.
func (w *worker) callControl(method string, body any) (at time.Time, node int) {
	for range 3 {
		w.mu.Lock()
		node := w.node
		w.mu.Unlock()
		status, _, _ := w.d.call(w.d.seeds()[node], method, "/api/instances/"+w.id, body)
		if status/100 == 2 {
			return time.Now(), node
		}
		w.useNode((node + 1) % 3)
	}
	return time.Time{}, 0
}

// useNode makes the worker send its next calls to a control node.
func (w *worker) useNode(node int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = node
}

// drain reports that the worker drains, until that is acknowledged.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.sequence++
	body := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 6, "State": w.state,
		"WarmupLeftMs": 0, "Sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.leave(http.MethodPut, body)
}

// depart deregisters the worker, which serves on. It sends no heartbeat any more.
func (w *worker) depart() {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	w.leave(http.MethodDelete, nil)
}

func (w *worker) leave(method string, body any) {
	at, node := w.callControl(method, body)
	w.mu.Lock()
	w.ackedAt, w.ackedBy = at, node
	w.mu.Unlock()
	w.d.linef("%s of %s acknowledged by control of edge-%d", method, w.id, node+1)
}

// acked returns when the leave of the worker was acknowledged; zero if it was not.
func (w *worker) acked() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedAt
}

// checkAcked returns an error unless the leave of the worker was acknowledged by a node.
func (w *worker) checkAcked(node int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ackedAt.IsZero() || w.ackedBy != node {
		return fmt.Errorf("the leave of %s was not acknowledged by control of edge-%d", w.id, node+1)
	}
	return nil
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
