package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// quarantineRetryAfter is the Retry-After of requests that crash endpoints. No earlier copy
	// of such a request would be sent.
	quarantineRetryAfter = time.Hour
	// clearancePoll is the time between two looks whether a part that was just convicted has been cleared.
	clearancePoll = 10 * time.Millisecond
	// maxPermitWait is the longest wait before a permit is requested again.
	maxPermitWait = time.Second
	// refusalCheckDelay is the time between the two checks if the address of an endpoint
	// refuses connections. A process that ends may close its connections first.
	refusalCheckDelay = 100 * time.Millisecond
	// minHelperLossTime is the shortest time after which an endpoint refuses a request because
	// it lost a helper meanwhile. It refuses at once if the helper was gone before.
	minHelperLossTime = 300 * time.Millisecond
	// beginningTime is how long an endpoint goes on after its first event until the answer shows that
	// the parts of the prompt do not crash it.
	beginningTime = 500 * time.Millisecond
	// lossReportRetry is the pause after a report of lost endpoints that control did not
	// answer, and lossReportTTL is how long such a report is repeated.
	lossReportRetry = 300 * time.Millisecond
	lossReportTTL   = time.Minute
	// maxLossesPerReport is the most lost endpoints in one command to control. When many are lost
	// at once, those that are found while a command is answered share the next one.
	maxLossesPerReport = 64
)

// suspicion is the least trusted status among the content of a request and the parts of its prompt.
type suspicion struct {
	status quarantine.Status
	// digest is that of the content or part that has the status.
	digest uint64
}

// suspicion returns what is known of the request.
func (c *call) suspicion() suspicion {
	status, digest := c.g.suspects.WorstStatus(c.content, c.parts)
	return suspicion{status, digest}
}

// subject names in a refusal what the suspicion is about.
func (c *call) subject(s suspicion) string {
	if s.digest == c.content {
		return "content " + c.contentField()
	}
	return "part " + strconv.FormatUint(s.digest, 16) + " in their prompts"
}

// refuseConvicted returns a refusal if the content of the request, or a part of its prompt, is known to
// crash endpoints. The verdict is NotRun, because it speaks of this request and not of earlier ones.
func (c *call) refuseConvicted(s suspicion) error {
	if s.status != quarantine.Convicted {
		return nil
	}
	after := quarantineRetryAfter
	if s.digest != c.content {
		after = min(after, c.g.suspects.NextTrial(s.digest))
	}
	return verdict.Refuse(verdict.ReasonQuarantined, after, "requests with %s crash endpoints", c.subject(s))
}

// checkQuarantine returns a refusal if the request is known to crash endpoints. A request with a
// convicted part goes on if control is to be asked for a trial. If the part has just been convicted, the
// request waits until it is cleared or can't be any more.
func (a *attempt) checkQuarantine() error {
	for {
		s := a.c.suspicion()
		if a.trialOf == s.digest && s.status == quarantine.Convicted {
			return nil
		}
		if s.status == quarantine.Convicted && s.digest != a.c.content && !a.resumes && a.c.g.suspects.TrialDue(s.digest) {
			a.trialOf = s.digest
			return nil
		}
		wait := a.c.clearableFor(s)
		if wait <= 0 {
			return a.c.refuseConvicted(s)
		}
		select {
		case <-a.ctx.Done():
			return a.c.refuseConvicted(s)
		case <-a.c.g.clock.After(min(wait, clearancePoll)):
		}
	}
}

// clearableFor returns for how long a request with a part that has just been convicted waits instead of being
// refused.
func (c *call) clearableFor(s suspicion) time.Duration {
	if s.status != quarantine.Convicted || s.digest == c.content {
		return 0
	}
	return c.g.suspects.ClearableFor(s.digest)
}

// updateSuspects applies the lists of requests and parts that may crash endpoints, and informs control of
// those that got a complete answer lately.
func (g *Gateway) updateSuspects(u *wire.Update) {
	if !u.HasQuarantine {
		return
	}
	completed := g.suspects.Update(u)
	g.log.Info("quarantine updated", "suspects", len(u.Suspects), "convicted", len(u.Quarantine),
		"contents", contentList(u.Quarantine), "completed_lately", contentList(completed))
	g.reportCompletions(completed)
	g.endConvictedWaits()
	if len(u.Quarantine) > 0 {
		time.AfterFunc(quarantine.ClearanceTime, g.endConvictedWaits)
	}
}

// reportCompletions informs control that requests or parts got complete answers.
func (g *Gateway) reportCompletions(digests []uint64) {
	if len(digests) == 0 {
		return
	}
	go func() {
		for _, digest := range digests {
			g.reportRunEnd(command.Ended{Digest: digest, Completed: true})
		}
	}()
}

// mayRun reports whether the request may be sent to the placed endpoints. A suspect request needs
// a permit of control for that. If control does not grant it yet, the result is false without an
// error, and a.permitWait is set.
func (a *attempt) mayRun(placed *assign.Assignment) (bool, error) {
	c := a.c
	if err := a.checkQuarantine(); err != nil {
		return false, err
	}
	s := c.suspicion()
	if s.status == quarantine.Clear {
		return true, nil
	}
	holder := fmt.Sprintf("%s-%08x-%d", c.g.node.Name, c.g.startID, c.g.permitSeq.Add(1))
	left := c.deadline.Sub(c.g.clock.Now())
	answer, err := c.g.suspects.RequestPermit(a.ctx, command.Permit{
		Digest: s.digest, Holder: holder, Endpoint: placed.Primary.Name, Incarnation: placed.Primary.Incarnation, MaxRunTime: left,
	})
	if err != nil && a.resumes {
		// A stream that has begun has no refusal left.
		a.log().Info("permit not decided", "content", strconv.FormatUint(s.digest, 16), "left", left, "error", err)
		a.permitWait = min(defaultRetryAfter, maxPermitWait)
		return false, nil
	}
	if err != nil {
		return false, verdict.Refuse(verdict.ReasonNoQuorum, defaultRetryAfter, "requests with %s are suspected of crashing endpoints, and control gives no permit: %v", c.subject(s), err)
	}
	status := quarantine.Status(answer.Status)
	a.log().Info("permit requested", "content", strconv.FormatUint(s.digest, 16), "part", s.digest != c.content, "status", status.String(), "granted", answer.Granted, "retry_after", answer.RetryAfter)
	if !answer.Granted && status == quarantine.Convicted {
		return false, c.refuseConvicted(suspicion{status, s.digest})
	}
	if !answer.Granted && answer.RetryAfter > left {
		return false, verdict.Refuse(verdict.ReasonSuspect, answer.RetryAfter, "requests with %s were in flight when endpoints failed", c.subject(s))
	}
	if answer.Granted && status != quarantine.Clear {
		a.permitHolder, a.permitted, a.interrupted = holder, s.digest, false
	}
	a.permitWait = min(answer.RetryAfter, maxPermitWait)
	return answer.Granted, nil
}

// awaitPermit waits before a permit is requested again.
func (a *attempt) awaitPermit() error {
	select {
	case <-a.ctx.Done():
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "no permit for content %s in time", a.c.contentField())
	case <-a.c.g.clock.After(a.permitWait):
		return nil
	}
}

// endPermit returns the permit of an attempt that ended with err, unless its endpoint may have
// ended too.
func (a *attempt) endPermit(err error) {
	if a.permitHolder == "" || a.interrupted {
		return
	}
	go a.c.g.reportRunEnd(command.Ended{Digest: a.permitted, Holder: a.permitHolder, Completed: err == nil})
}

// markAlive records activity of the primary endpoint.
func (a *attempt) markAlive() {
	g := a.c.g
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.MarkAlive(now, a.endpoint())
	g.returnPermits(g.losses.Active(now, instanceOf(a.placed.Primary)))
}

// returnPermits returns the permits of interrupted attempts whose endpoint is running.
func (g *Gateway) returnPermits(released []*quarantine.Attempt) {
	for _, a := range released {
		go g.reportRunEnd(command.Ended{Digest: a.Permitted, Holder: a.Holder})
	}
}

// reportRunEnd informs control that an attempt ended without a lost endpoint.
func (g *Gateway) reportRunEnd(ended command.Ended) {
	if err := g.suspects.End(context.Background(), ended); err != nil {
		g.log.Warn("permit not returned", "content", strconv.FormatUint(ended.Digest, 16), "completed", ended.Completed, "error", err)
	}
}

// recordCompletion records that the request got a complete answer, which clears its content.
func (c *call) recordCompletion() {
	if c.g.suspects.RecordCompletion(c.content) {
		go c.g.reportRunEnd(command.Ended{Digest: c.content, Completed: true})
	}
	c.recordPartCompletions()
}

// recordPartCompletions records that the answer went on past its beginning, which clears the parts of
// the prompt.
func (c *call) recordPartCompletions() {
	if len(c.parts) > 0 {
		c.g.reportCompletions(c.g.suspects.RecordPartCompletions(c.parts))
	}
}

// instanceOf returns the identity of an endpoint's current incarnation.
func instanceOf(e assign.Endpoint) quarantine.Instance {
	return quarantine.Instance{Endpoint: e.Name, Addr: e.Addr, Incarnation: e.Incarnation}
}

// recordInterruption records that the attempt at the assigned endpoints ended without a complete
// answer. With check set, it is found out at once whether they still accept connections.
func (a *attempt) recordInterruption(check bool) {
	a.interrupted = true
	tracked := &quarantine.Attempt{Digest: a.c.content, Parts: a.c.parts, Holder: a.permitHolder, Permitted: a.permitted}
	a.c.g.interrupt(tracked, a.placed.Primary, check)
	for _, h := range a.placed.Helpers {
		a.c.g.interrupt(tracked, h, check)
	}
}

// recordHelperInterruption is recordInterruption for the helper that the primary endpoint
// named as the cause of its refusal. A helper that was gone before did not end under the request.
func (a *attempt) recordHelperInterruption(name string) {
	if a.c.g.clock.Now().Sub(a.sentAt) < minHelperLossTime {
		return
	}
	for _, h := range a.placed.Helpers {
		if h.Name == name {
			a.c.g.interrupt(&quarantine.Attempt{Digest: a.c.content, Parts: a.c.parts}, h, true)
		}
	}
}

// interrupt records an interrupted attempt at one endpoint.
func (g *Gateway) interrupt(a *quarantine.Attempt, e assign.Endpoint, check bool) {
	at, now := instanceOf(e), g.clock.Now()
	g.mu.Lock()
	g.losses.Interrupt(now, at, a, g.fleet.Leaving(e.Name))
	if g.fleet.Replaced(e) {
		g.losses.End(at)
	}
	check = check && g.losses.BeginCheck(now, at)
	g.mu.Unlock()
	g.wakeLossReports()
	if check {
		go g.checkRefusal(at)
	}
}

// checkRefusal finds out whether an endpoint has ended: its address then refuses connections.
func (g *Gateway) checkRefusal(at quarantine.Instance) {
	if !g.refusesConnections(at.Addr) {
		<-g.clock.After(refusalCheckDelay)
		if !g.refusesConnections(at.Addr) {
			return
		}
	}
	g.mu.Lock()
	g.losses.End(at)
	g.mu.Unlock()
	g.wakeLossReports()
}

// refusesConnections reports whether the VM of addr is running and no process listens there.
func (g *Gateway) refusesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// wakeLossReports makes reportLosses look for ended endpoints.
func (g *Gateway) wakeLossReports() {
	select {
	case g.lossesPending <- struct{}{}:
	default:
	}
}

// lossReport is a lost endpoint that is to be reported to control.
type lossReport struct {
	command.Suspect
	found time.Time
}

// reportLosses reports lost endpoints to control until ctx ends.
func (g *Gateway) reportLosses(ctx context.Context) {
	var pending []lossReport
	for {
		var retry <-chan time.Time
		if len(pending) > 0 {
			retry = g.clock.After(lossReportRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.lossesPending:
		case <-retry:
		}
		pending = g.sendLossReports(ctx, append(pending, g.takeLosses()...))
	}
}

// takeLosses returns the reports of endpoints that were found to have ended. A request that was
// completed lately is not part of them.
func (g *Gateway) takeLosses() []lossReport {
	now := g.clock.Now()
	g.mu.Lock()
	g.losses.Expire(now)
	ended := g.losses.TakeEnded()
	g.mu.Unlock()
	var out []lossReport
	for _, e := range ended {
		suspects, parts := g.suspects.RecordDirectLosses(e.Digests), g.suspects.RecordPartLosses(e.Parts)
		g.metrics.endpointLosses.Inc()
		g.log.Warn("endpoint lost", "endpoint", e.Endpoint, "addr", e.Addr, "incarnation", e.Incarnation, "in_flight", len(e.Digests),
			"reported", len(suspects), "contents", contentList(suspects), "parts", partList(parts))
		if len(suspects) > 0 || len(parts) > 0 {
			out = append(out, lossReport{found: now, Suspect: command.Suspect{
				Endpoint: e.Endpoint, Incarnation: e.Incarnation, Digests: suspects, Direct: true, Parts: parts,
			}})
		}
	}
	return out
}

// sendLossReports sends reports to control, maxLossesPerReport in a command, and returns those that
// have to be repeated.
func (g *Gateway) sendLossReports(ctx context.Context, pending []lossReport) (again []lossReport) {
	for batch := range slices.Chunk(pending, maxLossesPerReport) {
		losses := make([]command.Suspect, len(batch))
		for i, r := range batch {
			losses[i] = r.Suspect
		}
		statuses, err := g.suspects.Report(ctx, losses...)
		if err != nil {
			g.log.Warn("endpoint losses not reported", "endpoints", len(batch), "first", batch[0].Endpoint, "error", err)
			again = append(again, g.repeatable(batch)...)
			continue
		}
		g.metrics.lossReports.Inc()
		for digest, status := range statuses {
			if status != quarantine.Clear {
				g.log.Warn("content suspected of crashing endpoints", "content", strconv.FormatUint(digest, 16), "status", status.String(), "endpoint", batch[0].Endpoint, "endpoints", len(batch))
			}
		}
	}
	return again
}

// repeatable returns the reports that are not too old to be repeated.
func (g *Gateway) repeatable(reports []lossReport) []lossReport {
	now := g.clock.Now()
	return slices.DeleteFunc(slices.Clone(reports), func(r lossReport) bool { return now.Sub(r.found) >= lossReportTTL })
}

// partList is contentList for the parts of a report, each with the number of its carriers.
func partList(parts []command.Part) string {
	var out []byte
	for i, p := range parts[:min(len(parts), maxLoggedContents)] {
		if i > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, "%x:%d", p.Digest, len(p.Carriers))
	}
	return string(out)
}

// maxLoggedContents bounds the contents in one log line.
const maxLoggedContents = 8

// contentList formats contents for a log line.
func contentList(digests []uint64) string {
	var out []byte
	for i, d := range digests[:min(len(digests), maxLoggedContents)] {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendUint(out, d, 16)
	}
	return string(out)
}
