package members_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

func TestMembers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "members")
}

const (
	suspectAfter = time.Second
	goneAfter    = time.Minute
)

var _ = Describe("Tracker", func() {
	var tracker *members.Tracker

	BeforeEach(func() {
		tracker = members.New(members.Config{Self: "a", SuspectAfter: suspectAfter, GoneAfter: goneAfter})
		tracker.SetMembers(0, []model.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}})
	})

	list := func(ids ...model.InstanceID) {
		var listed []members.PlatformInstance
		for _, id := range ids {
			listed = append(listed, members.PlatformInstance{ID: id})
		}
		tracker.SetPlatformList(listed)
	}

	It("keeps a silent member that the platform lists as suspect", func() {
		list("a", "b", "c", "d")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Suspect))
	})

	It("keeps a member that is heard although the list, which lags, lacks it", func() {
		list("a")
		tracker.MessageReceived(2*suspectAfter, "b")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Live))
	})

	It("gives up a member only when the list and the mesh agree", func() {
		list("a", "c", "d")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Gone))
	})

	It("gives up a listed member after a long silence if others are heard", func() {
		list("a", "b", "c", "d")
		tracker.MessageReceived(goneAfter, "c")
		Expect(tracker.State(goneAfter, "b")).To(Equal(members.Suspect))
		tracker.MessageReceived(goneAfter, "d")
		Expect(tracker.State(goneAfter, "b")).To(Equal(members.Gone))
	})

	It("gives up nobody for silence when it is cut off itself", func() {
		list("a", "b", "c", "d")
		Expect(tracker.State(2*goneAfter, "b")).To(Equal(members.Suspect))
	})

	It("says that a member is leaving when the list does", func() {
		tracker.SetPlatformList([]members.PlatformInstance{{ID: "b", Leaving: true}})
		Expect(tracker.State(0, "b")).To(Equal(members.Leaving))
	})
})
