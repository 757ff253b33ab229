package headstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/headstore"
	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

func TestHeadstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "headstore")
}

const region = "cymru-south"

// relayPeer implements headstore.Peers: it returns the known head row, or fails.
type relayPeer struct {
	asked int
	fails bool
}

func (p *relayPeer) FreshHead(_ context.Context, _ model.InstanceID, known *model.Head) (*model.Head, error) {
	p.asked++
	if p.fails {
		return nil, errors.New("unreachable")
	}
	return known, nil
}

// viewOf returns a view with count members of one data centre, of which those with
// the given indexes are suspect.
func viewOf(count int, suspects ...int) *failover.View {
	view := &failover.View{Head: &model.Head{Version: 1}}
	for i := range count {
		id := model.InstanceID(fmt.Sprintf("i%d", i))
		view.Members = append(view.Members, failover.MemberView{Member: model.Member{ID: id, DataCentre: "quay-east"}})
	}
	for _, i := range suspects {
		view.Members[i].State = members.Suspect
	}
	return view
}

var _ = Describe("Store", func() {
	It("finds the outcome of a write whose answer was lost, and reports a conflict", func(ctx SpecContext) {
		fake := platformfake.New()
		store := headstore.New(fake, region)
		Expect(store.Read(ctx)).To(BeNil())
		fake.LoseNext(platformfake.LoseAnswer)
		outcome, head := store.Write(ctx, "op-1", 0, &model.Head{Revision: 1})
		Expect(outcome).To(Equal(failover.WriteApplied))
		Expect(head.Revision).To(Equal(model.Revision(1)))
		outcome, head = store.Write(ctx, "op-2", 0, &model.Head{Revision: 2})
		Expect(outcome).To(Equal(failover.WriteConflict))
		Expect(head.Revision).To(Equal(model.Revision(1)))
	})
})

var _ = Describe("Relayed", func() {
	member := model.Member{ID: "i3", DataCentre: "quay-east"}

	DescribeTable("chooses the relay",
		func(view *failover.View, relay model.InstanceID) {
			Expect(headstore.ChooseRelay(view, member)).To(Equal(relay))
		},
		Entry("in a small data centre, itself", viewOf(4), member.ID),
		Entry("in a large data centre", viewOf(5), model.InstanceID("i0")),
		Entry("if the first member is suspect", viewOf(6, 0), model.InstanceID("i1")),
	)

	It("reads the table itself if the relay fails", func(ctx SpecContext) {
		store := headstore.New(platformfake.New(), region)
		_, written := store.Write(ctx, "op", 0, &model.Head{Revision: 4})
		peer := &relayPeer{fails: true}
		relayed := headstore.NewRelayed(store, member, peer, func() *failover.View { return viewOf(5) })
		Expect(relayed.Read(ctx)).To(Equal(written))
		Expect(peer.asked).To(Equal(1))
	})
})
