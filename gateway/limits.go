package gateway

import (
	"net/http"
	"strings"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

// observeLimit records the limit that an endpoint names in the head of its answer, or that
// it names none. A limit that cannot be decoded changes nothing.
func (c *call) observeLimit(e assign.Endpoint, res *http.Response) {
	named, err := c.g.dialect.ReadLimit(res.Header)
	if err != nil {
		c.log().Warn("endpoint limit not understood", "limited", e.Name, "status", res.StatusCode, "error", err)
		return
	}
	perSecond := named.PerSecond
	if !named.Named {
		perSecond = -1
	}
	now := c.g.clock.Now()
	c.g.mu.Lock()
	limit, changed := c.g.fleet.ObserveLimit(now, c.sentAt, e.Name, e.Incarnation, perSecond)
	c.g.mu.Unlock()
	if !changed {
		return
	}
	c.g.metrics.limitChanges.Inc()
	c.log().Info("endpoint limit changed", "limited", e.Name, "incarnation", e.Incarnation, "per_second", limit.PerSecond, "version", limit.Version,
		"status", res.StatusCode, "header", named.Header, "age", now.Sub(c.sentAt))
}

// helperNames lists the helpers of an assignment for a log line.
func helperNames(a *assign.Assignment) string {
	names := make([]string, len(a.Helpers))
	for i, h := range a.Helpers {
		names[i] = h.Name
	}
	return strings.Join(names, ",")
}
