package experiment

import "github.com/rosemaryproxy/rosemaryproxy/verdict"

// Checks counts violations of the guarantees in a run. Each count must be 0.
type Checks struct {
	// Checked is set when the run hosted the stand-ins and so knows what they executed.
	// Otherwise only Wrong and NoFinalAnswer are counted.
	Checked bool
	// Wrong counts answers that looked complete but were not the expected ones.
	Wrong int
	// NoFinalAnswer counts requests without a final answer at their deadline and the
	// grace after it.
	NoFinalAnswer int
	// DoubleRuns counts calls that ran more than once.
	DoubleRuns int
	// FalseNotRun counts verdicts not_run for requests that did run.
	FalseNotRun int
	// FalseRan counts verdicts ran for calls that did not run.
	FalseRan int
	// LostTokens is the engine memory, in KV tokens, that is still held although no
	// request runs.
	LostTokens int64
}

// Broken returns the number of violations, LostTokens apart.
func (c *Checks) Broken() int {
	return c.Wrong + c.NoFinalAnswer + c.DoubleRuns + c.FalseNotRun + c.FalseRan
}

// executionLog records what the stand-ins have run.
type executionLog interface {
	// executions returns the number of executions by idempotency key.
	executions() map[string]int
	// admittedCount returns how often engines have admitted the prompt.
	admittedCount(digest uint64) int
	// leakedTokens returns the KV tokens that engines hold after the last request.
	leakedTokens() int64
}

// check compares the verdicts that callers received with what the stand-ins ran. If
// standIns is nil, the checks that need their records are left out.
func check(r *recorder, standIns executionLog) Checks {
	c := Checks{Wrong: r.total[Wrong], NoFinalAnswer: r.total[Late]}
	if standIns == nil {
		return c
	}
	c.Checked = true
	c.LostTokens = standIns.leakedTokens()
	runs := standIns.executions()
	for _, n := range runs {
		if n > 1 {
			c.DoubleRuns++
		}
	}
	for i := range r.toCheck {
		c.compare(&r.toCheck[i], runs, standIns)
	}
	return c
}

// compare checks the verdict of one result against the executions.
func (c *Checks) compare(res *Result, runs map[string]int, standIns executionLog) {
	notRun := res.Verdict == verdict.NotRun.String()
	if res.key == "" {
		if notRun && res.digest != 0 && standIns.admittedCount(res.digest) > 0 {
			c.FalseNotRun++
		}
		return
	}
	n := runs[res.key]
	if notRun && n > 0 {
		c.FalseNotRun++
	}
	if res.Verdict == verdict.Ran.String() && n == 0 {
		c.FalseRan++
	}
}
