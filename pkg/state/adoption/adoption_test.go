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
	// Fewer runs do not find a machine that accepts older revisions.
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

// memo keeps what encoded made, as the search asks for the same often.
var memo = map[int]encodedBundle{}

// encoded returns a bundle that differs by seed, with a route of its own.
func encoded(seed int) ([]byte, string) {
	if known, ok := memo[seed]; ok {
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
	memo[seed] = encodedBundle{data, digest}
	return data, digest
}

func refOf(revision model.Revision, seed int) (adoption.BundleRef, []byte) {
	data, digest := encoded(seed)
	return adoption.BundleRef{Revision: revision, Digest: digest}, data
}

func adopted(actions []adoption.Action) (adoption.Adopt, bool) {
	for _, action := range actions {
		if adopt, ok := action.(adoption.Adopt); ok {
			return adopt, true
		}
	}
	return adoption.Adopt{}, false
}

// lateAnswer feeds a newer bundle and then the late answer for an older one.
func lateAnswer(options adoption.Options) model.Revision {
	m := adoption.New(options)
	older, olderData := refOf(1, 1)
	newer, newerData := refOf(2, 2)
	m.Step(0, adoption.RevisionSeen{Ref: older})
	m.Step(0, adoption.RevisionSeen{Ref: newer})
	m.Step(0, adoption.Fetched{Ref: newer, Data: newerData})
	m.Step(0, adoption.Fetched{Ref: older, Data: olderData})
	inForce, _ := m.Active()
	return inForce.Revision
}

var _ = Describe("Machine", func() {
	It("does not go back when an older bundle arrives late", func() {
		options := adoption.DefaultOptions()
		Expect(lateAnswer(options)).To(Equal(model.Revision(2)))
		options.AcceptOlder = true
		Expect(lateAnswer(options)).To(Equal(model.Revision(1)))
	})

	It("asks a peer when the object store gives nothing", func() {
		m := adoption.New(adoption.DefaultOptions())
		ref, data := refOf(1, 1)
		first := m.Step(0, adoption.RevisionSeen{Ref: ref, From: "i1"})
		Expect(first).To(ConsistOf(adoption.Fetch{Ref: ref}))
		m.Step(0, adoption.Fetched{Ref: ref, Failed: true})
		Expect(m.Step(0, adoption.Tick{})).To(ContainElement(adoption.Fetch{Ref: ref, From: "i1"}))
		_, ok := adopted(m.Step(0, adoption.Fetched{Ref: ref, From: "i1", Data: data}))
		Expect(ok).To(BeTrue())
	})

	It("drains routes that were removed", func() {
		m := adoption.New(adoption.DefaultOptions())
		first, firstData := refOf(1, 1)
		second, secondData := refOf(2, 2)
		m.Step(0, adoption.Fetched{Ref: first, Data: firstData})
		adopt, ok := adopted(m.Step(0, adoption.Fetched{Ref: second, Data: secondData}))
		Expect(ok).To(BeTrue())
		Expect(adopt.DrainingRoutes).To(Equal([]string{"g1"}))
	})

	It("changes nothing for bytes that do not match", func() {
		m := adoption.New(adoption.DefaultOptions())
		ref, _ := refOf(1, 1)
		_, other := refOf(1, 2)
		actions := m.Step(0, adoption.Fetched{Ref: ref, Data: other})
		Expect(actions).To(ConsistOf(HaveField("Kind", adoption.ReportRefused)))
		_, inForce := m.Active()
		Expect(inForce).To(BeNil())
	})

	It("reports a bundle that stays missing, once", func() {
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
		f := newFleet(t, adoption.DefaultOptions())
		t.Repeat(map[string]func(*rapid.T){
			"apply":   f.apply,
			"race":    f.race,
			"read":    f.read,
			"tick":    f.tick,
			"deliver": f.deliver,
			"drop":    f.drop,
			"double":  f.double,
			"replace": f.replace,
			"outage":  f.outage,
			"":        f.invariant,
		})
		f.settle(t)
	})
}
