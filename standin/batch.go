package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// run is the engine's scheduling loop: it steps the engine every cfg.Step while
// there are requests, until the engine is closed.
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

// step advances the running requests by the time since the last step.
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

// expire aborts and removes requests whose readers disconnected longer than
// ResumeWindow ago. The caller holds e.mu.
func (e *Engine) expire(now time.Time) {
	window := e.cfg.scaled(e.cfg.ResumeWindow)
	for _, r := range e.requests {
		if r.detached && now.Sub(r.detachedAt) >= window {
			e.end(r, aborted)
			e.remove(r)
		}
	}
}

// batch returns the running requests, at most cfg.MaxBatch of them. It first fills
// free places with waiting requests, by priority and then by order of arrival. The
// caller holds e.mu.
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

// startPrefill starts prefill of r. The part of the prompt that is in the prefix
// cache needs no prefill.
func (e *Engine) startPrefill(r *request) {
	r.phase = prefilling
	r.remainingPrefill -= e.cache.hitShare(r.blocks) * float64(r.promptTokens)
}

// rates are token rates in tokens per second of real time.
type rates struct {
	// prefill is shared by all prompts of the batch.
	prefill float64
	// decode is the rate of each request.
	decode float64
}

// rates returns the engine's present token rates for a batch.
func (e *Engine) rates(now time.Time, batch []*request) rates {
	speed := e.cfg.TimeScale * e.capacityShare(now) / e.faults.slowdown
	decode := e.cfg.DecodeRate / (1 + e.cfg.BatchSlowdown*float64(max(len(batch)-1, 0)))
	if slices.ContainsFunc(batch, func(r *request) bool { return r.phase == prefilling }) {
		decode *= 1 - e.cfg.PrefillInterference
	}
	return rates{prefill: speed * e.cfg.PrefillRate, decode: speed * decode}
}

// prefill divides a budget of tokens among the prompts of the batch. Prompts with
// the lowest priority number come first. Prompts of one priority share the budget
// equally, or are served in order of arrival, as cfg.PrefillOrder says.
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

// finishPrefill moves a request to the decoding phase and caches its prompt, unless
// the prompt is larger than the prefix cache.
func (e *Engine) finishPrefill(now time.Time, r *request) {
	r.phase = decoding
	entry := &cachedPrefix{prefix: r.blocks[0], blocks: r.blocks, tokens: r.promptTokens}
	if entry.tokens > e.cfg.CacheTokens {
		return
	}
	e.cache.put(entry)
	e.events.add(now, e.faults.eventLossShare, engine.CacheEvent{Kind: "stored", Prefix: entry.prefix, Tokens: entry.tokens})
}

// decode adds up to tokens output tokens, which may be a fraction, to each decoding
// request, and ends the requests whose output is complete.
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
