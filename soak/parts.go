package soak

import "time"

// minShareRequests is the number of requests from which the share of those that begin is compared.
const minShareRequests = 20

// share counts the requests of callers and those of them that begin to run.
type share struct{ sent, begun int }

// shareOf returns the share in which a sound request beside crashing ones counts, nil if it counts in
// none: before the first crash, or from twice Bounds.Reconnect after the crash that the entries
// must know of, or the last one if there were fewer. The caller holds mu.
func (c *Checker) shareOf(now time.Time, r Request) *share {
	if r.Beside == "" || !now.After(c.boundsSuspended) {
		return nil
	}
	content := c.crashingContent(r.Beside)
	var s *share
	switch {
	case content.crashes == 0:
		s = &content.before
	case now.Sub(content.lastCounted) > 2*c.bounds.Reconnect:
		s = &content.after
	default:
		return nil
	}
	s.sent++
	return s
}

// recordBegin counts the request when it begins to run for the first time.
func (r *trackedRequest) recordBegin() {
	if r.share != nil && r.runs == 0 {
		r.share.begun++
	}
}

// SoundShares returns how many sound requests were sent and begun before the first crash under a
// content, and once the crashes must be known.
func (c *Checker) SoundShares(content string) (sentBefore, begunBefore, sentAfter, begunAfter int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.crashingContent(content)
	return known.before.sent, known.before.begun, known.after.sent, known.after.begun
}

// CheckSoundShare compares the shares of the sound requests beside a content that begin to run: at least
// half of the share of before must begin once the crashes must be known.
func (c *Checker) CheckSoundShare(now time.Time, content string) {
	sentBefore, begunBefore, sentAfter, begunAfter := c.SoundShares(content)
	if sentBefore < minShareRequests || sentAfter < minShareRequests {
		return
	}
	if before, after := float64(begunBefore)/float64(sentBefore), float64(begunAfter)/float64(sentAfter); after < before/2 {
		c.AddFinding(now, PromiseSoundPart, "%d of %d sound requests beside %q began to run, %d of %d did before", begunAfter, sentAfter, content, begunBefore, sentBefore)
	}
}
