package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests that callers sent and that were refused before they reached an endpoint were left out of the retry budget.
func TestRequestsThatReachNoEndpointCountForTheRetryBudget(t *testing.T) {
	for _, test := range []struct {
		name     string
		services map[string]bool
		findings int
	}{
		{"one service", map[string]bool{"model": true}, 0},
		{"several services", map[string]bool{"model": true, "spare": true}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := NewChecker(time.Unix(0, 0), Bounds{Retries: RetryBounds{Ratio: 0.5, Window: 10 * time.Second}})
			now := time.Unix(1, 0)
			for n := range 4 {
				c.Sent(now.Add(time.Duration(n)), Request{ID: fmt.Sprint(n), Services: test.services})
			}
			for range 3 { // two repeated arrivals of the four requests sent
				c.Arrived(now.Add(time.Millisecond), "0", "model")
			}
			is.Equal(len(c.Findings()), test.findings)
		})
	}
}
