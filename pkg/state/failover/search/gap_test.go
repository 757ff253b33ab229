package search_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const (
	// Each run has gapInstances instances, with an additional writer each that
	// writes every gapWriteEvery. The primary is killed between gapFaultFrom
	// and gapFaultFrom plus gapFaultSpread, and the run ends at gapEnd.
	gapInstances   = 4
	gapWriteEvery  = 10 * time.Millisecond
	gapFaultFrom   = 5 * time.Second
	gapFaultSpread = time.Second
	gapEnd         = 25 * time.Second
	// longPause outlasts a failover.
	longPause    = 20 * time.Second
	slowPlatform = 200 * time.Millisecond
)

// gapCase is a fault that accompanies the loss of the primary.
type gapCase struct {
	name string
	// prepare is called before the run, fail when the primary is killed; either
	// may be nil.
	prepare func(w *world)
	fail    func(w *world)
	// sealed, if not nil, is called when the group is first sealed.
	sealed func(w *world)
	// target is the bound on the whole gap.
	target time.Duration
}

// gap holds the durations of the parts of a failover, in the order of gapParts.
// The last one is their sum, the time without acknowledged writes.
type gap [6]time.Duration

var gapParts = []string{"detection", "seal", "confirmation", "promotion", "first write", "whole gap"}

var gapCases = []gapCase{
	{name: "all holders answer", target: 2 * time.Second},
	{name: "baseline: always wait for the permit lifetime plus drift", target: 9 * time.Second, prepare: dropConfirmations},
	{name: "one holder frozen", target: 9 * time.Second, fail: func(w *world) { w.nodes[1].pause(longPause) }},
	{name: "one holder cut off", target: 9 * time.Second, fail: isolateOne},
	{name: "promoter frozen after the seal", target: 9 * time.Second, sealed: freezePromoter},
	{name: "promoter dies after the seal", target: 9 * time.Second, sealed: killPromoter},
	{name: "promoter cut from upstreams", target: 9 * time.Second, sealed: cutPromoter},
	{name: "platform slow, 100 to 400 ms", target: 9 * time.Second, prepare: slowTable},
	{name: "platform down for 3 s", target: 9 * time.Second, fail: func(w *world) { tableDown(w, 3*time.Second) }},
	{name: "candidate dies after the seal", target: 9 * time.Second, sealed: killSealCandidate},
	{name: "20% of messages lost", target: 9 * time.Second, prepare: func(w *world) { w.net.loss = 0.2 }},
}

func dropConfirmations(w *world) {
	w.net.drop = func(message failover.PeerMessage) bool {
		_, confirmation := message.(failover.WritesStopped)
		return confirmation
	}
}

func isolateOne(w *world) {
	w.nodes[1].noTable = true
	w.net.isolate(map[model.InstanceID]bool{w.nodes[1].id: true})
}

// promoter returns the promoter, or the first node if there is none.
func (w *world) promoter() *node {
	for _, n := range w.nodes {
		seal := w.table.group().Seal
		if seal != nil && seal.By == n.id {
			return n
		}
	}
	return w.nodes[0]
}

func freezePromoter(w *world) { w.promoter().pause(longPause) }

func killPromoter(w *world) { w.promoter().dead = true }

func cutPromoter(w *world) {
	n := w.promoter()
	for _, up := range w.ups {
		n.noUpstream[up.id] = true
	}
}

func killSealCandidate(w *world) { w.server(w.table.group().Seal.Candidate).alive = false }

func slowTable(w *world) { w.table.delayMax = slowPlatform }

// writeFaster adds a writer to each instance, which makes the measured times
// more precise.
func (w *world) writeFaster() {
	for _, n := range w.nodes {
		n.every(0, gapWriteEvery, n.write)
	}
}

// measure runs one failover and returns its parts. It returns false if no write
// followed the failover.
func measure(seed uint64, c gapCase) (gap, bool) {
	w := newWorld(3*(seed+1)-1+seed%2, failover.Rules{}, gapInstances)
	w.writeFaster()
	if c.prepare != nil {
		c.prepare(w)
	}
	w.run(gapFaultFrom + w.between(0, gapFaultSpread))
	failed := w.now
	w.server(w.table.group().Primary).alive = false
	if c.fail != nil {
		c.fail(w)
	}
	w.table.onSeal = c.sealed
	w.run(gapEnd)
	return w.parts(failed)
}

// parts returns the parts of the gap that began when the primary was killed at
// failed.
func (w *world) parts(failed time.Duration) (gap, bool) {
	Expect(w.violation).To(BeEmpty())
	marks := []time.Duration{failed}
	kinds := []failover.ReportKind{failover.ReportPrimaryLost, failover.ReportSealed, failover.ReportHoldersStopped}
	for _, kind := range kinds {
		marks = append(marks, w.firstReport(kind, failed))
	}
	marks = append(marks, w.table.startedAt)
	generation := w.table.group().Generation
	for _, a := range w.acked {
		if a.generation == generation && a.at > failed {
			marks = append(marks, a.at)
			break
		}
	}
	var g gap
	if len(marks) != len(g) || w.table.startedAt < failed {
		return g, false
	}
	for i := range len(marks) - 1 {
		g[i] = marks[i+1] - marks[i]
	}
	g[len(g)-1] = marks[len(marks)-1] - failed
	return g, true
}

func (w *world) firstReport(kind failover.ReportKind, since time.Duration) time.Duration {
	for _, entry := range w.log {
		if entry.report.Kind == kind && entry.at >= since {
			return entry.at
		}
	}
	return 0
}

func gaps(c gapCase) []gap {
	var found []gap
	for seed := range uint64(gapSeeds) {
		g, complete := measure(seed, c)
		Expect(complete).To(BeTrue(), "%s, seed %d: no write after the failover", c.name, seed)
		found = append(found, g)
	}
	return found
}

// tableVariable names the environment variable that, if set, makes the tests
// print their measurements.
const tableVariable = "GAP_TABLE"

func printTable(format string, args ...any) {
	if os.Getenv(tableVariable) != "" {
		fmt.Printf(format, args...)
	}
}

// row formats the median and the maximum of each part as a table row.
func row(name string, found []gap) string {
	cells := []string{name}
	for part := range gapParts {
		var times []time.Duration
		for _, g := range found {
			times = append(times, g[part])
		}
		slices.Sort(times)
		middle := times[len(times)/2].Round(time.Millisecond)
		last := times[len(times)-1].Round(time.Millisecond)
		cells = append(cells, fmt.Sprintf("%d / %d", middle.Milliseconds(), last.Milliseconds()))
	}
	return "| " + strings.Join(cells, "\t | ") + "\t |\n"
}

var _ = Describe("the failover gap", Ordered, func() {
	var table strings.Builder
	out := tabwriter.NewWriter(&table, 0, 0, 0, ' ', 0)

	BeforeAll(func() {
		fmt.Fprintf(out, "| ms, median / greatest\t | %s\t |\n", strings.Join(gapParts, "\t | "))
	})

	for _, c := range gapCases {
		It("stays below its target: "+c.name, func() {
			found := gaps(c)
			fmt.Fprint(out, row(c.name, found))
			for _, g := range found {
				Expect(g[len(g)-1]).To(BeNumerically("<", c.target))
			}
		})
	}

	AfterAll(func() {
		Expect(out.Flush()).To(Succeed())
		printTable("%s", table.String())
	})
})
