package serving_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
)

// Each region has eight groups with an upstream in each of three data centres, and
// 4 to 12 members; see docs/design/15-hard-load.md.
var _ = Describe("the servers of eight groups in three data centres", func() {
	const groups, regions = 8, 300
	centres := []model.DataCentre{"centre-0", "centre-1", "centre-2"}

	DescribeTable("are in each data centre, and rarely more than twice as many groups as at its equals are at one member",
		func(count int) {
			above, total := 0, 0
			for seed := range regions {
				var live []model.Member
				for i := range count {
					id := model.InstanceID(fmt.Sprintf("machine-%d/%d", i, seed*7919))
					live = append(live, model.Member{ID: id, DataCentre: centres[i%len(centres)]})
				}
				served := map[model.InstanceID]int{}
				servedIn := map[model.DataCentre]int{}
				for i := range groups {
					group := serving.Group{ID: model.GroupID(fmt.Sprintf("group-%d", i)), DataCentres: centres}
					used := map[model.DataCentre]bool{}
					for _, id := range serving.Servers(group, live) {
						served[id]++
						servedIn[dataCentre(id, live)]++
						used[dataCentre(id, live)] = true
					}
					Expect(used).To(HaveLen(len(centres)), "members %d, seed %d", count, seed)
				}
				for i, member := range live {
					equals := (count - i%len(centres) + len(centres) - 1) / len(centres)
					total++
					if served[member.ID]*equals > 2*servedIn[member.DataCentre] {
						above++
					}
				}
			}
			GinkgoWriter.Printf("%d members: %.4f above twice the mean\n", count, float64(above)/float64(total))
			Expect(float64(above) / float64(total)).To(BeNumerically("<", 0.03))
		},
		Entry(nil, 4), Entry(nil, 5), Entry(nil, 6), Entry(nil, 8), Entry(nil, 9), Entry(nil, 12),
	)
})
