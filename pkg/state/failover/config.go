package failover

import (
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// Defaults for the times of Config, and fixed limits.
const (
	defaultPermitLifetime          = 3 * time.Second
	defaultDrift                   = 200 * time.Millisecond
	defaultTickInterval            = 50 * time.Millisecond
	defaultReadInterval            = time.Second
	defaultReadTimeout             = 500 * time.Millisecond
	defaultWriteTimeout            = 2 * time.Second
	defaultDetectAfter             = time.Second
	defaultProbeMaxAge             = 1500 * time.Millisecond
	defaultObserveInterval         = 500 * time.Millisecond
	defaultResendInterval          = 250 * time.Millisecond
	defaultSealStagger             = 150 * time.Millisecond
	defaultTakeoverSuspectAfter    = 500 * time.Millisecond
	defaultTakeoverStuckAfter      = 5 * time.Second
	defaultTakeoverStagger         = 300 * time.Millisecond
	defaultPromoteTimeout          = 2 * time.Second
	defaultDrainTimeout            = 500 * time.Millisecond
	defaultSwitchTimeout           = 4 * time.Second
	defaultLeavingRetryInterval    = 10 * time.Second
	defaultLeavingStagger          = 700 * time.Millisecond
	defaultMaxPromiseTime          = 5 * time.Minute
	defaultSuspectAfter            = 1500 * time.Millisecond
	defaultEvictAfter              = time.Minute
	defaultPlatformReachableFor    = 5 * time.Second
	defaultMembershipRetryInterval = time.Second
	// minProbeFailures is the least number of successive failed probes after
	// which an upstream counts as lost.
	minProbeFailures = 2
	// maxPromiseRounds is how many rounds of promise requests are kept while
	// answers are outstanding.
	maxPromiseRounds = 8
	// After the n-th successive conflict a writer waits for a pseudo-random
	// multiple, below 2^n, of writeBackoffUnit before it writes again; n counts
	// up to maxWriteBackoffAttempts.
	writeBackoffUnit        = 5 * time.Millisecond
	maxWriteBackoffAttempts = 6
	// replaceDelay is how long the table must have answered an observer before it
	// takes the place of members that are cut off. In that time it learns of
	// their return.
	replaceDelay = 500 * time.Millisecond
	// maxRegistrationReadAge is the age of the newest read of the row up to which
	// an instance registers.
	maxRegistrationReadAge = 250 * time.Millisecond
)

// Config holds the settings of a Machine. New replaces a time that is zero by
// its default, except for SwitchMaxLag, PromotionLease and PromotionLeaseWait.
type Config struct {
	// Self is the registration of this instance.
	Self model.Member
	// PermitLifetime is how long a permit is valid after the start of the read
	// that renewed it.
	PermitLifetime time.Duration
	// Drift is the largest difference by which two instances' clocks may
	// diverge during one PermitLifetime.
	Drift time.Duration
	// TickInterval is the time between two Ticks.
	TickInterval time.Duration
	// ReadInterval is the time between two reads of the head row.
	ReadInterval time.Duration
	// ReadTimeout is the time after which the next read may start although the
	// previous one has not been answered.
	ReadTimeout time.Duration
	// WriteTimeout is the time after which the outcome of an unanswered write
	// of the head row counts as unknown.
	WriteTimeout time.Duration
	// DetectAfter is how long the probes of an upstream must have failed before
	// this instance considers it lost.
	DetectAfter time.Duration
	// ProbeMaxAge is the age up to which the result of a probe is used.
	ProbeMaxAge time.Duration
	// ObserveInterval is the time between two Observed messages to a peer.
	ObserveInterval time.Duration
	// ResendInterval is the time between two sends of an unanswered message,
	// and between two orders to promote.
	ResendInterval time.Duration
	// SealStagger is the delay per rank before a member seals a group whose
	// primary is lost, so that they do not all write at once.
	SealStagger time.Duration
	// TakeoverSuspectAfter is how long a seal must have been unchanged before
	// another member takes over from a promoter that is suspect.
	TakeoverSuspectAfter time.Duration
	// TakeoverStuckAfter is the same for a promoter that is still heard from.
	TakeoverStuckAfter time.Duration
	// TakeoverStagger is the delay per rank before a takeover or an eviction.
	TakeoverStagger time.Duration
	// PromoteTimeout is how long a candidate that is lost may leave the order
	// to promote unanswered before another one is named. A candidate that is
	// not lost has twice as long.
	PromoteTimeout time.Duration
	// DrainTimeout bounds how long a permit holder waits for its writes in
	// flight in a planned switch.
	DrainTimeout time.Duration
	// SwitchTimeout bounds the time of a planned switch, after which the old
	// primary continues.
	SwitchTimeout time.Duration
	// SwitchMaxLag is the part of the primary's log that the target of a
	// planned switch may lack when the switch starts; zero for no bound.
	SwitchMaxLag model.LSN
	// LeavingRetryInterval is the time between two orders to switch away from a
	// primary that is leaving.
	LeavingRetryInterval time.Duration
	// LeavingStagger is the delay per rank before a member orders that switch.
	LeavingStagger time.Duration
	// MaxPromiseTime bounds the time for which permits are renewed by promises
	// without a successful read of the table.
	MaxPromiseTime time.Duration
	// SuspectAfter is the silence after which a member is suspect.
	SuspectAfter time.Duration
	// PlatformReachableFor is how long after an answer the platform counts as
	// reachable.
	PlatformReachableFor time.Duration
	// MembershipRetryInterval is the time between two AdoptionAsked messages of
	// a member that is not established yet.
	MembershipRetryInterval time.Duration
	// EvictAfter is the silence after which a member is evicted although the
	// platform still lists it.
	EvictAfter time.Duration
	// PromotionLease is the age of the newest read of the head row up to which
	// a promoter orders promotions; zero for no bound. PromotionLeaseWait is
	// how long a promoter that has taken over waits before its first order, and
	// any promoter before its first order for the old primary after one for
	// another upstream. It must exceed PromotionLease by the time that an order
	// may take to execute.
	PromotionLease     time.Duration
	PromotionLeaseWait time.Duration
	// PlatformPromotes is true where the platform promotes the upstreams of a
	// group one at a time: each promotion starts a timeline with a higher number
	// and deposes the primary before, whether or not the head row names it.
	// PostgreSQL servers are promoted independently of each other instead.
	PlatformPromotes bool
	// MaxMembers is the number of members from which on this instance does not
	// register, but stays an observer; zero for no bound. Each row may exceed
	// the bound of an instance with a lower one.
	MaxMembers int
	// MinMembers is the number of members below which an instance registers
	// after UrgentJoinDelay, and the number of members able to serve below which
	// it does so although the row is full.
	MinMembers int
	// JoinDelay is how long the row must have had a vacancy before this instance
	// registers. It differs between instances, so that few write at once.
	// UrgentJoinDelay takes its place while groups may have no server.
	JoinDelay       time.Duration
	UrgentJoinDelay time.Duration
	// FirstReadDelay is how long an instance waits after its start for a head
	// row from a peer before it reads the table.
	FirstReadDelay time.Duration
	// Rules turns off safety rules. Only the simulation tests in package search
	// set it.
	Rules Rules
}

// Rules turns off one safety rule for each field that is set. In a deployment
// none is set: the simulation tests set them to show that they detect what each
// rule prevents.
type Rules struct {
	// SkipConfirmation promotes without waiting for the permit holders to stop.
	SkipConfirmation bool
	// PermitFromAnswer starts a permit's lifetime at the answer to the read,
	// not at its start.
	PermitFromAnswer bool
	// PermitFromBundle starts the permits of the groups of a configuration when
	// it is adopted, not at the newest confirmation of the head row.
	PermitFromBundle bool
	// AcceptOldHead accepts any head row that arrives, also an older one.
	AcceptOldHead bool
	// ForgetStopped renews a permit for a generation that this instance has
	// confirmed to have given up.
	ForgetStopped bool
	// PermitUnregistered lets unregistered and evicted instances hold permits.
	PermitUnregistered bool
	// PromiseByMajority renews permits by the promises of a majority of the
	// members instead of all.
	PromiseByMajority bool
	// PromiseOnNewerHead grants a promise for a head row of another version
	// than the known one.
	PromiseOnNewerHead bool
	// EstablishedAtOnce treats a member as established from its registration
	// on.
	EstablishedAtOnce bool
	// RemoveAtOnce removes an evicted member without waiting for its permits to
	// expire.
	RemoveAtOnce bool
	// IgnoreDrift does not add Drift to the wait for the expiry of permits.
	IgnoreDrift bool
	// DetectAlone seals on this instance's own probes, without those of other
	// members.
	DetectAlone bool
	// ConfirmByServers promotes once the group's present servers have confirmed,
	// without those that served it before.
	ConfirmByServers bool
	// TrustTimeline sends reads to every replica on the timeline of the head
	// row, although two upstreams may have started that timeline.
	TrustTimeline bool
	// ForgetPromotions takes an old primary that answers for the present one,
	// whatever promotion may have been ordered.
	ForgetPromotions bool
	// ForgetPromoter ends the promotion lease with the generation that it was for.
	ForgetPromoter bool
}

// withDefaults returns c with a default for every time that is zero.
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
	set(&c.ProbeMaxAge, defaultProbeMaxAge)
	set(&c.ObserveInterval, defaultObserveInterval)
	set(&c.ResendInterval, defaultResendInterval)
	set(&c.SealStagger, defaultSealStagger)
	set(&c.TakeoverSuspectAfter, defaultTakeoverSuspectAfter)
	set(&c.TakeoverStuckAfter, defaultTakeoverStuckAfter)
	set(&c.TakeoverStagger, defaultTakeoverStagger)
	set(&c.PromoteTimeout, defaultPromoteTimeout)
	set(&c.DrainTimeout, defaultDrainTimeout)
	set(&c.SwitchTimeout, defaultSwitchTimeout)
	set(&c.LeavingRetryInterval, defaultLeavingRetryInterval)
	set(&c.LeavingStagger, defaultLeavingStagger)
	set(&c.MaxPromiseTime, defaultMaxPromiseTime)
	set(&c.SuspectAfter, defaultSuspectAfter)
	set(&c.PlatformReachableFor, defaultPlatformReachableFor)
	set(&c.MembershipRetryInterval, defaultMembershipRetryInterval)
	set(&c.EvictAfter, defaultEvictAfter)
	return c
}

// Check returns an error for settings with which the machine would be unsafe or
// could not work. Times that are zero are replaced by their defaults first.
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
		return errors.New("the permit lifetime must exceed the sum of the read interval and the read timeout")
	}
	if full.TickInterval > full.ResendInterval {
		return errors.New("the tick interval must not exceed the resend interval")
	}
	if full.MaxPromiseTime < full.PermitLifetime {
		return errors.New("the maximum promise time must not be below the permit lifetime")
	}
	return nil
}

// promiseExpiryWait is the time after which every permit that was renewed by
// promises of the members of an older row has expired. Clocks may diverge
// during the whole of MaxPromiseTime, so Drift is scaled to it.
func (c Config) promiseExpiryWait() time.Duration {
	drift := time.Duration(float64(c.Drift) * float64(c.MaxPromiseTime) / float64(c.PermitLifetime))
	return c.MaxPromiseTime + drift + c.permitExpiryWait()
}

// permitExpiryWait is the time after which every permit has expired that was
// renewed before the present row was known.
func (c Config) permitExpiryWait() time.Duration {
	if c.Rules.IgnoreDrift {
		return c.PermitLifetime
	}
	return c.PermitLifetime + c.Drift
}
