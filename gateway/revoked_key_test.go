package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestWithAKeyNeedsPermissionOnEveryRoute guards against a revoked key that ran at an entry
// which was cut off, because the entry's old configuration did not require a key on the route.
func TestRequestWithAKeyNeedsPermissionOnEveryRoute(t *testing.T) {
	withoutAccounts := func(d *Deployment) *Deployment {
		return (&Deployment{Version: 1, MaxBodyBytes: d.MaxBodyBytes, Services: d.Services, Routes: d.Routes}).Index()
	}
	withKey := func(r *http.Request) {}
	withoutKey := func(r *http.Request) { r.Header.Del("Authorization") }
	withUnknownKey := func(r *http.Request) { r.Header.Set("Authorization", "Bearer new") }
	tests := map[string]struct {
		path   string
		adjust func(*http.Request)
		// change is applied to the deployment if it is not nil.
		change func(*Deployment) *Deployment
		status int
	}{
		"anonymous":                       {"/open/1", withKey, nil, 503},
		"anonymous, below its prefix":     {"/open/closed/1", withKey, nil, 503},
		"anonymous, no key":               {"/open/1", withoutKey, nil, 200},
		"anonymous, unknown key":          {"/open/1", withUnknownKey, nil, 503},
		"no accounts":                     {"/seal/1", withKey, withoutAccounts, 503},
		"no accounts, stream":             {"/read/1", withKey, withoutAccounts, 503},
		"no accounts, no key":             {"/seal/1", withoutKey, withoutAccounts, 200},
		"no accounts, unknown path":       {"/none/1", withKey, withoutAccounts, 503},
		"no accounts, no key or path":     {"/none/1", withoutKey, withoutAccounts, 503},
		"route that requires a key":       {"/seal/1", withKey, nil, 503},
		"key missing where one is needed": {"/seal/1", withoutKey, nil, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(200, "good"))
			if test.change != nil {
				w.g.deployment.Store(test.change(w.g.deployment.Load()))
			}
			w.session.expired.Store(true)
			got := w.post(test.path, test.adjust)
			is.Equal(got.status, test.status)
			if test.status != 200 {
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(w.arrivalCount(), 0)
			}
		})
	}
}

// TestRetryOnAnAnonymousRouteWithAKeyNeedsPermission guards against later attempts with a revoked key:
// the permission lapses while the first one is under way.
func TestRetryOnAnAnonymousRouteWithAKeyNeedsPermission(t *testing.T) {
	is := is.New(t)
	var w *testGateway
	w = newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		w.session.expired.Store(true)
		refusing(503)(rw, r)
	}, answering(200, "good"))
	w.addLoad("desk", 2, 1) // the first endpoint is chosen first
	got := w.post("/open/1", nil)
	is.Equal(got.status, 503)
	is.Equal(w.arrivalCount(), 1)
}

// TestRequestWithAKeyOnAnAnonymousRouteWaitsForPermission checks that the caller is served as soon as
// the configuration is known to be current.
func TestRequestWithAKeyOnAnAnonymousRouteWaitsForPermission(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	w.session.expired.Store(true)
	time.AfterFunc(100*time.Millisecond, func() { w.session.expired.Store(false) })
	is.Equal(w.post("/open/1", nil).status, 200)
	is.Equal(w.arrivals[0].Header.Get("Account"), "parish")
}
