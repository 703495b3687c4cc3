package entry

import (
	"context"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// performOnce brings a call that runs at most once to its end.
func (e *Entry) performOnce(_ context.Context, c *call, _ *answer) error {
	return verdict.Refuse(verdict.ReasonNoQuorum, 0, "claims are not served here yet; %s %s has not run", c.method, c.path)
}
