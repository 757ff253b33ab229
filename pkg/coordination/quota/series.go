package quota

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
	"gypsumdock/pkg/telemetry"
)

const (
	// maxNamed bounds the callers that have metrics of their own. The others share
	// those of otherCallers.
	maxNamed     = 100
	otherCallers = model.CallerName("other")
)

// series holds the metrics of a caller.
type series struct {
	used, refused *metrics.Counter
	tokens        *metrics.Gauge
	// measured is set while the caller has a limit.
	measured bool
}

func newSeries(name model.CallerName) *series {
	return &series{
		used:    telemetry.QuotaUsed.With(string(name)),
		refused: telemetry.QuotaRefused.With(string(name)),
		tokens:  telemetry.QuotaTokens.With(string(name)),
	}
}

// measure updates the metrics of the first maxNamed callers by name, and those of
// all others together.
func (s *Service) measure(now time.Duration) {
	for _, known := range s.series {
		known.measured = false
	}
	named := 0
	var rest quota.CallerState
	s.machine.EachCaller(now, func(state quota.CallerState) {
		if named++; named <= maxNamed {
			s.record(state)
			return
		}
		rest.Used += state.Used
		rest.Refused += state.Refused
		rest.Tokens += state.Tokens
	})
	if named > maxNamed {
		rest.Caller = otherCallers
		s.record(rest)
	}
	for name, known := range s.series {
		if !known.measured {
			telemetry.QuotaTokens.Forget(string(name))
			delete(s.series, name)
		}
	}
}

func (s *Service) record(state quota.CallerState) {
	known := s.series[state.Caller]
	if known == nil {
		known = newSeries(state.Caller)
		s.series[state.Caller] = known
	}
	known.measured = true
	known.used.Set(state.Used)
	known.refused.Set(state.Refused)
	known.tokens.Set(state.Tokens)
}
