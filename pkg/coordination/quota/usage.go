package quota

import (
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// recentUse is the use of a caller between the last two measurements.
type recentUse struct {
	// known is false before the first measurement, which has nothing to be compared
	// with.
	known     bool
	used      uint64
	perSecond float64
}

// next returns the use after a further measurement, interval after the last one. A
// refund can make used fall.
func (r recentUse) next(used uint64, interval time.Duration) recentUse {
	if !r.known {
		return recentUse{known: true, used: used}
	}
	if interval < measureInterval/2 {
		// A change of the limits causes a measurement at any time, and a rate over
		// a few milliseconds is inaccurate.
		return recentUse{known: true, used: r.used, perSecond: r.perSecond}
	}
	grown := used - min(used, r.used)
	return recentUse{known: true, used: used, perSecond: float64(grown) / interval.Seconds()}
}

// CallerUsage returns the use of the callers that have a limit, ordered by name.
// UsedPerSecond is that of the last second that was measured.
func (s *Service) CallerUsage() []model.CallerUsage {
	if !s.limited.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var usage []model.CallerUsage
	s.machine.EachCaller(s.config.Clock.Now(), func(state quota.CallerState) {
		usage = append(usage, model.CallerUsage{
			Name:          state.Caller,
			UsedPerSecond: s.recent[state.Caller].perSecond,
			Refused:       state.Refused,
			Limit:         state.Rate,
		})
	})
	return usage
}
