package history_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/history"
	"gypsumdock/testbench/upstreamd"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "history")
}

func op(kind history.Kind, outcome history.Outcome, value string) history.Op {
	return history.Op{Session: "s", Group: "g", Key: "k", Kind: kind, Outcome: outcome, Value: value}
}

// ran is the log of a write that was executed and committed.
func ran(seq uint64, timeline uint32, value string) []upstreamd.Entry {
	entry := upstreamd.Entry{Seq: seq, Group: "g", Upstream: "u", Timeline: timeline, Value: value, Transaction: seq}
	write, commit := entry, entry
	write.Kind, commit.Kind = upstreamd.EntryWrite, upstreamd.EntryCommit
	return []upstreamd.Entry{write, commit}
}

func join(parts ...[]upstreamd.Entry) []upstreamd.Entry {
	var all []upstreamd.Entry
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}

var _ = DescribeTable("Check",
	func(ops []history.Op, log []upstreamd.Entry, promise string) {
		violations := history.Check(ops, log)
		if promise == "" {
			Expect(violations).To(BeEmpty())
			return
		}
		Expect(violations).To(ContainElement(HaveField("Promise", promise)))
	},
	Entry("accepts reads of the last write",
		[]history.Op{op("write", "ok", "k|s|1"), op("fresh", "ok", "k|s|1")}, ran(1, 1, "k|s|1"), ""),
	Entry("accepts a write that may have run and shows later",
		[]history.Op{op("write", "may have run", "k|s|1"), op("fresh", "ok", ""), op("fresh", "ok", "k|s|1")},
		ran(1, 1, "k|s|1"), ""),
	Entry("accepts an older record once the loss was told",
		[]history.Op{op("write", "ok", "k|s|1"), op("fresh", "write lost", ""), op("fresh", "ok", "")},
		ran(1, 1, "k|s|1"), ""),
	Entry("finds a stale read",
		[]history.Op{op("write", "ok", "k|s|1"), op("write", "ok", "k|s|2"), op("aged", "ok", "k|s|1")},
		join(ran(1, 1, "k|s|1"), ran(2, 1, "k|s|2")), history.PromiseReadYourWrites),
	Entry("finds a record that is missing",
		[]history.Op{op("write", "ok", "k|s|1"), op("fresh", "ok", "")}, ran(1, 1, "k|s|1"), history.PromiseReadYourWrites),
	Entry("finds a crossed answer",
		[]history.Op{op("fresh", "ok", "other|t|1")}, nil, history.PromiseOwnAnswer),
	Entry("finds a write that was run after all",
		[]history.Op{op("write", "not run", "k|s|1")}, ran(1, 1, "k|s|1"), history.PromiseNotRun),
	Entry("finds a write that ran twice",
		[]history.Op{op("once", "may have run", "k|s|1")}, join(ran(1, 1, "k|s|1"), ran(2, 1, "k|s|1")), history.PromiseOnce),
	Entry("finds an acknowledgement without a commit",
		[]history.Op{op("write", "ok", "k|s|1")}, nil, history.PromiseAcknowledged),
	Entry("finds an acknowledgement by a deposed primary",
		[]history.Op{op("write", "ok", "k|s|1")},
		join([]upstreamd.Entry{{Seq: 1, Group: "g", Upstream: "v", Kind: upstreamd.EntryPromote, Timeline: 2}}, ran(2, 1, "k|s|1")),
		history.PromiseDeposed),
	Entry("finds a transaction with the writes of two sessions",
		nil, join(ran(1, 1, "k|s|1"), ran(1, 1, "k|t|1")), history.PromiseSeparate),
)
