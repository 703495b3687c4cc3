package gateway

import "github.com/rosemaryproxy/rosemaryproxy/prefix"

// keptTokens returns how many tokens of the prompt endpoints are expected to hold still, by endpoint.
func (c *call) keptTokens() map[string]int {
	if len(c.Segments) == 0 || c.service.Prefix == nil {
		return nil
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.prefixes.Kept(c.g.clock.Now(), c.service.Name, c.Segments, c.PromptTokens, *c.service.Prefix, c.g.fleet.Incarnation)
}

// recordPrefix records that the endpoint has read the prompt, because its answer has begun. Of a prompt that a group
// has read it is not known who holds which part, so only the tokens count there.
func (a *attempt) recordPrefix() {
	c := a.c
	if c.service.Prefix == nil {
		return
	}
	segments, tokens := c.Segments, c.PromptTokens
	if len(a.placed.Helpers) > 0 {
		segments, tokens = nil, c.PromptTokens/(1+len(a.placed.Helpers))
	}
	now := c.g.clock.Now()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.prefixes.Read(now, c.service.Name, prefix.Endpoint{Name: a.placed.Primary.Name, Incarnation: a.placed.Primary.Incarnation}, segments, tokens)
	for _, h := range a.placed.Helpers {
		c.g.prefixes.Read(now, c.service.Name, prefix.Endpoint{Name: h.Name, Incarnation: h.Incarnation}, nil, tokens)
	}
}
