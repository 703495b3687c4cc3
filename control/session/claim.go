package session

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// claimTimeout is the longest wait for the answer to a claim.
const claimTimeout = 2 * time.Second

// Claim asks control for the right to run a non-idempotent call once, as a command with the
// given identifier.
//
// The error is a *verdict.Refusal, and its verdict is always NotRun, also after a lost answer:
// without an answer the caller has no fencing number and must not dispatch the call. If control
// has recorded the claim nevertheless, a retry of the call gets it as a pending claim and may
// run under it.
//
// Without a known leader or a valid permission, Claim fails at once.
func (c *Client) Claim(ctx context.Context, id string, claim command.Claim) (command.Claimed, error) {
	var claimed command.Claimed
	if !c.Fresh() || c.Leader() == "" {
		return claimed, verdict.Refuse(verdict.ReasonNoQuorum, retryAfter, "control has no quorum that can be reached")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := c.Do(ctx, command.NameClaim, id, claim, &claimed)
	if err == nil {
		return claimed, nil
	}
	r := verdict.From(err)
	return command.Claimed{}, &verdict.Refusal{
		Verdict: verdict.NotRun, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail,
	}
}
