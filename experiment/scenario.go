package experiment

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// Scenario describes an experiment. It is read from a JSON file.
type Scenario struct {
	Name   string `json:"name" validate:"required"`
	Region string `json:"region" validate:"required"`
	// Zones are the availability zones, to which stand-ins are assigned in turn.
	Zones []string `json:"zones" validate:"min=1"`
	// TimeScale is how many seconds of model time pass in a second of real time.
	TimeScale float64 `json:"time_scale" validate:"gt=0"`
	// TokenScale multiplies prompt lengths, engine memory and prefill speed.
	TokenScale float64 `json:"token_scale" validate:"gt=0"`
	// Duration is how long requests arrive in each part.
	Duration settings.Duration `json:"duration" validate:"gt=0"`
	// WarmUp is the time at the start of each part that histograms leave out.
	WarmUp settings.Duration `json:"warm_up"`
	// Deadline is the deadline of requests whose item has none.
	Deadline settings.Duration `json:"deadline" validate:"gt=0"`
	// Load is the arrival rate as a fraction of Capacity.
	Load float64 `json:"load" validate:"min=0"`
	// Rate is the arrival rate in requests per second of model time. If it is set, Load
	// is ignored.
	Rate     float64       `json:"rate" validate:"min=0"`
	Engines  []EngineGroup `json:"engines" validate:"dive"`
	Workers  []WorkerGroup `json:"workers" validate:"dive"`
	Accounts []Account     `json:"accounts" validate:"min=1,dive"`
	Mix      []Item        `json:"mix" validate:"min=1,dive"`
	Parts    []Part        `json:"parts" validate:"min=1,dive"`
}

// EngineGroup is a group of engines with the same configuration.
type EngineGroup struct {
	// Name is the prefix of the engines' names.
	Name   string               `json:"name" validate:"required"`
	Count  int                  `json:"count" validate:"min=1"`
	Engine standin.EngineConfig `json:"engine"`
}

// WorkerGroup is a group of application workers of one service with the same
// configuration.
type WorkerGroup struct {
	// Name is the service's name and the prefix of the workers' names.
	Name   string               `json:"name" validate:"required"`
	Count  int                  `json:"count" validate:"min=1"`
	Worker standin.WorkerConfig `json:"worker"`
}

// Account is a client account that sends requests.
type Account struct {
	Name string `json:"name" validate:"required"`
	// Key is the secret that the account's requests carry.
	Key string `json:"key" validate:"required"`
	// Weight is the account's share of all requests, relative to the other accounts.
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Item is one kind of request in the mix.
type Item struct {
	Name string `json:"name" validate:"required"`
	// Weight is the item's share of all requests, relative to the other items.
	Weight float64 `json:"weight" validate:"gt=0"`
	// Deadline is the time in which a request must complete, from when it is due.
	Deadline settings.Duration `json:"deadline,omitempty"`
	// Exactly one of Prompt and Call is set.
	Prompt *Prompt `json:"prompt,omitempty" validate:"required_without=Call,excluded_with=Call"`
	Call   *Call   `json:"call,omitempty"`
}

// Span is a range of token counts with a log-uniform distribution.
type Span struct {
	Min int `json:"min" validate:"min=1"`
	Max int `json:"max" validate:"gtefield=Min"`
}

// Prompt is a request to a model.
type Prompt struct {
	Model  string `json:"model" validate:"required"`
	Tokens Span   `json:"tokens"`
	Output Span   `json:"output"`
	// Chat sends the prompt as a chat completion.
	Chat bool `json:"chat,omitempty"`
	// Unstreamed asks for one complete answer instead of a stream.
	Unstreamed bool `json:"whole,omitempty"`
	// Documents is the number of long common prefixes among which prompts are divided;
	// with 0, prompts share no prefix.
	Documents int `json:"documents,omitempty" validate:"min=0"`
	// Crashes makes the prompt crash engines. Its caller sends it again after a failure.
	Crashes bool `json:"crashes,omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Service string `json:"service" validate:"required"`
	Method  string `json:"method" validate:"required"`
	// Path is relative to the service's route; {n} stands for the request's number.
	Path string `json:"path" validate:"required,startswith=/"`
	// AtMostOnce marks a call that must not run twice. After a failure, its caller
	// sends it again with the same idempotency key, as the call may or may not have run.
	AtMostOnce bool `json:"once,omitempty"`
}

// Part is one measurement. Each run of it has a system and stand-ins of its own.
type Part struct {
	Name string `json:"name" validate:"required"`
	// Without names the items that are left out. The arrivals of all other items are the
	// same as in other parts.
	Without []string `json:"without,omitempty"`
	// CompareTo names the part relative to which the slowdown of short prompts is
	// reported.
	CompareTo string `json:"compare_to,omitempty"`
	// Duration overrides the scenario's duration.
	Duration settings.Duration `json:"duration,omitempty"`
	// Load overrides the scenario's load.
	Load float64 `json:"load,omitempty" validate:"min=0"`
	// Faults is the schedule of faults and zone orders.
	Faults      []Fault      `json:"faults,omitempty" validate:"dive"`
	SlowReaders *SlowReaders `json:"slow_readers,omitempty"`
}

// SlowReaders are callers that stop reading after the start of a stream.
type SlowReaders struct {
	// At is when the first caller sends its request. The others follow at equal
	// intervals within Over.
	At    settings.Duration `json:"at"`
	Over  settings.Duration `json:"over"`
	Count int               `json:"count" validate:"min=1"`
	// Quick makes the callers read the complete stream, as a control measurement with the
	// same load.
	Quick bool   `json:"quick,omitempty"`
	Model string `json:"model" validate:"required"`
	// PromptTokens and OutputTokens are the size of each request.
	PromptTokens int `json:"prompt_tokens" validate:"min=1"`
	OutputTokens int `json:"output_tokens" validate:"min=1"`
}

// ReadScenario reads and checks the scenario in the file name. Its error may be a
// settings.Faults that lists all faults.
func ReadScenario(name string) (*Scenario, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	return ParseScenario(raw)
}

// ParseScenario decodes and checks a scenario, and applies its scales. Its error may
// be a settings.Faults that lists all faults.
func ParseScenario(raw []byte) (*Scenario, error) {
	s := &Scenario{TimeScale: 1, TokenScale: 1}
	if err := settings.Decode("", raw, s); err != nil {
		return nil, err
	}
	if faults := s.check(); len(faults) > 0 {
		return nil, faults
	}
	s.scaleTokens()
	s.SetTimeScale(s.TimeScale)
	return s, nil
}

// check finds names of parts and items that do not exist, and a missing rate.
func (s *Scenario) check() settings.Faults {
	var faults settings.Faults
	missing := func(path, name string) {
		faults = append(faults, settings.Fault{Path: path, Problem: "refers to an unknown name: " + name})
	}
	for _, p := range s.Parts {
		if p.CompareTo != "" && s.part(p.CompareTo) == nil {
			missing("parts."+p.Name+".compare_to", p.CompareTo)
		}
		for _, item := range p.Without {
			if !slices.ContainsFunc(s.Mix, func(i Item) bool { return i.Name == item }) {
				missing("parts."+p.Name+".without", item)
			}
		}
	}
	if s.Rate == 0 && s.Load == 0 {
		faults = append(faults, settings.Fault{Path: "load", Problem: "is required unless rate is set"})
	}
	return faults
}

// part returns the part called name, or nil.
func (s *Scenario) part(name string) *Part {
	for i := range s.Parts {
		if s.Parts[i].Name == name {
			return &s.Parts[i]
		}
	}
	return nil
}

// scaleTokens multiplies the memory and the prefill rate of the engines by the token
// scale.
func (s *Scenario) scaleTokens() {
	for i := range s.Engines {
		e := &s.Engines[i].Engine
		e.KVTokens = int64(float64(e.KVTokens) * s.TokenScale)
		e.CacheTokens = int64(float64(e.CacheTokens) * s.TokenScale)
		e.PrefillRate *= s.TokenScale
	}
}

// SetTimeScale sets how many seconds of model time pass in a second of real time.
func (s *Scenario) SetTimeScale(scale float64) {
	s.TimeScale = scale
	for i := range s.Engines {
		s.Engines[i].Engine.TimeScale = scale
	}
}

// real converts model time to real time.
func (s *Scenario) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.TimeScale)
}

// model converts real time to model time.
func (s *Scenario) model(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.TimeScale)
}

// duration returns how long requests arrive in p, in model time.
func (s *Scenario) duration(p *Part) time.Duration {
	if p.Duration > 0 {
		return p.Duration.Std()
	}
	return s.Duration.Std()
}

// deadline returns the time in which a request of the item must complete, in model time.
func (s *Scenario) deadline(i *Item) time.Duration {
	if i.Deadline > 0 {
		return i.Deadline.Std()
	}
	return s.Deadline.Std()
}
