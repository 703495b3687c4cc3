package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/experiment"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

const (
	// defaultVariant is the name of the variant with the default policy. The variants with
	// other policies append "-<policy>".
	defaultVariant = "rosemaryproxy"
	// policyPrefix is the prefix of the identifiers of plug-ins that choose endpoints.
	policyPrefix = "route."

	replicaCount = 3
	entryCount   = 2

	maxReadyChecks = 600
	readyInterval  = 50 * time.Millisecond
)

func init() {
	experiment.Register(deployment(defaultVariant, ""))
	for _, id := range kernel.Plugins() {
		if policy, ok := strings.CutPrefix(id, policyPrefix); ok {
			experiment.Register(deployment(defaultVariant+"-"+policy, id))
		}
	}
}

// deployment returns the variant that runs control, entries and sidecars in this
// process, with the same settings and code as separate processes.
func deployment(name, policy string) experiment.Variant {
	return experiment.Variant{Name: name, Start: func(ctx context.Context, env *experiment.Env) (*experiment.System, error) {
		log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: io.Discard})
		d, err := dev.Start(newPlan(env, policy), log)
		if err != nil {
			return nil, err
		}
		client, closeClient, err := d.Files.OperatorClient()
		if err != nil {
			d.Stop()
			return nil, err
		}
		sys := &experiment.System{SetZone: zoneOrder(client, env.Region), Stop: func() {
			closeClient()
			d.Stop()
		}}
		for _, addr := range d.Files.Entries {
			sys.Entries = append(sys.Entries, "http://"+addr)
		}
		if err := awaitReady(ctx, client, env, sys.Entries); err != nil {
			sys.Stop()
			return nil, err
		}
		return sys, nil
	}}
}

// newPlan returns the plan of a deployment in front of the endpoints of env. An empty
// policy selects the default one.
func newPlan(env *experiment.Env, policy string) *dev.Plan {
	p := &dev.Plan{
		Dir:       env.Dir,
		Region:    env.Region,
		Zones:     env.Zones,
		Replicas:  replicaCount,
		Entries:   entryCount,
		Bootstrap: bootstrapDocument(env),
		LogLevel:  "info",
	}
	if policy != "" {
		p.Entry = map[string]any{"policy": policy}
	}
	for _, e := range env.Endpoints {
		endpoint := dev.Endpoint{Name: e.Name, Zone: e.Zone, Target: e.Target, URL: e.URL}
		if e.IsService {
			endpoint.Worker = map[string]any{}
		}
		endpoint.Sidecar = map[string]any{"checks_fence": e.ChecksFence}
		p.Endpoints = append(p.Endpoints, endpoint)
	}
	return p
}

// bootstrapDocument returns a configuration in which each route has the name of its
// target.
func bootstrapDocument(env *experiment.Env) *config.Document {
	d := config.NewDocument()
	for _, z := range env.Zones {
		d.Zones[z] = config.Zone{Name: z, Region: env.Region, State: config.In}
	}
	for _, m := range env.Models {
		d.Models[m] = config.Model{Name: m, Versions: []string{"1"}}
		d.Routes[m] = config.Route{Name: m, Kind: config.ModelRoute, Target: m}
	}
	for _, s := range env.Services {
		r := config.Route{Name: s.Name, Kind: config.ServiceRoute, Target: s.Name}
		for _, c := range s.AtMostOnce {
			r.NonIdempotent = append(r.NonIdempotent, config.Call{Method: c.Method, Path: c.Path})
		}
		d.Routes[s.Name] = r
	}
	for _, a := range env.Accounts {
		d.Accounts[a.Name] = config.Account{Name: a.Name, KeyHashes: []string{config.HashKey(a.Key)}}
	}
	return d
}

// orderTimeout bounds the wait for control's answer to a zone order.
const orderTimeout = 10 * time.Second

// zoneOrder returns a function that takes a zone out of service, or puts it back in
// service, by the same configuration change as an operator's.
func zoneOrder(client *session.Client, region string) func(context.Context, string, bool) error {
	return func(ctx context.Context, zone string, in bool) error {
		state := config.Out
		if in {
			state = config.In
		}
		change := command.Change{
			Expect:  command.AnyRevision,
			Changes: []config.Change{{Zone: &config.Zone{Name: zone, Region: region, State: state}}},
		}
		// Control answers an order that takes a zone out only after one lease. The order
		// stays valid if the run ends earlier, so it does not use the run's cancellation.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
		defer cancel()
		return client.Do(ctx, command.NameChange, session.NewID(), change, nil)
	}
}

// awaitReady waits until control knows every endpoint and each entry serves prompts.
func awaitReady(ctx context.Context, client *session.Client, env *experiment.Env, entries []string) error {
	for range maxReadyChecks {
		if countEndpoints(ctx, client) == len(env.Endpoints) && allEntriesReady(ctx, env, entries) {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.New("timed out waiting for the deployment to become ready")
}

// countEndpoints returns the number of endpoints that control knows, or 0 on failure.
func countEndpoints(ctx context.Context, client *session.Client) int {
	var view command.View
	if client.Do(ctx, command.NameView, session.NewID(), nil, &view) != nil {
		return 0
	}
	return len(view.Endpoints)
}

// allEntriesReady reports whether each entry serves each model.
func allEntriesReady(ctx context.Context, env *experiment.Env, entries []string) bool {
	for _, entry := range entries {
		for _, model := range env.Models {
			if !probeEntry(ctx, entry, model, env.Accounts[0].Key) {
				return false
			}
		}
	}
	return true
}

// probeEntry sends a short prompt to an entry and reports whether it is served.
func probeEntry(ctx context.Context, entry, model, key string) bool {
	body := `{"model":"` + model + `","prompt":"ready?","max_tokens":1}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
