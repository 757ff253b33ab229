package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["peers"] = peers }

const (
	// drainTimeout is drain_timeout_ms of the settings.
	drainTimeout = 7 * time.Second
	// stormPause and stormLength are the pause and the length of a quick succession of
	// configurations.
	stormPause  = 60 * time.Millisecond
	stormLength = 1500 * time.Millisecond
)

// peers replaces a replica, as planned, some seconds after the store has come back from
// a copy that is older than two quick successions of configurations.
func peers(s *site) (int, error) {
	y, err := s.startSystem(4, options{})
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
	for _, m := range y.machines {
		l.client(m, latest, 50*time.Millisecond, write)
		l.client(m, bounded, 15*time.Millisecond, read)
		l.client(m, ryw, 15*time.Millisecond, read)
	}
	time.Sleep(6 * time.Second)

	old := y.store.copyRows()
	copied := time.Now()
	s.record.note("the store is copied at version %d: %s", old.version, y.store.systemRows())
	for range 2 {
		for end := time.Now().Add(stormLength); time.Now().Before(end); time.Sleep(stormPause) {
			y.configure()
		}
		time.Sleep(500 * time.Millisecond)
	}
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
	time.Sleep(4500 * time.Millisecond)

	leaving := y.replica()
	if _, err := y.service.add(leaving.zone, false); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	leaving.drain()
	drained := time.Now()
	s.record.note("%s, a replica, reports draining", leaving.id)
	time.Sleep(drainTimeout + 5*time.Second)
	leaving.leave()
	s.record.note("%s has left", leaving.id)
	time.Sleep(time.Second)
	l.end()
	late := l.late(leaving, drained.Add(drainTimeout))
	l.writeRecord()
	for _, line := range late {
		s.record.note("DRAIN: %s", line)
	}
	fmt.Println(len(late), "requests reached the leaving database too late")
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}

// replica returns a replica.
func (y *system) replica() *Database {
	y.service.mu.Lock()
	defer y.service.mu.Unlock()
	for _, d := range y.service.databases {
		if !d.primary {
			return d
		}
	}
	return nil
}

// late returns the requests of clients that a database has run after a time.
func (l *load) late(d *Database, after time.Time) []string {
	through := map[string]string{}
	for _, a := range l.all {
		through[a.id] = a.machine
	}
	var found []string
	for _, r := range l.system.service.runs {
		if r.database == d.id && r.at.After(after) && through[r.id] != "" {
			found = append(found, fmt.Sprintf("%s through %s ran at %s, %.1f s too late", r.id, through[r.id], d.id, r.at.Sub(after).Seconds()))
		}
	}
	return found
}
