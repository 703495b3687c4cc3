// Package config holds the configuration of a deployment: one document with one
// monotone revision, changed by typed changes only.
//
// Control replicates the changes; every other process keeps its own copy by
// applying the same changes in the same order, and never goes back to a lower
// revision.
package config

import "time"

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// The states of an availability zone or endpoint, as operators order them.
const (
	In  ZoneState = "in"
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
	// Versions lists the weights that may be loaded, newest last.
	Versions []string `json:"versions,omitempty" cbor:"2,keyasint,omitempty"`
	// Adapters lists the adapters that may be loaded on the model.
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes int64 `json:"weight_bytes,omitempty" cbor:"4,keyasint,omitempty"`
}

// RouteKind says what a route leads to.
type RouteKind string

// The kinds of route.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route leads requests to the endpoints of a model or of a plain service.
type Route struct {
	Name string    `json:"name" cbor:"1,keyasint"`
	Kind RouteKind `json:"kind" cbor:"2,keyasint"`
	// Target is the model's or the service's name, as endpoints announce it.
	Target string `json:"target" cbor:"3,keyasint"`
	// Accounts may use the route; empty means every client account.
	Accounts []string `json:"accounts,omitempty" cbor:"4,keyasint,omitempty"`
	// NonIdempotent lists the calls that run at most once.
	NonIdempotent []Call `json:"non_idempotent,omitempty" cbor:"5,keyasint,omitempty"`
	// Deadline is the time in which a request finishes or fails when it names none.
	Deadline time.Duration `json:"deadline,omitempty" cbor:"6,keyasint,omitempty"`
	// MaxOutputTokens bounds the output of a request that names no bound.
	MaxOutputTokens int `json:"max_output_tokens,omitempty" cbor:"7,keyasint,omitempty"`
}

// Call names calls to a plain service by method and path prefix below the route.
type Call struct {
	Method string `json:"method" cbor:"1,keyasint"`
	Path   string `json:"path" cbor:"2,keyasint"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// KeyHashes are SHA-256 digests of the account's keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes,omitempty" cbor:"2,keyasint,omitempty"`
	Limits    Limits   `json:"limits" cbor:"3,keyasint"`
}

// Limits bound a client account over all entries together. Zero is no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" cbor:"1,keyasint,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty" cbor:"2,keyasint,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty" cbor:"3,keyasint,omitempty"`
	HeldBytes         int64   `json:"held_bytes,omitempty" cbor:"4,keyasint,omitempty"`
}

// Document is the whole configuration at one revision.
type Document struct {
	Revision  uint64               `json:"revision" cbor:"1,keyasint"`
	Zones     map[string]Zone      `json:"zones" cbor:"2,keyasint"`
	Models    map[string]Model     `json:"models" cbor:"3,keyasint"`
	Routes    map[string]Route     `json:"routes" cbor:"4,keyasint"`
	Accounts  map[string]Account   `json:"accounts" cbor:"5,keyasint"`
	Endpoints map[string]ZoneState `json:"endpoints,omitempty" cbor:"6,keyasint,omitempty"`
	// Publication is what an operator published last; nil before the first.
	Publication *Publication `json:"publication,omitempty" cbor:"7,keyasint,omitempty"`
}

// Publication is a whole description of a deployment in the operator's own format
// and under the operator's own number. Control keeps it as it came; the processes
// that serve callers read it.
type Publication struct {
	// Version is the operator's number; the highest is in force.
	Version uint64 `json:"version" cbor:"1,keyasint"`
	// Content is the description, compressed with gzip.
	Content []byte `json:"content" cbor:"2,keyasint"`
}

// PublishedVersion returns the version in force, or 0 when nothing was published.
func (d *Document) PublishedVersion() uint64 {
	if d.Publication == nil {
		return 0
	}
	return d.Publication.Version
}

// NewDocument returns the empty document at revision 0.
func NewDocument() *Document {
	return &Document{
		Zones:     map[string]Zone{},
		Models:    map[string]Model{},
		Routes:    map[string]Route{},
		Accounts:  map[string]Account{},
		Endpoints: map[string]ZoneState{},
	}
}
