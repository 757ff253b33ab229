package failover

import (
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// The default times.
const (
	defaultPermitLifetime   = 3 * time.Second
	defaultDrift            = 200 * time.Millisecond
	defaultTickInterval     = 50 * time.Millisecond
	defaultReadInterval     = time.Second
	defaultReadTimeout      = 500 * time.Millisecond
	defaultWriteTimeout     = 2 * time.Second
	defaultDetectAfter      = time.Second
	defaultProbeFresh       = 1500 * time.Millisecond
	defaultObserveInterval  = 500 * time.Millisecond
	defaultResendInterval   = 250 * time.Millisecond
	defaultSealStagger      = 150 * time.Millisecond
	defaultTakeOverAfter    = 500 * time.Millisecond
	defaultTakeOverStuck    = 5 * time.Second
	defaultTakeOverStagger  = 300 * time.Millisecond
	defaultPromoteWait      = 2 * time.Second
	defaultDrainWait        = 500 * time.Millisecond
	defaultSwitchWait       = 4 * time.Second
	defaultLeavingRetry     = 10 * time.Second
	defaultLeavingStagger   = 700 * time.Millisecond
	defaultMaxPromiseTime   = 5 * time.Minute
	defaultSuspectAfter     = 1500 * time.Millisecond
	defaultEvictAfter       = time.Minute
	defaultReachableFor     = 5 * time.Second
	defaultMembershipRetry  = time.Second
	minProbeFailures        = 2
	maxPromiseRounds        = 8
	writeBackoffUnit        = 5 * time.Millisecond
	maxWriteBackoffAttempts = 6
)

// Config holds the settings of a Machine. New replaces a zero time by its
// default.
type Config struct {
	Self model.Member
	// PermitLifetime is how long a permit is valid after the start of the read
	// that renewed it.
	PermitLifetime time.Duration
	// Drift bounds how far two clocks run apart during PermitLifetime.
	Drift time.Duration
	// TickInterval is the time between two Ticks. A longer gap means that the
	// process was paused.
	TickInterval time.Duration
	// ReadInterval is the time between two reads of the head row.
	ReadInterval time.Duration
	// ReadTimeout is the time after which another read may start although the
	// last one has not been answered.
	ReadTimeout time.Duration
	// WriteTimeout is the time after which the outcome of an unanswered write
	// counts as unknown.
	WriteTimeout time.Duration
	// DetectAfter is how long probes of a primary must have failed.
	DetectAfter time.Duration
	// ProbeMaxAge is the age up to which the result of a probe is used.
	ProbeMaxAge time.Duration
	// ObserveInterval is the time between two Observed messages to a peer.
	ObserveInterval time.Duration
	// ResendInterval is the time between two sends of an unanswered message
	// and between two orders to promote.
	ResendInterval time.Duration
	// SealStagger is the delay for each rank before an instance seals.
	SealStagger time.Duration
	// TakeoverSuspectAfter is how long a seal must have stood before another member
	// takes over from a promoter that is suspect.
	TakeoverSuspectAfter time.Duration
	// TakeoverStuckAfter is how long a seal may stand while its promoter is heard.
	TakeoverStuckAfter time.Duration
	// TakeoverStagger is the delay for each rank before a take-over.
	TakeoverStagger time.Duration
	// PromoteTimeout is how long a candidate may leave the order to promote
	// unanswered before another one is named.
	PromoteTimeout time.Duration
	// DrainTimeout bounds the time that a holder waits for its writes in flight
	// in a planned switch.
	DrainTimeout time.Duration
	// SwitchTimeout bounds the time of a planned switch; after it, the old primary
	// goes on.
	SwitchTimeout time.Duration
	// SwitchMaxLag is the part of the primary's log that the target of a
	// planned switch may lack when it starts; zero for no bound.
	SwitchMaxLag model.LSN
	// LeavingRetryInterval is the time between two orders to switch away from a primary
	// that is leaving.
	LeavingRetryInterval time.Duration
	// LeavingStagger is the delay for each rank before an instance orders that
	// switch.
	LeavingStagger time.Duration
	// MaxPromiseTime bounds the time for which permits are renewed by promises
	// alone.
	MaxPromiseTime time.Duration
	// SuspectAfter is the silence that makes a member suspect.
	SuspectAfter time.Duration
	// PlatformReachableFor is how long after an answer the platform counts as reachable.
	PlatformReachableFor time.Duration
	// MembershipRetryInterval is the time between two requests of a new member for a
	// confirmation of its registration.
	MembershipRetryInterval time.Duration
	// EvictAfter is the silence after which a member is evicted although the
	// platform still lists it.
	EvictAfter time.Duration
	// PromotionLease is the age of the newest read of the head row up to which a
	// promoter gives orders; zero for no bound. PromotionLeaseWait is the time after which
	// a promoter that has taken over gives its first; it must exceed PromotionLease
	// by the time that an order may take.
	PromotionLease     time.Duration
	PromotionLeaseWait time.Duration
	// Rules turns off safety rules. It is for the search only.
	Rules Rules
}

// Rules turns off one safety rule for each field that is set. A deployment sets
// none: the search uses them to show that it finds what the rule prevents.
type Rules struct {
	// SkipConfirmation promotes without waiting for the holders.
	SkipConfirmation bool
	// PermitFromAnswer counts a permit from the answer to the read.
	PermitFromAnswer bool
	// AcceptOldHead takes any row that arrives as the newest.
	AcceptOldHead bool
	// ForgetStopped renews a permit of a generation after confirming its stop.
	ForgetStopped bool
	// PermitUnregistered grants permits before registration.
	PermitUnregistered bool
	// PromiseByMajority renews permits by the promises of a majority.
	PromiseByMajority bool
	// PromiseOnNewerHead promises for a row older than the newest known.
	PromiseOnNewerHead bool
	// EstablishedAtOnce lets a newcomer finish a promotion by waiting.
	EstablishedAtOnce bool
	// RemoveAtOnce removes an evicted member without waiting.
	RemoveAtOnce bool
	// IgnoreDrift waits for the permit lifetime on the promoter's own clock.
	IgnoreDrift bool
	// DetectAlone seals on the view of one instance.
	DetectAlone bool
	// TrustTimeline uses every replica on the head's timeline, although two
	// upstreams may have started that timeline.
	TrustTimeline bool
}

// withDefaults returns cfg with a default for every time that is zero.
func (c Config) withDefaults() Config {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&c.PermitLifetime, defaultPermitLifetime)
	set(&c.Drift, defaultDrift)
	set(&c.TickInterval, defaultTickInterval)
	set(&c.ReadInterval, defaultReadInterval)
	set(&c.ReadTimeout, defaultReadTimeout)
	set(&c.WriteTimeout, defaultWriteTimeout)
	set(&c.DetectAfter, defaultDetectAfter)
	set(&c.ProbeMaxAge, defaultProbeFresh)
	set(&c.ObserveInterval, defaultObserveInterval)
	set(&c.ResendInterval, defaultResendInterval)
	set(&c.SealStagger, defaultSealStagger)
	set(&c.TakeoverSuspectAfter, defaultTakeOverAfter)
	set(&c.TakeoverStuckAfter, defaultTakeOverStuck)
	set(&c.TakeoverStagger, defaultTakeOverStagger)
	set(&c.PromoteTimeout, defaultPromoteWait)
	set(&c.DrainTimeout, defaultDrainWait)
	set(&c.SwitchTimeout, defaultSwitchWait)
	set(&c.LeavingRetryInterval, defaultLeavingRetry)
	set(&c.LeavingStagger, defaultLeavingStagger)
	set(&c.MaxPromiseTime, defaultMaxPromiseTime)
	set(&c.SuspectAfter, defaultSuspectAfter)
	set(&c.PlatformReachableFor, defaultReachableFor)
	set(&c.MembershipRetryInterval, defaultMembershipRetry)
	set(&c.EvictAfter, defaultEvictAfter)
	return c
}

// Check returns an error for settings under which the machine would be unsafe
// or could not work. Zero times count as their defaults.
func (c Config) Check() error {
	full := c.withDefaults()
	if full.Self.ID == "" {
		return errors.New("the instance has no ID")
	}
	if full.Self.DataCentre == "" {
		return errors.New("the instance has no data centre")
	}
	if full.Drift < 0 {
		return errors.New("the drift is negative")
	}
	if full.ReadInterval+full.ReadTimeout >= full.PermitLifetime {
		return errors.New("a permit must outlive the read interval and the read timeout")
	}
	if full.TickInterval > full.ResendInterval {
		return errors.New("the tick interval must not exceed the resend interval")
	}
	if full.MaxPromiseTime < full.PermitLifetime {
		return errors.New("the promise time must not be below the permit lifetime")
	}
	return nil
}

// promiseWait is the time after which no permit is left that was renewed by
// promises of the members of an older row. Clocks run apart for all of it.
func (c Config) promiseWait() time.Duration {
	drift := time.Duration(float64(c.Drift) * float64(c.MaxPromiseTime) / float64(c.PermitLifetime))
	return c.MaxPromiseTime + drift + c.confirmWait()
}

// confirmWait is the time after which no permit from before a known row is
// left.
func (c Config) confirmWait() time.Duration {
	if c.Rules.IgnoreDrift {
		return c.PermitLifetime
	}
	return c.PermitLifetime + c.Drift
}
