package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// run steps the engine while it knows any request.
func (e *Engine) run() {
	for {
		wait := e.clock.After(e.cfg.Step.Std())
		if e.idle() {
			wait = nil
		}
		select {
		case <-e.closed:
			return
		case <-e.wake:
		case <-wait:
		}
		e.step(e.clock.Now())
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests) == 0
}

// step advances every request by the time since the last step.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	elapsed := now.Sub(e.lastStep).Seconds()
	e.lastStep = now
	e.expire(now)
	if elapsed <= 0 || len(e.requests) == 0 || e.faults.stopped() || now.Before(e.downUntil) {
		return
	}
	batch := e.batch()
	if slices.ContainsFunc(batch, func(r *request) bool { return r.crashes }) {
		e.crash(now)
		return
	}
	rates := e.rates(now, batch)
	e.prefill(now, batch, rates.prefill*elapsed)
	e.decode(batch, rates.decode*elapsed)
	e.sampleLoad(now)
	e.checkMemory(now)
}

// expire forgets requests that their readers left too long ago.
func (e *Engine) expire(now time.Time) {
	window := e.cfg.scaled(e.cfg.ResumeWindow)
	for _, r := range e.requests {
		if r.detached && now.Sub(r.detachedAt) >= window {
			e.end(r, aborted)
			e.remove(r)
		}
	}
}

// batch returns the running requests after filling free places from the
// waiting ones, by priority and then by arrival.
func (e *Engine) batch() []*request {
	live := make([]*request, 0, len(e.requests))
	for _, r := range e.requests {
		if !r.ended() {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b *request) int {
		return cmp.Or(
			cmp.Compare(b.phase, a.phase),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.seq, b.seq),
		)
	})
	live = live[:min(len(live), e.cfg.MaxBatch)]
	for _, r := range live {
		if r.phase == waiting {
			e.startPrefill(r)
		}
	}
	return live
}

// startPrefill begins to process a prompt, less what the prefix cache holds of it.
func (e *Engine) startPrefill(r *request) {
	r.phase = prefilling
	r.remainingPrefill -= e.cache.hitShare(r.blocks) * float64(r.promptTokens)
}

// rates are speeds in tokens a second of real time.
type rates struct {
	prefill float64
	decode  float64
}

// rates returns the engine's whole prefill speed and each request's decode speed.
func (e *Engine) rates(now time.Time, batch []*request) rates {
	speed := e.cfg.TimeScale * e.capacityShare(now) / e.faults.slowdown
	decode := e.cfg.DecodeRate / (1 + e.cfg.BatchSlowdown*float64(max(len(batch)-1, 0)))
	if slices.ContainsFunc(batch, func(r *request) bool { return r.phase == prefilling }) {
		decode *= 1 - e.cfg.PrefillInterference
	}
	return rates{prefill: speed * e.cfg.PrefillRate, decode: speed * decode}
}

// prefill gives a budget of tokens to the prompts of the lowest priority number
// first, and within one priority in the engine's order.
func (e *Engine) prefill(now time.Time, batch []*request, budget float64) {
	prompts := slices.DeleteFunc(slices.Clone(batch), func(r *request) bool { return r.phase != prefilling })
	arrival := e.cfg.PrefillOrder == prefillArrival
	slices.SortFunc(prompts, func(a, b *request) int {
		if arrival || a.remainingPrefill == b.remainingPrefill {
			return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
		}
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.remainingPrefill, b.remainingPrefill))
	})
	for i, r := range prompts {
		sharers := 1
		for !arrival && i+sharers < len(prompts) && prompts[i+sharers].priority == r.priority {
			sharers++
		}
		part := min(r.remainingPrefill, budget/float64(sharers))
		r.remainingPrefill -= part
		budget -= part
		if r.remainingPrefill <= 0 {
			e.finishPrefill(now, r)
		}
	}
}

// finishPrefill moves a request on to decoding and caches its prompt.
func (e *Engine) finishPrefill(now time.Time, r *request) {
	r.phase = decoding
	entry := &cachedPrefix{prefix: r.blocks[0], blocks: r.blocks, tokens: r.promptTokens}
	if entry.tokens > e.cfg.CacheTokens {
		return
	}
	e.cache.put(entry)
	e.events.add(now, e.faults.eventLossShare, engine.CacheEvent{Kind: "stored", Prefix: entry.prefix, Tokens: entry.tokens})
}

// decode gives each decoding request up to tokens more output.
func (e *Engine) decode(batch []*request, tokens float64) {
	for _, r := range batch {
		if r.phase != decoding {
			continue
		}
		before := r.held()
		r.decoded = min(r.decoded+tokens, float64(r.answer.tokens))
		e.held += r.held() - before
		r.signal()
		if r.generated() >= r.answer.tokens {
			e.end(r, finished)
		}
	}
}
