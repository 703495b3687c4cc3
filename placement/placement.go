// Package placement decides which models, versions, adapters and roles endpoints are
// ordered to load.
//
// A Planner compares the demand for each model with the capacity of the endpoints that
// serve it. It moves endpoints from models with spare capacity to overloaded models. An
// endpoint is drained before it loads, the loads stay within the rate of the weight
// store, each model keeps its last endpoint in service, and the endpoints of a model
// are spread over the availability zones.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package placement

import "time"

// Action is the kind of an Order.
type Action string

// The actions. Drain and Resume go to the host, which stops and resumes sending new
// work to the endpoint. The others go to the engine.
const (
	Drain   Action = "drain"
	Resume  Action = "resume"
	Load    Action = "load"
	Version Action = "version"
	Role    Action = "role"
	Adapter Action = "adapter"
)

// Order is one decision of a Planner about one endpoint.
type Order struct {
	Endpoint string
	Action   Action
	// Value is the model, version, role or adapter. It is empty for Drain and Resume.
	Value string
	// Reason is a short explanation for the log.
	Reason string
}

// Endpoint is a model endpoint in the state that it announces.
type Endpoint struct {
	Name string
	Zone string
	// Model, Version, Role and Adapters are what the endpoint has loaded. An endpoint
	// without a model is spare.
	Model    string
	Version  string
	Role     string
	Adapters []string
	// InService is set while operators have the endpoint and its availability zone in
	// service.
	InService bool
	// InFlight is the number of attempts in flight.
	InFlight int
}

// Demand is the load on one model, and what its endpoints should have loaded.
type Demand struct {
	Model string
	// TokensPerSecond is the rate at which work arrives for the model, and
	// EndpointTokensPerSecond the rate that one endpoint can process.
	TokensPerSecond         float64
	EndpointTokensPerSecond float64
	// WeightBytes is the size of the model's weights in the weight store.
	WeightBytes int64
	// Version, Role and Adapters are what the endpoints should have loaded. An empty
	// Version or Role allows any.
	Version  string
	Role     string
	Adapters []string
}

// Settings are the thresholds and limits of a Planner.
type Settings struct {
	// HighUtilization is the utilization, as a share of the capacity of a model's
	// endpoints, above which the model gets another endpoint. LowUtilization is the
	// highest utilization that a model may have after it gives an endpoint away.
	HighUtilization float64
	LowUtilization  float64
	// HighUtilizationDelay is for how long the utilization of a model must be high before
	// it gets another endpoint.
	HighUtilizationDelay time.Duration
	// StoreBytesPerSecond is the rate of the weight store. At this rate, all loads that
	// run at the same time must be able to finish within LoadWindow. A single load may
	// always run.
	StoreBytesPerSecond int64
	LoadWindow          time.Duration
	// RetryInterval is after how long an order without effect is repeated.
	RetryInterval time.Duration
	// AdapterCopies is the number of endpoints that load each adapter of a model.
	AdapterCopies int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		HighUtilization:      0.8,
		LowUtilization:       0.6,
		HighUtilizationDelay: 2 * time.Minute,
		StoreBytesPerSecond:  1 << 30,
		LoadWindow:           2 * time.Minute,
		RetryInterval:        10 * time.Minute,
		AdapterCopies:        2,
	}
}
