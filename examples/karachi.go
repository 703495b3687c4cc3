package examples

import "github.com/rosemaryproxy/rosemaryproxy/config"

// Karachi returns the deployment of a funeral coachworks trust.
func Karachi() *Deployment {
	return &Deployment{
		Name:     "karachi",
		Region:   "sindh",
		Zones:    []string{"korangi", "site", "hyderabad"},
		Replicas: 3,
		Entries:  2,
		Fleets: []Fleet{
			{Prefix: "assistant", Target: "assistant-llm", Count: 20},
			{Prefix: "yard", Target: "yard-desk", Count: 3, Service: true},
		},
		Routes: []config.Route{
			{Name: "assistant", Kind: config.ModelRoute, Target: "assistant-llm", Deadline: chatDeadline, MaxOutputTokens: chatOutput},
			{
				Name: "files", Kind: config.ModelRoute, Target: "assistant-llm", Deadline: fileDeadline, MaxOutputTokens: fileOutput,
				Accounts: []string{"donor-office", "regulatory-office", "workshops"},
			},
			{
				Name: "yard", Kind: config.ServiceRoute, Target: "yard-desk", Deadline: serviceDeadline,
				Accounts:      []string{"dispatch", "drivers", "washing-bays"},
				NonIdempotent: []config.Call{{Method: "POST", Path: "/bays"}, {Method: "POST", Path: "/dispatch"}},
			},
		},
		Accounts: []config.Account{
			large("dispatch"), large("workshops"), large("donor-office"),
			small("drivers"), small("washing-bays"), small("regulatory-office"), small("fitters"),
			small("chassis-manuals"), small("stores"), small("front-office"),
		},
		network: 2,
	}
}
