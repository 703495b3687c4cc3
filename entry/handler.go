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

// Paths for callers.
const (
	// PathServices leads to plain services: "/services/{route}/...".
	PathServices = "/services/"
	// PathHealth answers 200 while the entry takes new requests, else 503.
	PathHealth = "/healthz"
)

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.serveModel)
	mux.HandleFunc("POST "+engine.PathChat, e.serveModel)
	mux.HandleFunc(PathServices+"{route}/{path...}", e.serveService)
	mux.HandleFunc("GET "+PathHealth, e.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.answerRefusal(w, nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "no such path %s", r.URL.Path))
	})
	return mux
}

// serveHealth turns before anything else on a planned stop, so that the
// platform's balancer sends new requests elsewhere.
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

// serveModel serves a prompt.
func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(c *call) error {
		if err := e.readBody(w, r, c); err != nil {
			return err
		}
		return e.parsePrompt(c)
	})
}

// serveService serves a call to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(c *call) error {
		if err := e.readBody(w, r, c); err != nil {
			return err
		}
		return e.parseService(c, r)
	})
}

// serve takes one request from authentication to its final answer.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse func(*call) error) {
	c := e.newCall(r)
	defer e.freeMemory(c)
	doc := e.control.Config()
	if doc.Revision == 0 {
		e.answerRefusal(w, c, verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second, "the entry has no configuration yet"))
		return
	}
	account, err := e.keys.authenticate(doc, r.Header.Get("Authorization"))
	if err != nil {
		e.answerRefusal(w, c, verdict.From(err))
		return
	}
	c.account = account
	c.memory = e.budget.NewReservation(account.Name)
	if err := parse(c); err != nil {
		e.answerRefusal(w, c, verdict.From(err))
		return
	}
	if err := e.reserveQuota(c); err != nil {
		e.answerRefusal(w, c, verdict.From(err))
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
	e.answerFailure(c, answer, verdict.From(err))
}

// answerFailure gives the caller its final answer at once.
func (e *Entry) answerFailure(c *call, a *answer, r *verdict.Refusal) {
	if !a.committed {
		e.answerRefusal(a.w, c, r)
		return
	}
	e.metrics.refused(c, r)
	e.log.Warn("answer broken", c.logFields("verdict", r.Verdict.String(), "reason", string(r.Reason), "detail", r.Detail)...)
	a.abort(r)
}

// reserveQuota books the request on its account's limits.
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

// requestShares sends the demand for shares at once, now and then, when a request
// was refused: an account that was idle has no share yet.
func (e *Entry) requestShares(now time.Time) {
	last := e.sharesRequestedAt.Load()
	if now.UnixNano()-last < int64(shareRequestInterval) || !e.sharesRequestedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	e.control.Announce()
}

// releaseQuota ends the booking, with the tokens that the request really took.
func (e *Entry) releaseQuota(c *call) {
	spent := c.reservedQuota
	if c.usage.prompt > 0 {
		spent.Tokens = int64(c.usage.prompt) + int64(c.usage.output)
	}
	e.quotas.Release(e.clock.Now(), c.account.Name, c.reservedQuota, spent)
}

// authorize checks that the account may use the route.
func authorize(doc *config.Document, c *call, name string) error {
	route, ok := doc.Routes[name]
	if !ok || !routeAllows(route, c.account.Name) {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "no route %q for account %q", name, c.account.Name)
	}
	c.route = route
	return nil
}

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
