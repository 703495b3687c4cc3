package dev

import (
	"testing"

	"github.com/matryer/is"
)

// Probes are sent to endpoints without traffic, and their requests are completed.
func TestIdleEndpointsAreProbed(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Small(t.TempDir()))
	before := d.Metric("scribe-3", "sidecar_finished_total")
	eventually(t, "a probe is completed at an endpoint without traffic", func() bool {
		return d.Metric("scribe-3", "sidecar_finished_total") > before
	})
	is.Equal(d.Metric("scribe-3", "sidecar_slow_readers_total"), 0.0)
}
