package soak

// Ends counts the requests of a group of callers, and those of them that ended with neither an answer nor a
// refusal, excused or not.
type Ends struct {
	Sent int `json:"sent"`
	// Unanswered counts all that ended so, Whole those that were sent to their last byte, and Ran those that
	// ran at an endpoint.
	Unanswered int `json:"unanswered"`
	Whole      int `json:"unanswered_whole"`
	Ran        int `json:"unanswered_ran"`
	// Unnamed counts the whole ones that no line of a log names, and RanUnended those that ran without a line
	// that tells their end.
	Unnamed    int `json:"unanswered_unnamed"`
	RanUnended int `json:"unanswered_ran_unended"`
}

// Logged tells which lines the logs have for a request.
type Logged struct {
	// Ended is set if a line tells the end of the request.
	Ended bool
}

// CountEnds counts the ends of requests by the group that group names. The map logged has the requests that
// the logs name, by ID.
func (c *Checker) CountEnds(group func(Request) string, logged map[string]Logged) map[string]Ends {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := map[string]Ends{}
	for id, r := range c.requests {
		name := group(r.Request)
		e := ends[name]
		e.Sent++
		if r.unanswered {
			e.add(r, logged, id)
		}
		ends[name] = e
	}
	return ends
}

// add counts a request that ended with neither an answer nor a refusal.
func (e *Ends) add(r *trackedRequest, logged map[string]Logged, id string) {
	lines, named := logged[id]
	e.Unanswered++
	if !r.whole.IsZero() {
		e.Whole++
		if !named {
			e.Unnamed++
		}
	}
	if r.runs > 0 {
		e.Ran++
		if !lines.Ended {
			e.RanUnended++
		}
	}
}
