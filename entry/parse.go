package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// defaultOutputTokens bounds an output that neither request nor route bounds.
	defaultOutputTokens = 1024
)

// textSummary measures a JSON value without copying it: its length and the hash of its
// first engine.PrefixBytes bytes.
type textSummary struct {
	bytes  int
	prefix uint64
}

// UnmarshalJSON measures b.
func (s *textSummary) UnmarshalJSON(b []byte) error {
	text := b
	if len(b) > 1 && b[0] == '"' {
		text = b[1 : len(b)-1]
	}
	s.bytes = len(text)
	s.prefix = xxhash.Sum64(text[:min(len(text), engine.PrefixBytes)])
	return nil
}

// locatedString is a JSON string and where it stands in the body that it was decoded from.
type locatedString struct {
	value string
	raw   []byte
}

// UnmarshalJSON keeps b, which is a part of the body.
func (p *locatedString) UnmarshalJSON(b []byte) error {
	p.raw = b
	return json.Unmarshal(b, &p.value)
}

// replace returns body with the string replaced. encoding/json hands out parts of
// the body itself, so that their capacities tell where they stand; where that
// does not hold, body is left as it is and ok is false.
func (p *locatedString) replace(body []byte, value string) (replaced []byte, ok bool) {
	at := cap(body) - cap(p.raw)
	end := at + len(p.raw)
	if at < 0 || end > len(body) || !bytes.Equal(body[at:end], p.raw) {
		return body, false
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		return body, false
	}
	return slices.Replace(body, at, end, quoted...), true
}

// completionRequest is the part of a request's body that routing needs. The completionRequest itself
// stays where it is in the body.
type completionRequest struct {
	Model     *locatedString `json:"model"`
	Prompt    *textSummary   `json:"prompt"`
	Messages  *textSummary   `json:"messages"`
	MaxTokens *int           `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// parsePrompt reads what routing needs from a prompt's body.
func (e *Entry) parsePrompt(c *call) error {
	var p completionRequest
	if err := json.Unmarshal(c.body, &p); err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body is not the JSON of a completion: %v", err)
	}
	text := p.Prompt
	if text == nil {
		text = p.Messages
	}
	switch {
	case p.Model == nil || p.Model.value == "":
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body names no model")
	case text == nil:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body has neither prompt nor messages")
	case p.MaxTokens != nil && *p.MaxTokens <= 0:
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "max_tokens has to be above 0")
	}
	if err := authorize(e.control.Config(), c, p.Model.value); err != nil {
		return err
	}
	if c.route.Kind != config.ModelRoute {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "route %q leads to a service", c.route.Name)
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	// Callers name a route; the engine wants the name of its model.
	body, ok := p.Model.replace(c.body, c.route.Target)
	if !ok {
		return verdict.Refuse(verdict.ReasonInternal, 0, "the model's name could not be set")
	}
	c.body = body
	estimate := e.dispatcher.estimate(c.route.Name, text.bytes)
	c.expectedPromptTokens = estimate.Tokens
	c.routing = route.Request{
		Target:       c.route.Target,
		PromptTokens: estimate.Bound,
		OutputTokens: outputBound(c.route, p.MaxTokens),
		Prefix:       text.prefix,
		Zone:         e.node.Zone,
		Deadline:     c.deadline,
	}
	c.promptBytes = text.bytes
	c.routing.Class = route.ClassOf(estimate.Tokens)
	return nil
}

func outputBound(r config.Route, asked *int) int {
	bound := defaultOutputTokens
	if r.MaxOutputTokens > 0 {
		bound = r.MaxOutputTokens
	}
	if asked != nil {
		bound = *asked
	}
	return bound
}

// parseService reads the route and path of a call to a plain service.
func (e *Entry) parseService(c *call, r *http.Request) error {
	if err := authorize(e.control.Config(), c, r.PathValue("route")); err != nil {
		return err
	}
	if c.route.Kind != config.ServiceRoute {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "route %q leads to a model", c.route.Name)
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	path := "/" + r.PathValue("path")
	c.path = path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	c.atMostOnce = c.route.RunsOnce(c.method, path)
	if c.atMostOnce && c.idempotencyKey == "" {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s %s runs at most once and wants a header %s", c.method, path, HeaderIdempotencyKey)
	}
	c.digest = xxhash.Sum64String(strings.Join([]string{c.method, c.path, string(c.body)}, "\x00"))
	c.routing = route.Request{Target: c.route.Target, Zone: e.node.Zone, Deadline: c.deadline}
	return nil
}
