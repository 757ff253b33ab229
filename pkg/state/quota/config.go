package quota

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Limit is the limit of a caller: Rate operations per second, and Burst more at
// once.
type Limit struct {
	Caller model.CallerName
	Rate   float64
	Burst  float64
}

// Tolerance is how far the sum over all members may exceed a limit in any
// Window: by the fraction Overage of the limit, and by Slack operations.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// operations returns the number of operations by which a limit may be exceeded.
func (t Tolerance) operations(rate, burst float64) float64 {
	return t.Overage*(rate*t.Window.Seconds()+burst) + t.Slack
}

// Rules switches off single rules, so that a search can show what each of them
// prevents.
type Rules struct {
	// NoLease keeps a group after the members have lost touch.
	NoLease bool
	// NoAgreement forms a group without comparing who is in touch with whom.
	NoAgreement bool
	// NoSettle changes from one group to another without a wait.
	NoSettle bool
	// NoSilenceCharge ignores what members that are not heard may spend.
	NoSilenceCharge bool
	// NoUnackedBound does not bound what the others do not know of.
	NoUnackedBound bool
	// NoWeightBound raises a share before the others know of it.
	NoWeightBound bool
	// NoDebt forgives use that was reported late.
	NoDebt bool
	// NoFormerMembers forgets removed members at once.
	NoFormerMembers bool
	// NoJoinWait lets a new member spend before the others know of it.
	NoJoinWait bool
	// NoConfirmation lets a member spend that may have been removed.
	NoConfirmation bool
	// FullStart starts with a full bucket.
	FullStart bool
	// NoCarry gives a member that loses its group a full bucket of its own.
	NoCarry bool
}

// Config holds the settings of a Machine.
type Config struct {
	// Self is the ID of the member.
	Self model.InstanceID
	// Tolerance must have a Window above zero.
	Tolerance Tolerance
	// Rules is zero outside of tests.
	Rules Rules
}

const (
	// leaseTime is how long a member relies on a group after it sent the last
	// report that another member has confirmed. settleTime is the time between
	// two groups of a member. It exceeds leaseTime by what clocks may drift
	// apart, so that nobody relies on the earlier group by then.
	leaseTime  = 600 * time.Millisecond
	settleTime = 800 * time.Millisecond
	// silentAfter is the time out of touch after which a member is assumed to
	// spend an equal share. By then that member limits itself to it, and no group
	// without it has formed yet.
	silentAfter = settleTime
	// confirmedFor is how long the members count as current after they were
	// confirmed. A new member waits for joinWait, and a removed one is counted
	// for formerFor, so that a member which does not know of the change has
	// stopped.
	confirmedFor = 3 * time.Second
	joinWait     = 4 * time.Second
	formerFor    = 5 * time.Second
	// usualInterval is the time between two reports of a caller that is far from
	// its limit, and answerInterval that between two reports without a change.
	usualInterval  = time.Second
	answerInterval = 200 * time.Millisecond
	// wantedFor is how long reports go on after a report of an active member.
	wantedFor = time.Second
	// activeFor is how long reports go on after the last operation of a limited
	// caller, and after this instance has become a member. It spares a member that
	// is used now and then the time in which a group forms.
	activeFor = time.Minute
	// meetFor is how long reports are sent to a new peer that has not confirmed any,
	// even while no limited caller is active.
	meetFor = 10 * time.Second
	// maxRetryAfter bounds the time after which a refused caller may retry.
	maxRetryAfter = 5 * time.Second
	// equalPart is the part of the region's tokens that is shared equally, so
	// that a member whose demand rises has tokens before its share has risen.
	equalPart = 0.3
	// burstPart is the part of the tolerance that is added to a burst, and
	// singlePart the part by which all members together may exceed their shares.
	// The rest covers members with different views.
	burstPart  = 0.2
	singlePart = 0.6
	// reportInterval is the time between two calls of Tick. riseGain is the weight
	// of the newest interval in a demand that rises, and fallGain in one that
	// falls. A slower fall keeps the share of a member with a few operations per
	// second from dropping below one token between two of them.
	reportInterval = 100 * time.Millisecond
	riseGain       = 0.3
	fallGain       = 0.1
	// limitSpread is how long a new limit takes to be known to all members.
	limitSpread = 5 * time.Second
	// maxRetired bounds the callers without a limit whose use is kept.
	maxRetired = 10000
	// maxPeerUse bounds the operations that a peer can have run.
	maxPeerUse = 1 << 48
	// maxDemand bounds the operations per second that a peer can ask for.
	maxDemand = 1e9
)
