package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Paths of the HTTP interface for callers.
const (
	// PathServices is the prefix of calls to plain HTTP services, which are not model engines:
	// "/services/{route}/...".
	PathServices = "/services/"
	// PathHealth answers 200 while the entry accepts new requests, else 503.
	PathHealth = "/healthz"
)

// handler returns the HTTP handler for callers.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.serveModel)
	mux.HandleFunc("POST "+engine.PathChat, e.serveModel)
	mux.HandleFunc(PathServices+"{route}/{path...}", e.serveService)
	mux.HandleFunc("GET "+PathHealth, e.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.answerRefusal(w, r, nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "no such path %s", r.URL.Path))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// serveHealth answers health checks. On a planned stop they fail before the listener closes,
// so that the platform's load balancer sends new requests elsewhere.
func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	case e.control.Config().Revision == 0:
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// serveModel serves a request to a model.
func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(c *call) error {
		if err := e.readBody(w, r, c); err != nil {
			return err
		}
		return e.parsePrompt(c)
	})
}

// serveService serves a request to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(c *call) error {
		if err := e.readBody(w, r, c); err != nil {
			return err
		}
		return e.parseService(c, r)
	})
}

// serve handles one request: it authenticates the caller, reads and parses the request,
// reserves quota, and performs the call.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse func(*call) error) {
	c := e.newCall(r)
	defer e.freeMemory(c)
	doc := e.control.Config()
	if doc.Revision == 0 {
		e.answerRefusal(w, r, c, verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second, "the entry has no configuration yet"))
		return
	}
	account, err := e.keys.authenticate(doc, r.Header.Get("Authorization"))
	if err != nil {
		e.answerRefusal(w, r, c, verdict.From(err))
		return
	}
	c.account = account
	c.memory = e.budget.Account(account.Name)
	if err := parse(c); err != nil {
		e.answerRefusal(w, r, c, verdict.From(err))
		return
	}
	if err := e.reserveQuota(c); err != nil {
		e.answerRefusal(w, r, c, verdict.From(err))
		return
	}
	defer e.releaseQuota(c)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	answer := newAnswer(w, c, e.ReaderTimeout.Std(), e.clock)
	err = e.perform(ctx, c, answer)
	if err == nil {
		e.metrics.answered(c)
		e.log.Info("request answered", c.logFields("bytes", answer.sentBytes)...)
		return
	}
	e.answerFailure(r, c, answer, verdict.From(err))
}

// answerFailure ends a failed call: with a refusal, or by aborting an answer that has been
// written in part.
func (e *Entry) answerFailure(req *http.Request, c *call, a *answer, r *verdict.Refusal) {
	if !a.committed {
		e.answerRefusal(a.w, req, c, r)
		return
	}
	e.metrics.refused(c, r)
	e.log.Warn("answer aborted", c.logFields("verdict", r.Verdict.String(), "reason", string(r.Reason), "detail", r.Detail)...)
	a.abort(r)
}

// reserveQuota reserves the call's cost from the limits of its client account.
func (e *Entry) reserveQuota(c *call) error {
	c.reservedQuota = quota.Cost{
		Tokens:    int64(c.routing.PromptTokens) + int64(c.routing.OutputTokens),
		HeldBytes: int64(len(c.body)),
	}
	now := e.clock.Now()
	err := e.quotas.Take(now, &c.account, c.reservedQuota)
	if err != nil {
		e.requestShares(now)
	}
	return err
}

// requestShares asks control for shares of account limits at once, after a request was
// refused, because an account that was idle has no share yet. It does so at most once every
// shareRequestInterval.
func (e *Entry) requestShares(now time.Time) {
	last := e.sharesRequestedAt.Load()
	if now.UnixNano()-last < int64(shareRequestInterval) || !e.sharesRequestedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	e.control.Announce()
}

// releaseQuota releases the call's reservation and charges the tokens that the engine
// reported, if it did.
func (e *Entry) releaseQuota(c *call) {
	spent := c.reservedQuota
	if c.usage.prompt > 0 {
		spent.Tokens = int64(c.usage.prompt) + int64(c.usage.output)
	}
	e.quotas.Release(e.clock.Now(), c.account.Name, c.reservedQuota, spent)
}

// authorize sets the call's route to the named one if the client account may use it.
func authorize(doc *config.Document, c *call, name string) error {
	route, ok := doc.Routes[name]
	if !ok || !routeAllows(route, c.account.Name) {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "no route %q for account %q", name, c.account.Name)
	}
	c.route = route
	return nil
}

// routeAllows reports whether the account may use the route. A route without a list of
// accounts is open to all.
func routeAllows(r config.Route, account string) bool {
	if len(r.Accounts) == 0 {
		return true
	}
	for _, a := range r.Accounts {
		if strings.EqualFold(a, account) {
			return true
		}
	}
	return false
}
