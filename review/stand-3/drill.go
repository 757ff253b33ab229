package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

// drill restarts a machine and releases a primary, both planned, while the store
// comes back from a copy that is a few seconds old.
func drill(s *site) (int, error) {
	y, err := s.startSystem(4, "")
	if y != nil {
		defer y.close()
	}
	if err != nil {
		return failed, err
	}
	l := y.startLoad()
	var count atomic.Int64
	write := func() (string, bool) { n := count.Add(1); return fmt.Sprintf("WRITE k%d v%d", n%20, n), true }
	read := func() (string, bool) { return fmt.Sprintf("READ k%d", count.Load()%20), false }
	restarted := y.machines[3]
	for _, m := range y.machines[:3] {
		l.client(m, latest, 15*time.Millisecond, write)
		l.client(m, latest, 10*time.Millisecond, read)
	}
	l.client(restarted, latest, 5*time.Millisecond, read)
	time.Sleep(3 * time.Second)

	restarted.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	old := y.store.copyRows()
	s.record.note("the store is copied at version %d: %s", old.version, y.store.systemRows())
	copied := time.Now()
	time.Sleep(2 * time.Second)
	first := y.service.primary()
	if _, err := y.service.add(first.zone, false); err != nil {
		return failed, err
	}
	first.drain()
	s.record.note("%s, the primary, reports draining", first.id)
	for end := time.Now().Add(3 * time.Second); y.service.primary() == first && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if !restarted.ended(7 * time.Second) {
		return failed, fmt.Errorf("%s has not ended", restarted.name)
	}
	s.record.note("%s has ended", restarted.name)
	if s.trouble {
		y.store.setDown(true)
		s.record.note("the store is away: %s", y.store.systemRows())
		time.Sleep(500 * time.Millisecond)
		y.store.restore(old)
		y.store.setDown(false)
		s.record.note("the store is back from the copy of %.1f s before: %s", time.Since(copied).Seconds(), y.store.systemRows())
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	if err := restarted.start(); err != nil {
		return failed, err
	}
	go func() {
		time.Sleep(9500*time.Millisecond - time.Since(copied.Add(2*time.Second)))
		first.leave()
		s.record.note("%s has left", first.id)
	}()
	time.Sleep(12 * time.Second)
	s.record.note("the system's rows: %s", y.store.systemRows())
	l.end()
	found := l.stale()
	l.writeRecord()
	for _, line := range found {
		s.record.note("STALE: %s", line)
	}
	for _, line := range y.service.fences {
		s.record.note("ONE: %s", line)
	}
	fmt.Println(len(found), "stale reads;", len(y.service.fences), "wrong tokens")
	if len(found) > 0 || len(y.service.fences) > 0 {
		return broken, nil
	}
	return held, nil
}
