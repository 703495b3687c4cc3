package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a worker began to run.
type arrival struct {
	worker, id, method, line, tenant string
	at                               time.Time
}

// worker is a stand-in of a worker of a plain service.
type worker struct {
	l  *lab
	id string
	// service is the name of the service.
	service string
	addr    string
	zone    string
	born    int64
	server  *http.Server
	// workTime is how long a request takes.
	workTime time.Duration
	// coldUntil is when a worker that came back cold is warm.
	coldUntil time.Time
	// state is what the worker says of itself.
	state    atomic.Value
	sequence atomic.Uint64
	// crashPerS is the number of requests in one second at which the worker crashes while it is cold; zero for none.
	crashPerS atomic.Int64
	silent    atomic.Bool
	ended     chan struct{}
	crash     sync.Once

	mu       sync.Mutex
	arrivals []arrival
}

// newWorker starts a worker, which registers itself at a machine with control every heartbeat.
func (l *lab) newWorker(host int, cold time.Duration) (*worker, error) {
	return l.newWorkerFor("desk", host, cold)
}

// newWorkerFor is newWorker for a worker of another service.
func (l *lab) newWorkerFor(service string, host int, cold time.Duration) (*worker, error) {
	w := &worker{
		service:   service,
		coldUntil: time.Now().Add(cold),
		l:         l, id: fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffffff), addr: l.addr(4, host, portWorker), zone: zones[host%len(zones)],
		born: time.Now().UnixMilli(), workTime: 60 * time.Millisecond, ended: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	w.state.Store("ready")
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	l.atEnd(func() { w.server.Close(); w.silent.Store(true) })
	go w.beat()
	return w, nil
}

// announcement is what a worker says of itself.
func (w *worker) announcement(state string) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 6, "State": state, "WarmupLeftMs": max(0, time.Until(w.coldUntil).Milliseconds()),
		"Sequence": w.sequence.Add(1), "born": w.born,
	}
}

// announce sends one heartbeat: to one machine after the other, until one acknowledges it within a second.
func (w *worker) announce(state string, from int) (machine int, acknowledged bool) {
	for i := range 3 {
		machine = (from + i) % 3
		if status, _ := w.l.callControl(http.MethodPut, machine, "/api/instances/"+w.id, w.announcement(state)); status/100 == 2 {
			return machine, true
		}
	}
	return 0, false
}

func (w *worker) beat() {
	for turn := 0; !w.silent.Load(); turn++ {
		w.announce(w.state.Load().(string), turn)
		select {
		case <-w.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// exit ends the worker.
func (w *worker) exit() {
	w.silent.Store(true)
	close(w.ended)
	w.server.Close()
}

// ran returns the requests that ran.
func (w *worker) ran() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == "/healthz" {
		out.Header().Set("Rosemaryproxy-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Rosemaryproxy-Attempt-Id")
	out.Header().Set("Rosemaryproxy-Attempt-Id", id)
	if expected := r.Header.Get("Rosemaryproxy-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{worker: w.id, id: id, method: r.Method, line: r.RequestURI, tenant: r.Header.Get("Rosemaryproxy-Tenant"), at: at})
	recent := int64(0)
	for i := len(w.arrivals) - 1; i >= 0 && at.Sub(w.arrivals[i].at) < time.Second; i-- {
		recent++
	}
	w.mu.Unlock()
	if limit := w.crashPerS.Load(); limit > 0 && recent > limit && at.Before(w.coldUntil) {
		w.crash.Do(func() {
			w.l.note("worker %s crashes under %d requests in one second", w.id, recent)
			w.exit()
		})
	}
	time.Sleep(w.workTime)
	out.Header().Set("Rosemaryproxy-Server-Seal", w.id+"."+id)
	answer := fmt.Sprintf("%s %s %d", id, r.RequestURI, len(body))
	out.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(out, answer)
}
