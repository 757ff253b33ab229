package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/hosted"
)

const (
	// faultGap is the mean time between the starts of two faults. They overlap,
	// as most of them last longer.
	faultGap = 1200 * time.Millisecond
	// maxFault is the longest time that a fault lasts, and minFault the shortest.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// slowLink is the greatest delay that a slow link adds.
	slowLink = 150 * time.Millisecond
)

// kind is a kind of fault.
type kind struct {
	name string
	play func(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration)
}

// kinds are the faults that a run draws from.
var kinds = []kind{
	{"kill", playKill},
	{"pause", playPause},
	{"terminate", playTerminate},
	{"hangup", playHangup},
	{"store down", playStore},
	{"store forgets", func(_ context.Context, s *site, _ *rand.Rand, _ time.Duration) { s.system.Store.ForgetHistory() }},
	{"store link", playStoreLink},
	{"database link", playDatabaseLink},
	{"database crash", playCrash},
	{"primary crash", playPrimaryCrash},
	{"primary drains", playDrain},
	{"primary isolated", playIsolated},
	{"answers lost", playAnswersLost},
	{"configurations", playConfigurations},
}

// accountKinds are the faults that a run with accounts draws from. Databases and
// links that hold back what was sent would make statements run late and at once,
// which no limit of an instance covers.
var accountKinds = []kind{
	{"kill", playKill},
	{"pause", playLongPause},
	{"cut from store", playStoreCut},
	{"all cut from store", playAllCut},
	{"store down", playStore},
	{"keys", playKeys},
	{"keys", playKeys},
}

// event is a fault of a schedule.
type event struct {
	at    time.Duration
	lasts time.Duration
	kind  kind
	seed  uint64
}

func (e event) String() string {
	return fmt.Sprintf("%6.2f s %s for %v", e.at.Seconds(), e.kind.name, e.lasts.Round(time.Millisecond))
}

// schedule returns the faults of a run that lasts for a time.
func schedule(seed uint64, lasts time.Duration, kinds []kind) []event {
	random := rand.New(rand.NewPCG(seed, 0))
	var events []event
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(faultGap))
		if at >= lasts {
			return events
		}
		events = append(events, event{
			at: at, kind: kinds[random.IntN(len(kinds))], seed: random.Uint64(),
			lasts: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
		})
	}
}

// play plays the faults, and waits until all have ended.
func play(ctx context.Context, s *site, events []event) {
	begun := time.Now()
	group := sync.WaitGroup{}
	for _, next := range events {
		pause(ctx, next.at-time.Since(begun))
		if ctx.Err() != nil {
			break
		}
		s.log("%v", next)
		group.Go(func() { next.kind.play(ctx, s, rand.New(rand.NewPCG(next.seed, 0)), next.lasts) })
	}
	group.Wait()
}

func playKill(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	s.onInstance(random, func(index int, i *hosted.Instance) {
		s.harm(index)
		_ = i.Process().Kill()
		pause(ctx, lasts/2)
		s.restart(index)
	})
}

func playPause(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	s.onInstance(random, func(index int, i *hosted.Instance) {
		s.harm(index)
		_ = i.Process().Freeze()
		pause(ctx, lasts)
		_ = i.Process().Thaw()
		s.harm(index)
	})
}

// playLongPause pauses a process, in one of two cases for longer than a removed key
// may have an effect.
func playLongPause(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	playPause(ctx, s, random, lasts+time.Duration(random.IntN(2))*revocationTime)
}

// playTerminate stops a process gracefully. It must end by itself, in time and
// well, since nothing else is done to it meanwhile.
func playTerminate(_ context.Context, s *site, random *rand.Rand, _ time.Duration) {
	s.onInstance(random, func(index int, i *hosted.Instance) {
		_ = i.Signal(syscall.SIGTERM)
		select {
		case <-i.Process().Done():
			if code := i.Process().ExitCode(); code != 0 {
				s.ledger.violate("instance %d ended with %d after SIGTERM", index, code)
			}
		case <-time.After(s.grace + s.bounds.StopSlack):
			s.ledger.violate("instance %d did not end in time after SIGTERM", index)
			s.harm(index)
			_ = i.Process().Kill()
		}
		s.restart(index)
	})
}

func playHangup(_ context.Context, s *site, random *rand.Rand, _ time.Duration) {
	s.onInstance(random, func(_ int, i *hosted.Instance) { _ = i.Signal(syscall.SIGHUP) })
}

func playStore(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	faults := []hosted.StoreFault{
		hosted.StoreBusy, hosted.StoreCrowded, hosted.StoreReset, hosted.StoreSilent, hosted.StoreLost,
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.system.Store.SetFault(faults[random.IntN(len(faults))])
	pause(ctx, lasts)
	s.system.Store.SetFault(hosted.StoreWell)
}

func playStoreLink(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	harmLink(ctx, random, s.system.Instances[random.IntN(len(s.system.Instances))].ToStore, lasts)
}

// playStoreCut cuts an instance from the store, for longer than a removed key may
// have an effect in one of two cases.
func playStoreCut(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	link := s.system.Instances[random.IntN(len(s.system.Instances))].ToStore
	link.Reset()
	pause(ctx, lasts+time.Duration(random.IntN(2))*revocationTime)
	link.Heal()
}

// playAllCut cuts all instances from the store and changes the keys meanwhile, of
// which no instance hears.
func playAllCut(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	if !s.storeMu.TryLock() {
		return
	}
	defer s.storeMu.Unlock()
	s.system.Store.SetFault(hosted.StoreReset)
	// The fault holds for new calls only; a waiting one would show the change.
	for _, instance := range s.system.Instances {
		instance.ToStore.Drop()
	}
	for _, l := range loads {
		s.changeKeys(random, l.account.Name)
	}
	pause(ctx, lasts+revocationTime)
	s.system.Store.SetFault(hosted.StoreWell)
}

func playDatabaseLink(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	databases := s.system.Group.Databases()
	harmLink(ctx, random, databases[random.IntN(len(databases))].Wire(), lasts)
}

// harmLink delays, resets, or silences a link in one direction or both.
func harmLink(ctx context.Context, random *rand.Rand, link *faultproxy.Proxy, lasts time.Duration) {
	delay := time.Duration(random.Int64N(int64(slowLink)))
	switch random.IntN(5) {
	case 0:
		link.Delay(faultproxy.ToServer, delay)
		link.Delay(faultproxy.ToClient, delay)
	case 1:
		link.Reset()
	case 2:
		link.Drop()
		return
	case 3:
		link.Silence([]faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient}[random.IntN(2)])
	case 4:
		link.Silence(faultproxy.ToServer)
		link.Silence(faultproxy.ToClient)
	}
	pause(ctx, lasts)
	link.Heal()
}

func playCrash(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	databases := s.system.Group.Databases()
	s.crash(ctx, databases[random.IntN(len(databases))], lasts)
}

func playPrimaryCrash(ctx context.Context, s *site, _ *rand.Rand, lasts time.Duration) {
	if primary := s.system.Group.Primary(); primary != nil {
		s.crash(ctx, primary, lasts)
	}
}

func playDrain(ctx context.Context, s *site, _ *rand.Rand, lasts time.Duration) {
	if primary := s.system.Group.Primary(); primary != nil {
		primary.SetDraining(true)
		pause(ctx, lasts)
		primary.SetDraining(false)
	}
}

func playIsolated(ctx context.Context, s *site, _ *rand.Rand, lasts time.Duration) {
	if primary := s.system.Group.Primary(); primary != nil {
		primary.SetIsolated(true)
		pause(ctx, lasts)
		primary.SetIsolated(false)
	}
}

func playAnswersLost(ctx context.Context, s *site, random *rand.Rand, lasts time.Duration) {
	databases := s.system.Group.Databases()
	chosen := databases[random.IntN(len(databases))]
	chosen.SetLoseAnswers(true)
	pause(ctx, lasts/4)
	chosen.SetLoseAnswers(false)
}

func playConfigurations(ctx context.Context, s *site, random *rand.Rand, _ time.Duration) {
	for range random.IntN(4) + 1 {
		s.system.Configure(time.Duration(500+random.IntN(700)) * time.Millisecond)
		pause(ctx, 50*time.Millisecond)
	}
}
