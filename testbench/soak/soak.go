package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/hosted"
)

const (
	recoverPoll = 100 * time.Millisecond
	// harmSlack is the time after the end of a harm in which sessions may still
	// end by it.
	harmSlack = 2 * time.Second
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Lasts is the time in which faults begin.
	Lasts     time.Duration
	Instances int
	Callers   int
	// Accounts makes it a run with client accounts: with rates, and with keys that
	// are removed and added.
	Accounts bool
	// Grace is the time that an instance has for a graceful stop.
	Grace time.Duration
	Bounds
	// Log takes the faults as they are played.
	Log io.Writer
	// KeepLogs is a directory to which the processes' logs are copied if a
	// promise is broken; empty for none.
	KeepLogs string
}

// Bounds are the times within which promises must hold.
type Bounds struct {
	// Recover bounds the time from the end of the faults until the whole system
	// serves again.
	Recover time.Duration
	// LossSlack is the time after which a session may no longer end without the
	// answer to what was sent.
	LossSlack time.Duration
	// StopSlack is the time beyond the grace period in which a process must have
	// ended after SIGTERM.
	StopSlack time.Duration
}

// Report is the outcome of a run.
type Report struct {
	// Violations holds the broken promises.
	Violations []string
	// Answers counts what callers were answered, by code.
	Answers    map[string]int
	Promotions int
}

// site is the system in a run, with what was done to it.
type site struct {
	system *hosted.System
	ledger *ledger
	grace  time.Duration
	bounds Bounds
	out    io.Writer
	// storeMu is held by the fault of the store that is played, and busy by
	// that of each instance and of each database.
	storeMu   sync.Mutex
	busy      []sync.Mutex
	databases sync.Mutex
	// accounts is nil in a run without accounts. configureMu is held while their
	// keys are changed.
	accounts    *accounts
	configureMu sync.Mutex

	mu sync.Mutex
	// harmedAt is when each instance was last harmed.
	harmedAt []time.Time
}

func (s *site) log(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

// harm records that an instance's process is cut, paused or killed.
func (s *site) harm(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harmedAt[index] = time.Now()
}

// wasHarmed reports whether an instance was harmed since a time, or so shortly
// before that a session may end by it.
func (s *site) wasHarmed(index int, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.harmedAt[index].After(since.Add(-maxFault - harmSlack))
}

// onInstance does something to the process of a random instance, if no other
// fault is played on it.
func (s *site) onInstance(random *rand.Rand, do func(index int, instance *hosted.Instance)) {
	index := random.IntN(len(s.system.Instances))
	if !s.busy[index].TryLock() {
		return
	}
	defer s.busy[index].Unlock()
	do(index, s.system.Instances[index])
}

func (s *site) restart(index int) {
	if err := s.system.Instances[index].Start(); err != nil {
		s.ledger.violate("instance %d did not start: %v", index, err)
	}
}

// crash ends a database for a time. One at a time is down: two of three would
// leave nobody to promote.
func (s *site) crash(ctx context.Context, database *hosted.Database, lasts time.Duration) {
	if !s.databases.TryLock() {
		return
	}
	defer s.databases.Unlock()
	database.Crash()
	pause(ctx, lasts)
	if err := database.Start(); err != nil {
		s.ledger.violate("database %s did not start: %v", database.ID, err)
	}
}

// Run plays the faults of a seed and checks the promises.
func Run(ctx context.Context, options Options) (*Report, error) {
	described := hosted.DefaultOptions()
	described.Instances = options.Instances
	described.Grace = options.Grace
	s := &site{
		ledger: newLedger(), grace: options.Grace, bounds: options.Bounds, out: options.Log,
		busy: make([]sync.Mutex, options.Instances), harmedAt: make([]time.Time, options.Instances),
	}
	drawn := kinds
	if options.Accounts {
		drawn = accountKinds
		s.accounts = newAccounts()
		described.Accounts = s.accounts.configured()
		described.RevocationTime = revocationTime
	}
	system, err := hosted.Start(ctx, described)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer func() { _ = system.Close() }()
	s.system = system
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	called := make(chan struct{})
	go func() {
		defer close(called)
		runCallers(calling, s, options.Seed, options.Callers)
	}()
	play(ctx, s, schedule(options.Seed, options.Lasts, drawn))
	s.checkRecovery(ctx)
	stopCalling()
	<-called
	s.settle(ctx)
	report := s.report()
	if len(report.Violations) > 0 && options.KeepLogs != "" {
		err = system.CopyLogs(options.KeepLogs)
	}
	return report, err
}

// checkRecovery waits until each instance serves a write again, and denies the keys
// that were removed.
func (s *site) checkRecovery(ctx context.Context) {
	end := time.Now().Add(s.bounds.Recover)
	for index, instance := range s.system.Instances {
		for !s.serves(instance, index) || !s.denies(instance, index) {
			if time.Now().After(end) {
				s.ledger.violate("instance %d does not serve, or accepts a removed key, %v after the last fault", index, s.bounds.Recover)
				return
			}
			pause(ctx, recoverPoll)
		}
	}
}

// serves reports whether an instance wants callers and answers a write.
func (s *site) serves(instance *hosted.Instance, index int) bool {
	if !instance.Ready() {
		return false
	}
	name := fmt.Sprintf("check%d", index)
	accessKey := name
	if s.accounts != nil {
		accessKey = s.accounts.unlimitedKey()
	}
	client, err := hosted.DialKey(instance.Callers(), hosted.DatabaseLatest, accessKey, name)
	if err != nil {
		return false
	}
	defer client.Close()
	reply, err := client.Do("WRITE check.0 check")
	return err == nil && reply.Code == ""
}

// settle waits until the databases agree, and checks what callers saw.
func (s *site) settle(ctx context.Context) {
	for end := time.Now().Add(s.bounds.Recover); !s.system.Group.IsSettled(); {
		if time.Now().After(end) {
			s.ledger.violate("the databases do not agree %v after the last call", s.bounds.Recover)
			break
		}
		pause(ctx, recoverPoll)
	}
	s.ledger.check(s.system.Group.Outcome())
	if s.accounts != nil {
		s.checkAccounts()
	}
}

func (s *site) report() *Report {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return &Report{
		Violations: append(s.ledger.violations, s.system.Group.Violations()...),
		Answers:    s.ledger.answers,
		Promotions: s.system.Group.Promotions(),
	}
}

// DefaultOptions are those of a usual run. Log is the standard error.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed: seed, Lasts: 15 * time.Second, Instances: 5, Callers: 24, Grace: 4 * time.Second, Log: os.Stderr,
		Bounds: Bounds{Recover: 15 * time.Second, LossSlack: 200 * time.Millisecond, StopSlack: 3 * time.Second},
	}
}
