package operator

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const region = "cymru-south"

// publisherOf returns a publisher whose operation IDs consist of its name and a
// counter.
func publisherOf(fake *platformfake.Platform, who string) *Publisher {
	count := 0
	return &Publisher{
		Table:   fake,
		Objects: fake.Objects(),
		Region:  region,
		Who:     who,
		Now:     func() time.Time { return time.Unix(1_700_000_000, 0) },
		NewOpID: func() string {
			count++
			return fmt.Sprintf("%s-%d", who, count)
		},
	}
}

// bundleOf returns a bundle with one group for the given database.
func bundleOf(database string) *bundle.Bundle {
	return &bundle.Bundle{Groups: []bundle.Group{{ID: "plugs", Database: database, User: "u", Upstreams: []bundle.Upstream{
		{ID: "a", Address: "127.0.0.1:1", DataCentre: "east", Slots: 2, Connections: 16},
		{ID: "b", Address: "127.0.0.1:2", DataCentre: "west", Slots: 2, Connections: 16},
	}}}}
}

var _ = Describe("Publisher", func() {
	var (
		fake       *platformfake.Platform
		ann, bob   *Publisher
		emptyStart ActiveConfiguration
	)
	ctx := context.Background()

	BeforeEach(func() {
		fake = platformfake.New()
		ann, bob = publisherOf(fake, "ann"), publisherOf(fake, "bob")
	})

	apply := func(p *Publisher, database string) {
		current, err := p.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Apply(ctx, current, bundleOf(database), "")
		Expect(err).NotTo(HaveOccurred())
	}
	activeConfiguration := func() string {
		current, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		return fmt.Sprintf("%d %s", current.Revision(), current.Bundle.Groups[0].Database)
	}
	history := func() []string {
		entries, err := ann.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		var all []string
		for _, entry := range entries {
			all = append(all, fmt.Sprintf("%d %s%s", entry.Revision, entry.Who, entry.Note))
		}
		return all
	}

	It("starts new groups at their first primary", func() {
		apply(ann, "one")
		current, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Head.Groups).To(Equal([]model.GroupHead{{ID: "plugs", Generation: 1, Primary: "a", Timeline: 1}}))
	})

	It("makes no revision of what is in force already", func() {
		apply(ann, "one")
		apply(bob, "one")
		Expect(history()).To(Equal([]string{"1 ann"}))
	})

	It("tells the operator who lost a race what came between, and changes nothing", func() {
		apply(ann, "one")
		current, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		fake.BeforeNextCommit(func() { apply(bob, "two") })
		_, err = ann.Apply(ctx, current, bundleOf("three"), "")
		var conflict *ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(err.Error()).To(ContainSubstring("revision 2 by bob"))
		Expect(activeConfiguration()).To(Equal("2 two"))
		apply(ann, "three")
		Expect(history()).To(Equal([]string{"3 ann", "2 bob", "1 ann"}))
	})

	It("keeps a change of primary that was made concurrently", func() {
		apply(ann, "one")
		current, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		fake.BeforeNextCommit(func() { promote(fake, "b") })
		_, err = ann.Apply(ctx, current, bundleOf("two"), "")
		Expect(err).NotTo(HaveOccurred())
		after, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Head.Groups[0].Primary).To(Equal(model.UpstreamID("b")))
		Expect(activeConfiguration()).To(Equal("2 two"))
	})

	DescribeTable("finds out by reading whether a commit with a lost answer was applied",
		func(losses ...platformfake.Loss) {
			fake.LoseNext(losses...)
			_, err := ann.Apply(ctx, emptyStart, bundleOf("one"), "")
			Expect(err).NotTo(HaveOccurred())
			Expect(history()).To(Equal([]string{"1 ann"}))
		},
		Entry("after the write", platformfake.LoseAnswer),
		Entry("before the write", platformfake.LoseRequest),
		Entry("twice", platformfake.LoseRequest, platformfake.LoseAnswer),
	)

	It("reports a conflict if another revision was applied after a lost request", func() {
		fake.LoseNext(platformfake.LoseRequest)
		fake.BeforeNextCommit(func() {})
		fake.BeforeNextCommit(func() { apply(bob, "two") })
		_, err := ann.Apply(ctx, emptyStart, bundleOf("one"), "")
		var conflict *ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(activeConfiguration()).To(Equal("1 two"))
	})

	It("reports an unknown outcome when the platform goes down after a lost answer", func() {
		fake.LoseNext(platformfake.LoseAnswer)
		lossy := publisherOf(fake, "ann")
		lossy.Table = downAfterCommit{fake}
		_, err := lossy.Apply(ctx, emptyStart, bundleOf("one"), "")
		var unknown *OutcomeUnknownError
		Expect(err).To(BeAssignableToTypeOf(unknown))
	})

	It("rolls back by applying the old bundle as a new revision", func() {
		apply(ann, "one")
		apply(ann, "two")
		_, err := bob.Rollback(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(activeConfiguration()).To(Equal("3 one"))
		Expect(history()[0]).To(Equal("3 bobrollback to revision 1"))
	})

	It("refuses to remove or drain a primary", func() {
		apply(ann, "one")
		current, err := ann.Active(ctx)
		Expect(err).NotTo(HaveOccurred())
		removed, leaving := bundleOf("one"), bundleOf("one")
		removed.Groups[0].Upstreams = removed.Groups[0].Upstreams[1:]
		leaving.Groups[0].Upstreams[0].Leaving = true
		_, err = ann.Apply(ctx, current, removed, "")
		Expect(err).To(MatchError(ContainSubstring("switch the group first")))
		_, err = ann.Apply(ctx, current, leaving, "")
		Expect(err).To(MatchError(ContainSubstring("switch the group first")))
		Expect(activeConfiguration()).To(Equal("1 one"))
	})

	It("limits the length of the history", func() {
		oldest, head := "revision/"+region+"/1", model.Head{Revision: historyLength}
		value, err := platform.EncodeHead(&head)
		Expect(err).NotTo(HaveOccurred())
		_, err = fake.Commit(ctx, "seed", []platform.Write{{Key: platform.HeadKey(region), Value: value}, {Key: oldest, Value: []byte("{}")}})
		Expect(err).NotTo(HaveOccurred())
		base, err := ann.head(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = ann.Apply(ctx, base, bundleOf("one"), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.Version(oldest)).To(BeZero())
		Expect(history()).To(Equal([]string{"1001 ann"}))
	})
})

// promote writes a change of primary to the head row, as a failover does.
func promote(fake *platformfake.Platform, primary model.UpstreamID) {
	ctx := context.Background()
	row, err := fake.Get(ctx, platform.HeadKey(region))
	Expect(err).NotTo(HaveOccurred())
	head, err := platform.DecodeHead(row)
	Expect(err).NotTo(HaveOccurred())
	head.Groups[0].Primary = primary
	head.Groups[0].Generation++
	value, err := platform.EncodeHead(head)
	Expect(err).NotTo(HaveOccurred())
	result, err := fake.Commit(ctx, "failover", []platform.Write{{Key: row.Key, IfVersion: row.Version, Value: value}})
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Applied).To(BeTrue())
}

// downAfterCommit is a table that becomes unreachable after its first commit.
type downAfterCommit struct{ *platformfake.Platform }

func (d downAfterCommit) Commit(ctx context.Context, opID string, writes []platform.Write) (platform.CommitResult, error) {
	result, err := d.Platform.Commit(ctx, opID, writes)
	d.SetDown(true)
	return result, err
}
