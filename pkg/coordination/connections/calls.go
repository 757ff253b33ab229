package connections

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// carryOut starts what an action asks for. The machine has at most one read,
// one write and one count of an upstream under way.
func (s *Service) carryOut(ctx context.Context, action grants.Action) {
	switch a := action.(type) {
	case grants.ReadRow:
		asked := s.config.Clock.Now()
		s.call(ctx, func(ctx context.Context) grants.Event {
			read := s.read(ctx, a.Upstream)
			read.AskedAt = asked
			return read
		})
	case grants.WriteRow:
		s.call(ctx, func(ctx context.Context) grants.Event { return s.write(ctx, a) })
	case grants.CountConnections:
		asked := s.config.Clock.Now()
		s.call(ctx, func(ctx context.Context) grants.Event {
			counted := s.count(ctx, a)
			counted.AskedAt = asked
			return counted
		})
	case grants.HintPeer:
		s.config.Peers.HintGrant(a.To, a.Upstream)
	case grants.CloseConnections:
		// The pool's limit, which is set after each event, closes them.
	}
}

// call runs a question outside of the caller's goroutine, and hands its answer
// to the machine.
func (s *Service) call(ctx context.Context, ask func(context.Context) grants.Event) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s.handle(ctx, ask(bounded))
	}()
}

func (s *Service) read(ctx context.Context, upstream model.UpstreamID) grants.RowRead {
	answer := grants.RowRead{Upstream: upstream}
	stored, err := s.config.Table.Get(ctx, grants.Key(s.config.Region, upstream))
	if err != nil {
		answer.Failed = true
		return answer
	}
	answer.Version, answer.Row, err = decode(stored)
	answer.Failed = err != nil
	return answer
}

// write puts a row. Any failure leaves the outcome unknown; the machine
// settles it.
func (s *Service) write(ctx context.Context, a grants.WriteRow) grants.RowWritten {
	answer := grants.RowWritten{Op: a.Op, Upstream: a.Upstream}
	value, err := json.Marshal(a.Row)
	if err != nil {
		return answer
	}
	result, err := s.config.Table.Commit(ctx, s.config.OpID(), []platform.Write{{
		Key: grants.Key(s.config.Region, a.Upstream), IfVersion: a.IfVersion, Value: value,
	}})
	if err != nil || len(result.Rows) != 1 {
		return answer
	}
	version, row, err := decode(result.Rows[0])
	if err != nil {
		return answer
	}
	answer.Version, answer.Row = version, row
	answer.Outcome = grants.WriteConflict
	if result.Applied {
		answer.Outcome = grants.WriteApplied
	}
	return answer
}

// decode reads a stored row; one that does not exist has version 0.
func decode(stored *platform.Row) (model.RowVersion, *grants.Row, error) {
	if stored == nil {
		return 0, nil, nil
	}
	row := &grants.Row{}
	if err := json.Unmarshal(stored.Value, row); err != nil {
		return 0, nil, errors.Wrap(err, "decode grant row")
	}
	return stored.Version, row, nil
}

func (s *Service) count(ctx context.Context, a grants.CountConnections) grants.Counted {
	answer := grants.Counted{Upstream: a.Upstream, Instance: a.Instance, Failed: true}
	upstream, found := s.find(a.Upstream)
	if !found {
		return answer
	}
	count, err := s.config.Upstreams.CountConnections(ctx, upstream, a.Instance)
	answer.Count, answer.Failed = count, err != nil
	return answer
}

func (s *Service) find(id model.UpstreamID) (*bundle.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.current.Groups {
		if upstream, found := s.current.Groups[i].Upstream(id); found {
			return upstream, true
		}
	}
	return nil, false
}
