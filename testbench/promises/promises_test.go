package promises_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
	"gypsumdock/testbench/workload"
)

func TestPromises(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promises")
}

const (
	instances = 4
	// startTimeout bounds the start of a cluster, and recoverTimeout the wait
	// for callers to be served again after a fault.
	startTimeout   = 60 * time.Second
	recoverTimeout = 30 * time.Second
	// served is the number of further requests that shows that callers are
	// served again.
	served = 30
)

// quick has short leases and probes, so that the tests pass through them.
func quick() cluster.Tuning {
	t := cluster.DefaultTuning()
	t.PermitLifetime = time.Second
	t.PermitDrift = 100 * time.Millisecond
	t.ReadInterval = 200 * time.Millisecond
	t.ProbeInterval = 100 * time.Millisecond
	t.ProbeTimeout = 300 * time.Millisecond
	t.DetectAfter = 500 * time.Millisecond
	return t
}

// world is a cluster with the configuration in force.
type world struct{ *cluster.Cluster }

func start(ctx context.Context, tuning cluster.Tuning) *world {
	GinkgoHelper()
	c, err := cluster.Start(ctx, cluster.Options{Profile: profile.Tregwynt(), Instances: instances, Tuning: tuning})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { Expect(c.Stop()).To(Succeed()) })
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	Expect(c.Apply(ready)).To(Succeed())
	return &world{c}
}

// group returns the layout of the first group, on which the faults act.
func (w *world) group() upstreamd.GroupLayout { return w.Layout.Groups[0] }

func (w *world) upstream(ctx context.Context, upstream string, action upstreamd.Action) {
	GinkgoHelper()
	fault := upstreamd.Fault{Group: w.group().ID, Upstream: upstream, Action: action}
	Expect(w.Upstreams.Apply(ctx, fault)).To(Succeed())
}

// lag sets the replication lag of all replicas of the first group.
func (w *world) lag(ctx context.Context, lag time.Duration) {
	GinkgoHelper()
	for _, upstream := range w.group().Upstreams[1:] {
		fault := upstreamd.Fault{
			Group: w.group().ID, Upstream: upstream.ID, Action: upstreamd.ActionLag, LagMS: int(lag / time.Millisecond),
		}
		Expect(w.Upstreams.Apply(ctx, fault)).To(Succeed())
	}
}

// run starts a workload on the first group.
func (w *world) run(ctx context.Context, change func(*workload.Options)) *workload.Running {
	options := workload.Defaults()
	options.Groups = 1
	if change != nil {
		change(&options)
	}
	running := workload.Start(ctx, w.Cluster, options)
	DeferCleanup(func() { running.Stop() })
	return running
}

// acknowledged counts the writes that callers were told ran.
func acknowledged(running *workload.Running) int {
	count := 0
	for _, op := range running.Log.Ops() {
		if op.Kind.IsWrite() && op.Outcome == history.OutcomeOK {
			count++
		}
	}
	return count
}

// awaitWrites waits until further writes have been acknowledged.
func awaitWrites(running *workload.Running) {
	GinkgoHelper()
	target := acknowledged(running) + served
	Eventually(func() int { return acknowledged(running) }, recoverTimeout).Should(BeNumerically(">=", target))
}

// check holds what callers were told against what the upstreams executed.
func (w *world) check(ctx context.Context, running *workload.Running) []caller.Request {
	GinkgoHelper()
	requests := running.Stop()
	Expect(w.violations(ctx, running)).To(BeEmpty())
	for _, kind := range []history.Kind{history.KindWrite, history.KindOnce, history.KindFresh, history.KindAged} {
		Expect(workload.Count(requests, kind)).To(BeNumerically(">", 0), "no answered request of kind %s", kind)
	}
	return requests
}

func (w *world) violations(ctx context.Context, running *workload.Running) []history.Violation {
	GinkgoHelper()
	// What callers were told is taken first: all of it must then stand in the
	// log, which goes on while callers run.
	told := running.Log.Ops()
	entries, err := w.Upstreams.Log(ctx, 0)
	Expect(err).NotTo(HaveOccurred())
	return history.Check(told, entries)
}

// awaitPrimary waits until the group has a primary other than old.
func (w *world) awaitPrimary(ctx context.Context, old string) string {
	GinkgoHelper()
	var primary string
	Eventually(func() (string, error) {
		var err error
		primary, err = w.Primary(ctx, w.group().ID)
		return primary, err
	}, recoverTimeout).ShouldNot(Equal(old))
	return primary
}
