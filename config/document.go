// Package config holds the configuration of a deployment: one document with a monotonic
// revision, which is modified by values of type Change only.
//
// Control replicates the changes. Every other process keeps a copy of the document by
// applying the same changes in the same order, and never goes back to a lower revision.
package config

import "time"

// ZoneState says whether an availability zone or an endpoint takes new work.
type ZoneState string

// The states of an availability zone or endpoint, which operators set.
const (
	// In means in service: it takes new work.
	In ZoneState = "in"
	// Out means out of service: it takes no new work.
	Out ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Name   string    `json:"name" cbor:"1,keyasint"`
	Region string    `json:"region" cbor:"2,keyasint"`
	State  ZoneState `json:"state" cbor:"3,keyasint"`
}

// Model is a language model that endpoints can serve.
type Model struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Versions lists the versions of the weights that may be loaded, newest last.
	Versions []string `json:"versions,omitempty" cbor:"2,keyasint,omitempty"`
	// Adapters lists the adapters that may be loaded on the model.
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	// WeightBytes is the size of the weights in the weight store, in bytes.
	WeightBytes int64 `json:"weight_bytes,omitempty" cbor:"4,keyasint,omitempty"`
}

// RouteKind is the kind of target that a route leads to.
type RouteKind string

// The kinds of route.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route leads requests to the endpoints of a model or of a service that is not a model.
type Route struct {
	Name string    `json:"name" cbor:"1,keyasint"`
	Kind RouteKind `json:"kind" cbor:"2,keyasint"`
	// Target is the model's or the service's name, as endpoints announce it.
	Target string `json:"target" cbor:"3,keyasint"`
	// Accounts lists the client accounts that may use the route; empty means all.
	Accounts []string `json:"accounts,omitempty" cbor:"4,keyasint,omitempty"`
	// NonIdempotent lists the calls that must run at most once.
	NonIdempotent []Call `json:"non_idempotent,omitempty" cbor:"5,keyasint,omitempty"`
	// Deadline is the time limit of requests that set no deadline.
	Deadline time.Duration `json:"deadline,omitempty" cbor:"6,keyasint,omitempty"`
	// MaxOutputTokens limits the output of requests that set no limit.
	MaxOutputTokens int `json:"max_output_tokens,omitempty" cbor:"7,keyasint,omitempty"`
}

// Call describes calls to a service by their method and the prefix of their path below the
// route.
type Call struct {
	Method string `json:"method" cbor:"1,keyasint"`
	Path   string `json:"path" cbor:"2,keyasint"`
}

// Account is a client account with its keys and limits.
type Account struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// KeyHashes are SHA-256 digests of the account's keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes,omitempty" cbor:"2,keyasint,omitempty"`
	Limits    Limits   `json:"limits" cbor:"3,keyasint"`
}

// Limits holds the limits of a client account, which apply to all entries together. Zero means
// no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" cbor:"1,keyasint,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty" cbor:"2,keyasint,omitempty"`
	// Concurrent limits the requests in flight.
	Concurrent int `json:"concurrent,omitempty" cbor:"3,keyasint,omitempty"`
	// HeldBytes limits the bytes that the account's requests hold in the memory of entries.
	HeldBytes int64 `json:"held_bytes,omitempty" cbor:"4,keyasint,omitempty"`
}

// Document is the complete configuration at one revision. The maps have the names of the objects
// as keys.
type Document struct {
	Revision uint64             `json:"revision" cbor:"1,keyasint"`
	Zones    map[string]Zone    `json:"zones" cbor:"2,keyasint"`
	Models   map[string]Model   `json:"models" cbor:"3,keyasint"`
	Routes   map[string]Route   `json:"routes" cbor:"4,keyasint"`
	Accounts map[string]Account `json:"accounts" cbor:"5,keyasint"`
	// Endpoints holds the state of each endpoint for which an operator set one.
	Endpoints map[string]ZoneState `json:"endpoints,omitempty" cbor:"6,keyasint,omitempty"`
	// Publication is the one published last; nil before the first.
	Publication *Publication `json:"publication,omitempty" cbor:"7,keyasint,omitempty"`
}

// Publication is a complete description of a deployment in the operator's own format and with
// the operator's own version number. Control stores it without interpreting it; the processes
// that serve callers read it.
type Publication struct {
	// Version is the operator's version number; the highest version is applied.
	Version uint64 `json:"version" cbor:"1,keyasint"`
	// Content is the description, compressed with gzip.
	Content []byte `json:"content" cbor:"2,keyasint"`
}

// PublishedVersion returns the version of the applied publication, or 0 if there is none.
func (d *Document) PublishedVersion() uint64 {
	if d.Publication == nil {
		return 0
	}
	return d.Publication.Version
}

// NewDocument returns an empty document at revision 0.
func NewDocument() *Document {
	return &Document{
		Zones:     map[string]Zone{},
		Models:    map[string]Model{},
		Routes:    map[string]Route{},
		Accounts:  map[string]Account{},
		Endpoints: map[string]ZoneState{},
	}
}
