package experiment

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// The baselines are plain reverse proxies of the standard library. They know all
// endpoints from the start, apply zone orders at once, and have neither admission
// control nor retries.
func init() {
	Register(baseline("round-robin", func() chooser { return &roundRobin{} }))
	Register(baseline("least-requests", func() chooser { return leastRequests{} }))
	Register(baseline("random", func() chooser { return randomChoice{} }))
}

const (
	// baselineIdleConns is the number of idle connections kept to each endpoint.
	baselineIdleConns = 512
	// servicesPath begins the path of calls to plain services; the service's name
	// follows.
	servicesPath = "/services/"
)

// backend is one endpoint behind a baseline.
type backend struct {
	zone     string
	url      *url.URL
	inFlight int
}

// chooser selects a backend from a list that is not empty. It is called with the
// pool's lock held.
type chooser interface {
	choose(list []*backend) *backend
}

// roundRobin chooses the backends in turn.
type roundRobin struct{ next int }

func (r *roundRobin) choose(list []*backend) *backend {
	r.next++
	return list[r.next%len(list)]
}

// leastRequests chooses a backend with the fewest requests in flight. It starts at a
// random backend, so that ties are spread.
type leastRequests struct{}

func (leastRequests) choose(list []*backend) *backend {
	start := rand.IntN(len(list))
	best := list[start]
	for i := range list {
		b := list[(start+i)%len(list)]
		if b.inFlight < best.inFlight {
			best = b
		}
	}
	return best
}

// randomChoice chooses a backend at random.
type randomChoice struct{}

func (randomChoice) choose(list []*backend) *backend { return list[rand.IntN(len(list))] }

// backendPool holds the backends of one model or service. The mutex guards the
// chooser, the requests in flight and zonesOut.
type backendPool struct {
	mu       sync.Mutex
	chooser  chooser
	backends []*backend
	zonesOut map[string]bool
}

// acquire counts a request in flight at a backend whose zone is not out of service,
// and returns the backend, or nil if there is none.
func (p *backendPool) acquire() *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	inService := make([]*backend, 0, len(p.backends))
	for _, b := range p.backends {
		if !p.zonesOut[b.zone] {
			inService = append(inService, b)
		}
	}
	if len(inService) == 0 {
		return nil
	}
	b := p.chooser.choose(inService)
	b.inFlight++
	return b
}

// release ends a request that acquire has counted.
func (p *backendPool) release(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.inFlight--
}

// setZone takes a zone out of service, or puts it back in service.
func (p *backendPool) setZone(zone string, in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonesOut[zone] = !in
}

// baselineProxy is a reverse proxy that routes prompts to its only model and calls to
// their service.
type baselineProxy struct {
	model     *backendPool
	services  map[string]*backendPool
	transport *http.Transport
	proxy     *httputil.ReverseProxy
}

// backendKey is the context key of the backend that a request goes to.
type backendKey struct{}

// baseline returns the variant that runs a baselineProxy with the given chooser.
func baseline(name string, chooser func() chooser) Variant {
	return Variant{Name: name, Start: func(_ context.Context, env *Env) (*System, error) {
		p, err := newBaselineProxy(env, chooser)
		if err != nil {
			return nil, err
		}
		base, stop, err := standin.Serve(p)
		if err != nil {
			return nil, err
		}
		return &System{Entries: []string{base}, SetZone: p.setZone, Stop: func() {
			stop()
			p.transport.CloseIdleConnections()
		}}, nil
	}}
}

func newBaselineProxy(env *Env, chooser func() chooser) (*baselineProxy, error) {
	if len(env.Models) > 1 {
		return nil, errors.New("baseline variants support only one model")
	}
	newPool := func() *backendPool { return &backendPool{chooser: chooser(), zonesOut: map[string]bool{}} }
	p := &baselineProxy{model: newPool(), services: map[string]*backendPool{}}
	for _, s := range env.Services {
		p.services[s.Name] = newPool()
	}
	for _, e := range env.Endpoints {
		u, err := url.Parse(e.URL)
		if err != nil {
			return nil, errors.Wrap(err, "parse endpoint URL")
		}
		pool := p.model
		if e.IsService {
			pool = p.services[e.Target]
		}
		pool.backends = append(pool.backends, &backend{zone: e.Zone, url: u})
	}
	p.transport = &http.Transport{MaxIdleConnsPerHost: baselineIdleConns, DisableCompression: true}
	p.proxy = &httputil.ReverseProxy{Rewrite: rewrite, Transport: p.transport, ErrorLog: log.New(io.Discard, "", 0)}
	return p, nil
}

// boundedBody ends a body after length bytes without another read of the body. The
// server closes a request's body when the answer begins; a transport that then still
// reads for the end of the body would fail and cut the answer.
func boundedBody(body io.ReadCloser, length int64) io.ReadCloser {
	if length <= 0 {
		return body
	}
	return struct {
		io.Reader
		io.Closer
	}{io.LimitReader(body, length), body}
}

// rewrite addresses a request to its backend and strips the service's path prefix.
func rewrite(r *httputil.ProxyRequest) {
	b := r.In.Context().Value(backendKey{}).(*backend)
	r.SetURL(b.url)
	r.Out.Body = boundedBody(r.Out.Body, r.Out.ContentLength)
	if rest, ok := strings.CutPrefix(r.In.URL.Path, servicesPath); ok {
		_, path, _ := strings.Cut(rest, "/")
		r.Out.URL.Path = "/" + path
	}
}

// ServeHTTP forwards a request to one backend.
func (p *baselineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pool := p.model
	if rest, ok := strings.CutPrefix(r.URL.Path, servicesPath); ok {
		name, _, _ := strings.Cut(rest, "/")
		pool = p.services[name]
	}
	if pool == nil {
		http.NotFound(w, r)
		return
	}
	b := pool.acquire()
	if b == nil {
		http.Error(w, "no backend is in", http.StatusServiceUnavailable)
		return
	}
	defer pool.release(b)
	p.proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), backendKey{}, b)))
}

// setZone takes a zone of all pools out of service, or puts it back in service.
func (p *baselineProxy) setZone(_ context.Context, zone string, in bool) error {
	p.model.setZone(zone, in)
	for _, s := range p.services {
		s.setZone(zone, in)
	}
	return nil
}
