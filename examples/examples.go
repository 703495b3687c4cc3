// Package examples describes two example deployments and writes the settings of their
// processes. Each loopback address stands for a VM.
package examples

import (
	"fmt"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
)

// Deployment is one example deployment.
type Deployment struct {
	// Name is the deployment's name, an argument of "rosemaryctl example".
	Name string
	// Region is the region and Zones are its availability zones.
	Region string
	Zones  []string
	// Replicas and Entries are the numbers of control replicas and entries, which are
	// assigned to the zones in turn.
	Replicas, Entries int
	// Fleets are the groups of endpoints.
	Fleets []Fleet
	// Routes and Accounts are those of the initial configuration.
	Routes   []config.Route
	Accounts []config.Account

	// network is the second byte of the deployment's loopback addresses.
	network int
}

// Fleet is a group of endpoints of one target, which are assigned to the zones in turn.
type Fleet struct {
	// Prefix is the start of the endpoints' names; a hyphen and a number follow.
	Prefix string
	// Target is the model or service that the endpoints serve.
	Target string
	// Count is the number of endpoints.
	Count int
	// Service is set when Target is a plain service.
	Service bool
}

// Settings of the example engines and routes. Values with the suffix Output are in
// tokens.
const (
	engineKVTokens  = 400_000
	modelVersion    = "1"
	weightBytes     = 14_000_000_000
	chatDeadline    = time.Minute
	fileDeadline    = 10 * time.Minute
	serviceDeadline = 10 * time.Second
	chatOutput      = 1024
	fileOutput      = 4096
)

// All returns the example deployments by name.
func All() map[string]*Deployment {
	return map[string]*Deployment{"kerlouan": Kerlouan(), "karachi": Karachi()}
}

// DemoKey returns the key of a client account of the examples. It is for
// demonstration only: everyone can read it.
func DemoKey(account string) string { return "demo-" + account }

// Document returns the initial configuration.
func (d *Deployment) Document() *config.Document {
	doc := config.NewDocument()
	for _, zone := range d.Zones {
		doc.Zones[zone] = config.Zone{Name: zone, Region: d.Region, State: config.In}
	}
	for _, f := range d.Fleets {
		if !f.Service {
			doc.Models[f.Target] = config.Model{Name: f.Target, Versions: []string{modelVersion}, WeightBytes: weightBytes}
		}
	}
	for _, r := range d.Routes {
		doc.Routes[r.Name] = r
	}
	for _, a := range d.Accounts {
		a.KeyHashes = []string{config.HashKey(DemoKey(a.Name))}
		doc.Accounts[a.Name] = a
	}
	return doc
}

// small returns a client account with low limits.
func small(name string) config.Account {
	return config.Account{Name: name, Limits: config.Limits{
		RequestsPerSecond: 10, TokensPerSecond: 20_000, Concurrent: 16, HeldBytes: 4_000_000,
	}}
}

// large returns a client account with high limits.
func large(name string) config.Account {
	return config.Account{Name: name, Limits: config.Limits{
		RequestsPerSecond: 100, TokensPerSecond: 2_000_000, Concurrent: 128, HeldBytes: 32_000_000,
	}}
}

// address returns the loopback address of a host in a zone.
func (d *Deployment) address(zone, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.network, zone+1, host, port)
}
