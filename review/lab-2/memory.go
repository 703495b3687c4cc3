package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// memoryMB is what a process may use on the sheet of kerlouan-capsules, and grownMemoryMB on that of
// kerlouan-capsules-grown.
const memoryMB, grownMemoryMB = 284, 184

// limitMemory kills a process whenever it uses more than limit megabytes, as the platform does, and starts it again,
// until ctx ends.
func (d *deployment) limitMemory(ctx context.Context, p *process, limit int64) (kills int) {
	const poll, restartDelay = 20 * time.Millisecond, 500 * time.Millisecond
	var most int64
	for ; ctx.Err() == nil; sleep(ctx, poll) {
		used := p.residentBytes()
		most = max(most, used)
		if used <= limit<<20 {
			continue
		}
		kills++
		p.signal(syscall.SIGKILL)
		d.linef("%s killed: it uses %d MB", p.name, used>>20)
		if p.data != "" {
			d.linef("the files of %s have %d MB", p.name, folderBytes(p.data)>>20)
		}
		sleep(ctx, restartDelay)
		if err := p.start(); err != nil {
			d.linef("%v", err)
		}
	}
	d.linef("%s used %d MB at most and was killed %d times", p.name, most>>20, kills)
	return kills
}

// folderBytes returns the size of all files in a folder.
func folderBytes(dir string) (total int64) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

const (
	// manyStorms is the number of storms of stormChanges changes, one after the other, for sendTime at most; without
	// the disruption there is one.
	manyStorms, sendTime = 18, 45 * time.Second
	// readTime is how long the operator reads the configuration at the end; at least ContactMs.
	readTime = 15 * time.Second
	// endsOfFault is how often processes of one machine of the core end by themselves in a fault.
	endsOfFault = 3
)

// manyChanges sends hundreds of changes of a configuration with the client accounts of letter 1. The platform kills a
// process that uses more than MemoryMb.
func manyChanges(ctx context.Context, d *deployment) (string, error) {
	services := []string{"desk"}
	c, r := &clients{d: d}, &runs{}
	idle, tenants := idleRouteList(byLetter.routes), tenantList(byLetter.accounts)
	if _, err := begin(ctx, d, c, r, configuration(1, services, "desk", tenants, idle...), services, 3); err != nil {
		return "", err
	}
	watch, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var watched sync.WaitGroup
	kills := make([]int, 3)
	for i, m := range d.machines[:3] {
		watched.Go(func() { kills[i] = d.limitMemory(watch, m.control, grownMemoryMB) })
	}
	storms := 1
	if d.trouble {
		storms = manyStorms
	}
	sending, stopSending := context.WithTimeout(ctx, sendTime)
	defer stopSending()
	acked, begun := 1, time.Now()
	for i := range storms * stormChanges {
		sleep(sending, time.Until(begun.Add(time.Duration(i)*byLetter.gap)))
		idle[i%len(idle)]["TimeoutMs"] = 4001 + i
		if _, err := d.publish(sending, configuration(i+2, services, "desk", tenants, idle...)); err != nil {
			break
		}
		acked = i + 2
	}
	answers, from := map[int]int{}, time.Now()
	load, stop := context.WithTimeout(ctx, readTime)
	defer stop()
	var running sync.WaitGroup
	for _, m := range d.machines {
		running.Go(func() { c.run(load, m, pathKeyed, 50*time.Millisecond) })
	}
	for load.Err() == nil {
		for _, addr := range d.seeds() {
			status, _, err := d.call(addr, http.MethodGet, "/api/config", nil)
			if err != nil {
				status = 0
			}
			answers[status]++
		}
		sleep(load, 500*time.Millisecond)
	}
	running.Wait()
	all, served := count(c, from, time.Now())
	endWatch()
	watched.Wait()
	faulty := 0
	for _, n := range kills {
		if n >= endsOfFault {
			faulty++
		}
	}
	d.linef("newest acknowledged: %d; processes of control killed: %v", acked, kills)
	d.linef("in the %v after that: reads of the configuration by status %v; requests with a key sent %d, served %d", readTime, answers, all, served)
	if 2*faulty > len(kills) {
		return fmt.Sprintf("Fault: on %d of %d machines of the core, processes ended by themselves %v times", faulty, len(kills), kills), nil
	}
	return "", nil
}
