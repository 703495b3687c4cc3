package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// ticket is memory that a worker has set aside.
type ticket struct {
	expires time.Time
	// tokens is the size of the memory, and since when it was set aside.
	tokens int64
	since  time.Time
	// used is set while a request uses it, and ended is when that was over, zero before.
	used  bool
	ended time.Time
}

// reportedTicket is a ticket as a report lists it.
type reportedTicket struct {
	Id     string
	Tokens int64
	State  string
	AgeMs  int64
}

// listTickets returns the tickets of the worker as its report lists them, as of now.
func (w *worker) listTickets() []byte {
	w.expireTickets()
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []reportedTicket{}
	for id, t := range w.tickets {
		state := "held"
		if t.used {
			state = "used"
		}
		list = append(list, reportedTicket{id, t.tokens, state, time.Since(t.since).Milliseconds()})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		w.l.note("worker %s: list tickets: %v", w.id, err)
	}
	return raw
}

// serveEngine answers orders and reports, which need no slot. It returns false for other requests.
func (w *worker) serveEngine(rw http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/api/report":
		rw.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Queued":0,"Active":0,"KvUsed":0,"KvTotal":232000,"CacheHandles":0,"pace":1.0,"born":%d,"Tickets":%s}`, w.born, w.listTickets())
	case "/api/order":
		var order struct {
			Operation, Id  string
			Tokens, HoldMs int64
		}
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return true
		}
		w.expireTickets()
		w.mu.Lock()
		switch order.Operation {
		case "reserve":
			if w.tickets[order.Id] == nil {
				w.tickets[order.Id] = &ticket{tokens: order.Tokens, since: time.Now()}
			}
			w.tickets[order.Id].expires = time.Now().Add(time.Duration(order.HoldMs) * time.Millisecond)
		case "release":
			w.endTicket(order.Id, time.Now())
		}
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"FreeCapacity":100000}`)
	default:
		return false
	}
	return true
}

// endTicket gives memory back at a time, and remembers for how long it was set aside without use. The caller holds w.mu.
func (w *worker) endTicket(id string, at time.Time) {
	t := w.tickets[id]
	if t == nil {
		return
	}
	if !t.ended.IsZero() {
		w.l.note("worker %s: ticket %s was set aside for %v after its request was over", w.id, id, at.Sub(t.ended).Round(time.Millisecond))
		w.longestLeak = max(w.longestLeak, at.Sub(t.ended))
	}
	delete(w.tickets, id)
}

// expireTickets gives back the memory whose time is over.
func (w *worker) expireTickets() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.tickets {
		if time.Now().After(t.expires) {
			w.endTicket(id, t.expires)
		}
	}
}

// helpersOf returns the addresses and tickets that a request lists.
func helpersOf(r *http.Request) map[string]string {
	out := map[string]string{}
	for part := range strings.SplitSeq(r.Header.Get("Rosemaryproxy-Helpers"), ",") {
		if addr, id, ok := strings.Cut(part, "/"); ok {
			out[addr] = id
		}
	}
	return out
}

// stream answers with events. A request whose answer is lost runs to its end, and nothing of its answer is sent.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	id, helpers := r.Header.Get("Rosemaryproxy-Attempt-Id"), helpersOf(r)
	lost := w.l.loseAnswer(len(helpers) > 0)
	w.l.note("worker %s: request %s begins, %d helpers with tickets, answer lost: %v", w.id, id, len(helpers), lost)
	w.l.beginUse(helpers)
	time.Sleep(w.work)
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Rosemaryproxy-Server-Seal", w.id+"."+id)
	for n := 1; n <= 3; n++ {
		time.Sleep(40 * time.Millisecond)
		if lost {
			continue
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(rw).Flush()
	}
	w.l.note("worker %s: request %s is over", w.id, id)
	w.l.endUse(helpers)
	if lost {
		<-r.Context().Done()
		w.l.note("worker %s: the connection of request %s is closed", w.id, id)
	}
}

// loseAnswer reports whether the answer to a request is lost: the first one with tickets.
func (l *lab) loseAnswer(tickets bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ticketsUsed = l.ticketsUsed || tickets
	if !l.trouble || !tickets || l.lost {
		return false
	}
	l.lost = true
	return true
}

// beginUse records that a request uses the tickets.
func (l *lab) beginUse(helpers map[string]string) {
	for _, w := range l.workers {
		w.mu.Lock()
		if t := w.tickets[helpers[w.addr]]; t != nil {
			t.used = true
		}
		w.mu.Unlock()
	}
}

// endUse records that the request that used the tickets is over.
func (l *lab) endUse(helpers map[string]string) {
	now := time.Now()
	for _, w := range l.workers {
		w.mu.Lock()
		if t := w.tickets[helpers[w.addr]]; t != nil {
			t.used, t.ended = false, now
		}
		w.mu.Unlock()
	}
}

// leakCase loses the answer to one long prompt at a worker that is sound otherwise. The rule LEAK is broken if the memory that was set
// aside for it stays so for longer than ReleaseMs after the request is over.
func leakCase(l *lab) (broken bool, err error) {
	const releaseTime = 4 * time.Second
	if err := l.addMachines(8); err != nil {
		return false, err
	}
	for range 18 {
		if _, err := l.addWorker(model, 250*time.Millisecond); err != nil {
			return false, err
		}
	}
	c := l.newClients()
	if err := l.boot(c, modelConfiguration(1), "/read/a"); err != nil {
		return false, err
	}
	// All machines have been in touch for a while. Entries have no share of the extra retries yet.
	time.Sleep(time.Second)
	c.tokens = "133000,80"
	status := c.get(l.machines[4], "/read/long", 15*time.Second)
	l.note("client: the long prompt was answered with status %d", status)
	l.mu.Lock()
	lost, used := l.lost, l.ticketsUsed
	l.mu.Unlock()
	if !used || lost != l.trouble {
		return false, fmt.Errorf("the long prompt used tickets: %v; its answer was lost: %v", used, lost)
	}
	time.Sleep(releaseTime)
	for _, w := range l.workers {
		w.expireTickets()
		w.mu.Lock()
		if w.longestLeak > releaseTime {
			l.note("LEAK: worker %s: memory stayed set aside for %v after its request was over", w.id, w.longestLeak.Round(time.Millisecond))
			broken = true
		}
		w.mu.Unlock()
	}
	return broken, nil
}
