package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["keys"] = keys }

const (
	// revocationTime is revocation_ms of the settings.
	revocationTime = 5 * time.Second
	// rounds is the number of drills; in each one key is taken away.
	rounds = 7
	// copyAge is the age of the copy when the store goes away, and awayTime for how
	// long it is away.
	copyAge  = 2000 * time.Millisecond
	awayTime = 2000 * time.Millisecond
	// changeDelay is the time from the return of the store to the change of the
	// configuration.
	changeDelay = 50 * time.Millisecond
)

// keys takes a key away just after the store has come back from a copy, several times.
func keys(s *site) (int, error) {
	var all []string
	for i := range rounds + 1 {
		all = append(all, fmt.Sprintf("key%d", i))
	}
	y, err := s.startSystem(4, options{
		settings: "strict_revocation = true\nrevocation_ms = 5000", others: []string{"hirecore2", "hirecore3"}, keys: all,
	})
	if y != nil {
		defer y.close()
	}
	if err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	l := y.startLoad()
	ran := 0
	for round := range rounds {
		ran += y.revoke(l, round)
	}
	l.writeRecord()
	fmt.Println(ran, "requests ran with a key that had been taken away more than", revocationTime, "before")
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

// revoke plays one drill, takes a key away, and returns the number of requests with
// the key that ran although they were sent too late.
func (y *system) revoke(l *load, round int) int {
	key := fmt.Sprintf("key%d", round)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for _, m := range y.machines {
		tasks.Go(func() { l.keyed(m, key, stop) })
	}
	time.Sleep(500 * time.Millisecond)
	old := y.store.copyRows()
	time.Sleep(copyAge)
	if y.trouble {
		y.store.setDown(true)
		lost := y.store.newest()
		time.Sleep(awayTime)
		y.store.restore(old)
		y.record.note("the store is back from its version %d at version %d; it was at version %d", old.version, y.store.newest(), lost)
		y.store.setDown(false)
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(changeDelay)
	y.config.keys = slices.DeleteFunc(slices.Clone(y.config.keys), func(k string) bool { return k == key })
	y.configure()
	revoked := time.Now()
	y.record.note("round %d: %s is taken away at version %d", round+1, key, y.store.newest())
	time.Sleep(revocationTime + 2500*time.Millisecond)
	close(stop)
	tasks.Wait()
	return l.tooLate(key, revoked.Add(revocationTime))
}

// newest returns the version of the store's newest transaction.
func (s *Store) newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// keyed reads at an instance with a key, and reconnects when its session ends.
func (l *load) keyed(m *Instance, key string, stop <-chan struct{}) {
	var c *Client
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(m.callers(), latest, key); err != nil {
				c = nil
				continue
			}
		}
		reply := c.do("READ "+key, 2*time.Second)
		l.mu.Lock()
		l.all = append(l.all, attempt{Reply: reply, machine: m.name, route: latest, text: "READ " + key})
		l.mu.Unlock()
		if reply.err != nil || reply.code == "DENIED" {
			c.close()
			c = nil
		}
	}
}

// tooLate returns the number of requests with a key that were sent after a time and
// that a database has run.
func (l *load) tooLate(key string, after time.Time) int {
	ranAt := map[string]string{}
	l.system.service.mu.Lock()
	for _, r := range l.system.service.runs {
		ranAt[r.id] = r.database
	}
	l.system.service.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	through := map[string]int{}
	count := 0
	for _, a := range l.all {
		if strings.HasSuffix(a.text, " "+key) && a.sent.After(after) && ranAt[a.id] != "" {
			through[a.machine]++
			count++
		}
	}
	for machine, number := range through {
		l.system.record.note("CONFIG: %d requests with %s, sent more than %v after it was taken away, ran through %s", number, key, revocationTime, machine)
	}
	return count
}
