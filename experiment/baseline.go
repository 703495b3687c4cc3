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
// endpoints, take zone orders at once, and have neither admission nor retries.
func init() {
	Register(baseline("round-robin", func() chooser { return &roundRobin{} }))
	Register(baseline("least-requests", func() chooser { return leastRequests{} }))
	Register(baseline("random", func() chooser { return randomChoice{} }))
}

const (
	baselineIdleConns = 512
	servicesPath      = "/services/"
)

// backend is one endpoint behind a baseline.
type backend struct {
	zone     string
	url      *url.URL
	inFlight int
}

// chooser picks one of the backends, of which there is at least one. The pool's
// lock guards its calls.
type chooser interface {
	choose(list []*backend) *backend
}

type roundRobin struct{ next int }

func (r *roundRobin) choose(list []*backend) *backend {
	r.next++
	return list[r.next%len(list)]
}

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

type randomChoice struct{}

func (randomChoice) choose(list []*backend) *backend { return list[rand.IntN(len(list))] }

// backendPool is the backends of one model or service.
type backendPool struct {
	mu       sync.Mutex
	chooser  chooser
	backends []*backend
	zonesOut map[string]bool
}

// acquire returns a backend in a zone that is in, or nil.
func (p *backendPool) acquire() *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := make([]*backend, 0, len(p.backends))
	for _, b := range p.backends {
		if !p.zonesOut[b.zone] {
			in = append(in, b)
		}
	}
	if len(in) == 0 {
		return nil
	}
	b := p.chooser.choose(in)
	b.inFlight++
	return b
}

func (p *backendPool) release(b *backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.inFlight--
}

func (p *backendPool) setZone(zone string, in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonesOut[zone] = !in
}

// baselineProxy routes prompts to the one model and calls to their service.
type baselineProxy struct {
	model     *backendPool
	services  map[string]*backendPool
	transport *http.Transport
	proxy     *httputil.ReverseProxy
}

type backendKey struct{}

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
		return nil, errors.New("the baselines serve one model")
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

// boundedBody ends a body after length bytes without a look beyond. The server
// closes a request's body when the answer begins; a transport that still looked
// for the body's end would then fail and cut the answer.
func boundedBody(body io.ReadCloser, length int64) io.ReadCloser {
	if length <= 0 {
		return body
	}
	return struct {
		io.Reader
		io.Closer
	}{io.LimitReader(body, length), body}
}

func rewrite(r *httputil.ProxyRequest) {
	b := r.In.Context().Value(backendKey{}).(*backend)
	r.SetURL(b.url)
	r.Out.Body = boundedBody(r.Out.Body, r.Out.ContentLength)
	if rest, ok := strings.CutPrefix(r.In.URL.Path, servicesPath); ok {
		_, path, _ := strings.Cut(rest, "/")
		r.Out.URL.Path = "/" + path
	}
}

// ServeHTTP passes a request on to one backend.
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

func (p *baselineProxy) setZone(_ context.Context, zone string, in bool) error {
	p.model.setZone(zone, in)
	for _, s := range p.services {
		s.setZone(zone, in)
	}
	return nil
}
