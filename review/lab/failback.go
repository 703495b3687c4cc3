package main

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

func failbackCase(l *lab) (broken bool, err error) {
	n := 1
	if v := os.Getenv("FROZEN"); v != "" {
		n, _ = strconv.Atoi(v)
	}
	if err := l.addMachines(8); err != nil {
		return false, err
	}
	for range 2 {
		w, err := l.addWorker(desk, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.warmupMs = func() int64 { return 3000 }
	}
	c := l.newClients()
	conf := configuration(1)
	conf["Services"].([]any)[0].(map[string]any)["WarmupS"] = 3.0
	conf["Services"].([]any)[0].(map[string]any)["WarmupPerS"] = 36.0
	if err := l.boot(c, conf, "/look/a"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var all []*machine
	for range 12 {
		all = append(all, l.machines...)
	}
	c.run(all, "/look/a", 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	for round := range 4 {
		begun := time.Now()
		if l.trouble {
			for _, m := range l.machines[7-n+1:] {
				m.entry.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(4 * time.Second)
		for _, m := range l.machines[7-n+1:] {
			m.entry.signal(syscall.SIGCONT)
		}
		woken := time.Now()
		time.Sleep(4 * time.Second)
		for _, w := range l.workers {
			l.note("round %d: %s: most in a second before %d, during the freeze %d, after %d", round+1, w.id, w.most(begun.Add(-2*time.Second), begun), w.most(begun, woken), w.most(woken, time.Now()))
		}
	}
	c.finish()
	return false, nil
}

func (w *worker) most(from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	best, first := 0, 0
	for i, a := range w.arrivals {
		if a.at.Before(from) || a.at.After(to) {
			first = i + 1
			continue
		}
		for a.at.Sub(w.arrivals[first].at) > time.Second {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}
