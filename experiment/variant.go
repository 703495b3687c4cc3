package experiment

import (
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// Variant is a way to build the system that an experiment measures.
type Variant struct {
	// Name is what reports call the variant.
	Name string
	// Start starts the system in front of env's endpoints and returns once it
	// serves requests.
	Start func(ctx context.Context, env *Env) (*System, error)
}

// Env is what a variant finds when it starts.
type Env struct {
	Seed uint64
	// Dir is an empty folder for the system's files.
	Dir string
	// Region and Zones are where the endpoints stand.
	Region    string
	Zones     []string
	Endpoints []Endpoint
	Accounts  []Account
	Models    []string
	Services  []Service
	// TimeScale is how many seconds of model time pass in a second.
	TimeScale float64
}

// Endpoint is a stand-in that runs already.
type Endpoint struct {
	Name string
	Zone string
	// Target is the model or service that the endpoint serves.
	Target string
	// IsService is set for a plain service rather than a model engine.
	IsService bool
	// URL is the endpoint's base URL.
	URL         string
	ChecksFence bool
}

// Service is a plain service that requests call.
type Service struct {
	Name string
	// AtMostOnce lists the calls that must not run twice.
	AtMostOnce []AtMostOnceCall
}

// AtMostOnceCall names calls by method and path prefix.
type AtMostOnceCall struct {
	Method string
	Path   string
}

// System is a running system.
type System struct {
	// Entries are the base URLs that requests go to.
	Entries []string
	// SetZone takes an availability zone out, or in again. It returns once the order
	// is accepted. It is nil where there is no such order.
	SetZone func(ctx context.Context, zone string, in bool) error
	// Held returns the bytes that the system holds for callers, by its own
	// account. It is nil where the system keeps none.
	Held func() int64
	// Metrics are the URLs of the Prometheus pages of the entries, when they are
	// processes of their own.
	Metrics []string
	// Stop stops the system.
	Stop func()
}

var (
	variantsMu sync.Mutex
	variants   = map[string]Variant{}
)

// Register makes a variant known by its name. It panics on a duplicate, which is
// a programming error.
func Register(v Variant) {
	variantsMu.Lock()
	defer variantsMu.Unlock()
	if _, ok := variants[v.Name]; ok {
		panic("experiment: variant registered twice: " + v.Name)
	}
	variants[v.Name] = v
}

// Lookup returns the variant registered as name.
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

// Remote returns a variant that is a system already running at the base URLs.
func Remote(name string, urls []string) Variant {
	return Variant{Name: name, Start: func(context.Context, *Env) (*System, error) {
		return &System{Entries: urls, Stop: func() {}}, nil
	}}
}
