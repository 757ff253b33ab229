package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Times of a run.
const (
	startLimit  = 20 * time.Second
	warmUp      = 6 * time.Second
	freezeTime  = 3500 * time.Millisecond
	crashAfter  = 200 * time.Millisecond
	darkTime    = 7 * time.Second
	downTime    = 1200 * time.Millisecond
	shortCrash  = 2 * time.Second
	recoverTime = 12 * time.Second
	judgedTime  = 10 * time.Second
	thawSlack   = 300 * time.Millisecond
	runLimit    = 110 * time.Second
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	begun      = time.Now()
)

// record writes a line to the record.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, values...))
}

// Exit statuses of a run.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// run is a run of a case.
type run struct {
	trouble   bool
	store     *store
	group     *group
	instances []*instance
	clients   *clients
	version   int
	// frozen is the name of the instance that was frozen, until thawedAt.
	frozen             string
	frozenAt, thawedAt time.Time
}

func main() {
	scenario := flag.String("case", "", "resume, sealed, away, turns or leaving")
	program := flag.String("program", "", "the hosted program")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	var err error
	if recordFile, err = os.Create(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	folder, err := os.MkdirTemp("", "gypsumdock-review-")
	if err != nil {
		os.Exit(unknown)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0"}
	finish := func(status int) {
		for _, i := range r.instances {
			i.signal(syscall.SIGCONT)
			i.kill()
		}
		keepLogs := os.Getenv("KEEP_LOGS")
		if keepLogs != "" {
			_ = os.CopyFS(keepLogs, os.DirFS(folder))
		}
		_ = os.RemoveAll(folder)
		os.Exit(status)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		finish(unknown)
	}()
	time.AfterFunc(runLimit, func() {
		record("the run takes too long")
		finish(unknown)
	})
	absolute, _ := filepath.Abs(*program)
	if err := r.start(absolute, folder); err != nil {
		record("cannot start: %v", err)
		finish(unknown)
	}
	cases := map[string]func() int{"resume": r.resume, "sealed": r.sealed, "away": r.away, "turns": r.turns, "fence": r.fence, "orphan": r.orphan, "leaving": r.leaving}
	play, known := cases[*scenario]
	if !known {
		finish(unknown)
	}
	finish(play())
}

// start starts a deployment and waits until it serves.
func (r *run) start(program, folder string) error {
	var err error
	if r.store, err = startStore(); err != nil {
		return err
	}
	if r.group, err = startGroup(r.store, "reefer-db"); err != nil {
		return err
	}
	r.configure()
	if r.instances, err = placeInstances(program, folder, r.store, r.group); err != nil {
		return err
	}
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
		go i.watch()
	}
	for end := time.Now().Add(startLimit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range r.instances {
			if i.inRotation() {
				ready++
			}
		}
		if ready == len(r.instances) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, len(r.instances))
		}
	}
	record("all instances are ready")
	r.clients = &clients{instances: r.instances, stop: make(chan struct{})}
	r.clients.run()
	time.Sleep(warmUp)
	return nil
}

// configure writes the next version of the configuration, in which nothing but the
// version changes.
func (r *run) configure() {
	r.version += 7
	configured := []any{}
	for _, kind := range routes {
		configured = append(configured, map[string]any{
			"name": "r-" + kind.host, "host": kind.host, "kind": kind.kind, "service": r.group.name, "timeout_ms": kind.timeout,
			"target_latency_ms": 200, "priority": 1, "max_staleness_ms": kind.staleness,
		})
	}
	r.store.put("op", "config", map[string]any{
		"version": r.version, "routes": configured,
		"services": []any{map[string]any{"name": r.group.name, "max_connections": maxConnections, "sync_replicas": 0}},
		"limits":   map[string]any{"transaction_idle_ms": 3000},
	})
}

// release replaces the primary as the operator does: a new database starts first,
// then the old one says that it leaves.
func (r *run) release() *database {
	old := r.group.primary()
	fresh, err := r.group.add(false, old.zone)
	if err != nil {
		record("cannot start a database: %v", err)
		return old
	}
	record("%s starts", fresh.id)
	time.Sleep(time.Second)
	r.group.mu.Lock()
	old.draining = true
	r.group.mu.Unlock()
	record("%s says that it leaves", old.id)
	return old
}

// ended stops the clients and returns their operations.
func (r *run) ended() []*operation {
	close(r.clients.stop)
	r.clients.wait.Wait()
	r.clients.mu.Lock()
	defer r.clients.mu.Unlock()
	for _, o := range r.clients.done {
		outcome := o.answer
		if o.write {
			outcome = "write of " + o.data + ": " + outcome
		}
		record("sent at %.3f s, last to %s: %s", o.sentAt.Sub(begun).Seconds(), o.via, outcome)
	}
	return r.clients.done
}

// resume is case 6: the promoter freezes after its order was accepted, and the new
// primary goes dark soon after it has begun to lead.
func (r *run) resume() int {
	var once sync.Once
	if r.trouble {
		r.group.ordered = func(holder string) {
			once.Do(func() {
				for _, i := range r.instances {
					if i.name == holder {
						r.frozen, r.frozenAt = holder, time.Now()
						i.signal(syscall.SIGSTOP)
						time.Sleep(freezeTime)
						i.signal(syscall.SIGCONT)
						r.thawedAt = time.Now()
					}
				}
			})
		}
		var first sync.Once
		r.group.led = func(d *database) {
			first.Do(func() {
				time.Sleep(crashAfter)
				d.crash()
				record("%s goes dark", d.id)
				time.Sleep(darkTime)
				_ = d.start()
				record("%s is back", d.id)
			})
		}
	}
	r.release()
	time.Sleep(14 * time.Second)
	operations := r.ended()
	time.Sleep(time.Second)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	atOld, lost := 0, 0
	for _, o := range operations {
		if !o.write || !o.served {
			continue
		}
		run, known := r.group.commits[o.data]
		sentByFrozen := run.sender == r.frozen && r.frozen != "" && run.committed.After(r.frozenAt) &&
			(r.thawedAt.IsZero() || run.committed.Before(r.thawedAt.Add(thawSlack)))
		if !known || run.term >= run.newest || sentByFrozen {
			continue
		}
		atOld++
		kept := "kept"
		if r.group.rolledBack[o.data] {
			lost++
			kept = "rolled back"
		}
		record("VIOLATION: write of %s committed at %s in term %d while term %d had begun, sent by %s, acknowledged at %.3f s, %s",
			o.data, run.database, run.term, run.newest, run.sender, o.ackAt.Sub(begun).Seconds(), kept)
	}
	record("%d operations, %d writes acknowledged at the old primary after another led, %d of them rolled back", len(operations), atOld, lost)
	return r.judge(atOld > 0, served(operations, time.Time{}, time.Now()) > 0.25)
}

// sealed is case 8: all processes are killed as the order to promote the next
// primary is accepted, and all come back.
func (r *run) sealed() int {
	struck := make(chan time.Time, 1)
	var once sync.Once
	r.group.ordered = func(string) {
		once.Do(func() {
			if r.trouble {
				r.restart(len(r.instances))
			}
			struck <- time.Now()
		})
	}
	faultAt := time.Now()
	r.release()
	select {
	case backAt := <-struck:
		return r.judgeRecovery(faultAt, backAt)
	case <-time.After(20 * time.Second):
		record("no promotion was ordered")
		return unknown
	}
}

// away is case 9: all processes are killed, one machine does not come back, and the
// primary crashes once for a short time.
func (r *run) away() int {
	faultAt := time.Now()
	if r.trouble {
		r.restart(len(r.instances) - 1)
	}
	backAt := time.Now()
	time.Sleep(2 * time.Second)
	if r.trouble {
		primary := r.group.primary()
		primary.crash()
		record("%s crashes", primary.id)
		time.Sleep(shortCrash)
		_ = primary.start()
		record("%s is back", primary.id)
	}
	return r.judgeRecovery(faultAt, backAt)
}

// Times of the cases that replace databases.
const (
	leaseTime    = 3 * time.Second
	releases     = 12
	releaseGap   = time.Second
	leaveTime    = 9 * time.Second
	candidateOff = 5 * time.Second
	calmTime     = 14 * time.Second
	leavingTime  = 12 * time.Second
)

// turns is case 10: the databases are replaced one after the other, each time the one
// that leads, at least releaseGap apart. Without trouble only one is replaced.
func (r *run) turns() int {
	count := releases
	if !r.trouble {
		count = 1
	}
	for range count {
		before := time.Now()
		old := r.group.primary()
		if old == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		fresh, err := r.group.add(false, old.zone)
		if err != nil {
			return unknown
		}
		r.group.mu.Lock()
		old.draining = true
		r.group.mu.Unlock()
		record("%s starts, %s says that it leaves", fresh.id, old.id)
		time.AfterFunc(leaveTime, func() {
			old.crash()
			record("%s has left", old.id)
		})
		for r.group.primary() == old && time.Since(before) < leaveTime {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Until(before.Add(releaseGap)))
	}
	time.Sleep(2 * time.Second)
	operations := r.ended()
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	turns := 0
	for n := 2; n < len(r.group.orders); n++ {
		a, b, c := r.group.orders[n-2], r.group.orders[n-1], r.group.orders[n]
		if a.holder == c.holder && a.holder != b.holder && c.at.Sub(a.at) < leaseTime {
			turns++
			record("VIOLATION: %s, %s and %s again order within %d ms", a.holder, b.holder, c.holder, c.at.Sub(a.at).Milliseconds())
		}
	}
	record("%d orders, %d times two holders in turn within %s", len(r.group.orders), turns, leaseTime)
	return r.judge(turns > 0, served(operations, time.Time{}, time.Now()) > 0.25)
}

// leaving is no case of its own: the primary crashes, and the database that is to be the next
// primary goes dark before it leads. Later, with all databases well, the primary is
// replaced.
func (r *run) leaving() int {
	if r.trouble {
		var once sync.Once
		r.group.ordered = func(string) {
			once.Do(func() {
				r.group.mu.Lock()
				id := r.group.orders[len(r.group.orders)-1].target
				var candidate *database
				for _, d := range r.group.databases {
					if d.id == id {
						candidate = d
					}
				}
				r.group.mu.Unlock()
				candidate.crash()
				record("%s goes dark", candidate.id)
				time.Sleep(candidateOff)
				_ = candidate.start()
				record("%s is back", candidate.id)
			})
		}
		primary := r.group.primary()
		primary.crash()
		record("%s crashes", primary.id)
		time.Sleep(darkTime)
		_ = primary.start()
		record("%s is back", primary.id)
		time.Sleep(calmTime - darkTime)
	}
	if r.group.primary() == nil {
		record("no primary before the release")
		return unknown
	}
	r.release()
	time.Sleep(leavingTime)
	operations := r.ended()
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	record("%d requests reached the leaving database later than %s", r.group.late, drainTimeout)
	return r.judge(r.group.late > 0, served(operations, time.Time{}, time.Now()) > 0.25)
}

// Times of the case with the drill.
const (
	copyAge   = 3 * time.Second
	stormGap  = 200 * time.Millisecond
	storeAway = time.Second
	killAfter = 500 * time.Millisecond
	fenceTime = 14 * time.Second
)

// fence is no case of its own (issue 18): the primary and the next candidate go dark, the store
// comes back from a copy, and the promoter's process is killed and starts again.
// Without trouble the store stays as it is.
func (r *run) fence() int {
	copied := r.store.copy()
	for copiedAt := time.Now(); time.Since(copiedAt) < copyAge; time.Sleep(stormGap) {
		r.configure()
	}
	var once sync.Once
	called := make(chan string, 1)
	r.group.called = func(target, holder string) {
		once.Do(func() {
			for _, d := range r.group.all() {
				if d.id == target {
					d.crash()
					record("%s goes dark", d.id)
					time.AfterFunc(candidateOff, func() {
						_ = d.start()
						record("%s is back", d.id)
					})
				}
			}
			called <- holder
		})
	}
	primary := r.group.primary()
	primary.crash()
	record("%s goes dark", primary.id)
	time.AfterFunc(darkTime, func() {
		_ = primary.start()
		record("%s is back", primary.id)
	})
	select {
	case <-called:
	case <-time.After(10 * time.Second):
		return unknown
	}
	if r.trouble {
		r.store.drill(copied, storeAway)
		record("the store is back from a copy")
	} else {
		time.Sleep(storeAway)
	}
	time.Sleep(killAfter)
	r.restart(len(r.instances))
	time.Sleep(fenceTime)
	operations := r.ended()
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	record("%d calls with a lower fence, or with one of another holder", r.group.fences)
	return r.judge(r.group.fences > 0, served(operations, time.Time{}, time.Now()) > 0.1)
}

// Times of the case in which the new primary is lost for good. By permitsOver after
// the restart every permit that a process before it can have held has expired.
const (
	goneAfter   = 1400 * time.Millisecond
	permitsOver = 72 * time.Second
)

// orphan is case 7: all processes are killed as the order to promote the next primary
// is accepted, and the new primary is lost for good when the others follow it. With
// TROUBLE=kill the new primary stays.
func (r *run) orphan() int {
	struck := make(chan time.Time, 1)
	var once sync.Once
	if r.trouble && os.Getenv("TROUBLE") != "kill" {
		r.group.led = func(d *database) {
			once.Do(func() {
				time.Sleep(goneAfter)
				d.crash()
				record("%s is lost for good", d.id)
			})
		}
	}
	var first sync.Once
	r.group.ordered = func(string) {
		first.Do(func() {
			if r.trouble {
				r.restart(len(r.instances))
			}
			struck <- time.Now()
		})
	}
	faultAt := time.Now()
	r.release()
	select {
	case backAt := <-struck:
		return r.judgeRecoveryAfter(faultAt, backAt, permitsOver)
	case <-time.After(20 * time.Second):
		record("no promotion was ordered")
		return unknown
	}
}

// restart kills all processes at once and starts this many of them again.
func (r *run) restart(back int) {
	var wait sync.WaitGroup
	for _, i := range r.instances {
		wait.Add(1)
		go func() {
			defer wait.Done()
			i.kill()
		}()
	}
	wait.Wait()
	time.Sleep(downTime)
	for _, i := range r.instances[len(r.instances)-back:] {
		if err := i.start(); err != nil {
			record("cannot start: %v", err)
		}
	}
}

// judgeRecovery waits and judges what was sent later than recoverTime after the
// machines are back.
func (r *run) judgeRecovery(faultAt, backAt time.Time) int {
	return r.judgeRecoveryAfter(faultAt, backAt, recoverTime)
}

// judgeRecoveryAfter judges what was sent later than a time after the machines are
// back, which is recoverTime or more.
func (r *run) judgeRecoveryAfter(faultAt, backAt time.Time, later time.Duration) int {
	time.Sleep(time.Until(backAt.Add(later + judgedTime)))
	operations := r.ended()
	before := served(operations, faultAt.Add(-5*time.Second), faultAt)
	after := served(operations, backAt.Add(later), time.Now())
	record("served before the fault: %.3f, later than %s after the machines were back: %.3f", before, later, after)
	return r.judge(after < 0.25, before >= 0.25)
}

// judge returns the exit status.
func (r *run) judge(violated, possible bool) int {
	switch {
	case !possible:
		record("RESULT: the deployment did not serve")
		return unknown
	case violated:
		record("RESULT: the rule is broken")
		return broken
	default:
		record("RESULT: the rule holds")
		return held
	}
}

// served returns the part of the operations sent in a span that was served.
func served(operations []*operation, from, to time.Time) float64 {
	sent, ok := 0, 0
	for _, o := range operations {
		if o.sentAt.Before(from) || o.sentAt.After(to) {
			continue
		}
		sent++
		if o.served {
			ok++
		}
	}
	return float64(ok) / float64(max(sent, 1))
}
