package upstreamd

import (
	"time"

	"github.com/go-faster/errors"
)

// Apply carries out a fault.
func (s *Server) Apply(fault Fault) error {
	g, err := s.group(fault.Group)
	if err != nil {
		return err
	}
	n, err := g.node(fault.Upstream)
	if err != nil {
		return err
	}
	if fault.Action == ActionRevive {
		return s.revive(n)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicate()
	return n.apply(fault)
}

func (s *Server) revive(n *node) error {
	n.mu.Lock()
	down := n.down
	n.mu.Unlock()
	if !down {
		return errors.Errorf("upstream %s is not down", n.id)
	}
	_, err := s.open(n)
	return err
}

// apply changes the node's state. The caller holds the mutex.
func (n *node) apply(fault Fault) error {
	switch fault.Action {
	case ActionKill:
		n.stop()
	case ActionFreeze:
		if !n.frozen() {
			n.thawed = make(chan struct{})
		}
	case ActionThaw:
		n.thaw()
	case ActionLag:
		n.lag = time.Duration(fault.LagMS) * time.Millisecond
	case ActionStick, ActionUnstick:
		n.stuck = fault.Action == ActionStick
	case ActionCutReplication, ActionHealReplication:
		n.cut = fault.Action == ActionCutReplication
	case ActionCutAnswer:
		n.cutAnswer = fault.Cut
	case ActionPromote:
		return n.promote()
	case ActionFollow:
		return n.rejoin()
	case ActionAdvertise:
		return n.advertise(fault.Address)
	case ActionCosts:
		if fault.Costs == nil {
			return errors.New("no costs given")
		}
		n.costs = *fault.Costs
	default:
		return errors.Errorf("unknown action %q", fault.Action)
	}
	return nil
}

// rejoin makes the node follow the newest other primary.
func (n *node) rejoin() error {
	wasPrimary := n.primary
	n.primary = false
	source := n.group.source()
	if source == nil {
		n.primary = wasPrimary
		return errors.New("no primary to follow")
	}
	n.follow(source)
	return nil
}
