package operator

import (
	"fmt"
	"strings"

	"github.com/rosemaryproxy/rosemaryproxy/config"
)

// describeChange returns the new value that a change sets, or what it drops, as text.
func describeChange(c config.Change) string {
	switch {
	case c.Zone != nil:
		return fmt.Sprintf("zone %s: %s", c.Zone.Name, c.Zone.State)
	case c.Model != nil:
		return "model " + describeModel(c.Model)
	case c.Route != nil:
		return "route " + describeRoute(c.Route)
	case c.Account != nil:
		return "account " + describeAccount(c.Account)
	case c.Endpoint != nil:
		return fmt.Sprintf("endpoint %s: %s", c.Endpoint.Name, c.Endpoint.State)
	case c.DropModel != "":
		return "drop model " + c.DropModel
	case c.DropRoute != "":
		return "drop route " + c.DropRoute
	case c.DropAccount != "":
		return "drop account " + c.DropAccount
	}
	return "drop the rule for endpoint " + c.DropEndpoint
}

func describeModel(m *config.Model) string {
	parts := []string{m.Name}
	if len(m.Versions) > 0 {
		parts = append(parts, "versions "+strings.Join(m.Versions, ", "))
	}
	if len(m.Adapters) > 0 {
		parts = append(parts, "adapters "+strings.Join(m.Adapters, ", "))
	}
	if m.WeightBytes > 0 {
		parts = append(parts, "weights "+formatBytes(float64(m.WeightBytes)))
	}
	return strings.Join(parts, " ")
}

func describeRoute(r *config.Route) string {
	parts := []string{r.Name, "to", string(r.Kind), r.Target}
	if r.Deadline > 0 {
		parts = append(parts, "deadline", r.Deadline.String())
	}
	if r.MaxOutputTokens > 0 {
		parts = append(parts, fmt.Sprintf("max output %d", r.MaxOutputTokens))
	}
	if len(r.Accounts) > 0 {
		parts = append(parts, "accounts", strings.Join(r.Accounts, ", "))
	}
	if len(r.NonIdempotent) > 0 {
		parts = append(parts, "non-idempotent", strings.Join(callTexts(r.NonIdempotent), ", "))
	}
	return strings.Join(parts, " ")
}

func describeAccount(a *config.Account) string {
	l := a.Limits
	parts := []string{a.Name}
	if l.RequestsPerSecond > 0 {
		parts = append(parts, "requests "+formatNumber(l.RequestsPerSecond)+"/s")
	}
	if l.TokensPerSecond > 0 {
		parts = append(parts, "tokens "+formatNumber(l.TokensPerSecond)+"/s")
	}
	if l.Concurrent > 0 {
		parts = append(parts, fmt.Sprintf("concurrent %d", l.Concurrent))
	}
	if l.HeldBytes > 0 {
		parts = append(parts, "held "+formatBytes(float64(l.HeldBytes)))
	}
	return strings.Join(append(parts, plural(len(a.KeyHashes), "key")), " ")
}
