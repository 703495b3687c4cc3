package schedule

import (
	"testing"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var t0 = time.Unix(1_800_000_000, 0)

// shortRequest returns a request with a short prompt.
func shortRequest(now time.Time, id uint64) Request {
	r := &assign.Request{Service: "scribe", PromptTokens: 3_000, OutputTokens: 300, EventGapTarget: 250 * time.Millisecond, Due: now.Add(modelTarget), Engine: &costmodel.Engine{
		Slots: modelSlots, MemoryTokens: 232_000, StepTime: 1020 * time.Microsecond, PrefillTokensPerSecond: 206_000,
		TimePerMegapair: 138 * time.Microsecond, Chunk: 2048, Stride: 43,
	}}
	return Request{Request: r, BookingID: id, Account: "a", Arrived: now, StartBy: r.StartBy(1), GiveUpAt: now.Add(modelTimeout / 2), Deadline: now.Add(modelTimeout)}
}

// full is one entry with one endpoint, all of whose slots are taken.
type full struct {
	*Scheduler
	fleet  *assign.Fleet
	lastID uint64
}

const blockers = 1 << 32 // the IDs of the bookings that take the slots begin here

func newFull() *full {
	f := assign.NewFleet()
	f.Update(assign.Endpoint{Name: "engine", Service: "scribe", Addr: "10.0.0.1:80", Slots: modelSlots, Incarnation: 1})
	for i := range uint64(modelSlots) {
		f.Place(t0, "", blockers+i, &assign.Booking{Primary: assign.Part{Endpoint: "engine"}, Short: true})
		f.MarkAnswered("", blockers+i)
	}
	return &full{Scheduler: New(f), fleet: f}
}

// offer offers a short request at a time after t0, with change applied, and returns it with its outcomes.
func (f *full) offer(at time.Duration, change func(*Request)) (*Request, []Outcome) {
	f.lastID++
	r := shortRequest(t0.Add(at), f.lastID)
	if change != nil {
		change(&r)
	}
	return &r, f.Offer(t0.Add(at), &r)
}

// poll polls every 10 ms in a span of time, and returns the outcomes.
func (f *full) poll(from, to time.Duration) (out []Outcome) {
	for at := from; at < to; at += pollEvery {
		out = append(out, f.Poll(t0.Add(at))...)
	}
	return out
}

// overload has requests wait for longer than their target.
func (f *full) overload(t *testing.T) {
	t.Helper()
	r, _ := f.offer(0, nil)
	out := f.poll(0, modelTarget+pollEvery)
	if len(out) != 1 || out[0].Request != r || !verdict.IsReason(out[0].Err, verdict.ReasonOverloaded) {
		t.Fatalf("outcomes of a request that waits for its target: %+v", out)
	}
}

// A refusal without the verdict "not run", or without a time to return, had callers repeat at once or not at all.
func TestOverloadRefusesWithVerdictAndTimeToReturn(t *testing.T) {
	f := newFull()
	f.overload(t)
	const at = modelTarget + pollEvery
	_, out := f.offer(at, nil)
	out = append(out, f.poll(at, at+overloadWait)...)
	if len(out) != 0 {
		t.Fatalf("outcomes before two claim slots: %+v", out)
	}
	out = f.poll(at+overloadWait, at+overloadWait+pollEvery)
	if len(out) != 1 {
		t.Fatalf("outcomes after two claim slots: %+v", out)
	}
	v := verdict.From(out[0].Err)
	left := modelTimeout - overloadWait
	if v.Verdict != verdict.NotRun || v.Reason != verdict.ReasonOverloaded || v.RetryAfter < left/5 || v.RetryAfter > left/3 {
		t.Errorf("refusal %v, Retry-After %v with %v left", v, v.RetryAfter, left)
	}
}

// A pause of endpoints for a moment had the requests refused that would have been served a moment later.
func TestShortDisturbanceRefusesNobody(t *testing.T) {
	const offered, pause = 6, 100 * time.Millisecond
	f := newFull()
	var out []Outcome
	for i := range time.Duration(offered) {
		_, now := f.offer(i*pollEvery, nil)
		out = append(out, now...)
	}
	out = append(out, f.poll(offered*pollEvery, pause)...)
	for i := range uint64(modelSlots) {
		f.fleet.EndBooking("", blockers+i, false)
	}
	out = append(out, f.poll(pause, modelTarget)...)
	for _, o := range out {
		if o.Err != nil {
			t.Errorf("refused: %v", o.Err)
		}
	}
	if len(out) != offered {
		t.Errorf("%d of %d requests are served", len(out), offered)
	}
}

// Outside of an overload, requests past their target were refused although a slot became free.
func TestLateRequestIsServedWithoutAnOverload(t *testing.T) {
	f := newFull()
	r, out := f.offer(0, func(r *Request) {
		r.Arrived, r.StartBy = t0.Add(-time.Second), t0.Add(-700*time.Millisecond)
		r.Due = t0.Add(-600 * time.Millisecond)
	})
	out = append(out, f.poll(0, 100*time.Millisecond)...)
	f.fleet.EndBooking("", blockers, false)
	out = append(out, f.poll(100*time.Millisecond, 150*time.Millisecond)...)
	if len(out) != 1 || out[0].Request != r || out[0].Err != nil {
		t.Errorf("outcomes of a late request: %+v", out)
	}
}

// Streams broke off, and callers without a target were refused, in an overload of others.
func TestOverloadSparesRequests(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"begun stream":   func(r *Request) { r.Begun = true },
		"without target": func(r *Request) { r.Due, r.StartBy = time.Time{}, r.Arrived },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFull()
			f.overload(t)
			from := modelTarget + pollEvery
			spared, out := f.offer(from, change)
			for at := from; at < from+2*time.Second; at += 50 * time.Millisecond {
				_, now := f.offer(at, nil)
				out = append(append(out, now...), f.poll(at, at+50*time.Millisecond)...)
			}
			for _, o := range out {
				if o.Request == spared {
					t.Errorf("outcome: %v", o.Err)
				}
			}
			if len(out) < 30 {
				t.Errorf("%d others are refused", len(out))
			}
			f.fleet.EndBooking("", blockers, false)
			out = f.poll(from+2*time.Second, from+2200*time.Millisecond)
			if len(out) == 0 || out[len(out)-1].Request != spared && out[0].Request != spared {
				t.Errorf("outcomes once a slot is free: %+v", out)
			}
		})
	}
}

// An overload of engines refused requests to a plain service, which have no targets.
func TestOverloadSparesPlainServices(t *testing.T) {
	f := newFull()
	f.overload(t)
	f.fleet.Update(assign.Endpoint{Name: "plain", Service: "files", Addr: "10.0.0.2:80", Slots: 1, Incarnation: 1})
	for range 10 {
		_, out := f.offer(modelTarget+pollEvery, func(r *Request) { r.Request = &assign.Request{Service: "files", Due: r.Due} })
		if len(out) != 1 || out[0].Err != nil {
			t.Errorf("outcome: %+v", out)
		}
	}
	if s := f.of("files"); s.overload.lasts(t0.Add(modelTarget + pollEvery)) {
		t.Error("a plain service counts as overloaded")
	}
}

// A waiting request without a target, as the first of the queue, ended the overload, so that the requests behind it waited.
func TestRequestWithoutTargetDoesNotEndAnOverload(t *testing.T) {
	f := newFull()
	f.overload(t)
	at := modelTarget + pollEvery
	f.offer(at, func(r *Request) { r.Due, r.StartBy, r.GiveUpAt = time.Time{}, r.Arrived, r.Arrived.Add(3*time.Second) })
	out := f.poll(at, at+pollEvery)
	f.offer(at+pollEvery, nil)
	if out = append(out, f.poll(at+pollEvery, at+100*time.Millisecond)...); len(out) != 1 {
		t.Errorf("outcomes within 100 ms: %+v", out)
	}
}

// An overload of one cell refused requests for good that were to look for room in another one.
func TestRequestYieldsInAnOverload(t *testing.T) {
	f := newFull()
	f.overload(t)
	at, wait := modelTarget+pollEvery, 300*time.Millisecond
	r, out := f.offer(at, func(r *Request) { r.YieldAt = r.Arrived.Add(wait) })
	if out = append(out, f.poll(at, at+wait)...); len(out) != 0 {
		t.Fatalf("outcomes before the request yields: %v", out[0].Err)
	}
	out = f.poll(at+wait, at+wait+2*pollEvery)
	if len(out) != 1 || out[0].Request != r || !verdict.IsReason(out[0].Err, verdict.ReasonDeadline) {
		t.Errorf("outcomes when the request yields: %+v", out)
	}
}

// A queue that refusals or callers who left had emptied counted as one in which requests waited until the next one
// came, which was then refused as in an overload, however much later.
func TestEmptyQueueEndsTheWaitWithoutABreak(t *testing.T) {
	const later = time.Minute
	for name, empty := range map[string]func(f *full){
		"refused":   func(f *full) { f.overload(t) },
		"withdrawn": func(f *full) { r, _ := f.offer(0, nil); f.Withdraw(r) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFull()
			empty(f)
			_, out := f.offer(later, nil)
			out = append(out, f.poll(later, later+200*time.Millisecond)...)
			f.fleet.EndBooking("", blockers, false)
			out = append(out, f.poll(later+200*time.Millisecond, later+250*time.Millisecond)...)
			if len(out) != 1 || out[0].Err != nil {
				t.Errorf("outcomes of a request a minute later: %+v", out)
			}
		})
	}
}
