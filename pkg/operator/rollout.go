package operator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Rollout says which instances have a revision in force.
type Rollout struct {
	Revision  model.Revision    `json:"revision"`
	Instances []InstanceRollout `json:"instances"`
}

// InstanceRollout is one instance in a Rollout.
type InstanceRollout struct {
	// Instance is the ID, or the address of one that does not answer.
	Instance string         `json:"instance"`
	Revision model.Revision `json:"revision"`
	Active   bool           `json:"in_force"`
	// Problem says why nothing is known.
	Problem string `json:"problem,omitempty"`
}

func (r Rollout) missing() int {
	missing := 0
	for _, instance := range r.Instances {
		if !instance.Active {
			missing++
		}
	}
	return missing
}

// answer is the status of one instance, or why there is none.
type answer struct {
	address string
	status  admin.Status
	err     error
}

// ask asks all instances at once for their status.
func ask(ctx context.Context, addresses []string) []answer {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	answers := make([]answer, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			status, err := admin.NewClient(address).Status(ctx)
			answers[i] = answer{address: address, status: status, err: err}
		})
	}
	wait.Wait()
	return answers
}

// askAll asks the instances at the addresses, and the live peers that they
// name. A peer whose admin listener cannot be reached from here is left out,
// as its loopback address leads nowhere or to another instance.
func askAll(ctx context.Context, addresses []string) []answer {
	answers := ask(ctx, addresses)
	known := map[model.InstanceID]bool{}
	for _, a := range answers {
		known[a.status.Instance] = true
	}
	for _, a := range ask(ctx, unasked(answers)) {
		if a.err == nil && !known[a.status.Instance] {
			known[a.status.Instance] = true
			answers = append(answers, a)
		}
	}
	return answers
}

// unasked returns the admin addresses of live peers that gave no answer yet.
func unasked(answers []answer) []string {
	seen := map[string]bool{}
	for _, a := range answers {
		seen[a.address] = true
	}
	var more []string
	for _, a := range answers {
		for _, peer := range a.status.Peers {
			if peer.Live && peer.Admin != "" && !seen[peer.Admin] {
				seen[peer.Admin] = true
				more = append(more, peer.Admin)
			}
		}
	}
	return more
}

// rolloutOf combines what instances say of themselves and of their peers. An
// instance's own word counts more than a peer's.
func rolloutOf(revision model.Revision, answers []answer) Rollout {
	known := map[string]InstanceRollout{}
	own := map[string]bool{}
	for _, a := range answers {
		if a.err != nil {
			known[a.address] = InstanceRollout{Instance: a.address, Problem: a.err.Error()}
			continue
		}
		id := string(a.status.Instance)
		known[id], own[id] = instanceRollout(id, a.status.Revision, revision), true
	}
	for _, a := range answers {
		for _, peer := range a.status.Peers {
			id := string(peer.ID)
			if !peer.Live || own[id] || known[id].Revision > peer.Revision {
				continue
			}
			known[id] = instanceRollout(id, peer.Revision, revision)
		}
	}
	rollout := Rollout{Revision: revision}
	for _, instance := range known {
		rollout.Instances = append(rollout.Instances, instance)
	}
	slices.SortFunc(rollout.Instances, func(a, b InstanceRollout) int { return cmp.Compare(a.Instance, b.Instance) })
	return rollout
}

func instanceRollout(id string, has, wanted model.Revision) InstanceRollout {
	return InstanceRollout{Instance: id, Revision: has, Active: has >= wanted}
}

// awaitRollout polls until the revision is in force on every live instance,
// or returns a RolloutIncompleteError after the wait.
func awaitRollout(ctx context.Context, wait time.Duration, addresses []string, revision model.Revision) (Rollout, error) {
	var rollout Rollout
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err := poll(waiting, func() bool {
		rollout = rolloutOf(revision, askAll(ctx, addresses))
		return rollout.missing() == 0
	})
	if err != nil {
		return rollout, &RolloutIncompleteError{Rollout: rollout}
	}
	return rollout, nil
}

// poll calls done until it returns true, or returns the error of ctx.
func poll(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
