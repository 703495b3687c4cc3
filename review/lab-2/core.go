package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// coreRounds is how often all processes of the core are killed at the same moment, coreGap apart. They are down for
	// longDown and shortDown in turn.
	coreRounds, coreGap = 8, 9 * time.Second
	longDown, shortDown = 2 * time.Second, 500 * time.Millisecond
)

// coreBack kills all machines of the core at the same moment, again and again, and moves an anonymous route to another
// service when they are back. It is no case of the review; see the report.
func coreBack(ctx context.Context, d *deployment) (string, error) {
	services := []string{"desk", "annex"}
	c, r := &clients{d: d}, &runs{}
	if _, err := begin(ctx, d, c, r, configuration(1, services, "desk", nil), services, 3); err != nil {
		return "", err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for _, m := range d.machines[3:] {
		for range 2 {
			running.Go(func() { c.run(load, m, pathOpen, 20*time.Millisecond) })
		}
	}
	sleep(ctx, settleTime)
	old, example := 0, ""
	for round := range coreRounds {
		if d.trouble {
			if err := d.restartCore(ctx, []time.Duration{longDown, shortDown}[round%2]); err != nil {
				return "", err
			}
		}
		back := time.Now()
		open := services[(round+1)%2]
		acked, err := d.publish(ctx, configuration(round+2, services, open, nil))
		if err != nil {
			return "", err
		}
		sleep(ctx, coreGap)
		byID, found := r.byID(), 0
		for _, s := range c.ended() {
			if s.at.Before(back.Add(contact)) || s.at.Before(acked.Add(configApply)) {
				continue
			}
			for _, a := range byID[s.id] {
				if a.service != open {
					found++
					example = fmt.Sprintf("%s, sent to %s %v after the core was back and %v after the acknowledgement", s.id, s.via.name,
						s.at.Sub(back).Round(time.Millisecond), s.at.Sub(acked).Round(time.Millisecond))
				}
			}
		}
		d.linef("round %d: core back at %s, acknowledged at %s, %d requests run by the old service", round, d.at(back), d.at(acked), found)
		old += found
	}
	stop()
	running.Wait()
	if old == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d requests were run by the old service, for example %s", old, example), nil
}

// restartCore kills the processes of all machines of the core and starts them again after a time.
func (d *deployment) restartCore(ctx context.Context, down time.Duration) error {
	core := d.machines[:3]
	for _, m := range core {
		m.control.kill()
		m.entry.kill()
	}
	sleep(ctx, down)
	for _, m := range core {
		for _, p := range []*process{m.control, m.entry} {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}
