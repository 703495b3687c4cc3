package examples

import "github.com/rosemaryproxy/rosemaryproxy/config"

// Kerlouan returns the deployment of a time capsule registry.
func Kerlouan() *Deployment {
	return &Deployment{
		Name:     "kerlouan",
		Region:   "leon-coast",
		Zones:    []string{"kerlouan-hall", "lesneven-annex", "plouguerneau-vault"},
		Replicas: 3,
		Entries:  2,
		Fleets: []Fleet{
			{Prefix: "scribe", Target: "scribe-models", Count: 20},
			{Prefix: "desk", Target: "capsule-desk", Count: 3, Service: true},
		},
		Routes: []config.Route{
			{Name: "scribe", Kind: config.ModelRoute, Target: "scribe-models", Deadline: chatDeadline, MaxOutputTokens: chatOutput},
			{
				Name: "ledger", Kind: config.ModelRoute, Target: "scribe-models", Deadline: fileDeadline, MaxOutputTokens: fileOutput,
				Accounts: []string{"deposit-ledgers", "parish-archives", "registry"},
			},
			{
				Name: "desk", Kind: config.ServiceRoute, Target: "capsule-desk", Deadline: serviceDeadline,
				Accounts:      []string{"clerks", "notaries", "registry"},
				NonIdempotent: []config.Call{{Method: "POST", Path: "/seal"}, {Method: "POST", Path: "/release"}},
			},
		},
		Accounts: []config.Account{
			large("registry"), large("clerks"), large("deposit-ledgers"),
			small("notaries"), small("families"), small("schools"), small("parish-archives"),
			small("ceremony-readers"), small("communes"), small("transcribers"),
		},
		network: 1,
	}
}
