package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// silentLinks makes the open connections that one control has made to the others silent for good. ContactMs
// later, when all machines are in touch again, a worker drains there.
func silentLinks(ctx context.Context, d *deployment) (string, error) {
	if err := d.proxyLinks(); err != nil {
		return "", err
	}
	services := []string{"desk"}
	c, r := &clients{d: d}, &runs{}
	workers, err := begin(ctx, d, c, r, configuration(1, services, "desk", nil), services, 9)
	if err != nil {
		return "", err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for _, m := range d.machines {
		for range 4 {
			running.Go(func() { c.run(load, m, pathKeyed, 10*time.Millisecond) })
		}
	}
	sleep(ctx, settleTime)
	from := d.follower()
	if from < 0 {
		return "", fmt.Errorf("no control that follows is known")
	}
	if d.trouble {
		n := 0
		for i, m := range d.machines[:3] {
			if i != from {
				n += m.link.silence(d.machines[from].bind)
			}
		}
		d.linef("%d open connections of control of %s to the others are silent", n, d.machines[from].name)
	}
	sleep(ctx, contact+200*time.Millisecond)
	inTouch := time.Now()
	leaving := workers[from] // its heartbeats go to this control
	leaving.drain()
	if err := leaving.checkAcked(from); err != nil {
		return "", err
	}
	// It serves for DrainMs and a little longer, at times many seconds.
	sleep(ctx, drainBound+5*time.Second)
	stop()
	running.Wait()
	if err := c.checkServed(); err != nil {
		return "", err
	}
	late, example := lateRuns(d, c, r, inTouch)
	d.linef("requests that reached the worker over %v after the acknowledgement: %d", drainBound, late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached a draining worker late, for example %s", late, example), nil
}

// follower returns the index of a machine whose control does not lead.
func (d *deployment) follower() int {
	for i, m := range d.machines[:3] {
		if line := m.control.lastLine("leads="); line != "" && strings.Contains(line, "leads=false") {
			return i
		}
	}
	// A control that never led logs no role.
	for i, m := range d.machines[:3] {
		if m.control.lastLine("leads=") == "" {
			return i
		}
	}
	return -1
}
