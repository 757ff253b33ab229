package textforward_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textforward"
)

func TestTextforward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "textforward")
}

func newForwarder() *textforward.Forwarder {
	f := textforward.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.SetOrders(textforward.Orders{"g": {"s1", "s2", "s3"}})
	return f
}

// homeAtS3 gives the caller "small" a home, and counts its calls.
func homeAtS3(calls *int) textforward.CallerOrder {
	return func(_ model.GroupID, caller model.CallerName) ([]model.InstanceID, bool) {
		*calls++
		return []model.InstanceID{"s3", "s1", "s2"}, caller == "small"
	}
}

var _ = Describe("Servers", func() {
	It("begin with the home of a caller that has one", func() {
		f, calls := newForwarder(), 0
		f.SetCallerOrder("s1", homeAtS3(&calls))
		for range 3 {
			Expect(f.Servers("g", "small")).To(HaveExactElements(model.InstanceID("s3"), model.InstanceID("s1"), model.InstanceID("s2")))
			Expect(f.Servers("g", "large")[0]).To(Equal(model.InstanceID("s1")))
			Expect(f.Servers("g", "")[0]).To(Equal(model.InstanceID("s1")))
		}
		Expect(calls).To(Equal(2))
	})

	// Guards against units that wait for a home which has just failed, and against
	// an order of the last topology.
	It("end with a home that failed, and follow a new order", func() {
		f, calls := newForwarder(), 0
		f.SetCallerOrder("s1", homeAtS3(&calls))
		f.Avoid("s3", "test")
		Expect(f.Servers("g", "small")).To(HaveExactElements(model.InstanceID("s1"), model.InstanceID("s2"), model.InstanceID("s3")))
		f.SetCallerOrder("s1", func(model.GroupID, model.CallerName) ([]model.InstanceID, bool) {
			return []model.InstanceID{"s2", "s1"}, true
		})
		Expect(f.Servers("g", "small")).To(HaveExactElements(model.InstanceID("s2"), model.InstanceID("s1")))
	})

	It("name the home of a caller if that is another instance and has not failed", func() {
		f, calls := newForwarder(), 0
		home := func(caller model.CallerName) model.InstanceID {
			id, found := f.Home("g", caller)
			Expect(found).To(Equal(id != ""))
			return id
		}
		Expect(home("small")).To(BeEmpty())
		f.SetCallerOrder("s1", homeAtS3(&calls))
		Expect(home("small")).To(Equal(model.InstanceID("s3")))
		Expect(home("large")).To(BeEmpty())
		Expect(home("")).To(BeEmpty())
		f.Avoid("s3", "test")
		Expect(home("small")).To(BeEmpty())
		f.SetCallerOrder("s3", homeAtS3(&calls))
		Expect(home("small")).To(BeEmpty())
	})

	// Guards against memory that grows with each name that a peer sends.
	It("are right for more callers than are kept", func() {
		f := newForwarder()
		f.SetCallerOrder("s1", func(_ model.GroupID, caller model.CallerName) ([]model.InstanceID, bool) {
			return []model.InstanceID{model.InstanceID("home-" + caller)}, true
		})
		for i := range 10_000 {
			caller := model.CallerName(fmt.Sprint(i))
			Expect(f.Servers("g", caller)[0]).To(Equal(model.InstanceID("home-" + caller)))
		}
	})
})

func BenchmarkServers(b *testing.B) {
	f, calls := newForwarder(), 0
	f.SetCallerOrder("s1", homeAtS3(&calls))
	b.ReportAllocs()
	for b.Loop() {
		f.Servers("g", "small")
	}
}
