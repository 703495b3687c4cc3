package experiment

import "github.com/rosemaryproxy/rosemaryproxy/verdict"

// Checks counts what must never happen, after a run.
type Checks struct {
	// Checked is set when the run could see what stand-ins executed.
	Checked bool
	// Wrong counts answers that looked whole and were not the request's own.
	Wrong int
	// NoFinalAnswer counts requests without a final answer at their deadline.
	NoFinalAnswer int
	// DoubleRuns counts calls that ran more than once.
	DoubleRuns int
	// FalseNotRun counts verdicts of not run for what did run.
	FalseNotRun int
	// FalseRan counts verdicts of ran for calls that did not run.
	FalseRan int
	// LostTokens is the engine memory that is held though nothing runs.
	LostTokens int64
}

// Broken returns the count of broken promises.
func (c *Checks) Broken() int {
	return c.Wrong + c.NoFinalAnswer + c.DoubleRuns + c.FalseNotRun + c.FalseRan
}

// executionLog is what stand-ins know to have run.
type executionLog interface {
	executions() map[string]int
	acceptedCount(digest uint64) int
	leakedTokens() int64
}

// check compares what callers were told with what ran. A nil stands leaves out
// what only stand-ins can tell.
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

func (c *Checks) compare(res *Result, runs map[string]int, standIns executionLog) {
	notRun := res.Verdict == verdict.NotRun.String()
	if res.key == "" {
		if notRun && res.digest != 0 && standIns.acceptedCount(res.digest) > 0 {
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
