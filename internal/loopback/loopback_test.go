package loopback

import (
	"testing"

	"github.com/matryer/is"
)

// A port that was chosen for one deployment and not yet in use was chosen for another one, too.
func TestPortIsChosenTwice(t *testing.T) {
	is := is.New(t)
	chosen := map[string]bool{}
	for range 2000 {
		addrs, err := Addrs(1)
		is.NoErr(err)
		is.True(!chosen[addrs[0]])
		chosen[addrs[0]] = true
	}
}
