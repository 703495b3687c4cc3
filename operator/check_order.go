package operator

import (
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
)

func checkService(kind string, name Name, state config.ZoneState) planner {
	if strings.EqualFold(kind, "zone") {
		return &zoneOrder{name: name, state: state}
	}
	return &endpointOrder{name: name, state: state}
}

// engineActions maps a word of the language to the action of wire.Order.
var engineActions = map[string]string{
	"model":   "load",
	"adapter": "adapter",
	"version": "version",
	"role":    "role",
}

func checkEngine(kind string, value, endpoint Name) (planner, error) {
	if _, err := parseNewName(value); err != nil {
		return nil, err
	}
	return &engineOrder{action: engineActions[strings.ToLower(kind)], value: value, endpoint: endpoint}, nil
}

func checkRoute(r *Route) (planner, error) {
	name, err := parseNewName(r.Name)
	if err != nil {
		return nil, err
	}
	o := &routeOrder{name: name, kind: config.RouteKind(strings.ToLower(r.Kind)), target: r.Target}
	for _, option := range r.Options {
		if err := o.set(option); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// set checks one option and stores it in o. An option that is set already is a fault.
func (o *routeOrder) set(option *RouteOption) error {
	var err error
	switch {
	case option.Deadline != nil:
		if o.deadline != nil {
			return faultAt(*option.Deadline, "the deadline is set twice")
		}
		var d time.Duration
		d, err = parseDuration(*option.Deadline)
		o.deadline = &d
	case option.MaxOutput != nil:
		if o.maxOutput != nil {
			return faultAt(*option.MaxOutput, "max output is set twice")
		}
		var count int
		count, err = parseCount(*option.MaxOutput)
		o.maxOutput = &count
	default:
		if o.accounts != nil {
			return faultAt(option.Accounts[0], "the accounts are set twice")
		}
		o.accounts = option.Accounts
		_, err = parseNewNames(option.Accounts)
	}
	return err
}

func checkModel(m *Model) (planner, error) {
	name, err := parseNewName(m.Name)
	if err != nil {
		return nil, err
	}
	o := &modelOrder{name: name}
	for _, option := range m.Options {
		switch {
		case option.Versions != nil:
			o.versions, err = parseNewNames(option.Versions)
		case option.Adapters != nil:
			o.adapters, err = parseNewNames(option.Adapters)
		default:
			o.weights, err = parseBytes(*option.Weights)
		}
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}

func checkLimits(account Name, limits []*Limit, add bool) (planner, error) {
	name, err := parseNewName(account)
	if err != nil {
		return nil, err
	}
	o := &accountOrder{name: Name{Pos: account.Pos, Text: name}, add: add}
	seen := map[string]bool{}
	for _, l := range limits {
		kind := strings.ToLower(l.Kind)
		if seen[kind] {
			return nil, faultAt(l.Value, "the limit of %s is set twice", kind)
		}
		seen[kind] = true
		set, err := checkLimit(kind, l.Value)
		if err != nil {
			return nil, err
		}
		o.set = append(o.set, set)
	}
	return o, nil
}

// checkLimit parses the value of a limit and returns a function that sets this limit.
func checkLimit(kind string, value Name) (func(*config.Limits), error) {
	switch kind {
	case "requests":
		rate, err := parseRate(value)
		return func(l *config.Limits) { l.RequestsPerSecond = rate }, err
	case "tokens":
		rate, err := parseRate(value)
		return func(l *config.Limits) { l.TokensPerSecond = rate }, err
	case "concurrent":
		count, err := parseCount(value)
		return func(l *config.Limits) { l.Concurrent = count }, err
	}
	size, err := parseBytes(value)
	return func(l *config.Limits) { l.HeldBytes = size }, err
}

func checkMark(m *Mark) (planner, error) {
	method, err := parseMethod(m.Method)
	if err != nil {
		return nil, err
	}
	path, err := parsePath(m.Path)
	if err != nil {
		return nil, err
	}
	call := config.Call{Method: method, Path: path}
	return &markOrder{route: m.Route, call: call, path: m.Path, mark: strings.EqualFold(m.Kind, "mark")}, nil
}

// minHashPrefix is the minimum number of digest digits that may stand for a key.
const minHashPrefix = 8

func checkDropKey(d *DropKey) (planner, error) {
	hash := strings.ToLower(d.Hash.Text)
	if len(hash) < minHashPrefix || strings.Trim(hash, "0123456789abcdef") != "" {
		return nil, faultAt(d.Hash, "want at least %d hexadecimal digits of the key's SHA-256, as \"show accounts\" prints them", minHashPrefix)
	}
	return &dropKeyOrder{hash: Name{Pos: d.Hash.Pos, Text: hash}, account: d.Account}, nil
}

func checkAddZone(z *AddZone) (planner, error) {
	name, err := parseNewName(z.Name)
	if err != nil {
		return nil, err
	}
	region, err := parseNewName(z.Region)
	return &addZoneOrder{name: Name{Pos: z.Name.Pos, Text: name}, region: region}, err
}

func checkReplica(r *Replica) (planner, error) {
	id, err := parseNumber(r.ID, "a replica's number")
	if err != nil {
		return nil, err
	}
	o := &replicaOrder{action: strings.ToLower(r.Kind), id: id, name: r.ID}
	switch {
	case o.action == "add" && r.Addr == nil:
		return nil, faultAt(r.ID, "want the new replica's address too: add replica %d at 127.0.0.1:7000", id)
	case o.action != "add" && r.Addr != nil:
		return nil, faultAt(*r.Addr, "only \"add replica\" takes an address")
	case r.Addr != nil:
		o.addr, err = parseAddr(*r.Addr)
	}
	return o, err
}
