// Package prefix records which endpoints have read which prefixes of prompts, so that a request can go to
// one whose KV cache probably still holds a part of its prompt. The record is bounded, knows only what its
// entry has sent, and decides nothing: an expected saving is weighed against the load elsewhere. The package
// does no I/O, reads no clock and takes no lock; the caller serialises the calls.
package prefix

import (
	"container/list"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxChains bounds the chains of a record; the ones that were not read for the longest time are dropped.
	maxChains = 4096
	// maxHolders bounds the endpoints of a chain; the one that read it first is dropped.
	maxHolders = 4
	// maxSegments bounds the segments of a prompt that are recorded.
	maxSegments = 64
	// maxEndpoints bounds the endpoints whose tokens are counted. Without the count of its endpoint, a
	// recorded item counts no more.
	maxEndpoints = 4096
)

// Policy is what is known of the caches of the engines of a service.
type Policy struct {
	// Hold is for how long an engine keeps a prefix that is not read again.
	Hold time.Duration
	// Tokens is the capacity of its cache.
	Tokens int64
}

// Segment is a part of a prompt. Segments with the same ID have the same text.
type Segment struct {
	ID     string
	Tokens int
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	Name        string
	Incarnation uint64
}

// Record is the record of one entry.
type Record struct {
	// chains are the elements of byAge by the digest of their chain. The values of byAge are of type
	// *chain, the one that was read last first.
	chains map[uint64]*list.Element
	byAge  *list.List
	// endpoints counts what the newest incarnation of each endpoint has read.
	endpoints map[string]*reads
}

// reads counts the tokens that an incarnation has read.
type reads struct {
	incarnation uint64
	tokens      int64
	last        time.Time
}

// chain is a sequence of segments at the beginning of prompts, and the endpoints that have read it.
type chain struct {
	digest  uint64
	holders []holder
}

// holder is an endpoint that has read a chain at a time, when it had read readBefore tokens of prompts.
type holder struct {
	Endpoint
	at         time.Time
	readBefore int64
}

// New returns an empty record.
func New() *Record {
	return &Record{chains: map[uint64]*list.Element{}, byAge: list.New(), endpoints: map[string]*reads{}}
}

// Read records that an endpoint has read a prompt of so many tokens, which begins with the segments.
func (r *Record) Read(now time.Time, service string, e Endpoint, segments []Segment, promptTokens int) {
	counted := r.endpoints[e.Name]
	switch {
	case counted == nil || counted.incarnation < e.Incarnation:
		r.dropIdlestEndpoint()
		counted = &reads{incarnation: e.Incarnation}
		r.endpoints[e.Name] = counted
	case counted.incarnation > e.Incarnation:
		return // a late answer of an incarnation that has ended
	}
	counted.last = now
	// A prefix may be evicted for the later tokens of its own prompt as well.
	h := holder{Endpoint: e, at: now, readBefore: counted.tokens}
	counted.tokens += int64(promptTokens)
	eachPrefix(service, segments, promptTokens, func(digest uint64, _ int) { r.add(digest, h) })
}

// add records that an endpoint has read a chain.
func (r *Record) add(digest uint64, h holder) {
	element := r.chains[digest]
	if element == nil {
		if len(r.chains) >= maxChains {
			oldest := r.byAge.Back()
			delete(r.chains, r.byAge.Remove(oldest).(*chain).digest)
		}
		element = r.byAge.PushFront(&chain{digest: digest})
		r.chains[digest] = element
	}
	r.byAge.MoveToFront(element)
	c := element.Value.(*chain)
	c.holders = slices.DeleteFunc(c.holders, func(o holder) bool { return o.Name == h.Name })
	if len(c.holders) >= maxHolders {
		c.holders = slices.Delete(c.holders, 0, 1) // they are in the order in which they have read it
	}
	c.holders = append(c.holders, h)
}

// dropIdlestEndpoint makes room for the count of another endpoint.
func (r *Record) dropIdlestEndpoint() {
	if len(r.endpoints) < maxEndpoints {
		return
	}
	idlest := ""
	for name, counted := range r.endpoints {
		if idlest == "" || counted.last.Before(r.endpoints[idlest].last) {
			idlest = name
		}
	}
	delete(r.endpoints, idlest)
}

// Kept returns how many tokens of a prompt each endpoint is expected to hold. The argument incarnation
// returns the current incarnation of an endpoint, and false for one that is not known.
func (r *Record) Kept(now time.Time, service string, segments []Segment, promptTokens int, p Policy, incarnation func(name string) (uint64, bool)) map[string]int {
	var kept map[string]int
	eachPrefix(service, segments, promptTokens, func(digest uint64, tokens int) {
		element := r.chains[digest]
		if element == nil {
			return
		}
		for _, h := range element.Value.(*chain).holders {
			current, known := incarnation(h.Name)
			if !known || current != h.Incarnation {
				continue
			}
			if expected := int(float64(tokens) * r.weight(now, h, p)); expected > kept[h.Name] {
				if kept == nil {
					kept = map[string]int{}
				}
				kept[h.Name] = expected
			}
		}
	})
	return kept
}

// weight is the part of a chain that an endpoint is expected to hold still, from 0 to 1. It falls evenly
// with the age, because other entries, whose prompts are not known here, fill the cache too.
func (r *Record) weight(now time.Time, h holder, p Policy) float64 {
	counted := r.endpoints[h.Name]
	if counted == nil || counted.incarnation != h.Incarnation || h.readBefore > counted.tokens || counted.tokens-h.readBefore > p.Tokens || p.Hold <= 0 {
		return 0
	}
	age := max(0, now.Sub(h.at))
	return max(0, 1-float64(age)/float64(p.Hold))
}

// eachPrefix calls do for each chain at the beginning of the prompt, the shortest first, with its digest and its
// tokens. It ends at a segment without an ID or tokens, or beyond the prompt: what follows has no known place.
func eachPrefix(service string, segments []Segment, promptTokens int, do func(digest uint64, tokens int)) {
	digest, tokens := xxhash.New(), 0
	_, _ = digest.WriteString(service) // never fails
	for _, s := range segments[:min(len(segments), maxSegments)] {
		if s.ID == "" || s.Tokens <= 0 || s.Tokens > promptTokens-tokens {
			return
		}
		tokens += s.Tokens
		_, _ = digest.WriteString("," + s.ID + ":" + strconv.Itoa(s.Tokens))
		do(digest.Sum64(), tokens)
	}
}
