package capacity

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/internal/loopback"
)

const (
	// retryDelay is the wait after a refusal. An endpoint in slow start refuses
	// requests at first.
	retryDelay = 20 * time.Millisecond
	// answerDeadline is the deadline of the route, long enough for paced answers even if
	// the entry predicts that the engine is slow.
	answerDeadline = 10 * time.Minute
	// maxConns bounds the idle connections that a client keeps.
	maxConns = 2000
)

// target is one of the request paths to the engine.
type target struct {
	name string
	// base is the base URL, and model the name of the model or route to request.
	base  string
	model string
}

// testbed is an engine with three request paths to it: direct, through the reverse
// proxy of the standard library, and through an entry and a sidecar.
type testbed struct {
	engine     *minimalEngine
	servers    []*http.Server
	deployment *dev.Deployment
	client     *http.Client
	targets    []target
}

// startTestbed starts the engine, the proxy and the deployment, with files below dir.
func startTestbed(dir string) (*testbed, error) {
	p := &testbed{
		engine: newMinimalEngine(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns}},
	}
	if err := p.start(dir); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *testbed) start(dir string) error {
	direct, err := p.serve(p.engine.handler())
	if err != nil {
		return err
	}
	proxy, err := p.serve(reverseProxy(direct))
	if err != nil {
		return err
	}
	plan := dev.Small(dir)
	plan.Replicas, plan.Entries = 1, 1
	scribe := plan.Bootstrap.Routes[dev.SmallRoute]
	scribe.Deadline = answerDeadline
	plan.Bootstrap.Routes[dev.SmallRoute] = scribe
	plan.Endpoints = []dev.Endpoint{{
		Name: "scribe-1", Zone: plan.Zones[0], Target: dev.SmallModel, URL: direct.String(),
		Sidecar: map[string]any{"linger": "1s"}, Engine: map[string]any{},
	}}
	if p.deployment, err = dev.Start(plan, hclog.NewNullLogger()); err != nil {
		return err
	}
	p.targets = []target{
		{"direct", direct.String(), dev.SmallModel},
		{"reverse proxy", proxy.String(), dev.SmallModel},
		{"entry and sidecar", "http://" + p.deployment.Files.Entries[0], dev.SmallRoute},
	}
	for _, t := range p.targets {
		if err := p.readAnswer(t, 1); err != nil {
			return errors.Wrap(err, t.name)
		}
	}
	return nil
}

// reverseProxy returns a plain reverse proxy, with which the entry and the sidecar are
// compared.
func reverseProxy(to *url.URL) http.Handler {
	return &httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(to) },
		Transport:     &http.Transport{MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns},
		FlushInterval: -1,
	}
}

// serve serves h on a free loopback address until stop is called.
func (p *testbed) serve(h http.Handler) (*url.URL, error) {
	addrs, err := loopback.Addrs(1)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addrs[0])
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: settleTimeout}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(listener) }()
	return &url.URL{Scheme: "http", Host: addrs[0]}, nil
}

// stop stops all servers and ends the answers in progress.
func (p *testbed) stop() {
	p.engine.release()
	p.client.CloseIdleConnections()
	if p.deployment != nil {
		p.deployment.Stop()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// open sends a request for a stream of tokens until it is admitted, for settleTimeout
// at most.
func (p *testbed) open(t target, prompt string, tokens int) (*http.Response, error) {
	body, err := json.Marshal(engine.Completion{Model: t.model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	deadline := time.Now().Add(settleTimeout)
	for {
		res, err := p.post(t, body)
		if err == nil && res.StatusCode == http.StatusOK {
			return res, nil
		}
		if err == nil {
			err = refusalError(res)
		}
		if time.Now().After(deadline) {
			return nil, err
		}
		time.Sleep(retryDelay)
	}
}

// refusalError returns an error for an answer whose status is not 200.
func refusalError(res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 1024))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	return errors.Errorf("unexpected status %s: %s", res.Status, raw)
}

// post sends a completion request.
func (p *testbed) post(t target, body []byte) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, t.base+engine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+dev.SmallKey)
	return p.client.Do(req)
}

// readAnswer sends one request and reads its answer to the end.
func (p *testbed) readAnswer(t target, tokens int) error {
	res, err := p.open(t, "short", tokens)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err == nil && !bytes.HasSuffix(raw, []byte("data: [DONE]\n\n")) {
		err = errors.New("the answer ended without its end marker")
	}
	return errors.Wrap(err, "read answer")
}

// quantile returns the q-quantile, with q from 0 to 1, of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// sortedTimes calls f n times, one after the other, and returns the sorted durations of
// the calls.
func sortedTimes(n int, f func() error) ([]time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for range n {
		began := time.Now()
		if err := f(); err != nil {
			return nil, err
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times, nil
}
