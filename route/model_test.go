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
type simulation struct {
	q               *eventQueue
	byName          map[string]*modelEndpoint
	endpointList    []*modelEndpoint
	entries         []*entry
	rng             *rand.Rand
	backlogRefusals int // dispatches refused because more waited than the entry knew
}

// setup says what a run consists of.
type scenario struct {
	endpoints   int
	entries     int
	load        float64 // share of the endpoints' prefill capacity
	policy      string
	drr         bool
	cold        bool
	withoutLong bool // without long prompts
	seconds     float64
	seed        uint64
	crashEvery  float64 // seconds from one fall of an endpoint to the next; 0 is none
	unlimited   bool    // the sidecars neither reserve nor ramp
	priorities  bool    // engines prefill shorter classes first
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

func newSimulation(s scenario) *simulation {
	sim := &simulation{q: &eventQueue{}, byName: map[string]*modelEndpoint{}, rng: rand.New(rand.NewPCG(s.seed, 1))}
	for i := range s.endpoints {
		n := newModelEndpoint(sim.q, fmt.Sprintf("endpoint-%03d", i), fmt.Sprint("zone-", i%3), s.cold)
		n.limited = !s.unlimited
		n.priorities = s.priorities
		sim.byName[n.info.Name] = n
		sim.endpointList = append(sim.endpointList, n)
	}
	for i := range s.entries {
		e := &entry{sim: sim, name: fmt.Sprint("entry-", i), zone: fmt.Sprint("zone-", i%3)}
		e.table = route.NewTable()
		e.chooser = newChooser(s.policy, s.seed*1000+uint64(i))
		e.waiting = queue.NewFIFO(4096)
		if s.drr {
			e.waiting = queue.NewDRR(queue.DefaultSettings())
		}
		e.admit = admit.NewDeadlineController()
		e.budget = route.NewRetryBudget()
		sim.entries = append(sim.entries, e)
	}
	for _, n := range sim.endpointList {
		sim.announce(n)
	}
	return sim
}

// announce sends an endpoint's load to every entry, now and every second from then on.
func (sim *simulation) announce(n *modelEndpoint) {
	n.report()
	info := n.info
	info.Load = n.load()
	taken := at(sim.q.now)
	delay := reportDelay * (1 + sim.rng.Float64()/2)
	if taken == epoch {
		delay = 0
	}
	sim.q.after(delay, func() {
		for _, e := range sim.entries {
			known, ok := e.table.Get(info.Name)
			if !ok || info.Incarnation > known.Incarnation {
				e.table.Upsert(taken, info)
			}
			e.table.SetLoad(info.Name, info.Load, taken)
		}
	})
	sim.q.after(reportInterval*(0.9+0.2*sim.rng.Float64()), func() { sim.announce(n) })
}

// run plays the setup and returns its requests.
func run(s scenario) result {
	sim := newSimulation(s)
	m := workload{long: 0.02, end: s.seconds, withoutLong: s.withoutLong}
	m.rate = s.load * float64(s.endpoints) * fullPrefillRate / m.meanPrompt()
	all := m.draw(s.seed)
	for i, r := range all {
		e := sim.entries[(i*7+int(s.seed))%len(sim.entries)]
		sim.q.after(r.arrived, func() { e.arrive(r) })
	}
	for n := 1; s.crashEvery > 0 && float64(n)*s.crashEvery < s.seconds; n++ {
		sim.q.after(float64(n)*s.crashEvery, sim.endpointList[n%len(sim.endpointList)].crash)
	}
	sim.q.run(s.seconds)
	res := newResult(s, all)
	res.backlogRefusals = sim.backlogRefusals
	for _, n := range sim.endpointList {
		res.crashes += n.crashes
	}
	return res
}

// result is what a run measured.
type result struct {
	scenario        scenario
	first           [route.NumClasses][]float64 // times to first token, sorted
	arrived         [route.NumClasses]int
	refused         [route.NumClasses]int
	goodputByClass  [route.NumClasses]float64 // prompt tokens of requests finished in time, a second
	secondHalf      float64                   // the same over the second half of the run
	deadlineMisses  int
	crashes         int
	backlogRefusals int
}

// warmup is the time at the start of a run that is not measured, in seconds.
const warmup = 30

func newResult(s scenario, all []*request) result {
	res := result{scenario: s}
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
			res.deadlineMisses++
		case r.done > 0:
			res.goodputByClass[r.class] += float64(r.prompt) / (s.seconds - warmup)
			if r.done > s.seconds/2 {
				res.secondHalf += float64(r.prompt) / (s.seconds / 2)
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

func (r result) goodput() float64 {
	return r.goodputByClass[0] + r.goodputByClass[1] + r.goodputByClass[2]
}
