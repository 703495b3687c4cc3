package dev

import (
	"testing"

	"github.com/matryer/is"
)

// Probes reach endpoints that have no traffic of their own, and end well there.
func TestIdleEndpointsAreProbed(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Small(t.TempDir()))
	before := d.Metric("scribe-3", "sidecar_finished_total")
	eventually(t, "a probe ends at an endpoint without traffic", func() bool {
		return d.Metric("scribe-3", "sidecar_finished_total") > before
	})
	is.Equal(d.Metric("scribe-3", "sidecar_slow_readers_total"), 0.0)
}
