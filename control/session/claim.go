package session

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// claimTimeout bounds the wait for a claim.
const claimTimeout = 2 * time.Second

// Claim asks for the right to run a non-idempotent call once. The error is a
// *verdict.Refusal and always says NotRun about the call: without an answer the
// caller has no number, and must not dispatch. Should the claim have been recorded
// all the same, a resend of the call finds it and may take it up.
//
// Without a quorum it refuses at once.
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
