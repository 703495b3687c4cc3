package dev

import (
	"fmt"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
)

// Names in the deployment that Small returns.
const (
	// SmallModel is the model and SmallRoute the route to it.
	SmallModel = "scribe-models"
	SmallRoute = "scribe"
	// SmallService is the plain service and SmallServiceRoute the route to it.
	SmallService      = "capsule-desk"
	SmallServiceRoute = "desk"
	// SmallAccount is the client account and SmallKey its API key, for demonstration
	// only.
	SmallAccount = "notaries"
	SmallKey     = "demo-notaries"
)

// SmallZones are the availability zones of the small deployment.
var SmallZones = []string{"kerlouan-hall", "lesneven-annex", "plouguerneau-vault"}

// Small returns a small version of the deployment examples.Kerlouan: three control
// replicas, two entries, one engine in each availability zone, and one application
// worker. Its files are in dir.
func Small(dir string) *Plan {
	p := &Plan{
		Dir:       dir,
		Region:    "leon-coast",
		Zones:     SmallZones,
		Replicas:  3,
		Entries:   2,
		Bootstrap: smallDocument(),
		LogLevel:  "info",
	}
	for i, zone := range p.Zones {
		p.Endpoints = append(p.Endpoints, Endpoint{
			Name:    fmt.Sprintf("scribe-%d", i+1),
			Zone:    zone,
			Target:  SmallModel,
			Sidecar: map[string]any{"linger": "1s"},
			Engine:  map[string]any{"model": SmallModel, "decode_tokens_per_second": 200, "kv_tokens": 1_200_000},
		})
	}
	p.Endpoints = append(p.Endpoints, Endpoint{
		Name:   "desk-1",
		Zone:   p.Zones[0],
		Target: SmallService,
		Worker: map[string]any{},

		Sidecar: map[string]any{"linger": "1s"},
	})
	return p
}

// smallDocument returns the bootstrap configuration of Small.
func smallDocument() *config.Document {
	d := config.NewDocument()
	for _, z := range SmallZones {
		d.Zones[z] = config.Zone{Name: z, Region: "leon-coast", State: config.In}
	}
	d.Models[SmallModel] = config.Model{Name: SmallModel, Versions: []string{"1"}}
	d.Routes[SmallRoute] = config.Route{
		Name: SmallRoute, Kind: config.ModelRoute, Target: SmallModel, Deadline: time.Minute, MaxOutputTokens: 256,
	}
	d.Routes[SmallServiceRoute] = config.Route{
		Name: SmallServiceRoute, Kind: config.ServiceRoute, Target: SmallService, Deadline: 10 * time.Second,
		NonIdempotent: []config.Call{{Method: "POST", Path: "/seal"}, {Method: "POST", Path: "/release"}},
	}
	d.Accounts[SmallAccount] = config.Account{Name: SmallAccount, KeyHashes: []string{config.HashKey(SmallKey)}}
	return d
}
