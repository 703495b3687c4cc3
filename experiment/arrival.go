package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of the generated load.
type Arrival struct {
	// Due is when the request is to be sent, in model time from the part's start.
	Due time.Duration
	// Number counts the arrivals of the part, including those of items left out.
	Number  int
	Item    *Item
	Account *Account
	// PromptTokens and OutputTokens are the lengths of a prompt and of its answer, and
	// Document is the number of the text that the prompt begins with, from 1; 0 for
	// none. All are 0 for calls.
	PromptTokens int
	OutputTokens int
	Document     int
	// Entry is a random number that selects the entry (modulo the number of entries),
	// in place of the load balancer in front of a real deployment.
	Entry int
	// uniqueText is a text that no other request has.
	uniqueText string
}

// rate returns the arrival rate of a part, in requests per second of model time.
func (s *Scenario) rate(p *Part) float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	load := s.Load
	if p.Load > 0 {
		load = p.Load
	}
	return load * s.Capacity()
}

// Capacity returns how many requests of the mix all engines together can serve per
// second of model time. The scarcer of prefill and decode throughput limits it.
func (s *Scenario) Capacity() float64 {
	var prefill, decode float64
	for _, g := range s.Engines {
		n := float64(g.Count)
		batch := float64(g.Engine.MaxBatch)
		prefill += n * g.Engine.PrefillRate
		decode += n * batch * g.Engine.DecodeRate / (1 + g.Engine.BatchSlowdown*(batch-1))
	}
	var weight, prompt, output float64
	for _, i := range s.Mix {
		weight += i.Weight
		if i.Prompt != nil {
			prompt += i.Weight * i.Prompt.Tokens.mean() * s.TokenScale
			output += i.Weight * i.Prompt.Output.mean()
		}
	}
	return weight * min(prefill/prompt, decode/output)
}

// mean returns the mean of the log-uniform distribution over the span.
func (s Span) mean() float64 {
	if s.Max <= s.Min {
		return float64(s.Min)
	}
	return float64(s.Max-s.Min) / math.Log(float64(s.Max)/float64(s.Min))
}

// draw draws a value from the log-uniform distribution over the span.
func (s Span) draw(r *rand.Rand) int {
	if s.Max <= s.Min {
		return s.Min
	}
	low, high := math.Log(float64(s.Min)), math.Log(float64(s.Max))
	return int(math.Exp(low + r.Float64()*(high-low)))
}

// Arrivals returns the Poisson arrivals of a part for a seed. A part that leaves items
// out has the same arrivals of all other items as a part with them.
func (s *Scenario) Arrivals(p *Part, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 0x726f73656d617279))
	rate := s.rate(p)
	end := s.duration(p).Seconds()
	var list []Arrival
	at := r.ExpFloat64() / rate
	for n := 0; at < end; n++ {
		a := s.draw(r, n)
		a.Due = time.Duration(at * float64(time.Second))
		a.uniqueText = fmt.Sprintf("%s request %d-%d", a.Item.Name, seed, n)
		if !slices.Contains(p.Without, a.Item.Name) {
			list = append(list, a)
		}
		at += r.ExpFloat64() / rate
	}
	return list
}

// draw draws all properties of request n except its time.
func (s *Scenario) draw(r *rand.Rand, n int) Arrival {
	a := Arrival{Number: n, Entry: r.IntN(1 << 20)}
	a.Item = weighted(r, s.Mix, func(i *Item) float64 { return i.Weight })
	a.Account = weighted(r, s.Accounts, func(x *Account) float64 { return x.Weight })
	if p := a.Item.Prompt; p != nil {
		a.PromptTokens = max(1, int(float64(p.Tokens.draw(r))*s.TokenScale))
		a.OutputTokens = p.Output.draw(r)
		if p.Documents > 0 {
			a.Document = 1 + r.IntN(p.Documents)
		}
	}
	return a
}

// weighted draws an element of the list with a probability proportional to its weight.
func weighted[T any](r *rand.Rand, list []T, weight func(*T) float64) *T {
	var sum float64
	for i := range list {
		sum += weight(&list[i])
	}
	x := r.Float64() * sum
	for i := range list {
		x -= weight(&list[i])
		if x < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}
