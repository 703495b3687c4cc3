package experiment

import (
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// Variant is a kind of system that an experiment measures.
type Variant struct {
	// Name is the name of the variant in reports.
	Name string
	// Start starts the system in front of env's endpoints and returns once it
	// serves requests.
	Start func(ctx context.Context, env *Env) (*System, error)
}

// Env is the environment in which a variant starts.
type Env struct {
	Seed uint64
	// Dir is an empty directory for the system's files.
	Dir string
	// Region and Zones are the region and the availability zones of the endpoints.
	Region    string
	Zones     []string
	Endpoints []Endpoint
	Accounts  []Account
	Models    []string
	Services  []Service
	// TimeScale is how many seconds of model time pass in a second of real time.
	TimeScale float64
}

// Endpoint is a running stand-in.
type Endpoint struct {
	Name string
	Zone string
	// Target is the model or service that the endpoint serves.
	Target string
	// IsService is set for a worker of a plain service, and not for a model engine.
	IsService bool
	// URL is the endpoint's base URL.
	URL string
	// ChecksFence is set if the endpoint itself refuses orders with old fencing numbers.
	ChecksFence bool
}

// Service is a plain service, as opposed to a model.
type Service struct {
	Name string
	// AtMostOnce lists the calls that must not run twice.
	AtMostOnce []AtMostOnceCall
}

// AtMostOnceCall selects the calls that must not run twice, by method and path prefix.
type AtMostOnceCall struct {
	Method string
	Path   string
}

// System is a running system under test.
type System struct {
	// Entries are the base URLs that requests go to.
	Entries []string
	// SetZone takes an availability zone out of service, or puts it back in service. It
	// returns once the system has accepted the order. It is nil if the system has no
	// such order.
	SetZone func(ctx context.Context, zone string, in bool) error
	// Held returns the number of bytes that the system holds for callers, by its own
	// count. It is nil if the system does not count them.
	Held func() int64
	// Metrics are the URLs of the Prometheus pages of the entries, if they are separate
	// processes.
	Metrics []string
	// Stop stops the system.
	Stop func()
}

var (
	variantsMu sync.Mutex
	variants   = map[string]Variant{}
)

// Register registers a variant by its name. It panics on a duplicate name, which is a
// programming error.
func Register(v Variant) {
	variantsMu.Lock()
	defer variantsMu.Unlock()
	if _, ok := variants[v.Name]; ok {
		panic("experiment: variant registered twice: " + v.Name)
	}
	variants[v.Name] = v
}

// Lookup returns the variant that is registered as name.
func Lookup(name string) (Variant, error) {
	variantsMu.Lock()
	defer variantsMu.Unlock()
	v, ok := variants[name]
	if !ok {
		return Variant{}, errors.Errorf("no variant %q is built into this program", name)
	}
	return v, nil
}

// Variants returns the names of all registered variants, sorted.
func Variants() []string {
	variantsMu.Lock()
	defer variantsMu.Unlock()
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Remote returns a variant for a system that already runs and whose entries have the
// base URLs.
func Remote(name string, urls []string) Variant {
	return Variant{Name: name, Start: func(context.Context, *Env) (*System, error) {
		return &System{Entries: urls, Stop: func() {}}, nil
	}}
}
