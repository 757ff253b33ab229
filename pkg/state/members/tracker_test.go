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

	setPlatformList := func(ids ...model.InstanceID) {
		var instances []members.PlatformInstance
		for _, id := range ids {
			instances = append(instances, members.PlatformInstance{ID: id})
		}
		tracker.SetPlatformList(instances)
	}

	It("treats a silent member as suspect while the platform lists it", func() {
		setPlatformList("a", "b", "c", "d")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Suspect))
	})

	It("treats a responsive member as live although the platform's list lacks it", func() {
		setPlatformList("a")
		tracker.MessageReceived(2*suspectAfter, "b")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Live))
	})

	It("treats a silent member as gone if the platform's list lacks it", func() {
		setPlatformList("a", "c", "d")
		Expect(tracker.State(2*suspectAfter, "b")).To(Equal(members.Gone))
	})

	It("treats a listed member as gone after GoneAfter if half of the others are responsive", func() {
		setPlatformList("a", "b", "c", "d")
		tracker.MessageReceived(goneAfter, "c")
		Expect(tracker.State(goneAfter, "b")).To(Equal(members.Suspect))
		tracker.MessageReceived(goneAfter, "d")
		Expect(tracker.State(goneAfter, "b")).To(Equal(members.Gone))
	})

	It("treats no listed member as gone if all others are silent", func() {
		setPlatformList("a", "b", "c", "d")
		Expect(tracker.State(2*goneAfter, "b")).To(Equal(members.Suspect))
	})

	It("treats a member as leaving if the platform's list says so", func() {
		tracker.SetPlatformList([]members.PlatformInstance{{ID: "b", Leaving: true}})
		Expect(tracker.State(0, "b")).To(Equal(members.Leaving))
	})
})
