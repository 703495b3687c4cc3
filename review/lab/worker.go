package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a worker ran.
type arrival struct {
	at time.Time
	id string
}

// worker is a stand-in of a worker of a plain service.
type worker struct {
	l                 *lab
	id, service, zone string
	addr              string
	born              int64
	// work is the time that a request takes.
	work time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	sequence int
	// turn is the index of the machine that gets the next call.
	turn int
	// left is set once the worker has said that it is gone; it sends no more heartbeats.
	left     bool
	server   *http.Server
	arrivals []arrival
	// beats are the machines that have acknowledged a heartbeat, by the time of the latest one.
	beats map[string]time.Time
	// tickets is the memory that is set aside, and longestLeak for how long some was without use.
	tickets     map[string]*ticket
	longestLeak time.Duration
}

// addWorker starts a worker, which sends heartbeats from now on.
func (l *lab) addWorker(service string, work time.Duration) (*worker, error) {
	i := len(l.workers)
	w := &worker{
		l: l, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zones[i%len(zones)],
		addr: fmt.Sprintf("%s%d:%d", l.network, 101+i, portWorker), born: time.Now().UnixMilli(), work: work, turn: i, beats: map[string]time.Time{}, tickets: map[string]*ticket{},
	}
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, fmt.Errorf("listen for worker: %w", err)
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	l.workers = append(l.workers, w)
	go w.beatLoop()
	return w, nil
}

// end ends the worker's process.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	_ = w.server.Close()
}

func (w *worker) beatLoop() {
	for {
		w.mu.Lock()
		left := w.left
		w.mu.Unlock()
		if left {
			return
		}
		w.beat()
		time.Sleep(heartbeatTime)
	}
}

// beat sends one heartbeat to the node whose turn it is, and to the next ones until one acknowledges it.
func (w *worker) beat() {
	for range zones {
		w.mu.Lock()
		if w.left {
			w.mu.Unlock()
			return
		}
		w.sequence++
		m := w.nextNode()
		body := map[string]any{
			"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 64, "State": "ready", "WarmupLeftMs": 0,
			"Sequence": w.sequence, "born": w.born,
		}
		w.mu.Unlock()
		status, _, _ := w.l.call(http.MethodPut, m, "/api/instances/"+w.id, body)
		if status == http.StatusOK {
			w.mu.Lock()
			w.beats[m.name] = time.Now()
			w.mu.Unlock()
			return
		}
	}
}

// nextNode returns the machine with control whose turn it is. The caller holds w.mu.
func (w *worker) nextNode() *machine {
	w.turn++
	return w.l.machines[w.turn%len(zones)]
}

// leave sends DELETE until a node acknowledges it, and returns that node. The worker goes on serving.
func (w *worker) leave() (*machine, error) {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	for range 2 * len(zones) {
		w.mu.Lock()
		m := w.nextNode()
		w.mu.Unlock()
		status, _, _ := w.l.call(http.MethodDelete, m, "/api/instances/"+w.id, map[string]any{"born": w.born})
		w.l.note("worker %s: DELETE to %s: status %d", w.id, m.name, status)
		if status == http.StatusOK {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no node has acknowledged that worker %s leaves", w.id)
}

// serve runs a request that is meant for this worker.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	left := w.left
	w.mu.Unlock()
	h := rw.Header()
	if left {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Rosemaryproxy-Instance-Id", w.id)
		if left {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if w.service == model && w.serveEngine(rw, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Rosemaryproxy-Attempt-Id")
	h.Set("Rosemaryproxy-Attempt-Id", id)
	if expected := r.Header.Get("Rosemaryproxy-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), id})
	w.mu.Unlock()
	w.l.note("worker %s of %s in %s: runs request %s", w.id, w.service, w.zone, id)
	if w.service == model {
		w.stream(rw, r)
		return
	}
	time.Sleep(w.work)
	h.Set("Rosemaryproxy-Server-Seal", w.id+"."+id)
	_, _ = fmt.Fprintf(rw, "%s ran %s with %d bytes", w.id, id, len(body))
}

// arrivalsAfter returns the requests that arrived after a time.
func (w *worker) arrivalsAfter(t time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}
