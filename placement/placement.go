// Package placement decides which models, versions, adapters and roles endpoints are
// ordered to take.
//
// A Planner compares the demand for each model with the endpoints that serve it and
// moves endpoints from models with room to spare to models short of them. An
// endpoint is drained before it loads; loads stay within the rate of the weight
// store; a model keeps its last endpoint in service; and the endpoints of a model
// spread over the availability zones.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package placement

import "time"

// Action is what an Order asks for.
type Action string

// The actions. Drain and Resume are for the host, which stops and starts giving the
// endpoint new work. The others are orders to the engine.
const (
	Drain   Action = "drain"
	Resume  Action = "resume"
	Load    Action = "load"
	Version Action = "version"
	Role    Action = "role"
	Adapter Action = "adapter"
)

// Order is one decision.
type Order struct {
	Endpoint string
	Action   Action
	// Value is the model, version, role or adapter; empty for Drain and Resume.
	Value string
	// Reason is one sentence for the log.
	Reason string
}

// Endpoint is a model endpoint as it is announced.
type Endpoint struct {
	Name string
	Zone string
	// Model, Version, Role and Adapters say what is loaded. An endpoint without a
	// model is spare.
	Model    string
	Version  string
	Role     string
	Adapters []string
	// InService is set while operators have the endpoint and its availability zone in service.
	InService bool
	// InFlight counts the attempts in flight.
	InFlight int
}

// Demand is what is wanted of one model.
type Demand struct {
	Model string
	// TokensPerSecond is the work that arrives, and EndpointTokensPerSecond what one
	// endpoint does.
	TokensPerSecond         float64
	EndpointTokensPerSecond float64
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes int64
	// Version, Role and Adapters are to be loaded. An empty Version or Role accepts any.
	Version  string
	Role     string
	Adapters []string
}

// Settings bound the planner.
type Settings struct {
	// HighUtilization is the use of a model's endpoints, as a share of their capacity, over
	// which it gets one more. LowUse is the use up to which it may give one away,
	// reckoned without that endpoint.
	HighUtilization float64
	LowUtilization  float64
	// HighUtilizationDelay is how long the use must be high before an endpoint is moved.
	HighUtilizationDelay time.Duration
	// StoreBytesPerSecond is the rate of the weight store, and LoadTime the time in
	// which the loads that run together finish by that rate. One load always may run.
	StoreBytesPerSecond int64
	LoadWindow          time.Duration
	// RetryInterval is how long after an order without effect it is given again.
	RetryInterval time.Duration
	// AdapterCopies is how many endpoints hold an adapter.
	AdapterCopies int
}

// DefaultSettings returns the usual bounds.
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
