package capacity

import "time"

// window holds the resources used over a span of time, or the totals since the start of
// the process.
type window struct {
	span time.Duration
	// processor is the processor time of this process.
	processor time.Duration
	// sent and received are the bytes, and updates the update messages received, of all
	// observed sessions.
	sent, received, updates int64
	// packets and packetBytes count both directions of the session with a relay.
	packets, packetBytes int64
}

// observe returns the resources that the sessions and this process use during span.
func observe(sessions []*controlSession, span time.Duration) (window, error) {
	before, err := totals(sessions)
	if err != nil {
		return window{}, err
	}
	began := time.Now()
	time.Sleep(span)
	after, err := totals(sessions)
	return after.since(before, time.Since(began)), err
}

// since returns the difference from the earlier totals before, for a time span.
func (w window) since(before window, span time.Duration) window {
	return window{
		span:        span,
		processor:   w.processor - before.processor,
		sent:        w.sent - before.sent,
		received:    w.received - before.received,
		updates:     w.updates - before.updates,
		packets:     w.packets - before.packets,
		packetBytes: w.packetBytes - before.packetBytes,
	}
}

// totals returns the resources used by the sessions so far, with a span of 0.
func totals(sessions []*controlSession) (window, error) {
	processor, err := processorTime()
	w := window{processor: processor}
	for _, m := range sessions {
		w.sent += m.traffic.Sent.Load()
		w.received += m.traffic.Received.Load()
		w.updates += m.updates.Load()
		if m.relay != nil {
			w.packets += m.relay.packets.Load()
			w.packetBytes += m.relay.bytes.Load()
		}
	}
	return w, err
}

// perSession returns a total as a rate per second and session.
func (w window) perSession(total int64, sessions int) float64 {
	return float64(total) / w.span.Seconds() / float64(sessions)
}

// cpuPercent returns the processor time in percent of one core.
func (w window) cpuPercent() float64 { return 100 * w.processor.Seconds() / w.span.Seconds() }
