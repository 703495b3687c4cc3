package experiment

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// bench is the test bench of one run: it hosts the stand-ins.
type bench struct {
	endpoints []Endpoint
	// engines and workers are the stand-ins by endpoint name.
	engines map[string]*standin.Engine
	workers map[string]*standin.Worker
	// stops stop the stand-ins and their servers.
	stops []func()
	// port is the next port to listen on; 0 means that each listens on a free port.
	port int
}

// newBench starts all stand-ins of a scenario. If firstPort is not 0, they listen on
// consecutive loopback ports from firstPort on, in the order of the scenario.
func newBench(s *Scenario, firstPort int) (*bench, error) {
	b := &bench{engines: map[string]*standin.Engine{}, workers: map[string]*standin.Worker{}, port: firstPort}
	for _, g := range s.Engines {
		for i := range g.Count {
			e := Endpoint{Name: fmt.Sprintf("%s-%d", g.Name, i+1), Target: g.Engine.Model, ChecksFence: g.Engine.ChecksFence}
			if err := b.addEngine(s, e, g.Engine); err != nil {
				b.close()
				return nil, err
			}
		}
	}
	for _, g := range s.Workers {
		for i := range g.Count {
			e := Endpoint{Name: fmt.Sprintf("%s-%d", g.Name, i+1), Target: g.Name, IsService: true}
			if err := b.addWorker(s, e, g.Worker); err != nil {
				b.close()
				return nil, err
			}
		}
	}
	return b, nil
}

func (b *bench) addEngine(s *Scenario, e Endpoint, cfg standin.EngineConfig) error {
	cfg.Name = e.Name
	engine := standin.NewEngine(cfg, kernel.SystemClock{})
	b.engines[e.Name] = engine
	b.stops = append(b.stops, engine.Close)
	return b.serve(s, e, engine.Handler())
}

func (b *bench) addWorker(s *Scenario, e Endpoint, cfg standin.WorkerConfig) error {
	cfg.Name = e.Name
	cfg.Duration = settings.Duration(s.real(cfg.Duration.Std()))
	cfg.RestartDelay = settings.Duration(s.real(cfg.RestartDelay.Std()))
	worker := standin.NewWorker(cfg, kernel.SystemClock{})
	b.workers[e.Name] = worker
	b.stops = append(b.stops, worker.Close)
	return b.serve(s, e, worker.Handler())
}

// serve assigns an endpoint its zone, in turn, and its address, and serves h there.
func (b *bench) serve(s *Scenario, e Endpoint, h http.Handler) error {
	e.Zone = s.Zones[len(b.endpoints)%len(s.Zones)]
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(b.port))
	if b.port > 0 {
		b.port++
	}
	url, stop, err := standin.ServeAt(addr, h)
	if err != nil {
		return errors.Wrap(err, e.Name)
	}
	e.URL = url
	b.stops = append(b.stops, stop)
	b.endpoints = append(b.endpoints, e)
	return nil
}

func (b *bench) close() {
	for _, stop := range b.stops {
		stop()
	}
}

// env returns the environment in which a variant starts.
func (b *bench) env(s *Scenario, seed uint64, dir string) *Env {
	env := &Env{
		Seed:      seed,
		Dir:       dir,
		Region:    s.Region,
		Zones:     s.Zones,
		Endpoints: b.endpoints,
		Accounts:  s.Accounts,
		TimeScale: s.TimeScale,
	}
	for _, g := range s.Engines {
		if !slices.Contains(env.Models, g.Engine.Model) {
			env.Models = append(env.Models, g.Engine.Model)
		}
	}
	for _, g := range s.Workers {
		env.Services = append(env.Services, Service{Name: g.Name, AtMostOnce: s.atMostOnceCalls(g.Name)})
	}
	return env
}

// atMostOnceCalls returns the calls of a service that must not run twice.
func (s *Scenario) atMostOnceCalls(service string) []AtMostOnceCall {
	var calls []AtMostOnceCall
	for _, i := range s.Mix {
		if c := i.Call; c != nil && c.AtMostOnce && c.Service == service {
			calls = append(calls, AtMostOnceCall{Method: c.Method, Path: c.fixedPath()})
		}
	}
	return calls
}

// lastAdmitted returns when an engine of a zone last admitted a request.
func (b *bench) lastAdmitted(zone string) time.Time {
	var last time.Time
	for _, e := range b.endpoints {
		if e.Zone != zone || e.IsService {
			continue
		}
		if t := b.engines[e.Name].LastAdmitted(); t.After(last) {
			last = t
		}
	}
	return last
}

// executions returns by idempotency key how often all workers together have executed
// the call.
func (b *bench) executions() map[string]int {
	counts := map[string]int{}
	for _, w := range b.workers {
		for _, e := range w.Executions() {
			counts[e.Key] += e.Count
		}
	}
	return counts
}

// admittedCount returns how often engines have admitted the prompt with the digest.
func (b *bench) admittedCount(digest uint64) int {
	n := 0
	for _, e := range b.engines {
		n += e.AdmittedCount(digest)
	}
	return n
}

// executionLogOrNil returns the bench as an executionLog, or nil if it hosts no
// stand-ins.
func (b *bench) executionLogOrNil() executionLog {
	if len(b.endpoints) == 0 {
		return nil
	}
	return b
}

// leakedTokens returns the KV tokens that engines still hold. The caller ensures that
// no request runs.
func (b *bench) leakedTokens() int64 {
	var lost int64
	for _, e := range b.engines {
		lost += e.HeldTokens()
	}
	return lost
}
