package textfront

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/telemetry"
)

var _ = Describe("the queue of a group", func() {
	It("has the weight of a caller from the priority of its account", func() {
		configuration := catalog.New(1, nil, nil, catalog.Limits{}).WithCallers([]catalog.Caller{
			{Name: "first", Priority: 0}, {Name: "second", Priority: 1}, {Name: "third", Priority: 2},
		})
		Expect(callerWeight(configuration, "first")).To(Equal(4))
		Expect(callerWeight(configuration, "second")).To(Equal(2))
		Expect(callerWeight(configuration, "third")).To(Equal(1))
		Expect(callerWeight(configuration, "")).To(Equal(1))
	})

	// Guards against a peer that creates metrics by the priorities that it sends.
	It("has metrics of few priorities", func() {
		Expect([]string{priorityLabel(-5), priorityLabel(0), priorityLabel(2), priorityLabel(3), priorityLabel(1 << 30)}).
			To(Equal([]string{"0", "0", "2", "lower", "lower"}))
		refused := telemetry.PriorityRefused.With("lower", "queue too long")
		before := refused.Get()
		recordWait(9, time.Millisecond, &dispatch.Refusal{Reason: dispatch.RefusedQueueTooLong})
		recordWait(9, time.Millisecond, nil)
		Expect(refused.Get()).To(Equal(before + 1))
	})
})
