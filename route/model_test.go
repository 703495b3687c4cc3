package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
)

var (
	modelSeeds  = flag.Int("model.seeds", 5, "seeds of the model's report")
	modelReport = flag.Bool("model.report", false, "print the model's report")
)

// world is one run of the model.
type world struct {
	q       *events
	nodes   map[string]*node
	order   []*node
	entries []*entry
	rng     *rand.Rand
	misses  int // dispatches refused because more waited than the entry knew
}

// setup says what a run consists of.
type setup struct {
	endpoints  int
	entries    int
	load       float64 // share of the endpoints' prefill capacity
	policy     string
	drr        bool
	cold       bool
	without    bool // without long prompts
	seconds    float64
	seed       uint64
	falls      float64 // seconds from one fall of an endpoint to the next; 0 is none
	ungated    bool    // the sidecars neither reserve nor ramp
	priorities bool    // engines prefill shorter classes first
}

func newChooser(policy string, seed uint64) route.Chooser {
	switch policy {
	case "random":
		return route.NewRandom(seed)
	case "round_robin":
		return &route.RoundRobin{}
	case "least_requests":
		return route.NewLeastRequests(seed)
	case "two_choices":
		return route.NewTwoChoices(seed)
	}
	return route.NewPredicted(seed)
}

func newWorld(s setup) *world {
	w := &world{q: &events{}, nodes: map[string]*node{}, rng: rand.New(rand.NewPCG(s.seed, 1))}
	for i := range s.endpoints {
		n := newNode(w.q, fmt.Sprintf("endpoint-%03d", i), fmt.Sprint("zone-", i%3), s.cold)
		n.gate = !s.ungated
		n.priorities = s.priorities
		w.nodes[n.info.Name] = n
		w.order = append(w.order, n)
	}
	for i := range s.entries {
		e := &entry{w: w, name: fmt.Sprint("entry-", i), zone: fmt.Sprint("zone-", i%3)}
		e.table = route.NewTable()
		e.chooser = newChooser(s.policy, s.seed*1000+uint64(i))
		e.waiting = queue.NewFIFO(4096)
		if s.drr {
			e.waiting = queue.NewDRR(queue.DefaultSettings())
		}
		e.admit = admit.NewDeadlineController()
		e.budget = route.NewRetryBudget()
		w.entries = append(w.entries, e)
	}
	for _, n := range w.order {
		w.announce(n)
	}
	return w
}

// announce sends an endpoint's load to every entry, now and every second from then on.
func (w *world) announce(n *node) {
	n.report()
	info := n.info
	info.Load = n.load()
	taken := at(w.q.now)
	delay := reportDelay * (1 + w.rng.Float64()/2)
	if taken == epoch {
		delay = 0
	}
	w.q.after(delay, func() {
		for _, e := range w.entries {
			known, ok := e.table.Get(info.Name)
			if !ok || info.Incarnation > known.Incarnation {
				e.table.Upsert(taken, info)
			}
			e.table.SetLoad(info.Name, info.Load, taken)
		}
	})
	w.q.after(reportEvery*(0.9+0.2*w.rng.Float64()), func() { w.announce(n) })
}

// run plays the setup and returns its requests.
func run(s setup) result {
	w := newWorld(s)
	m := mix{long: 0.02, end: s.seconds, without: s.without}
	m.rate = s.load * float64(s.endpoints) * fullRate / m.meanPrompt()
	all := m.draw(s.seed)
	for i, r := range all {
		e := w.entries[(i*7+int(s.seed))%len(w.entries)]
		w.q.after(r.arrived, func() { e.arrive(r) })
	}
	for n := 1; s.falls > 0 && float64(n)*s.falls < s.seconds; n++ {
		w.q.after(float64(n)*s.falls, w.order[n%len(w.order)].crash)
	}
	w.q.run(s.seconds)
	res := newResult(s, all)
	res.misses = w.misses
	for _, n := range w.order {
		res.crashes += n.crashes
	}
	return res
}

// result is what a run measured.
type result struct {
	setup   setup
	first   [route.NumClasses][]float64 // times to first token, sorted
	arrived [route.NumClasses]int
	refused [route.NumClasses]int
	good    [route.NumClasses]float64 // prompt tokens of requests finished in time, a second
	recent  float64                   // the same over the second half of the run
	missed  int
	crashes int
	misses  int
}

// warmup is the time at the start of a run that is not measured, in seconds.
const warmup = 30

func newResult(s setup, all []*request) result {
	res := result{setup: s}
	for _, r := range all {
		if r.arrived < warmup {
			continue
		}
		res.arrived[r.class]++
		switch {
		case r.answer != "":
			res.refused[r.class]++
			continue
		case r.deadline < s.seconds && (r.done == 0 || r.done > r.deadline):
			res.missed++
		case r.done > 0:
			res.good[r.class] += float64(r.prompt) / (s.seconds - warmup)
			if r.done > s.seconds/2 {
				res.recent += float64(r.prompt) / (s.seconds / 2)
			}
		}
		if r.first > 0 {
			res.first[r.class] = append(res.first[r.class], r.first-r.arrived)
		}
	}
	for c := range res.first {
		slices.Sort(res.first[c])
	}
	return res
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (r result) goodput() float64 { return r.good[0] + r.good[1] + r.good[2] }
