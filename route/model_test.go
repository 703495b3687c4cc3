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
	modelSeeds  = flag.Int("model.seeds", 5, "number of seeds in the report of the simulation")
	modelReport = flag.Bool("model.report", false, "print the report of the simulation")
)

// simulation is the state of one run.
type simulation struct {
	q               *eventQueue
	byName          map[string]*modelEndpoint
	endpointList    []*modelEndpoint
	entries         []*entry
	rng             *rand.Rand
	backlogRefusals int // dispatches refused because more tokens were pending than MaxPending
}

// scenario holds the parameters of a run.
type scenario struct {
	endpoints   int
	entries     int
	load        float64 // offered load relative to the endpoints' prefill capacity
	policy      string
	drr         bool // deficit round robin queue instead of FIFO
	cold        bool // all endpoints start cold
	withoutLong bool // without long prompts
	seconds     float64
	seed        uint64
	crashEvery  float64 // seconds between injected crashes of an endpoint; 0 is none
	unlimited   bool    // the sidecars apply neither reservations nor slow start
	priorities  bool    // the engines prefill shorter classes first
}

// newChooser returns the chooser of a policy.
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

// newSimulation returns the simulation of a scenario before its first request.
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

// announce reports an endpoint's load to all entries, now and about every second after.
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

// run simulates the scenario and returns its measurements.
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

// result holds the measurements of a run.
type result struct {
	scenario        scenario
	first           [route.NumClasses][]float64 // times to first token in seconds, sorted
	arrived         [route.NumClasses]int
	refused         [route.NumClasses]int
	goodputByClass  [route.NumClasses]float64 // prompt tokens per second of requests finished in time
	secondHalf      float64                   // prompt tokens per second of those in the second half of the run
	deadlineMisses  int
	crashes         int
	backlogRefusals int
}

// warmup is the time at the start of a run that is excluded from the measurements, in
// seconds.
const warmup = 30

// newResult evaluates the requests of a finished run.
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

// quantile returns the quantile q of sorted values, or 0 without values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// goodput returns the prompt tokens per second of all requests finished in time.
func (r result) goodput() float64 {
	return r.goodputByClass[0] + r.goodputByClass[1] + r.goodputByClass[2]
}
