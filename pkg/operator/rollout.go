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

// Times of polling instances: the interval between two polls, and the bound on
// one.
const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Rollout reports which instances have adopted a revision.
type Rollout struct {
	Revision  model.Revision    `json:"revision"`
	Instances []InstanceRollout `json:"instances"`
}

// InstanceRollout is one instance in a Rollout.
type InstanceRollout struct {
	// Instance is the instance's ID, or its address if it does not answer.
	Instance string         `json:"instance"`
	Revision model.Revision `json:"revision"`
	// Active is true if the instance has adopted the revision ("in_force" in
	// JSON).
	Active bool `json:"in_force"`
	// Problem is the error if the instance does not answer.
	Problem string `json:"problem,omitempty"`
}

// missing returns the number of instances that have not adopted the revision.
func (r Rollout) missing() int {
	missing := 0
	for _, instance := range r.Instances {
		if !instance.Active {
			missing++
		}
	}
	return missing
}

// answer is the status of one instance, or the error of the request for it.
type answer struct {
	address string
	status  admin.Status
	err     error
}

// ask requests the status of all instances concurrently.
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

// askAll requests the status of the instances at the addresses and of the live
// peers that they list. A peer that does not answer is left out, as its admin
// address may be a loopback address, which from here leads nowhere or to another
// instance.
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

// unasked returns the admin addresses of live peers that were not asked yet.
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

// rolloutOf combines the revisions that instances report for themselves and for
// their peers. An instance's own report takes precedence.
func rolloutOf(revision model.Revision, answers []answer) Rollout {
	known := map[string]InstanceRollout{}
	// own is set for instances that answered themselves.
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

// instanceRollout compares an instance's revision with the wanted one.
func instanceRollout(id string, has, wanted model.Revision) InstanceRollout {
	return InstanceRollout{Instance: id, Revision: has, Active: has >= wanted}
}

// awaitRollout polls until every live instance has adopted the revision. After
// the wait it returns a RolloutIncompleteError.
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

// poll calls done at each interval until it returns true or ctx ends. It returns
// the error of ctx in the latter case.
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
