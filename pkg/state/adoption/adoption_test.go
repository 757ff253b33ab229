package adoption_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// With fewer checks the search does not detect a state machine that accepts
	// older revisions.
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "1000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestAdoption(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adoption")
}

type encodedBundle struct {
	data   []byte
	digest string
}

// encodedBundles caches the results of encodedBundleOf by seed, because the
// search requests the same bundles often.
var encodedBundles = map[int]encodedBundle{}

// encodedBundleOf returns the bytes and the digest of a bundle whose database
// and route are named after the seed.
func encodedBundleOf(seed int) ([]byte, string) {
	if known, ok := encodedBundles[seed]; ok {
		return known.data, known.digest
	}
	id := fmt.Sprintf("g%d", seed)
	b := &bundle.Bundle{
		Groups: []bundle.Group{{ID: "g", Database: id, User: "u", Upstreams: []bundle.Upstream{
			{ID: "a", Address: "127.0.0.1:1", DataCentre: "east", Slots: 1, Connections: 9},
		}}},
		Routes: []bundle.Route{{Name: id, Group: "g", Deadline: time.Second}},
	}
	data, digest, err := bundle.Encode(b)
	if err != nil {
		panic(err)
	}
	encodedBundles[seed] = encodedBundle{data, digest}
	return data, digest
}

func refOf(revision model.Revision, seed int) (adoption.BundleRef, []byte) {
	data, digest := encodedBundleOf(seed)
	return adoption.BundleRef{Revision: revision, Digest: digest}, data
}

// findAdopt returns the Adopt among the actions, if there is one.
func findAdopt(actions []adoption.Action) (adoption.Adopt, bool) {
	for _, action := range actions {
		if adopt, ok := action.(adoption.Adopt); ok {
			return adopt, true
		}
	}
	return adoption.Adopt{}, false
}

// activeAfterLateAnswer returns the active revision after a newer bundle was
// fetched and then the answer with an older one arrived.
func activeAfterLateAnswer(options adoption.Options) model.Revision {
	m := adoption.New(options)
	older, olderData := refOf(1, 1)
	newer, newerData := refOf(2, 2)
	m.Step(0, adoption.RevisionSeen{Ref: older})
	m.Step(0, adoption.RevisionSeen{Ref: newer})
	m.Step(0, adoption.Fetched{Ref: newer, Data: newerData})
	m.Step(0, adoption.Fetched{Ref: older, Data: olderData})
	active, _ := m.Active()
	return active.Revision
}

var _ = Describe("Machine", func() {
	It("does not return to an older bundle that arrives late", func() {
		options := adoption.DefaultOptions()
		Expect(activeAfterLateAnswer(options)).To(Equal(model.Revision(2)))
		options.AcceptOlder = true
		Expect(activeAfterLateAnswer(options)).To(Equal(model.Revision(1)))
	})

	It("fetches from a peer if the fetch from the object store failed", func() {
		m := adoption.New(adoption.DefaultOptions())
		ref, data := refOf(1, 1)
		first := m.Step(0, adoption.RevisionSeen{Ref: ref, From: "i1"})
		Expect(first).To(ConsistOf(adoption.Fetch{Ref: ref}))
		m.Step(0, adoption.Fetched{Ref: ref, Failed: true})
		Expect(m.Step(0, adoption.Tick{})).To(ContainElement(adoption.Fetch{Ref: ref, From: "i1"}))
		_, ok := findAdopt(m.Step(0, adoption.Fetched{Ref: ref, From: "i1", Data: data}))
		Expect(ok).To(BeTrue())
	})

	It("drains routes that the new bundle lacks", func() {
		m := adoption.New(adoption.DefaultOptions())
		first, firstData := refOf(1, 1)
		second, secondData := refOf(2, 2)
		m.Step(0, adoption.Fetched{Ref: first, Data: firstData})
		adopt, ok := findAdopt(m.Step(0, adoption.Fetched{Ref: second, Data: secondData}))
		Expect(ok).To(BeTrue())
		Expect(adopt.DrainingRoutes).To(Equal([]string{"g1"}))
	})

	It("refuses bytes that do not match the digest, and keeps the active bundle", func() {
		m := adoption.New(adoption.DefaultOptions())
		ref, _ := refOf(1, 1)
		_, other := refOf(1, 2)
		actions := m.Step(0, adoption.Fetched{Ref: ref, Data: other})
		Expect(actions).To(ConsistOf(HaveField("Kind", adoption.ReportRefused)))
		_, active := m.Active()
		Expect(active).To(BeNil())
	})

	It("reports once that a bundle stays missing", func() {
		m := adoption.New(adoption.DefaultOptions())
		ref, _ := refOf(1, 1)
		m.Step(0, adoption.RevisionSeen{Ref: ref})
		behind := adoption.Report{Kind: adoption.ReportBehind, Ref: ref}
		Expect(m.Step(4*time.Second, adoption.Tick{})).To(ContainElement(behind))
		Expect(m.Step(5*time.Second, adoption.Tick{})).NotTo(ContainElement(behind))
	})
})

func TestAdoptionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, adoption.DefaultOptions())
		t.Repeat(map[string]func(*rapid.T){
			"apply":   c.apply,
			"race":    c.applyConcurrently,
			"read":    c.read,
			"tick":    c.tick,
			"deliver": c.deliver,
			"drop":    c.drop,
			"double":  c.duplicate,
			"replace": c.replace,
			"outage":  c.outage,
			"":        c.checkInvariants,
		})
		c.checkConverges(t)
	})
}
