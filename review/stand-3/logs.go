package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["logs"] = logs }

const (
	// stallTime is the time for which the log is not read before the planned stop.
	stallTime = 45 * time.Second
	// gracePeriod is grace_period_s of the settings, and lossSlack loss_slack_ms.
	gracePeriod = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	// routeTimeout is timeout_ms of the routes.
	routeTimeout = 1600 * time.Millisecond
)

// logs stops to read the log of one instance. Later the platform stops that instance
// as planned.
func logs(s *site) (int, error) {
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
		l.client(m, latest, 40*time.Millisecond, write)
		l.client(m, latest, 40*time.Millisecond, read)
		l.client(m, ryw, 40*time.Millisecond, read)
	}
	m := y.machines[0]
	idle, err := idleSessions(m, 60)
	if err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	m.stalled.Store(s.trouble)
	begun := time.Now()
	s.record.note("the log of %s is read: %v", m.name, !s.trouble)
	time.Sleep(stallTime)
	s.record.note("%s answers the readiness check with 200: %v", m.name, m.ready())
	m.signal(syscall.SIGTERM)
	stopped := time.Now()
	for i, c := range idle {
		l.once(m, c, time.Duration(i)*100*time.Millisecond)
	}
	ended := m.ended(gracePeriod)
	s.record.note("%s has ended within the grace period: %v", m.name, ended)
	if !ended {
		m.signal(syscall.SIGKILL)
		<-m.done
	}
	time.Sleep(2 * time.Second)
	l.end()
	l.writeRecord()
	hung := 0
	for _, a := range l.all {
		var timeout net.Error
		if a.machine == m.name && a.sent.Before(stopped) && errors.As(a.err, &timeout) && timeout.Timeout() {
			if hung == 0 {
				s.record.note("%s, sent %.1f s after the log was read last, is the first that got no answer in 2 s", a.id, a.sent.Sub(begun).Seconds())
			}
			hung++
		}
	}
	s.record.note("%d requests before the stop got no answer in 2 s", hung)
	lost := l.lost(m, stopped)
	for _, line := range lost {
		s.record.note("LOST: %s", line)
	}
	fmt.Println(hung, "requests without an answer before the stop;", len(lost), "lost at the stop")
	if hung > 0 || len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}

// idleSessions opens sessions that do nothing for now.
func idleSessions(m *Instance, count int) ([]*Client, error) {
	var all []*Client
	for range count {
		c, err := dial(m.callers(), latest, "u3f1")
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

// once sends one read in an open session after a delay.
func (l *load) once(m *Instance, c *Client, delay time.Duration) {
	l.tasks.Go(func() {
		time.Sleep(delay)
		reply := c.do("READ k1", 2*time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, attempt{Reply: reply, machine: m.name, route: latest, text: "READ k1"})
		c.close()
	})
}

// lost returns the requests that were sent to an instance after its SIGTERM and whose
// connection ended without an answer: after a database had run them, or later than
// lossSlack. Requests whose route's timeout was reached do not count, and neither do
// those that the process cannot have read.
func (l *load) lost(m *Instance, stopped time.Time) []string {
	ranAt := map[string]string{}
	for _, r := range l.system.service.runs {
		ranAt[r.id] = r.database
	}
	var found []string
	for _, a := range l.all {
		// The end of a connection whose input was not read is a reset.
		cut := errors.Is(a.err, io.EOF)
		if a.machine != m.name || !cut || a.sent.Before(stopped) || a.sent.After(stopped.Add(gracePeriod+time.Second)) || a.came.IsZero() {
			continue
		}
		took := a.came.Sub(a.sent)
		passed := ranAt[a.id] != ""
		if took >= routeTimeout || !passed && took <= lossSlack {
			continue
		}
		found = append(found, fmt.Sprintf("%s, sent %.2f s after SIGTERM, run at a database: %v, cut off after %d ms (%v)",
			a.id, a.sent.Sub(stopped).Seconds(), passed, took.Milliseconds(), a.err))
	}
	return found
}
