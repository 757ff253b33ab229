package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// Guards against an instance that cannot tell whether keys are valid and keeps its
// callers, although it can serve none of them.
var _ = DescribeTable("isConfirmationTooOld",
	func(accounts, serves bool, confirmedAt, bound time.Duration, tooOld bool) {
		snapshot := &region.Snapshot{
			Catalog: catalog.New(1, nil, nil, catalog.Limits{}), ConfirmedAt: confirmedAt,
			Serving: map[model.GroupID]region.Serving{"g": {Local: serves}, "h": {}},
		}
		if accounts {
			snapshot.Catalog = snapshot.Catalog.WithCallers(nil)
		}
		Expect(isConfirmationTooOld(snapshot, time.Minute, bound)).To(Equal(tooOld))
	},
	Entry("fresh at a server", true, true, 56*time.Second, 5*time.Second, false),
	Entry("old at a server", true, true, 56*time.Second-1, 5*time.Second, true),
	Entry("older at an instance that only forwards", true, false, 55*time.Second, 5*time.Second, false),
	Entry("old at an instance that only forwards", true, false, 55*time.Second-1, 5*time.Second, true),
	Entry("none yet", true, true, time.Duration(0), 5*time.Second, true),
	Entry("no bound", true, true, time.Duration(0), time.Duration(0), false),
	Entry("no accounts", false, true, time.Duration(0), 5*time.Second, false),
)
